package shard

import (
	"fmt"
	"sort"

	"wigeonwinch/jobs/spec"
)

// StartOutcome is the result of a start order.
type StartOutcome string

// The outcomes of starts. All except StartUnanswered are definite.
const (
	StartAccepted        StartOutcome = "started"
	StartFenced          StartOutcome = "newer_owner"
	StartStaleRun        StartOutcome = "run_is_old"
	StartLeaseExpired    StartOutcome = "lease_too_late"
	StartNoCapacity      StartOutcome = "no_room"
	StartNoPermit        StartOutcome = "no_ticket"
	StartInvalid         StartOutcome = "bad_order"
	StartWorkerUnhealthy StartOutcome = "worker_unhealthy"
	StartReplaced        StartOutcome = "other_incarnation"
	StartNotSent         StartOutcome = "not_sent"
	StartUnanswered      StartOutcome = "no_answer"
)

// StartResult is the result of a start order.
type StartResult struct {
	Outcome StartOutcome
	// ClockMS is the worker's clock in its answer; 0 if there is none.
	ClockMS int64
}

// HandleStartResult applies the result of a start order.
func (c *Core) HandleStartResult(now int64, s Start, result StartResult) {
	c.now = now
	outcome := result.Outcome
	w := c.workers[s.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{s.Key, s.Number}]
	if r == nil || w.incarnation != s.Incarnation && r.doubt == nil {
		return
	}
	c.event(Event{Name: EventStartAnswer, Job: s.Key.Job, Run: s.RunRef, Worker: s.Worker, Outcome: string(outcome), AgeMS: now - r.startSentAt,
		Detail: fmt.Sprintf("clock_ms=%d at_least_ms=%d", result.ClockMS, r.minClockMS)})
	by := r.answeredBy(result)
	if by == laterIncarnation && w.incarnation == s.Incarnation {
		c.doubtIncarnation(w)
	}
	switch outcome {
	case StartAccepted:
		c.acceptStart(w, s, r, by, result.ClockMS)
	case StartUnanswered:
		r.unconfirmed = true
		c.noteLostCall()
		c.pauseUnanswered(w, r)
		if r.phase == phaseStartSent {
			c.stopRun(r, "start_unanswered")
		}
	case StartFenced:
		c.depose(w.info.ID)
	case StartNoPermit:
		c.rejectPermit(r)
		c.rejectRun(r, outcome)
	default:
		w.backoffUntil = now + workerBackoffMS
		c.rejectRun(r, outcome)
	}
}

// rejectRun settles a run that the worker has not started. It was not lost with an
// earlier incarnation.
func (c *Core) rejectRun(r *run, outcome StartOutcome) {
	r.doubt = nil
	c.settleRun(r, string(outcome))
}

// acceptStart records that a worker has accepted a start.
func (c *Core) acceptStart(w *worker, s Start, r *run, by incarnationKind, clockMS int64) {
	c.recordBegun(r.job)
	if s.Checkpoint == "" {
		r.startClockMS = clockMS
	}
	if by == targetIncarnation && w.incarnation != s.Incarnation {
		c.settleRun(r, reasonWorkerReborn)
		return
	}
	r.accepted = by
	if r.phase == phaseStartSent {
		r.phase, r.phaseSince = phaseRunning, c.now
	}
	r.confirmedAt = c.now
	r.unconfirmed = false
}

// recordBegun records that a worker has begun a task of the job: it has accepted a start,
// or lists a run or its end. A placement doesn't begin a job, as its start may be refused
// or never be sent.
func (c *Core) recordBegun(j *job) {
	if j.begun || j.state.Final() {
		return
	}
	j.begun = true
	j.state = spec.Running
	c.markDirty(j)
}

// HandleStopResult applies the result of a stop order.
func (c *Core) HandleStopResult(now int64, s Stop, answered, fenced bool) {
	c.now = now
	w := c.workers[s.Worker]
	if w == nil {
		return
	}
	if fenced {
		c.depose(w.info.ID)
		return
	}
	r := w.runs[runID{s.Key, s.Number}]
	if r == nil || w.incarnation != s.Incarnation || !answered {
		return
	}
	r.stopAnsweredAt = now
	w.nextPollAt = min(w.nextPollAt, now)
}

// stopRun begins to stop a run. Its resources stay reserved until the worker
// reports its end or proves that it never started.
func (c *Core) stopRun(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	c.event(Event{Name: EventStop, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID, Outcome: reason})
	if r.phase == phasePlaced {
		c.releaseRun(r)
		return
	}
	r.phase = phaseStopping
	r.worker.stoppingRuns++
	r.phaseSince = c.now
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now
	c.orders.Stops = append(c.orders.Stops, Stop{c.target(r.worker), RunRef{r.key, r.number}})
}

// settleRun discards a run without a reported end that certainly does not run
// and never will.
func (c *Core) settleRun(r *run, reason string) {
	e := Event{Name: EventSettled, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID, Outcome: reason, AgeMS: c.now - r.phaseSince}
	if r.startSentAt == 0 && r.phase != phasePlaced {
		e.Detail = "started_by=earlier_owner"
	} else if lostAt := r.worker.contactLostAt; lostAt != 0 && r.startSentAt != 0 {
		e.Detail = fmt.Sprintf("start_to_loss_ms=%d listed=%v", lostAt-r.startSentAt, r.worker.listed)
	}
	c.event(e)
	guilty := false
	if r.doubt != nil {
		guilty = c.applyVerdict(r, r.doubt.verdict)
		c.markDirty(r.job)
	}
	c.releaseRun(r)
	if guilty {
		c.giveUp(r)
	}
}

// releaseRun frees the run's resources and its task.
func (c *Core) releaseRun(r *run) {
	r.worker.removeRun(r)
	tk := r.task()
	if tk == nil || tk.current != r {
		return
	}
	tk.current = nil
	if tk.done {
		return
	}
	if r.step().Gang {
		c.stopGang(r.job.step(r.key), r.number)
	}
	c.enqueue(r.job)
}

// stopGang stops the remaining members of a gang run that has lost one.
func (c *Core) stopGang(so *step, number int) {
	for i := range so.tasks {
		if r := so.tasks[i].current; r != nil && r.number == number {
			c.stopRun(r, "gang_broken")
		}
	}
}

// recordEnds records a worker's new ends. They are acknowledged after they are
// stored.
func (c *Core) recordEnds(w *worker, ends []ListedEnd) {
	hasNew := false
	for _, e := range ends {
		if e.End <= w.seenEnd {
			continue
		}
		w.seenEnd = e.End
		hasNew = true
		c.recordEnd(w, e)
	}
	if !hasNew {
		return
	}
	upto, incarnation := w.seenEnd, w.incarnation
	c.afterCommit(func() {
		if w.incarnation == incarnation {
			w.ackedEnd = max(w.ackedEnd, upto)
			w.nextPollAt = c.now
		}
	})
}

func (c *Core) recordEnd(w *worker, e ListedEnd) {
	c.event(Event{Name: EventEnd, Job: e.Key.Job, Run: e.RunRef, Worker: w.info.ID, Outcome: string(e.Kind), Detail: fmt.Sprintf("end=%d", e.End) + w.runs[runID{e.Key, e.Number}].runDetail(c.now)})
	r := w.runs[runID{e.Key, e.Number}]
	if r != nil {
		w.removeRun(r)
	}
	j := c.jobs[e.Key.Job]
	if j == nil || j.state.Final() {
		return
	}
	tk := j.findTask(e.Key)
	if tk == nil || tk.done || e.Number <= tk.lastEnded {
		return
	}
	c.recordBegun(j)
	if e.Number > tk.lastRun {
		tk.lastRun = e.Number
	}
	tk.lastEnded = e.Number
	if e.Checkpoint != "" {
		j.saveCheckpoint(e.Key, e.Checkpoint)
	}
	c.markDirty(j)
	c.noteRunTime(j, r, e)
	if tk.current != nil && (r == tk.current || tk.current.number <= e.Number) {
		tk.current.worker.removeRun(tk.current)
		tk.current = nil
	}
	c.applyEnd(w, j, tk, e)
}

func (c *Core) applyEnd(w *worker, j *job, tk *task, e ListedEnd) {
	st := &j.spec.Steps[e.Key.Step]
	switch e.Kind {
	case EndDone:
		w.failStreak = 0
		if st.Lasting {
			c.enqueue(j)
			return
		}
		c.completeTask(j, tk, e)
	case EndFailed:
		c.failTask(w, j, tk, e)
	default:
		if st.Gang && tk.current == nil {
			c.stopGang(j.step(e.Key), e.Number)
		}
		c.enqueue(j)
	}
}

// completeTask marks the task, or its whole gang, as done.
func (c *Core) completeTask(j *job, tk *task, e ListedEnd) {
	o := j.occurrences[e.Key.Occurrence]
	so := &o.steps[e.Key.Step]
	if j.spec.Steps[e.Key.Step].Gang {
		for i := range so.tasks {
			c.markDone(j, o, so, &so.tasks[i], e.Key.Step)
		}
	} else {
		c.markDone(j, o, so, tk, e.Key.Step)
	}
	if o.openTasks == 0 {
		delete(j.occurrences, o.number)
		c.holdState(j)
	}
	if len(j.occurrences) == 0 && j.nextOccurrence >= j.occurrenceCount() {
		c.finishJob(j, spec.Completed)
		return
	}
	if so.openTasks == 0 {
		c.enqueue(j)
	}
}

func (c *Core) markDone(j *job, o *occurrence, so *step, tk *task, index int) {
	if tk.done {
		return
	}
	tk.done = true
	if r := tk.current; r != nil {
		if j.spec.Steps[index].Gang {
			r.worker.removeRun(r)
			tk.current = nil
		} else {
			c.stopRun(r, "task_done")
		}
	}
	so.openTasks--
	o.openTasks--
	work := j.stepWork(index)
	j.remainingWork -= work
	c.ensurePool(j.service).remainingWork -= work
	c.learnFrom(j, so, index)
}

// failTask counts a failed run and fails the job after too many.
func (c *Core) failTask(w *worker, j *job, tk *task, e ListedEnd) {
	st := &j.spec.Steps[e.Key.Step]
	w.failStreak++
	if w.failStreak >= maxFailStreak {
		w.backoffUntil = max(w.backoffUntil, c.now+failingWorkerBackoffMS)
	}
	tk.avoidWorker = w.info.ID
	if st.Lasting {
		c.enqueue(j)
		return
	}
	failures := 0
	if st.Gang {
		so := j.step(e.Key)
		if so.gangRun == e.Number {
			so.failures++
			so.gangRun = 0
		}
		failures = so.failures
		c.stopGang(so, e.Number)
	} else {
		tk.failures++
		failures = tk.failures
	}
	if failures >= j.maxAttempts {
		c.finishJob(j, spec.Failed)
		return
	}
	c.enqueue(j)
}

// A worker with maxFailStreak failed runs in a row gets no starts for
// failingWorkerBackoffMS; after that a single failure pauses it again.
const (
	maxFailStreak          = 3
	failingWorkerBackoffMS = 3_000
)

// step returns the step of a key, which must identify one of the job's tasks.
func (j *job) step(k Key) *step { return &j.occurrences[k.Occurrence].steps[k.Step] }

// findTask returns the task of a key, or nil.
func (j *job) findTask(k Key) *task {
	o := j.occurrences[k.Occurrence]
	if o == nil || k.Step < 0 || k.Step >= len(o.steps) || k.Index < 0 || k.Index >= len(o.steps[k.Step].tasks) {
		return nil
	}
	return &o.steps[k.Step].tasks[k.Index]
}

func sortedRuns(w *worker) []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return lessRun(list[i], list[j]) })
	return list
}

func lessRun(a, b *run) bool {
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	if a.key.Occurrence != b.key.Occurrence {
		return a.key.Occurrence < b.key.Occurrence
	}
	if a.key.Step != b.key.Step {
		return a.key.Step < b.key.Step
	}
	if a.key.Index != b.key.Index {
		return a.key.Index < b.key.Index
	}
	return a.number < b.number
}
