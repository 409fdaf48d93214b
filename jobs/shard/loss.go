package shard

import (
	"fmt"
	"slices"

	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// The reasons for which runs are settled without an end because their worker is
// gone.
const (
	// reasonLeaseLapsed: the worker was silent until its leases had expired.
	reasonLeaseLapsed = "lease_lapsed"
	// reasonWorkerReborn: the worker started again under its ID.
	reasonWorkerReborn = "worker_reborn"
	// reasonWorkerReplaced: another worker runs on its VM.
	reasonWorkerReplaced = "worker_replaced"
)

// WorkerGone reports whether the event says that a run ended with its worker.
func WorkerGone(e Event) bool {
	if e.Name != EventSettled {
		return false
	}
	switch e.Outcome {
	case reasonLeaseLapsed, reasonWorkerReborn, reasonWorkerReplaced:
		return true
	}
	return false
}

// lossEvidence says what is known about the end of a worker.
type lossEvidence string

const (
	// lossHarmless: the worker left as planned, or was only cut off.
	lossHarmless lossEvidence = "no_crash"
	// lossUnseen: the worker is gone and nobody saw how.
	lossUnseen lossEvidence = "unseen"
	// lossCrash: the worker's process ended unannounced.
	lossCrash lossEvidence = "crash"
)

// silenceEvidence returns the evidence about a worker whose leases expired while
// it was silent.
func (w *worker) silenceEvidence() lossEvidence {
	switch {
	case w.info.Draining:
		return lossHarmless
	case w.connectionLost:
		return lossCrash
	case !w.listed && !w.reached:
		return lossUnseen
	}
	return lossHarmless
}

// successorEvidence returns the evidence about a worker of which a later life is
// known.
func (w *worker) successorEvidence() lossEvidence {
	switch {
	case w.info.Draining:
		return lossHarmless
	case w.reached:
		return lossCrash
	}
	return lossUnseen
}

// loseWorker settles all runs of a worker that is gone, and gives up the tasks
// that are found to have crashed it.
func (c *Core) loseWorker(w *worker, reason string, evidence lossEvidence) {
	runs := sortedRuns(w)
	if len(runs) == 0 {
		return
	}
	c.logLoss(w, reason, evidence, len(runs))
	assessed := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.doubt != nil })
	guilty := c.assessLoss(w, assessed, evidence, reason == reasonLeaseLapsed)
	for _, r := range runs {
		c.settleRun(r, reason)
	}
	for _, r := range guilty {
		c.giveUp(r)
	}
}

func (c *Core) logLoss(w *worker, reason string, evidence lossEvidence, runs int) {
	until, source := w.longestLease()
	c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "lost", Detail: fmt.Sprintf("cause=%s evidence=%s runs=%d reached=%v listed=%v lease_of=%s lease_left_ms=%d takeover_age_ms=%d",
		reason, evidence, runs, w.reached, w.listed, source, until-c.now, c.now-c.takeoverAt)})
}

// assessLoss updates the histories of the tasks on a lost worker and returns
// the runs whose tasks are to be given up. The verdicts on runs in doubt wait until
// these are settled. refutable reports whether the worker may answer again.
func (c *Core) assessLoss(w *worker, runs []*run, evidence lossEvidence, refutable bool) []*run {
	if evidence == lossHarmless {
		return nil
	}
	lostAt := w.contactLostAt
	if lostAt == 0 {
		lostAt = c.now
	}
	loss := suspect.Loss{Crashed: evidence == lossCrash, Refutable: refutable}
	var started []*run
	for _, r := range runs {
		if r.phase == phasePlaced {
			continue
		}
		started = append(started, r)
		history := suspect.History{}
		if tk := r.task(); tk != nil {
			history = tk.history
		}
		loss.Runs = append(loss.Runs, suspect.Run{History: history, Unproved: r.job.unproved(r.key, c.now), AgeMS: r.ageMS(lostAt)})
	}
	var guilty []*run
	for i, v := range suspect.Assess(loss) {
		r := started[i]
		if r.doubt != nil {
			r.doubt.verdict = v
			continue
		}
		if c.applyVerdict(r, v) {
			guilty = append(guilty, r)
		}
		added := v.History.Without(loss.Runs[i].History)
		if refutable && added.Crashes > 0 && r.isCurrent() {
			l := c.openLossOf(lossID{w.info.ID, w.incarnation}, w.info.VM)
			c.addLossPart(r.job, lossPart{loss: l, key: r.key, added: added, alone: v.Alone})
		}
	}
	return guilty
}

// applyVerdict stores a verdict with the run's task and reports whether the task
// is to be given up.
func (c *Core) applyVerdict(r *run, v suspect.Verdict) bool {
	if !r.isCurrent() {
		return false
	}
	tk := r.task()
	if v.History == (suspect.History{}) {
		c.dropLossPartsOf(r.job, r.key)
	}
	if v.History.Crashes > tk.history.Crashes {
		tk.suspectedAt = c.now
		tk.crashedOn = append(tk.crashedOn, r.worker.location())
		if v.History.Suspicions > tk.history.Suspicions {
			c.event(Event{Name: EventSuspected, Job: r.key.Job, Run: RunRef{r.key, r.number}, Worker: r.worker.info.ID,
				Detail: fmt.Sprintf("crashes=%d suspicions=%d", v.History.Crashes, v.History.Suspicions)})
		}
	}
	if v.History != tk.history {
		tk.history = v.History
		c.markDirty(r.job)
	}
	return v.GiveUp
}

// isCurrent reports whether the run is the one of its task, which is not done.
func (r *run) isCurrent() bool {
	tk := r.task()
	return tk != nil && tk.current == r && !tk.done
}

// giveUp fails the job of a task that crashes its workers.
func (c *Core) giveUp(r *run) { c.giveUpTask(r.job, RunRef{r.key, r.number}, r.worker.info.ID) }

func (c *Core) giveUpTask(j *job, last RunRef, worker string) {
	if j.state.Final() {
		return
	}
	c.event(Event{Name: EventGivenUp, Job: j.spec.ID, Run: last, Worker: worker,
		Detail: fmt.Sprintf("crashes=%d", j.findTask(last.Key).history.Crashes)})
	c.finishJob(j, spec.Failed)
}

// ageMS returns how old the run was at a time. A run that an earlier owner
// started is as old as this owner has seen it, 0 if it has not.
func (r *run) ageMS(at int64) int64 {
	switch {
	case r.startSentAt != 0:
		return max(at-r.startSentAt, 0)
	case r.confirmedAt != 0:
		return max(at-r.phaseSince, 0)
	}
	return 0
}

// location names the VM of the worker, as far as it is known.
func (w *worker) location() string {
	if w.info.VM != "" {
		return w.info.VM
	}
	return w.info.ID
}

// replaceSilentWorkers settles the runs of workers that do not answer and on
// whose VM a later worker is listed: a worker is one life of its VM.
func (c *Core) replaceSilentWorkers() {
	if !slices.ContainsFunc(c.sortedWorkers(), (*worker).awaitsSuccessor) {
		return
	}
	newest := map[string]*worker{}
	for _, w := range c.sortedWorkers() {
		if w.listed && w.info.VM != "" && (newest[w.info.VM] == nil || w.incarnation > newest[w.info.VM].incarnation) {
			newest[w.info.VM] = w
		}
	}
	for _, w := range c.sortedWorkers() {
		next := newest[w.info.VM]
		if w.awaitsSuccessor() && next != nil && next.incarnation > w.incarnation && next.firstListedAt >= w.firstListedAt {
			c.loseWorker(w, reasonWorkerReplaced, w.successorEvidence())
		}
	}
}

// awaitsSuccessor reports whether the worker has runs and does not answer.
func (w *worker) awaitsSuccessor() bool {
	return len(w.runs) > 0 && w.info.VM != "" && (w.failedPolls > 0 || !w.reached)
}
