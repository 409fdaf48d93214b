package model

import (
	"maps"
	"math"
	"slices"

	"wigeonwinch/jobs/shard"
)

// How long a replaced owner is cut off, shorter than runDeposed keeps it, and how long its
// window for decisions may stay open.
const (
	openWindowMS = 1_000
	minCutOffMS  = 500
	maxCutOffMS  = 4_200
)

const (
	// The bounds on the leases of a previous owner that may be alive, and of one that is
	// proved dead.
	aliveLeaseMS = deposedLeaseMS + maxLeaseMS + 500
	deadLeaseMS  = maxLeaseMS*10_205/10_000 + 300
	// maxSecondTakeoverMS is when the successor of an owner is replaced at the latest, if
	// it is lost soon.
	maxSecondTakeoverMS = 5_000
)

// takeover replaces the owner.
func (w *World) takeover() {
	switch {
	case w.owner != nil && w.draw(w.opts.HandoverShare):
		silent := w.owner.core.SilentWorkers(w.now)
		w.replaceOwner(true, silent)
	default:
		w.replaceOwner(w.owner != nil && w.draw(w.opts.DeadOwnerShare), nil)
	}
	if w.draw(w.opts.SecondTakeoverShare) {
		next := w.owner
		w.after(1+w.rng.Int64N(maxSecondTakeoverMS), func() {
			if w.owner == next {
				w.replaceOwner(true, nil)
			}
		})
	}
}

// draw draws whether something happens that has the given share. A share of 0 takes no
// random number.
func (w *World) draw(share float64) bool { return share > 0 && w.rng.Float64() < share }

// earlierLeasesUntil returns until when the leases of earlier owners may hold, as the
// successor of an owner knows it.
func (w *World) earlierLeasesUntil(old *owner, dead bool) int64 {
	if old == nil || !dead {
		return w.now + aliveLeaseMS
	}
	return max(w.now+deadLeaseMS, old.earlierLeasesUntil)
}

// replaceOwner replaces the owner, which is dead or may keep running for a while without
// knowing that it was deposed: it starts nothing more but may extend leases. silent are the
// workers that a dead one has handed over.
func (w *World) replaceOwner(dead bool, silent []shard.SilentWorker) {
	old := w.owner
	switch {
	case old == nil:
	case dead:
		old.stopped = true
	default:
		w.deposeOwner(old)
	}
	w.noteFault(w.now)
	w.epoch += shard.TokensPerEpoch
	o := &owner{world: w, epoch: w.epoch, replyHandlers: map[uint64]func(shard.Reply){}, startsUntil: math.MaxInt64, leasesUntil: math.MaxInt64, earlierLeasesUntil: w.earlierLeasesUntil(old, dead)}
	o.core = shard.New(shard.Config{
		Epoch: w.epoch, MaxLeaseMS: maxLeaseMS, EarlierLeaseMS: o.earlierLeasesUntil - w.now, StatusKeepMS: 1_000_000, Policy: w.opts.Policy,
	}, w.now, wallStartMS+w.now)
	for _, key := range slices.Sorted(maps.Keys(w.store)) {
		if err := o.core.Restore(shard.Record{Key: key, Value: w.store[key]}); err != nil {
			w.addViolation("restore failed: %v", err)
		}
	}
	o.core.RestoreSilentWorkers(silent)
	w.applyQueues(o)
	o.core.SetCustomers(w.customersVersion, w.customers)
	w.owner = o
	o.refreshWorkers()
	o.pump()
}

func (w *World) deposeOwner(old *owner) {
	old.startsUntil = w.now
	old.leasesUntil = w.now + deposedLeaseMS
	if w.draw(w.opts.OpenWindowShare) {
		old.startsUntil = w.now + openWindowMS
	}
	if w.draw(w.opts.CutOffShare) {
		old.cutOffUntil = w.now + minCutOffMS + w.rng.Int64N(maxCutOffMS-minCutOffMS)
	}
	if w.draw(w.opts.SplitShare) {
		w.split(old)
	}
	w.deposed = append(w.deposed, old)
	w.runDeposed(old)
}

// split cuts a deposed owner off from the store and a part of the workers, and the other
// owners from the rest.
func (w *World) split(old *owner) {
	old.split = true
	old.cutOffUntil = w.now + maxCutOffMS
	for _, k := range w.workers {
		if k.up && w.now >= k.cut.until && w.rng.IntN(2) == 0 {
			k.cut = cut{since: w.now, until: w.now + minCutMS + w.rng.Int64N(maxCutMS-minCutMS), rejects: w.rng.IntN(2) == 0, except: old}
			w.noteFault(k.cut.until + listIntervalMS)
		}
	}
}

// isCutOff reports whether a worker hears nothing from the owner.
func (o *owner) isCutOff(k *worker) bool { return o.world.now < o.cutOffUntil && k.cut.except != o }

func (w *World) runDeposed(o *owner) {
	if o.stopped || w.now > o.leasesUntil+1_000 {
		w.deposed = slices.DeleteFunc(w.deposed, func(other *owner) bool { return other == o })
		return
	}
	o.pump()
	w.after(tickMS, func() { w.runDeposed(o) })
}
