package shard

import (
	"fmt"
	"sort"

	"wigeonwinch/jobs/place"
	"wigeonwinch/jobs/spec"
)

// The scheduler's bounds.
const (
	// maxMisfits ends a pass after so many tasks in a row found no room.
	maxMisfits = 24
	// blockMS is how long a lasting task without room may hold back the
	// starts of other tasks: a few run times of short tasks.
	blockMS = 2_500
	// lateShare is the share of its estimated chain that a job needs at least;
	// estimates are off by half.
	lateShare = 0.5
)

// enqueue lists a job among those with tasks to start.
func (c *Core) enqueue(j *job) {
	if j.queued || j.state.Final() {
		return
	}
	j.queued = true
	p := c.pool(j.service)
	if j.spec.Lasts() {
		p.lasting = append(p.lasting, j)
		return
	}
	p.queue = append(p.queue, j)
}

// schedule places the tasks that can be started now.
func (c *Core) schedule() {
	if c.now >= c.startsUntil || c.deposed || c.storeDown {
		return
	}
	for _, name := range sortedKeys(c.pools) {
		c.schedulePool(c.pools[name])
	}
}

func (c *Core) schedulePool(p *pool) {
	workers := c.openWorkers(p.service)
	if len(workers) == 0 {
		return
	}
	blocked := false
	p.lasting = c.pass(p.lasting, workers, &blocked)
	if !blocked {
		p.blockedSince = 0
	} else if p.blockedSince == 0 {
		p.blockedSince = c.now
	}
	if blocked && c.now-p.blockedSince < blockMS {
		return
	}
	c.order(p.queue)
	p.queue = c.pass(p.queue, workers, nil)
}

func (c *Core) openWorkers(service string) []*worker {
	var list []*worker
	for _, w := range c.sortedWorkers() {
		if w.info.Service == service && w.open(c.now) {
			list = append(list, w)
		}
	}
	return list
}

// order sorts jobs by priority, then those that can still be in time by the
// least work left, then the others by arrival.
func (c *Core) order(jobs []*job) {
	type rank struct {
		late bool
		key  int64
	}
	ranks := make(map[*job]rank, len(jobs))
	for _, j := range jobs {
		late, key := c.rank(j)
		ranks[j] = rank{late, key}
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		rx, ry := ranks[x], ranks[y]
		if rx.late != ry.late {
			return ry.late
		}
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		if rx.key != ry.key {
			return rx.key < ry.key
		}
		return x.spec.ID < y.spec.ID
	})
}

// rank returns a job's place among those of its priority: those in time come
// first, then the lower key.
func (c *Core) rank(j *job) (late bool, key int64) {
	switch c.cfg.Policy.Order {
	case OrderArrival:
		return false, j.firstSeen
	case OrderShortest:
		return false, j.spec.ChainMS(nil)
	}
	chain := j.chainLeftMS()
	if c.now+int64(lateShare*float64(chain)) > j.deadline {
		return true, j.firstSeen
	}
	return false, j.left
}

// pass tries to place the jobs' tasks in order and returns the jobs that
// still have tasks to start.
func (c *Core) pass(jobs []*job, workers []*worker, blocked *bool) []*job {
	left := jobs[:0]
	misfits := 0
	for _, j := range jobs {
		if j.state.Final() {
			j.queued = false
			continue
		}
		if misfits >= maxMisfits {
			left = append(left, j)
			continue
		}
		missed := c.placeJob(j, workers)
		if missed == 0 {
			j.queued = false
			misfits = 0
			continue
		}
		left = append(left, j)
		if c.queues[j.spec.Queue].Advice != nil {
			// It may lack permits rather than room.
			continue
		}
		misfits += missed
		if blocked != nil {
			*blocked = true
		}
	}
	return left
}

// placeJob places what it can of a job's ready tasks and returns how many
// found no room.
func (c *Core) placeJob(j *job, workers []*worker) int {
	missed := 0
	for _, number := range sortedKeys(j.occurrences) {
		o := j.occurrences[number]
		for s := range o.steps {
			if o.steps[s].open == 0 || !o.ready(&j.spec, s) {
				continue
			}
			if j.spec.Steps[s].Gang {
				missed += c.placeGang(j, o, s, workers)
			} else {
				missed += c.placeTasks(j, o, s, workers)
			}
		}
	}
	return missed
}

func (c *Core) placeTasks(j *job, o *occurrence, s int, workers []*worker) int {
	missed := 0
	for t := range o.steps[s].tasks {
		tk := &o.steps[s].tasks[t]
		if tk.done || tk.current != nil {
			continue
		}
		w := c.choose(j, o, s, tk, workers, "")
		if w == nil {
			missed++
			if missed >= maxMisfits {
				break
			}
			continue
		}
		c.commitPlacement(c.reserve(j, o, s, t, tk.run+1, w))
	}
	return missed
}

// placeGang places all tasks of a gang under one run number, or none.
func (c *Core) placeGang(j *job, o *occurrence, s int, workers []*worker) int {
	so := &o.steps[s]
	number := 0
	for t := range so.tasks {
		if so.tasks[t].current != nil {
			return 1
		}
		number = max(number, so.tasks[t].run)
	}
	for _, rack := range c.gangRacks(j, s, workers) {
		if c.tryGang(j, o, s, number+1, rack, workers) {
			so.gangRun = number + 1
			return 0
		}
	}
	return so.open
}

// gangRacks lists the racks to try in turn; the empty name means any.
func (c *Core) gangRacks(j *job, s int, workers []*worker) []string {
	if !j.spec.Steps[s].OneRack {
		return []string{""}
	}
	racks := map[string]bool{}
	for _, w := range workers {
		racks[w.info.Rack] = true
	}
	return append(sortedKeys(racks), "")
}

func (c *Core) tryGang(j *job, o *occurrence, s, number int, rack string, workers []*worker) bool {
	var members []*run
	for t := range o.steps[s].tasks {
		w := c.choose(j, o, s, &o.steps[s].tasks[t], workers, rack)
		if w == nil {
			for _, r := range members {
				r.on.remove(r)
				r.task().current = nil
			}
			return false
		}
		members = append(members, c.reserve(j, o, s, t, number, w))
	}
	for _, r := range members {
		c.commitPlacement(r)
	}
	return true
}

// choose picks a worker for a task, or nil.
func (c *Core) choose(j *job, o *occurrence, s int, tk *task, workers []*worker, rack string) *worker {
	st := &j.spec.Steps[s]
	room := st.Room()
	var best *worker
	var bestScore place.Score
	for _, w := range workers {
		if rack != "" && w.info.Rack != rack || !w.info.hasLabel(st.Label) {
			continue
		}
		free := w.info.Capacity.Sub(w.used)
		if !room.Fits(free) || st.MaxPerWorker > 0 && w.ofStep(j, o.number, s) >= st.MaxPerWorker {
			continue
		}
		if _, ok := c.permitFor(j, o, s, w); !ok {
			continue
		}
		score := place.Rate(place.Candidate{
			FreeMilliCPU: free.MilliCPU, NeedMilliCPU: room.MilliCPU,
			NearData: st.DataRack == "" || st.DataRack == w.info.Rack,
			Avoid:    tk.avoid == w.info.ID, Failing: w.failStreak > 0,
			Lasting: st.Lasting, HasLasting: w.lasting > 0, Filler: st.Filler,
			Serving: w.serving, Fillers: w.fillers, MinTarget: st.TailTargetMS,
		})
		if best == nil || score.Better(bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

func (w *worker) ofStep(j *job, occurrence, step int) int {
	n := 0
	for id := range w.runs {
		if id.key.Job == j.spec.ID && id.key.Occurrence == occurrence && id.key.Step == step {
			n++
		}
	}
	return n
}

// reserve takes the room of a task on a worker.
func (c *Core) reserve(j *job, o *occurrence, s, t, number int, w *worker) *run {
	ticket, _ := c.permitFor(j, o, s, w)
	r := &run{
		job: j, key: Key{j.spec.ID, o.number, s, t}, number: number, on: w,
		phase: placed, room: j.spec.Steps[s].Room(), since: c.now, share: 100, ticket: ticket,
	}
	o.steps[s].tasks[t].current = r
	w.add(r)
	return r
}

// commitPlacement gives the run its number and orders its start once the
// placement is stored.
func (c *Core) commitPlacement(r *run) {
	tk := r.task()
	tk.run = r.number
	c.event(Event{Name: EventPlaced, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.on.info.ID,
		AgeMS: c.now - r.on.listedAt, Detail: fmt.Sprintf("used=%d of=%d slack=%d", r.on.used.MilliCPU, r.on.info.Capacity.MilliCPU, r.job.deadline-c.now-r.job.chainLeftMS())})
	if !r.job.begun {
		r.job.begun = true
		r.job.state = spec.Running
	}
	c.touch(r.job)
	c.afterCommit(func() { c.orderStart(r) })
}

// orderStart sends the start of a stored placement, unless it was given up.
func (c *Core) orderStart(r *run) {
	tk := r.task()
	if tk == nil || tk.current != r || r.phase != placed {
		return
	}
	if !c.guard(r) {
		c.release(r)
		return
	}
	r.phase, r.since, r.startedAt = ordered, c.now, c.now
	c.out.Starts = append(c.out.Starts, Start{
		Target: c.target(r.on), RunRef: RunRef{r.key, r.number}, Payload: r.job.spec.Payload,
		LeaseUntil: c.lease(r.on), Checkpoint: tk.saved, Ticket: r.ticket,
	})
}

// guard checks the rules of a start once more just before it is ordered.
func (c *Core) guard(r *run) bool {
	reason := ""
	switch {
	case c.now >= c.startsUntil || c.deposed:
		reason = "right_lapsed"
	case r.job.state.Final():
		reason = "job_final"
	case !r.on.open(c.now):
		reason = "worker_not_open"
	case !r.on.used.Fits(r.on.info.Capacity):
		reason = "over_capacity"
	default:
		return true
	}
	name := EventSettled
	if reason == "over_capacity" {
		name = EventInvariant
	}
	c.event(Event{Name: name, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.on.info.ID, Outcome: reason})
	return false
}
