package jobhost

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// startTakeover takes over a partition on another goroutine.
func (h *Host) startTakeover(p deps.Partition, now int64) {
	h.takingOver[p] = true
	seen := h.observe(p, now)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*storeTimeout)
		defer cancel()
		t, err := h.takeOver(ctx, p, seen)
		h.post(func() {
			delete(h.takingOver, p)
			if err != nil {
				h.vacantSince[p] = monotonicMS()
				h.record(events.TakeoverFailed, events.Fields{Detail: describe(p), Err: err})
				return
			}
			h.startOwning(t)
		})
	}()
}

// takenPartition is a partition that this node has just fenced and read.
type takenPartition struct {
	partition deps.Partition
	epoch     int64
	// sequence is the sequence number of the append that took over the
	// partition.
	sequence int64
	records  []shard.Record
	// handover is what the previous owner left; nil if it did not hand over.
	handover *handoverRecord
	// previous is the previous owner.
	previous ownership
	// previousMayBeAlive reports that the previous owner's process may still
	// run and extend leases.
	previousMayBeAlive bool
	// earlierLeaseMS is for how long after the takeover leases of earlier owners may
	// hold.
	earlierLeaseMS int64
	startedAt      int64
}

// The store treats an append with the epoch and sequence of an earlier append
// as its repeat, so two nodes must never choose the same pair.
const (
	// epochsPerMS is the range of random epochs within one millisecond.
	epochsPerMS      = 1 << 10
	maxFirstSequence = 1 << 40
)

func newEpoch() int64 { return wallMS()*epochsPerMS + rand.Int64N(epochsPerMS) }

// takeOver fences a partition with a higher epoch, provided that the partition
// has not changed since it was read.
func (h *Host) takeOver(ctx context.Context, p deps.Partition, seen observation) (takenPartition, error) {
	startedAt := monotonicMS()
	snapshot, err := h.cfg.Store.Newest(ctx, p)
	if err != nil {
		return takenPartition{}, err
	}
	if snapshot.End != snapshot.EndAtStart {
		return takenPartition{}, errors.New("the partition changed while it was read")
	}
	t := takenPartition{partition: p, epoch: max(seen.knownEpoch+1, newEpoch()), sequence: rand.Int64N(maxFirstSequence) + 1, startedAt: startedAt}
	var previous storedOwner
	var handover handoverRecord
	for _, r := range snapshot.Records {
		switch r.Key {
		case ownerKey:
			if err := decMode.Unmarshal(r.Value, &previous); err != nil {
				return takenPartition{}, errors.Wrap(err, "cannot decode the owner record")
			}
		case handoverKey:
			if err := decMode.Unmarshal(r.Value, &handover); err != nil {
				h.record(events.RecordUnreadable, events.Fields{Detail: describe(p) + " " + handoverKey, Err: err})
				handover = handoverRecord{}
			}
		default:
			t.records = append(t.records, r)
		}
	}
	if previous.Epoch > seen.knownEpoch && previous.Node != h.cfg.Node && !seen.deadNodes[previous.Node] && seen.incarnations[previous.Node] == previous.Incarnation {
		h.post(func() { h.applyAnnouncement(previous.ownership) })
		return takenPartition{}, errors.Errorf("node %s has just taken over the partition", previous.Node)
	}
	t.epoch = max(t.epoch, previous.Epoch+1)
	t.previous = previous.ownership
	t.previousMayBeAlive = !h.isOwn(previous.ownership) && seen.mayBeAlive(previous.ownership)
	if handover.Epoch != 0 && handover.Epoch == previous.Epoch {
		t.handover, t.previousMayBeAlive = &handover, false
	}
	t.earlierLeaseMS = h.earlierLeaseMS(seen, previous, t.previousMayBeAlive)
	rec, err := h.ownerRecord(p, t.epoch, t.earlierLeaseMS)
	if err != nil {
		return takenPartition{}, err
	}
	end := snapshot.End
	err = h.cfg.Store.Append(ctx, deps.Append{Partition: p, ExpectedEnd: &end, Fence: &deps.Fence{Epoch: t.epoch, Sequence: t.sequence},
		Records: []shard.Record{rec}})
	if err != nil && deps.KindOf(err) == deps.KindUnknown {
		return h.confirmTakeover(ctx, t, err)
	}
	return t, err
}

// confirmTakeover checks whether a takeover without an answer has taken effect.
func (h *Host) confirmTakeover(ctx context.Context, t takenPartition, cause error) (takenPartition, error) {
	snapshot, err := h.cfg.Store.Newest(ctx, t.partition)
	if err != nil {
		return takenPartition{}, cause
	}
	for _, r := range snapshot.Records {
		var o ownership
		if r.Key == ownerKey && decMode.Unmarshal(r.Value, &o) == nil && o.Epoch == t.epoch && o.Incarnation == h.incarnation {
			return t, nil
		}
	}
	return takenPartition{}, cause
}

// startOwning begins to schedule for a partition that this node has taken over.
func (h *Host) startOwning(t takenPartition) {
	now := monotonicMS()
	ctx, cancel := context.WithCancel(context.Background())
	s := &ownedShard{partition: t.partition, epoch: t.epoch, sequence: t.sequence, ctx: ctx, cancel: cancel, ownedSince: now, earlierLeasesUntil: now + t.earlierLeaseMS, records: map[string][]byte{}}
	s.verifiedAt.Store(t.startedAt)
	h.owned[t.partition] = s
	if t.partition.Topic == deps.TopicJobs {
		h.restoreShard(s, t, now)
	} else {
		for _, r := range t.records {
			s.records[r.Key] = r.Value
		}
		s.hadPredecessor = t.previous.Node != ""
		h.fleet = newFleetController(h, s)
		h.fleet.predecessorIdleMS = h.predecessorIdleMS(t.previous, now)
		h.startArbiter(s, now)
	}
	h.record(events.ShardTaken, events.Fields{Peer: t.previous.Node, Detail: fmt.Sprintf("%s epoch=%d records=%d stale=%v handed_over=%v previous_epoch=%d earlier_leases_ms=%d took_ms=%d",
		describe(t.partition), t.epoch, len(t.records), t.previousMayBeAlive, t.handover != nil, t.previous.Epoch, t.earlierLeaseMS, now-t.startedAt)})
	h.publishOwnership()
	h.announce(t.partition, t.epoch)
	if t.partition.Topic == deps.TopicJobs {
		go h.homes.refresh()
	}
}

// predecessorIdleMS returns how long a previous fleet controller has certainly
// not acted: as reported in its last heartbeat, or since its process was
// replaced. It returns 0 if nothing is known.
func (h *Host) predecessorIdleMS(previous ownership, now int64) int64 {
	n := h.nodes[previous.Node]
	switch {
	case n == nil:
		return 0
	case n.record.Incarnation > previous.Incarnation:
		return n.record.UptimeMS + now - n.heartbeatAt
	case n.record.Leaving && n.record.ActionIdleMS > 0:
		return n.record.ActionIdleMS + now - n.heartbeatAt
	}
	return 0
}

func (h *Host) restoreShard(s *ownedShard, t takenPartition, now int64) {
	s.core = shard.New(h.cfg.shardConfig(t.partition.Index, t.epoch, t.earlierLeaseMS), now, wallMS())
	for _, r := range t.records {
		if err := s.core.Restore(r); err != nil {
			h.record(events.RecordUnreadable, events.Fields{Detail: describe(s.partition) + " " + r.Key, Err: err})
		}
	}
	if t.handover != nil {
		s.core.RestoreSilentWorkers(t.handover.SilentWorkers)
	}
	h.updateShardQueues(s)
	h.needWorkers.Store(true)
	select {
	case h.workersNeeded <- struct{}{}:
	default:
	}
	h.updateShardWorkers(s)
}
