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
		if c.isOutdated(w, s.Target) {
			c.rejectRun(r, outcome)
			break
		}
		c.depose(w.info.ID)
	case StartNoPermit:
		c.rejectPermit(r)
		c.rejectRun(r, outcome)
	default:
		w.backoffUntil = now + workerBackoffMS
		c.rejectRun(r, outcome)
	}
	c.resumeAck(w)
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
	r := w.runs[runID{s.Key, s.Number}]
	if fenced && c.isOutdated(w, s.Target) {
		if r != nil && r.phase == phaseStopping {
			c.sendStop(r)
		}
		return
	}
	if fenced {
		c.depose(w.info.ID)
		return
	}
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
	e := Event{Name: EventSettled, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID, Outcome: reason, AgeMS: c.now - r.phaseSince,
		Detail: fmt.Sprintf("seen_end=%d named_end=%d", r.worker.seenEnd, r.worker.namedEnd)}
	if r.startSentAt == 0 && r.phase != phasePlaced {
		e.Detail += " started_by=earlier_owner"
	} else if lostAt := r.worker.contactLostAt; lostAt != 0 && r.startSentAt != 0 {
		e.Detail += fmt.Sprintf(" start_to_loss_ms=%d listed=%v", lostAt-r.startSentAt, r.worker.listed)
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
