package shard

import (
	"wigeonwinch/jobs/overdue"
)

// pollWatch tracks the polls of one worker that are overdue.
type pollWatch struct {
	// orderedAt is when the last poll was ordered that waits for an end, checkedAt
	// the last check of it. checking reports whether that check is in flight.
	orderedAt, checkedAt int64
	checking             bool
}

// noteLostCall records that a worker has left a call unanswered.
func (c *Core) noteLostCall() { c.lostCallAt = c.now }

// losesCalls reports whether calls to workers have been lost lately.
func (c *Core) losesCalls() bool {
	return c.lostCallAt != 0 && c.now-c.lostCallAt <= overdue.EvidenceMS && !c.cfg.Policy.TrustPolls
}

// checkPoll orders a second poll of a worker whose poll in flight is overdue. The worker
// answers it at once. Whichever is answered first, or fails, counts; the other one is
// replaced by the next poll.
func (c *Core) checkPoll(w *worker) {
	if !c.pollOverdue(w) {
		return
	}
	w.watch.checking, w.watch.checkedAt = true, c.now
	c.orders.Polls = append(c.orders.Polls, Poll{Target: c.target(w)})
}

func (c *Core) pollOverdue(w *worker) bool {
	if !c.losesCalls() || w.watch.checking || !w.reached || w.failedPolls > 0 || w.inDoubt() || w.info.Address == "" {
		return false
	}
	if c.now-max(w.watch.orderedAt, w.watch.checkedAt) < overdue.MinPollAgeMS {
		return false
	}
	for _, r := range w.runs {
		if c.answerMissing(r) {
			return true
		}
	}
	return false
}

// answerMissing reports whether the worker should have told what became of the run.
func (c *Core) answerMissing(r *run) bool {
	st := r.step()
	switch r.phase {
	case phaseStartSent:
		return c.startOverdue(r)
	case phaseStopping:
		return r.stopAnsweredAt != 0 && r.stopAnsweredAt > r.worker.watch.orderedAt
	case phaseRunning:
		return !st.Lasting && st.EstimateMS > 0 && overdue.PollDue(overdue.Run{StartedAt: r.phaseSince, ExpectedMS: r.job.taskMS(r.key.Step), SeenAt: r.confirmedAt}) <= c.now
	}
	return false
}

// startOverdue reports whether a start has been without an answer for too long.
func (c *Core) startOverdue(r *run) bool {
	return r.startSentAt != 0 && c.losesCalls() && c.now-r.startSentAt >= overdue.StartMS
}

// replaced reports whether another poll has taken the place of the one that was sent at
// the given time.
func (p *pollWatch) replaced(sentAt int64) bool { return p.checkedAt != 0 && sentAt < p.orderedAt }

// pauseUnanswered keeps starts off a worker that has not answered one, unless it has
// answered a later call.
func (c *Core) pauseUnanswered(w *worker, r *run) {
	if c.cfg.Policy.TrustPolls || w.failedPolls > 0 || w.listedAt <= r.startSentAt {
		w.backoffUntil = c.now + workerBackoffMS
	}
}
