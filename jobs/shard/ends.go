package shard

import (
	"fmt"

	"wigeonwinch/jobs/spec"
)

// recordEnds records a worker's new ends. They are acknowledged after they are
// stored.
func (c *Core) recordEnds(w *worker, ends []ListedEnd) {
	hasNew := false
	for _, e := range ends {
		if e.End <= w.seenEnd {
			continue
		}
		if w.countsEnds && e.End != w.seenEnd+1 {
			c.event(Event{Name: EventEndsMissing, Worker: w.info.ID, Detail: fmt.Sprintf("born=%d expected=%d listed=%d named_end=%d", w.incarnation, w.seenEnd+1, e.End, w.namedEnd)})
		}
		w.seenEnd, w.countsEnds = e.End, true
		hasNew = true
		c.recordEnd(w, e)
	}
	if !hasNew {
		return
	}
	w.acks.seenAt = c.now
	upto, incarnation := w.seenEnd, w.incarnation
	c.afterCommit(func() {
		if w.incarnation == incarnation {
			w.ackedEnd = max(w.ackedEnd, upto)
			w.nextPollAt = c.now
		}
	})
}

func (c *Core) recordEnd(w *worker, e ListedEnd) {
	r := w.runs[runID{e.Key, e.Number}]
	detail := fmt.Sprintf("end=%d", e.End) + r.runDetail(c.now)
	j, tk, ignored := c.findEnded(e)
	if ignored != "" {
		detail += " ignored=" + ignored
	}
	c.event(Event{Name: EventEnd, Job: e.Key.Job, Run: e.RunRef, Worker: w.info.ID, Outcome: string(e.Kind), Detail: detail})
	if r != nil {
		w.removeRun(r)
	}
	if ignored != "" {
		return
	}
	c.recordBegun(j)
	if e.Number > tk.lastRun {
		tk.lastRun = e.Number
	}
	tk.lastEnded = max(tk.lastEnded, e.Number)
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

// findEnded returns the job and the task of an end, or why the end changes nothing.
func (c *Core) findEnded(e ListedEnd) (j *job, tk *task, ignored string) {
	j = c.jobs[e.Key.Job]
	if j == nil {
		return nil, nil, "job_unknown"
	}
	if j.state.Final() {
		return j, nil, "job_final"
	}
	tk = j.findTask(e.Key)
	switch {
	case tk == nil:
		return j, nil, "task_unknown"
	case tk.done:
		return j, tk, "task_done"
	case e.Number <= tk.lastEnded && !j.completes(e):
		return j, tk, "later_run_ended"
	}
	return j, tk, ""
}

// completes reports whether the end completes its task, whatever became of later runs. A
// later run of a gang may still be at work on workers that do not list this end.
func (j *job) completes(e ListedEnd) bool {
	st := &j.spec.Steps[e.Key.Step]
	return e.Kind == EndDone && !st.Lasting && !st.Gang
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
