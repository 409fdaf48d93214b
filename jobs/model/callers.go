package model

import (
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// The times after which callers ask again.
const (
	submitRetryMS = 2_500
	cancelRetryMS = 1_500
)

// ownerOfRequest returns the owner that a caller's request reaches.
func (w *World) ownerOfRequest() *owner {
	if len(w.deposed) > 0 && w.opts.DeposedShare > 0 && w.rng.Float64() < w.opts.DeposedShare {
		return w.deposed[w.rng.IntN(len(w.deposed))]
	}
	return w.owner
}

// replyLost draws whether a reply to a caller is lost.
func (w *World) replyLost() bool {
	return w.opts.LostReplyShare > 0 && w.faulty() && w.rng.Float64() < w.opts.LostReplyShare
}

// await registers the handler of the reply to a request and returns its ticket.
// lost is called if the reply is lost.
func (o *owner) await(handle func(shard.Reply), lost func()) uint64 {
	o.lastTicket++
	o.replyHandlers[o.lastTicket] = func(r shard.Reply) {
		if o.world.replyLost() {
			lost()
			return
		}
		handle(r)
	}
	return o.lastTicket
}

// Submit submits a job. It retries after a refusal and when there is no
// answer.
func (w *World) Submit(j spec.Job) {
	t := w.groundTruth[j.ID]
	if t == nil {
		t = &groundTruth{job: j, submittedAt: w.now, done: map[shard.Key]bool{}, acked: map[shard.Key]bool{}, ackedFailures: map[shard.Key]int{},
			crashes: map[shard.Key]int{}, lost: map[shard.Key]int{}, startsAfterCrashes: map[shard.Key]int{}}
		w.groundTruth[j.ID] = t
	}
	w.submitAt(w.ownerOfRequest(), t)
}

func (w *World) submitAt(o *owner, t *groundTruth) {
	lost := false
	ticket := o.await(func(r shard.Reply) { w.handleSubmitReply(t, r) }, func() { lost = true })
	o.core.Submit(w.now, ticket, t.job)
	o.pump()
	w.after(submitRetryMS, func() {
		if !t.accepted && (lost || t.refusals == 0) && t.cancelledAt == 0 {
			w.Submit(t.job)
		}
	})
}

func (w *World) handleSubmitReply(t *groundTruth, r shard.Reply) {
	switch r.Outcome {
	case shard.Accepted:
		first := !t.accepted
		t.accepted = true
		if first && w.afterAcceptance != nil {
			w.afterAcceptance(t.job.ID)
		}
	case shard.Refused:
		t.refusals++
		if t.refusals < 5 {
			w.after(r.RetryAfterMS, func() { w.Submit(t.job) })
		}
	}
}

// Cancel cancels a job and retries until the cancel is acknowledged.
func (w *World) Cancel(id string) { w.cancelAt(w.ownerOfRequest(), id) }

// cancelAt sends a cancel to an owner. The reply that an accepted job is unknown
// is an acknowledgement to its caller as well.
func (w *World) cancelAt(o *owner, id string) {
	t := w.groundTruth[id]
	t.cancelSent = true
	accepted := t.accepted
	ticket := o.await(func(r shard.Reply) {
		unknown := r.Outcome == shard.Unknown && accepted
		if unknown {
			w.addViolation("job %s is accepted, but owner %d replied to its cancel that it is unknown; the owner is %d", id, o.epoch, w.owner.epoch)
		}
		if (r.Outcome == shard.Accepted || unknown) && t.cancelledAt == 0 {
			t.cancelledAt = w.now
		}
	}, func() {})
	o.core.Cancel(w.now, ticket, id)
	o.pump()
	w.after(cancelRetryMS, func() {
		if t.cancelledAt == 0 {
			w.Cancel(id)
		}
	})
}

// Show reads the status of a job as a caller does.
func (w *World) Show(id string) { w.showAt(w.ownerOfRequest(), id) }

// showAt reads the status of a job from an owner. After its acceptance was
// acknowledged, no owner may report that the job is unknown.
func (w *World) showAt(o *owner, id string) {
	t := w.groundTruth[id]
	accepted := t.accepted
	o.readStatus(id, func(status shard.JobStatus) {
		if accepted && !status.Known {
			w.addViolation("job %s is accepted, but owner %d shows that it is unknown; the owner is %d", id, o.epoch, w.owner.epoch)
		}
	})
}

// readStatus passes the owner's answer to a read of a job's status on. An owner that
// sends its caller to another one answers nothing.
func (o *owner) readStatus(id string, handle func(shard.JobStatus)) {
	if status := o.core.JobStatus(id); status.Known {
		handle(status)
		return
	}
	ticket := o.await(func(r shard.Reply) {
		if r.Outcome != shard.Superseded {
			handle(shard.JobStatus{State: r.State, Known: r.Outcome == shard.Accepted})
		}
	}, func() {})
	o.core.Lookup(o.world.now, ticket, id)
	o.pump()
}
