package shard

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"wigeonwinch/jobs/place"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// The bounds of the scheduler.
const (
	// maxUnplacedInRow ends a placement pass after this many tasks in a row
	// found no worker: the pool is full, most likely.
	maxUnplacedInRow = 24
	// fullPassIntervalMS is the pause between two passes that try every job, so that
	// tasks that can't be placed for other reasons than a full pool hold up the
	// others for no longer. The platform allows three seconds.
	fullPassIntervalMS = 500
	// maxBlockMS is how long a lasting task without capacity may block the
	// starts of other tasks: a few run times of short tasks.
	maxBlockMS = 2_500
	// minPathShare is the share of its declared critical path that a job needs at
	// least, as declared run times are off by half; minLearnedPathShare is that of
	// an expected one.
	minPathShare, minLearnedPathShare = 0.5, 0.8
)

// enqueue adds a job to its pool's queue.
func (c *Core) enqueue(j *job) {
	if j.queued || j.state.Final() {
		return
	}
	j.queued = true
	p := c.ensurePool(j.service)
	if j.spec.HasLastingStep() {
		p.lastingQueue = append(p.lastingQueue, j)
		return
	}
	p.queue = append(p.queue, j)
}

// schedule places the tasks that can be started now.
func (c *Core) schedule() {
	if c.now >= c.startsUntil || c.deposed || c.storeDown || c.listStale() {
		return
	}
	c.customers.room.BeginPass()
	for _, name := range sortedKeys(c.pools) {
		c.schedulePool(c.pools[name])
	}
}

func (c *Core) schedulePool(p *pool) {
	workers := c.schedulableWorkers(p.service)
	if len(workers) == 0 {
		return
	}
	c.endProbations(p, workers)
	defer c.holdWorkers(p, workers)
	p.noRoom = map[string][]spec.Resources{}
	blocked := false
	p.lastingQueue = c.placeJobs(p.lastingQueue, workers, math.MaxInt, &blocked)
	if !blocked {
		p.blockedSince = 0
	} else if p.blockedSince == 0 {
		p.blockedSince = c.now
	}
	if blocked && c.now-p.blockedSince < maxBlockMS {
		return
	}
	c.sortJobs(p.queue)
	c.orderByShare(p)
	maxUnplaced := maxUnplacedInRow
	if c.now-p.fullPassAt >= fullPassIntervalMS {
		maxUnplaced = math.MaxInt
		p.fullPassAt = c.now
		c.refreshExpectations(p.queue)
	}
	p.queue = c.placeJobs(p.queue, workers, maxUnplaced, nil)
}

func (c *Core) schedulableWorkers(service string) []*worker {
	var list []*worker
	for _, w := range c.sortedWorkers() {
		if w.info.Service == service && w.schedulable(c.now) {
			list = append(list, w)
		}
	}
	return list
}

// sortJobs sorts late jobs after all others, then by priority, then by the key
// of the policy's order.
func (c *Core) sortJobs(jobs []*job) {
	for _, j := range jobs {
		j.late, j.orderKey = c.rank(j)
	}
	slices.SortStableFunc(jobs, func(x, y *job) int {
		switch {
		case x.late != y.late && y.late:
			return -1
		case x.late != y.late:
			return 1
		case x.priority != y.priority:
			return cmp.Compare(x.priority, y.priority)
		case x.orderKey != y.orderKey:
			return cmp.Compare(x.orderKey, y.orderKey)
		}
		return cmp.Compare(x.spec.ID, y.spec.ID)
	})
}

// rank returns whether the job is late and its sort key within its priority;
// lower keys come first.
func (c *Core) rank(j *job) (late bool, key int64) {
	switch c.cfg.Policy.Order {
	case OrderArrival:
		return false, j.firstSeenAt
	case OrderShortestPath:
		return false, j.criticalPathMS(nil)
	}
	pathMS := j.remainingPathMS()
	share := minPathShare
	if j.learned {
		share = minLearnedPathShare
	}
	if c.now+int64(share*float64(pathMS)) > j.deadline {
		return true, j.firstSeenAt
	}
	return false, j.remainingWork
}

// placeJobs tries to place the tasks of the jobs in order and returns the jobs
// that still have tasks to start. It stops after maxUnplaced tasks in a row found no
// worker.
func (c *Core) placeJobs(jobs []*job, workers []*worker, maxUnplaced int, blocked *bool) []*job {
	remaining := jobs[:0]
	unplacedInRow, untried := 0, 0
	var last *job
	for _, j := range jobs {
		if j.state.Final() {
			j.queued = false
			continue
		}
		if unplacedInRow >= maxUnplaced {
			remaining = append(remaining, j)
			untried++
			continue
		}
		last = j
		p := c.ensurePool(j.service)
		heldBackBefore := p.heldBack()
		unplaced := c.placeJob(j, workers)
		if unplaced == 0 && p.heldBack() == heldBackBefore {
			j.queued = false
			unplacedInRow = 0
			continue
		}
		remaining = append(remaining, j)
		if unplaced == 0 || c.adviceTiming(j) != nil {
			// The job lacks isolation or room below its customer's cap, or may lack
			// permits, rather than capacity.
			continue
		}
		unplacedInRow = min(unplacedInRow+unplaced, maxUnplaced)
		if blocked != nil {
			*blocked = true
		}
	}
	if untried > 0 {
		c.logUntried(last, untried, unplacedInRow)
	}
	return remaining
}

// placeJob places as many ready tasks of a job as possible and returns how
// many found no worker, without those that wait for isolation.
func (c *Core) placeJob(j *job, workers []*worker) int {
	unplaced := 0
	for _, number := range sortedKeys(j.occurrences) {
		o := j.occurrences[number]
		for s := range o.steps {
			if o.steps[s].openTasks == 0 || !o.stepReady(&j.spec, s) {
				continue
			}
			if j.spec.Steps[s].Gang {
				unplaced += c.placeGang(j, o, s, workers)
			} else {
				unplaced += c.placeTasks(j, o, s, workers)
			}
		}
	}
	return unplaced
}

func (c *Core) placeTasks(j *job, o *occurrence, s int, workers []*worker) int {
	unplaced := 0
	if c.knownToLackRoom(j, o, s) {
		return 0
	}
	searched := c.lacksRoom(j, s)
	for t := range o.steps[s].tasks {
		tk := &o.steps[s].tasks[t]
		if tk.done || tk.current != nil {
			continue
		}
		var w *worker
		isolation := c.isolation(tk, false)
		// Workers that are held for tasks that must run alone admit no others.
		if !searched || isolation == suspect.Alone {
			w = c.chooseWorker(j, o, s, tk, workers, "")
		}
		if w == nil && !searched && isolation == suspect.Unrestricted {
			// The other tasks of the step find none either.
			searched = true
			c.noteRoom(j, s, workers)
		}
		if w == nil {
			// A lasting task has to get capacity in any case, so it holds up other
			// starts also while it waits for isolation.
			isolated := c.waitsForIsolation(j, tk)
			if isolated && !j.spec.Steps[s].Lasting {
				continue
			}
			if !isolated {
				c.ensurePool(j.service).crowded = true
			}
			unplaced++
			if unplaced >= maxUnplacedInRow {
				break
			}
			continue
		}
		if c.waitsForRoom(j, o, s) {
			break
		}
		c.recordPlacement(c.reserve(j, o, s, t, tk.lastRun+1, w))
	}
	return unplaced
}

// placeGang places all tasks of a gang under one run number, or none.
func (c *Core) placeGang(j *job, o *occurrence, s int, workers []*worker) int {
	so := &o.steps[s]
	if c.lacksRoom(j, s) {
		return so.openTasks
	}
	if c.waitsForRoom(j, o, s) {
		return 0
	}
	number := 0
	for t := range so.tasks {
		if so.tasks[t].current != nil {
			return 1
		}
		number = max(number, so.tasks[t].lastRun)
	}
	for _, rack := range c.gangRacks(j, s, workers) {
		if c.tryGang(j, o, s, number+1, rack, workers) {
			so.gangRun = number + 1
			return 0
		}
	}
	return so.openTasks
}

// chooseWorker returns the best worker for a task, or nil.
func (c *Core) chooseWorker(j *job, o *occurrence, s int, tk *task, workers []*worker, rack string) *worker {
	st := &j.spec.Steps[s]
	reservation := st.Reservation()
	isolation := c.isolation(tk, st.Gang)
	if p := c.ensurePool(j.service); isolation != suspect.Unrestricted && p.probations >= p.maxProbations && !st.Gang {
		return nil
	}
	var best *worker
	var bestScore place.Score
	needsPermit := c.adviceTiming(j) != nil
	for _, w := range workers {
		if rack != "" && w.info.Rack != rack || !w.info.hasLabel(st.Label) || !w.admits(isolation, c.now) {
			continue
		}
		free := w.info.Capacity.Sub(w.used)
		if !reservation.Fits(free) || st.MaxPerWorker > 0 && w.countStepRuns(j, o.number, s) >= st.MaxPerWorker {
			continue
		}
		if needsPermit {
			if _, ok := c.permitFor(j, o, s, w); !ok {
				continue
			}
		}
		score := place.ScoreCandidate(place.Candidate{
			FreeMilliCPU: free.MilliCPU, NeedMilliCPU: reservation.MilliCPU,
			DataLocal:  st.DataRack == "" || st.DataRack == w.info.Rack,
			FailedHere: tk.avoidWorker == w.info.ID || slices.Contains(tk.crashedOn, w.location()), WorkerFailing: w.failStreak > 0,
			Lasting: st.Lasting, HasLastingTasks: w.lastingRuns > 0, Filler: st.Filler,
			ServingTasks: w.servingRuns, FillerTasks: w.fillerRuns, TailTargetMS: st.TailTargetMS,
			Isolated: isolation != suspect.Unrestricted, Runs: len(w.runs),
		})
		if best == nil || score.Better(bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// reserve reserves a worker's resources for a task.
func (c *Core) reserve(j *job, o *occurrence, s, t, number int, w *worker) *run {
	token, _ := c.permitFor(j, o, s, w)
	r := &run{
		job: j, key: Key{j.spec.ID, o.number, s, t}, number: number, worker: w,
		phase: phasePlaced, reserved: j.spec.Steps[s].Reservation(), phaseSince: c.now, pacePercent: 100, permit: token,
	}
	tk := &o.steps[s].tasks[t]
	tk.current = r
	w.addRun(r)
	c.beginProbation(r, c.isolation(tk, j.spec.Steps[s].Gang))
	return r
}

// recordPlacement assigns the run number to the task and sends the start after
// the placement is stored.
func (c *Core) recordPlacement(r *run) {
	tk := r.task()
	tk.lastRun = r.number
	c.event(Event{Name: EventPlaced, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID,
		AgeMS: c.now - r.worker.listedAt, Detail: fmt.Sprintf("used=%d of=%d slack=%d", r.worker.used.MilliCPU, r.worker.info.Capacity.MilliCPU, r.job.deadline-c.now-r.job.remainingPathMS())})
	c.markDirty(r.job)
	c.afterCommit(func() { c.sendStart(r) })
}

// sendStart orders the start of a stored placement that is still wanted.
func (c *Core) sendStart(r *run) {
	tk := r.task()
	if tk == nil || tk.current != r || r.phase != phasePlaced || r.worker.holdStart(r) {
		return
	}
	if !c.checkStart(r) {
		c.releaseRun(r)
		return
	}
	r.phase, r.phaseSince, r.startSentAt = phaseStartSent, c.now, c.now
	r.minClockMS = r.worker.minClock(c.now)
	c.orders.Starts = append(c.orders.Starts, Start{
		Target: c.target(r.worker), RunRef: RunRef{r.key, r.number}, Payload: r.job.spec.Payload,
		LeaseUntil: c.grantLease(r.worker), Checkpoint: r.job.checkpoint(r.key), PermitToken: r.permit,
	})
}

// checkStart checks again, just before a start is sent, that it is still
// allowed.
func (c *Core) checkStart(r *run) bool {
	reason := ""
	switch {
	case c.now >= c.startsUntil || c.deposed:
		reason = "right_lapsed"
	case r.job.state.Final():
		reason = "job_final"
	case c.listStale():
		reason = "list_stale"
	case !r.worker.schedulable(c.now):
		reason = "worker_not_open"
	case !r.worker.used.Fits(r.worker.info.Capacity):
		reason = "over_capacity"
	case !c.customers.room.WithinCap(r.job.spec.Customer, r.reserved):
		reason = "over_cap"
	default:
		return true
	}
	c.event(Event{Name: EventSettled, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID, Outcome: reason})
	return false
}
