package model

import (
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// owner simulates the runtime of one shard owner.
type owner struct {
	world          *World
	core           *shard.Core
	epoch          int64
	lastTicket     uint64
	replyHandlers  map[uint64]func(shard.Reply)
	appendInFlight bool
	stopped        bool
	// startsUntil and leasesUntil limit a deposed owner.
	startsUntil, leasesUntil int64
	// cutOffUntil is the time until which neither the store nor the workers hear
	// from a deposed owner.
	cutOffUntil int64
	// split reports whether some workers hear from the owner while it is cut off, and only
	// from it.
	split bool
	// earlierLeasesUntil is the time until which leases of earlier owners may hold, as far
	// as this owner knows.
	earlierLeasesUntil int64
}

// refreshWorkers passes the current list of workers to the owner,
// periodically.
func (o *owner) refreshWorkers() {
	if o.stopped || o != o.world.owner {
		return
	}
	o.core.SetWorkers(o.world.now, o.world.readList())
	o.world.after(listIntervalMS, o.refreshWorkers)
}

// pump advances the owner's core and executes its orders.
func (o *owner) pump() {
	if o.stopped {
		return
	}
	w := o.world
	o.core.SetOwnershipDeadlines(min(o.startsUntil, w.now+2_000), min(o.leasesUntil, w.now+5_000))
	o.core.Advance(w.now, wallStartMS+w.now)
	if o.core.Deposed() {
		o.stopped = true
		return
	}
	o.executeOrders()
	o.append()
	o.exchangeRoom()
}

func (o *owner) executeOrders() {
	w := o.world
	orders := o.core.TakeOrders()
	for _, p := range orders.Polls {
		w.sendPoll(o, p)
	}
	for _, s := range orders.Starts {
		w.sendStart(o, s)
	}
	for _, s := range orders.Stops {
		w.sendStop(o, s)
	}
	for _, req := range orders.AdviceRequests {
		w.sendAdvice(o, req)
	}
	for _, r := range orders.Replies {
		if f := o.replyHandlers[r.Ticket]; f != nil {
			delete(o.replyHandlers, r.Ticket)
			f(r)
		}
	}
}

// append stores the next batch, unless a newer owner has fenced this one. A batch
// without records is an append as well.
func (o *owner) append() {
	if o.appendInFlight {
		return
	}
	batch, ok := o.core.NextBatch()
	if !ok {
		return
	}
	o.appendInFlight = true
	w := o.world
	w.after(appendMS+max(o.cutOffUntil-w.now, 0), func() { o.finishAppend(batch) })
}

func (o *owner) finishAppend(batch shard.Batch) {
	w := o.world
	if o.split && w.now < o.cutOffUntil {
		w.after(o.cutOffUntil-w.now, func() { o.finishAppend(batch) })
		return
	}
	if w.epoch > o.epoch {
		o.stopped = true
		return
	}
	for _, r := range batch.Records {
		w.store[r.Key] = r.Value
	}
	w.after(w.commitDelayMS(), func() {
		o.appendInFlight = false
		if o.stopped {
			return
		}
		o.core.HandleCommit(w.now, batch)
		w.recordCompletions(o, batch)
		o.pump()
	})
}

// recordCompletions records when jobs were first reported as completed.
func (w *World) recordCompletions(o *owner, batch shard.Batch) {
	for _, r := range batch.Records {
		t := w.groundTruth[r.Key[2:]]
		if t == nil {
			continue
		}
		if v := o.core.JobStatus(t.job.ID); v.State == spec.Completed {
			if t.completedAt == 0 {
				t.completedAt = w.now
			}
			w.checkCompleted(t)
		}
	}
}

func (w *World) checkCompleted(t *groundTruth) {
	for n := range max(t.job.Repeat, 1) {
		for s := range t.job.Steps {
			for i := range t.job.Steps[s].Count {
				k := shard.Key{Job: t.job.ID, Occurrence: n, Step: s, Index: i}
				if !t.done[k] {
					w.addViolation("job %s is reported as completed but task %d.%d.%d is not done", t.job.ID, n, s, i)
				}
			}
		}
	}
}
