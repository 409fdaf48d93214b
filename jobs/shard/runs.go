package shard

import (
	"fmt"
	"sort"

	"wigeonwinch/jobs/spec"
)

// StartOutcome is what became of a start order.
type StartOutcome string

// The outcomes of starts. All but StartLost are certain.
const (
	StartTaken    StartOutcome = "started"
	StartFenced   StartOutcome = "newer_owner"
	StartOld      StartOutcome = "run_is_old"
	StartLate     StartOutcome = "lease_too_late"
	StartNoRoom   StartOutcome = "no_room"
	StartNoTicket StartOutcome = "no_ticket"
	StartBad      StartOutcome = "bad_order"
	StartSick     StartOutcome = "worker_unhealthy"
	StartReplaced StartOutcome = "other_incarnation"
	StartUnsent   StartOutcome = "not_sent"
	StartLost     StartOutcome = "no_answer"
)

// Started hands in the outcome of a start order.
func (c *Core) Started(now int64, s Start, out StartOutcome) {
	c.now = now
	w := c.workers[s.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{s.Key, s.Number}]
	if r == nil || w.born != s.Born {
		return
	}
	c.event(Event{Name: EventStartAnswer, Job: s.Key.Job, Run: s.RunRef, Worker: s.Worker, Outcome: string(out), AgeMS: now - r.startedAt})
	switch out {
	case StartTaken:
		if r.phase == ordered {
			r.phase, r.since = running, now
		}
		r.confirmedAt = now
		r.unproven = false
	case StartLost:
		r.unproven = true
		w.pausedUntil = now + workerPauseMS
		if r.phase == ordered {
			c.stop(r, "start_unanswered")
		}
	case StartFenced:
		c.depose(w.info.ID)
	case StartNoTicket:
		if so := r.job.stepAt(r.key); so != nil {
			delete(so.permits, w.info.ID)
		}
		c.settle(r, string(out))
	default:
		w.pausedUntil = now + workerPauseMS
		c.settle(r, string(out))
	}
}

// Stopped hands in the outcome of a stop order.
func (c *Core) Stopped(now int64, s Stop, answered, fenced bool) {
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
	if r == nil || w.born != s.Born || !answered {
		return
	}
	r.stopAnswered = now
	w.pollAt = min(w.pollAt, now)
}

// stop begins to stop a run. Its room stays taken until the worker lists its
// end or proves that it never began.
func (c *Core) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	c.event(Event{Name: EventStop, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.on.info.ID, Outcome: why})
	if r.phase == placed {
		c.release(r)
		return
	}
	r.phase = stopping
	r.on.stops++
	r.since = c.now
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	c.out.Stops = append(c.out.Stops, Stop{c.target(r.on), RunRef{r.key, r.number}})
}

// settle ends a run of which no end is listed: it certainly does not run and
// never will.
func (c *Core) settle(r *run, why string) {
	c.event(Event{Name: EventSettled, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.on.info.ID, Outcome: why, AgeMS: c.now - r.since})
	c.release(r)
}

// release frees a run's room and its task.
func (c *Core) release(r *run) {
	r.on.remove(r)
	tk := r.task()
	if tk == nil || tk.current != r {
		return
	}
	tk.current = nil
	if tk.done {
		return
	}
	if r.step().Gang {
		c.breakGang(r.job.stepOf(r.key), r.number)
	}
	c.enqueue(r.job)
}

// breakGang stops what is left of a gang's run that has lost a member.
func (c *Core) breakGang(so *step, number int) {
	for i := range so.tasks {
		if r := so.tasks[i].current; r != nil && r.number == number {
			c.stop(r, "gang_broken")
		}
	}
}

// takeEnds records a worker's new ends. They are acknowledged once stored.
func (c *Core) takeEnds(w *worker, ends []ListedEnd) {
	news := false
	for _, e := range ends {
		if e.End <= w.seen {
			continue
		}
		w.seen = e.End
		news = true
		c.takeEnd(w, e)
	}
	if !news {
		return
	}
	upto, born := w.seen, w.born
	c.afterCommit(func() {
		if w.born == born {
			w.acked = max(w.acked, upto)
			w.pollAt = c.now
		}
	})
}

func (c *Core) takeEnd(w *worker, e ListedEnd) {
	c.event(Event{Name: EventEnd, Job: e.Key.Job, Run: e.RunRef, Worker: w.info.ID, Outcome: string(e.Kind), Detail: fmt.Sprintf("end=%d", e.End)})
	r := w.runs[runID{e.Key, e.Number}]
	if r != nil {
		w.remove(r)
	}
	j := c.jobs[e.Key.Job]
	if j == nil || j.state.Final() {
		return
	}
	tk := j.task(e.Key)
	if tk == nil || tk.done || e.Number <= tk.settled {
		return
	}
	if e.Number > tk.run {
		tk.run = e.Number
	}
	tk.settled = e.Number
	if e.Checkpoint != "" {
		tk.saved = e.Checkpoint
	}
	c.touch(j)
	if tk.current != nil && (r == tk.current || tk.current.number <= e.Number) {
		tk.current.on.remove(tk.current)
		tk.current = nil
	}
	c.judgeEnd(w, j, tk, e)
}

func (c *Core) judgeEnd(w *worker, j *job, tk *task, e ListedEnd) {
	st := &j.spec.Steps[e.Key.Step]
	switch e.Kind {
	case EndDone:
		w.failStreak = 0
		if st.Lasting {
			c.enqueue(j)
			return
		}
		c.done(j, tk, e)
	case EndFailed:
		c.failed(w, j, tk, e)
	default:
		if st.Gang && tk.current == nil {
			c.breakGang(j.stepOf(e.Key), e.Number)
		}
		c.enqueue(j)
	}
}

// done marks the task, or the whole gang, as done.
func (c *Core) done(j *job, tk *task, e ListedEnd) {
	o := j.occurrences[e.Key.Occurrence]
	so := &o.steps[e.Key.Step]
	if j.spec.Steps[e.Key.Step].Gang {
		for i := range so.tasks {
			c.markDone(j, o, so, &so.tasks[i], e.Key.Step)
		}
	} else {
		c.markDone(j, o, so, tk, e.Key.Step)
	}
	if o.open == 0 {
		delete(j.occurrences, o.number)
	}
	if len(j.occurrences) == 0 && j.next >= j.rounds() {
		c.finish(j, spec.Completed)
		return
	}
	if so.open == 0 {
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
			r.on.remove(r)
			tk.current = nil
		} else {
			c.stop(r, "task_done")
		}
	}
	so.open--
	o.open--
	work := j.spec.Steps[index].Work()
	j.left -= work
	c.pool(j.service).left -= work
}

// failed counts a failed run and gives up after too many.
func (c *Core) failed(w *worker, j *job, tk *task, e ListedEnd) {
	st := &j.spec.Steps[e.Key.Step]
	w.failStreak++
	if w.failStreak >= failStreakPause {
		w.pausedUntil = max(w.pausedUntil, c.now+sickPauseMS)
	}
	tk.avoid = w.info.ID
	if st.Lasting {
		c.enqueue(j)
		return
	}
	fails := 0
	if st.Gang {
		so := j.stepOf(e.Key)
		if so.gangRun == e.Number {
			so.fails++
			so.gangRun = 0
		}
		fails = so.fails
		c.breakGang(so, e.Number)
	} else {
		tk.fails++
		fails = tk.fails
	}
	if fails >= j.maxAttempts {
		c.finish(j, spec.Failed)
		return
	}
	c.enqueue(j)
}

// A worker that fails this many runs in a row gets no starts for a while;
// after that a single failure pauses it again.
const (
	failStreakPause = 3
	sickPauseMS     = 3_000
)

// stepOf returns the step of a key that names one of the job's tasks.
func (j *job) stepOf(k Key) *step { return &j.occurrences[k.Occurrence].steps[k.Step] }

// task returns the task a key names, or nil.
func (j *job) task(k Key) *task {
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
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	return list
}

func less(a, b *run) bool {
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
