package shard

// SilentWorker is a worker that does not answer its owner and may still run tasks, or that may
// hold a longer lease than its owner gave.
type SilentWorker struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Incarnation int64
	// LeaseMS is how long the leases on the worker may still hold.
	LeaseMS int64
}

// EarlierLeasesUntil returns until when leases may hold that are not bounded by the end of
// this owner's orders: those of earlier owners, and those that workers may have granted on
// orders for an earlier incarnation.
func (c *Core) EarlierLeasesUntil() int64 {
	until := c.earlierLeasesUntil
	for _, w := range c.workers {
		until = max(until, w.earlierLeasesUntil, w.laterLeasesUntil)
	}
	return until
}

// SilentWorkers lists the silent workers for the next owner, which can't learn from them
// until when their leases hold. The owner must send no orders any more.
func (c *Core) SilentWorkers(now int64) []SilentWorker {
	c.now = now
	var list []SilentWorker
	for _, w := range c.sortedWorkers() {
		if len(w.runs) > 0 && (w.silent() || w.laterLeasesUntil > now) {
			list = append(list, SilentWorker{Worker: w.info.ID, Incarnation: w.incarnation, LeaseMS: max(w.leasesUntil()-now, 0)})
		}
	}
	return list
}

// RestoreSilentWorkers sets until when the leases of earlier owners hold on the workers
// that were silent when the previous owner stopped. It is called after the records are
// restored. A bound for another incarnation than that of the records can only prolong the
// wait.
func (c *Core) RestoreSilentWorkers(list []SilentWorker) {
	for _, s := range list {
		w := c.workers[s.Worker]
		switch {
		case w == nil:
		case w.incarnation == s.Incarnation:
			w.earlierLeasesUntil = c.now + s.LeaseMS
		default:
			w.earlierLeasesUntil = max(w.earlierLeasesUntil, c.now+s.LeaseMS)
		}
	}
}
