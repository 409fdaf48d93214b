package model

import (
	"maps"
	"math"
	"slices"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// owner plays the runtime of one shard owner.
type owner struct {
	world     *World
	core      *shard.Core
	epoch     int64
	ticket    uint64
	waiting   map[uint64]func(shard.Reply)
	appending bool
	gone      bool
	// startsUntil and leasesUntil bind a deposed owner.
	startsUntil, leasesUntil int64
}

// takeover replaces the owner. The earlier one may go on for a while without
// knowing: it starts nothing more, but may extend leases.
func (w *World) takeover() {
	if old := w.owner; old != nil {
		old.startsUntil = w.now
		old.leasesUntil = w.now + leaseRightMS
		w.zombie(old)
	}
	w.epoch++
	o := &owner{world: w, epoch: w.epoch, waiting: map[uint64]func(shard.Reply){}, startsUntil: math.MaxInt64, leasesUntil: math.MaxInt64}
	o.core = shard.New(shard.Config{
		Epoch: w.epoch, MaxLeaseMS: maxHoldMS, EarlierLeaseMS: leaseRightMS + maxHoldMS + 500, StatusKeepMS: 1_000_000, Policy: w.opts.Policy,
	}, w.now, wallStart+w.now)
	for _, key := range slices.Sorted(maps.Keys(w.store)) {
		if err := o.core.Restore(shard.Record{Key: key, Value: w.store[key]}); err != nil {
			w.violate("restore: %v", err)
		}
	}
	o.core.SetQueues([]shard.Queue{{Name: Queue, Service: serviceName, MaxAttempts: w.opts.MaxAttempts, Stretch: Stretch, TargetMS: TargetMS}})
	w.owner = o
	o.list()
	o.pump()
}

func (w *World) zombie(o *owner) {
	if o.gone || w.now > o.leasesUntil+1_000 {
		return
	}
	o.pump()
	w.after(tickMS, func() { w.zombie(o) })
}

// list hands the owner the workers' entries, again and again.
func (o *owner) list() {
	if o.gone || o != o.world.owner {
		return
	}
	var list []shard.Worker
	for _, w := range o.world.workers {
		if w.up {
			list = append(list, w.info())
		}
	}
	o.core.SetWorkers(o.world.now, list)
	o.world.after(500, o.list)
}

// pump lets the owner decide and carries out its orders.
func (o *owner) pump() {
	if o.gone {
		return
	}
	w := o.world
	o.core.SetRight(min(o.startsUntil, w.now+2_000), min(o.leasesUntil, w.now+5_000))
	o.core.Advance(w.now, wallStart+w.now)
	if o.core.Deposed() {
		o.gone = true
		return
	}
	o.carryOut()
	o.append()
}

func (o *owner) carryOut() {
	w := o.world
	orders := o.core.Take()
	for _, p := range orders.Polls {
		w.poll(o, p)
	}
	for _, s := range orders.Starts {
		w.start(o, s)
	}
	for _, s := range orders.Stops {
		w.stop(o, s)
	}
	for _, r := range orders.Replies {
		if f := o.waiting[r.Ticket]; f != nil {
			delete(o.waiting, r.Ticket)
			f(r)
		}
	}
}

// append stores the next batch, unless a newer owner has fenced this one.
func (o *owner) append() {
	if o.appending {
		return
	}
	batch, ok := o.core.NextBatch()
	if !ok {
		return
	}
	o.appending = true
	w := o.world
	w.after(storeMS, func() {
		if w.epoch > o.epoch {
			o.gone = true
			return
		}
		for _, r := range batch.Records {
			w.store[r.Key] = r.Value
		}
		w.after(hopMS, func() {
			o.appending = false
			if o.gone {
				return
			}
			o.core.Committed(w.now, batch)
			w.noteFinals(o, batch)
			o.pump()
		})
	})
}

// noteFinals notes when jobs were first shown as completed.
func (w *World) noteFinals(o *owner, batch shard.Batch) {
	for _, r := range batch.Records {
		t := w.truth[r.Key[2:]]
		if t == nil {
			continue
		}
		if v := o.core.Show(t.job.ID); v.State == spec.Completed {
			if t.doneAt == 0 {
				t.doneAt = w.now
			}
			w.checkCompleted(t)
		}
	}
}

func (w *World) checkCompleted(t *truth) {
	for s := range t.job.Steps {
		for i := range t.job.Steps[s].Count {
			k := shard.Key{Job: t.job.ID, Step: s, Index: i}
			if !t.done[k] {
				w.violate("job %s is shown as completed, task %d.%d is not done", t.job.ID, s, i)
			}
		}
	}
}
