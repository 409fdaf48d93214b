package jobhost

import (
	"context"
	"sync"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// handoverRecord is what an owner that stops in order leaves in its partition. It proves
// that the owner sends no orders any more.
type handoverRecord struct {
	// Epoch is the owner's. The record holds only for the next owner.
	Epoch         int64                `cbor:"0,keyasint"`
	SilentWorkers []shard.SilentWorker `cbor:"1,keyasint,omitempty"`
}

// longestLeaseMS is for how long leases on the silent workers may hold.
func (r *handoverRecord) longestLeaseMS() int64 {
	longestMS := int64(0)
	if r != nil {
		for _, w := range r.SilentWorkers {
			longestMS = max(longestMS, w.LeaseMS)
		}
	}
	return longestMS
}

// handOver stores the handover records of stopped shards on which workers are silent;
// for others it makes no difference to the next owner.
func (h *Host) handOver(stopped []*ownedShard) {
	var wait sync.WaitGroup
	for _, s := range stopped {
		if s.core == nil || s.appendInFlight {
			continue
		}
		silent := s.core.SilentWorkers(monotonicMS())
		if len(silent) == 0 {
			continue
		}
		wait.Go(func() {
			if err := h.appendHandover(s, handoverRecord{Epoch: s.epoch, SilentWorkers: silent}); err != nil {
				h.record(events.StoreLost, events.Fields{Detail: "handover of " + describe(s.partition), Err: err, Epoch: s.epoch, Shard: s.partition.Index})
			}
		})
	}
	wait.Wait()
}

func (h *Host) appendHandover(s *ownedShard, rec handoverRecord) error {
	value, err := encMode.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	h.stats.storeWrites.Add(1)
	return h.cfg.Store.Append(ctx, deps.Append{Partition: s.partition, Fence: &deps.Fence{Epoch: s.epoch, Sequence: s.sequence + 1},
		Records: []shard.Record{{Key: handoverKey, Value: value}}})
}
