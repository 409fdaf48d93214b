package model

import "wigeonwinch/jobs/shard"

const (
	minCutMS, maxCutMS = 2_000, 12_000
	// entryKeepMS is how long the list of workers keeps the entry of a worker that is
	// cut off.
	entryKeepMS = 4_500
)

// cut is a time in which a worker is out of reach.
type cut struct {
	since, until int64
	// rejects reports whether connections to the worker are rejected; else they get no
	// answer.
	rejects bool
	// only is the one owner that is cut off from the worker, except the one that is not; nil
	// if there is none.
	only, except *owner
}

// holds reports whether an owner can't reach the worker.
func (c *cut) holds(o *owner, now int64) bool {
	return now < c.until && o != c.except && (c.only == nil || c.only == o)
}

// cutOffWorker cuts a random worker off and closes its connections. The worker and its runs
// know nothing of it.
func (w *World) cutOffWorker() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	if !k.up || w.now < k.cut.until {
		return
	}
	k.cut = cut{since: w.now, until: w.now + minCutMS + w.rng.Int64N(maxCutMS-minCutMS), rejects: w.rng.IntN(2) == 0}
	if w.draw(w.opts.OneOwnerCutShare) {
		k.cut.only = w.owner
	}
	w.noteFault(k.cut.until + listIntervalMS)
	polls := k.waitingPolls
	k.waitingPolls = nil
	for _, p := range polls {
		p.fail()
	}
}

// fail ends a call to the worker.
func (c *cut) fail(w *World, lost func(shard.PollError)) {
	if c.rejects {
		w.after(networkDelayMS, func() { lost(shard.PollConnectionRejected) })
		return
	}
	w.after(answerTimeoutMS, func() { lost(shard.PollUnanswered) })
}

// hidesEntry reports whether the worker's entry has been removed from the list.
func (c *cut) hidesEntry(now int64) bool {
	return c.only == nil && c.except == nil && now >= c.since+entryKeepMS && now < c.until
}

// noteLapse records that the worker's leases have lapsed. If a cut is the reason, the platform
// does not count earlier ends as acknowledged, whenever the acknowledgement comes.
func (k *worker) noteLapse() {
	if k.cut.until != 0 && k.world.now < k.cut.until+maxLeaseMS {
		k.lapsedEnd = k.lastEnd
	}
}
