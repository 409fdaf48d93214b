package shard

import (
	"fmt"

	"wigeonwinch/jobs/overdue"
)

// pollWorkers orders the next poll of each worker that is due.
func (c *Core) pollWorkers() {
	for _, w := range c.sortedWorkers() {
		if !w.listed && len(w.runs) == 0 && len(w.strays) == 0 && !w.pollInFlight {
			c.forgetWorker(w)
			continue
		}
		if w.pollInFlight {
			c.checkAck(w)
			c.checkPoll(w)
			continue
		}
		if c.now < w.nextPollAt || w.seenEnd > w.ackedEnd || w.info.Address == "" {
			continue
		}
		ackDue, mayAck := w.ackDue(), !w.mayHoldOtherRuns()
		if ackDue && !mayAck && c.pauseAck(w) {
			continue
		}
		w.pollInFlight, w.watch.orderedAt = true, c.now
		p := Poll{Target: c.target(w)}
		if w.reached {
			p.WaitMS = pollWaitMS
		}
		if w.reached && w.failedPolls == 0 && !w.inDoubt() {
			// The lease of a worker that does not answer must be able to
			// expire.
			p.LeaseUntil = c.grantLease(w)
		}
		if w.reached && w.servingRuns > 0 && w.fillerRuns > 0 {
			p.WaitMS = sharedPollWaitMS
		}
		if c.needsPollNow(w) || w.failedPolls > 0 && c.losesCalls() {
			p.WaitMS = 0
		}
		if ackDue {
			p.WaitMS = 0
		}
		if ackDue && mayAck {
			c.nameEnds(w, &p)
		}
		c.orders.Polls = append(c.orders.Polls, p)
	}
}

// needsPollNow reports whether the worker's lists are needed at once to settle
// a run.
func (c *Core) needsPollNow(w *worker) bool {
	if len(w.strays) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.phase == phaseStopping || r.unconfirmed || r.doubt != nil {
			return true
		}
	}
	return false
}

// ListedRun is a running task as reported by a worker.
type ListedRun struct {
	RunRef
	Checkpoint string
	// Percent is the pace of the run; 100 once a lasting task serves.
	Percent int
	// Metric is the tail latency in milliseconds of a serving task, else the
	// CPU use in milli-CPU.
	Metric int
}

// EndKind is how a run ended.
type EndKind string

// ListedEnd is the end of a run as reported by a worker.
type ListedEnd struct {
	// End is the sequence number of the end on this worker.
	End int
	RunRef
	Kind       EndKind
	Checkpoint string
}

// PollResponse is a worker's answer to a poll.
type PollResponse struct {
	ClockMS     int64
	Incarnation int64
	Running     []ListedRun
	Ended       []ListedEnd
}

// PollError is the reason why a poll failed.
type PollError string

// HandlePollError records a failed poll. sentAt is when the poll was sent.
func (c *Core) HandlePollError(now, sentAt int64, t Target, reason PollError) {
	c.now = now
	w := c.workers[t.Worker]
	if w == nil || w.incarnation != t.Incarnation {
		return
	}
	c.losePoll(w, sentAt, reason)
	if w.watch.replaced(sentAt) {
		return
	}
	w.watch.checking = false
	if reason == PollFenced && c.isOutdated(w, t) {
		w.pollInFlight, w.nextPollAt = false, now
		return
	}
	if reason.unanswered() {
		c.noteLostCall()
	}
	w.pollInFlight = false
	w.nextPollAt = now + pollRetryMS
	w.failedPolls++
	if w.contactLostAt == 0 {
		w.contactLostAt = now
	}
	if reason == PollConnectionClosed || reason == PollConnectionRejected {
		w.connectionLost = true
	}
	if reason == PollFenced {
		c.depose(w.info.ID)
	}
	if reason == PollReplaced {
		w.backoffUntil = now + workerBackoffMS
	}
	if w.failedPolls <= 2 {
		c.event(Event{Name: EventPollFailed, Worker: w.info.ID, Outcome: string(reason), Detail: fmt.Sprintf("in_a_row=%d runs=%d named_end=%d", w.failedPolls, len(w.runs), w.namedEnd), AgeMS: now - w.listedAt})
	}
}

func (c *Core) depose(worker string) {
	if !c.deposed {
		c.event(Event{Name: EventDeposed, Worker: worker, Detail: fmt.Sprintf("epoch=%d", c.cfg.Epoch)})
	}
	c.deposed = true
}

// HandlePollResponse applies a worker's answer. sentAt is when the poll was
// sent.
func (c *Core) HandlePollResponse(now, sentAt int64, t Target, l PollResponse) {
	c.now = now
	w := c.workers[t.Worker]
	if w == nil {
		return
	}
	if t.Incarnation == w.incarnation && !w.watch.replaced(sentAt) {
		w.pollInFlight, w.watch.checking = false, false
	}
	if l.Incarnation > w.incarnation {
		c.resetIncarnation(w, l.Incarnation)
		return
	}
	if l.Incarnation < w.incarnation {
		return
	}
	c.refuteLoss(w, sentAt)
	w.clockMS, w.clockReadAt = l.ClockMS, now
	w.sightMS = sentAt - w.listedAt
	w.listedAt = now
	w.failedPolls, w.contactLostAt, w.connectionLost = 0, 0, false
	if w.inDoubt() && sentAt >= w.doubtedAt {
		// The worker is the same; only its clock stood still.
		w.doubtedAt, w.laterLeasesUntil = 0, 0
	}
	w.nextPollAt = now
	if !w.reached {
		w.reached = true
		c.event(Event{Name: EventWorker, Worker: w.info.ID, Outcome: "reached", Detail: fmt.Sprintf("running=%d ended=%d epoch=%d", len(l.Running), len(l.Ended), c.cfg.Epoch)})
	}
	c.noteListedEnds(w, sentAt, l.Ended)
	c.recordEnds(w, l.Ended)
	c.reconcileRunning(w, sentAt, l)
	if c.needsPollNow(w) {
		w.nextPollAt = now + urgentPollMS
	}
}

// maxListedEnds is how many ends a worker reports at most; a full list may
// omit some.
const maxListedEnds = 500

// urgentPollMS is the delay between polls while a run is still to be settled.
const urgentPollMS = 60

func (c *Core) reconcileRunning(w *worker, sentAt int64, l PollResponse) {
	present := make(map[runID]bool, len(l.Running))
	strays := map[RunRef]int64{}
	for _, row := range l.Running {
		id := runID{row.Key, row.Number}
		present[id] = true
		if r := w.runs[id]; r != nil {
			c.confirmRun(r, row)
			continue
		}
		if c.adoptRun(w, row) {
			continue
		}
		c.stopStray(w, row, strays)
	}
	w.strays = strays
	if len(l.Ended) >= maxListedEnds {
		return
	}
	for _, r := range sortedRuns(w) {
		if !present[runID{r.key, r.number}] {
			c.handleMissing(r, sentAt)
		}
	}
}

func (c *Core) confirmRun(r *run, row ListedRun) {
	c.recordBegun(r.job)
	r.unconfirmed, r.listed, r.doubt = false, true, nil
	r.percent, r.tailMS = row.Percent, row.Metric
	if r.phase == phaseStartSent {
		r.phase = phaseRunning
		r.phaseSince = c.now
	}
	r.confirmedAt = c.now
	if tk := r.task(); tk != nil && row.Checkpoint != "" {
		r.job.saveCheckpoint(r.key, row.Checkpoint)
	}
}

// adoptRun takes over a reported run that an earlier owner started and that is
// not in this owner's restored state.
func (c *Core) adoptRun(w *worker, row ListedRun) bool {
	j := c.jobs[row.Key.Job]
	if j == nil || j.state.Final() {
		return false
	}
	tk := j.findTask(row.Key)
	if tk == nil || tk.done || tk.current != nil || row.Number < tk.lastRun || row.Number <= tk.lastEnded {
		return false
	}
	st := &j.spec.Steps[row.Key.Step]
	tk.lastRun = row.Number
	r := &run{job: j, key: row.Key, number: row.Number, worker: w, phase: phaseRunning, reserved: st.Reservation(), phaseSince: c.now, confirmedAt: c.now, pacePercent: 100, percent: row.Percent, listed: true}
	tk.current = r
	w.addRun(r)
	c.recordBegun(j)
	c.markDirty(j)
	c.event(Event{Name: EventAdopted, Job: j.spec.ID, Run: row.RunRef, Worker: w.info.ID})
	return true
}

// stopStray stops a run that must not be on the worker.
func (c *Core) stopStray(w *worker, row ListedRun, strays map[RunRef]int64) {
	last, known := w.strays[row.RunRef]
	if !known {
		c.event(Event{Name: EventStray, Job: row.Key.Job, Run: row.RunRef, Worker: w.info.ID})
	}
	if !known || c.now-last >= stopRetryMS {
		last = c.now
		c.orders.Stops = append(c.orders.Stops, Stop{c.target(w), row.RunRef})
	}
	strays[row.RunRef] = last
}

// handleMissing handles a run of this shard that the worker did not report.
func (c *Core) handleMissing(r *run, sentAt int64) {
	switch r.phase {
	case phasePlaced:
		return
	case phaseRunning:
		if r.confirmedAt < sentAt {
			c.settleRun(r, "not_in_list")
		}
	case phaseStopping:
		if r.stopAnsweredAt != 0 && r.stopAnsweredAt < sentAt {
			c.settleRun(r, "stopped_before_start")
		}
	case phaseStartSent:
		if r.startSentAt == 0 {
			// An earlier owner sent the start, and the worker no longer
			// accepts orders of that owner's epoch.
			reason := "never_started"
			if r.doubt != nil {
				reason = reasonWorkerReborn
			}
			c.settleRun(r, reason)
			return
		}
		if c.now-r.startSentAt > startConfirmMS && r.unconfirmed || c.startOverdue(r) && sentAt-r.startSentAt >= overdue.StartMS {
			c.stopRun(r, "start_unconfirmed")
		}
	}
}
