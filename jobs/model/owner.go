package model

import (
	"maps"
	"math"
	"slices"

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
}

// takeover replaces the owner. The previous owner may keep running for a while
// without knowing that it was deposed: it starts nothing more but may extend
// leases.
func (w *World) takeover() {
	if old := w.owner; old != nil {
		old.startsUntil = w.now
		old.leasesUntil = w.now + deposedLeaseMS
		if w.opts.OpenWindowShare > 0 && w.rng.Float64() < w.opts.OpenWindowShare {
			old.startsUntil = w.now + openWindowMS
		}
		if w.opts.CutOffShare > 0 && w.rng.Float64() < w.opts.CutOffShare {
			old.cutOffUntil = w.now + minCutOffMS + w.rng.Int64N(maxCutOffMS-minCutOffMS)
		}
		w.deposed = append(w.deposed, old)
		w.runDeposed(old)
	}
	w.noteFault(w.now)
	w.epoch++
	o := &owner{world: w, epoch: w.epoch, replyHandlers: map[uint64]func(shard.Reply){}, startsUntil: math.MaxInt64, leasesUntil: math.MaxInt64}
	o.core = shard.New(shard.Config{
		Epoch: w.epoch, MaxLeaseMS: maxLeaseMS, EarlierLeaseMS: deposedLeaseMS + maxLeaseMS + 500, StatusKeepMS: 1_000_000, Policy: w.opts.Policy,
	}, w.now, wallStartMS+w.now)
	for _, key := range slices.Sorted(maps.Keys(w.store)) {
		if err := o.core.Restore(shard.Record{Key: key, Value: w.store[key]}); err != nil {
			w.addViolation("restore failed: %v", err)
		}
	}
	w.applyQueues(o)
	o.core.SetCustomers(w.customersVersion, w.customers)
	w.owner = o
	o.refreshWorkers()
	o.pump()
}

// How long a replaced owner is cut off, shorter than runDeposed keeps it, and how long its
// window for decisions may stay open.
const (
	openWindowMS = 1_000
	minCutOffMS  = 500
	maxCutOffMS  = 4_200
)

func (w *World) runDeposed(o *owner) {
	if o.stopped || w.now > o.leasesUntil+1_000 {
		w.deposed = slices.DeleteFunc(w.deposed, func(other *owner) bool { return other == o })
		return
	}
	o.pump()
	w.after(tickMS, func() { w.runDeposed(o) })
}

// refreshWorkers passes the current list of workers to the owner,
// periodically.
func (o *owner) refreshWorkers() {
	if o.stopped || o != o.world.owner {
		return
	}
	var list []shard.Worker
	for _, w := range o.world.workers {
		if w.up && o.world.now >= w.unlistedUntil && !w.cut.hidesEntry(o.world.now) {
			list = append(list, w.listEntry())
		}
	}
	o.core.SetWorkers(o.world.now, list)
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
	w.after(appendMS+max(o.cutOffUntil-w.now, 0), func() {
		if w.epoch > o.epoch {
			o.stopped = true
			return
		}
		for _, r := range batch.Records {
			w.store[r.Key] = r.Value
		}
		w.after(networkDelayMS, func() {
			o.appendInFlight = false
			if o.stopped {
				return
			}
			o.core.HandleCommit(w.now, batch)
			w.recordCompletions(o, batch)
			o.pump()
		})
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
