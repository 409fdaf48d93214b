package jobhost

import (
	"context"
	"time"

	"wigeonwinch/node/events"
)

// leaveWait bounds how long a stopping node waits for appends under way.
const leaveWait = 600 * time.Millisecond

// leave hands the shards over: what is being stored is finished, then the
// store is told that the partitions are free.
func (h *Host) leave() {
	h.leaving.Store(true)
	h.stopping = true
	h.finishAppends()
	if h.fleet != nil {
		h.quietMS = max(sinceMS(h.fleet.lastAct.Load()).Milliseconds(), 1)
	}
	for _, s := range h.sortedOwned() {
		h.abandon(s)
		h.record(events.ShardReleased, events.Fields{Detail: describe(s.partition), Epoch: s.epoch, Shard: s.partition.Index})
	}
	h.ownedView.Store(&[]ownership{})
	h.publishOwners(steadyMS())
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := h.writeHeartbeat(ctx, nodesPartition, time.Now().UnixNano(), false); err != nil {
		h.record(events.StoreLost, events.Fields{Detail: "last heartbeat", Err: err})
	}
	h.mesh.Leave()
}

// finishAppends carries on with the control goroutine's events, without new
// decisions, until no append is under way.
func (h *Host) finishAppends() {
	deadline := time.After(leaveWait)
	for h.appending() {
		select {
		case f := <-h.inbox:
			f()
		case <-deadline:
			return
		}
		for _, s := range h.sortedOwned() {
			if s.core != nil {
				for _, r := range s.core.Take().Replies {
					h.pending.deliver(r)
				}
			}
		}
	}
}

func (h *Host) appending() bool {
	for _, s := range h.owned {
		if s.appending {
			return true
		}
	}
	return false
}
