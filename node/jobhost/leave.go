package jobhost

import (
	"context"
	"time"

	"wigeonwinch/node/events"
)

// finishAppendsTimeout limits how long a stopping node waits for appends in
// flight.
const finishAppendsTimeout = 600 * time.Millisecond

// leave hands the shards over. It lets appends in flight finish, then tells the
// other nodes in a last heartbeat that the partitions are free.
func (h *Host) leave() {
	h.leaving.Store(true)
	h.stopping = true
	h.finishAppends()
	if h.fleet != nil {
		h.actionIdleMS.Store(max(sinceMS(h.fleet.lastActionStart.Load()).Milliseconds(), 1))
	}
	owned := h.sortedOwned()
	for _, s := range owned {
		h.stopShard(s)
		h.record(events.ShardReleased, events.Fields{Detail: describe(s.partition), Epoch: s.epoch, Shard: s.partition.Index})
	}
	h.handOver(owned)
	h.ownedView.Store(&ownedView{})
	h.publishOwners(monotonicMS())
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := h.appendHeartbeat(ctx, nodesPartition, time.Now().UnixNano(), false); err != nil {
		h.record(events.StoreLost, events.Fields{Detail: "last heartbeat", Err: err})
	}
	h.mesh.Leave()
}

// finishAppends continues to run the functions of the control loop, without new
// decisions, until no append is in flight.
func (h *Host) finishAppends() {
	deadline := time.After(finishAppendsTimeout)
	for h.anyAppendInFlight() {
		select {
		case f := <-h.inbox:
			f()
		case <-deadline:
			return
		}
		for _, s := range h.sortedOwned() {
			if s.core != nil {
				h.deliverDecided(s)
			}
		}
	}
}

func (h *Host) anyAppendInFlight() bool {
	for _, s := range h.owned {
		if s.appendInFlight {
			return true
		}
	}
	return false
}
