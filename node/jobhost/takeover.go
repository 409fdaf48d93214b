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

// errNotVacant means that the owner of a partition was heard of while this node read it, or that
// this node may not take shards over any more.
var errNotVacant = errors.New("the partition has a live owner, or this node may not take it over now")

// startTakeover takes over a partition on another goroutine.
func (h *Host) startTakeover(p deps.Partition) {
	h.takingOver[p] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*storeTimeout)
		defer cancel()
		t, err := h.takeOverIfVacant(ctx, p)
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

// takeOverIfVacant reads a partition and claims it unless a live owner was heard of
// meanwhile. The heartbeats are read last: an owner that was back before that is not silent,
// and one that comes back later must change the partition before it may extend leases.
func (h *Host) takeOverIfVacant(ctx context.Context, p deps.Partition) (takenPartition, error) {
	t, err := h.readPartition(ctx, p)
	if err != nil {
		return t, err
	}
	readAt := monotonicMS()
	h.stats.storeReads.Add(1)
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	heartbeats, err := h.cfg.Store.Newest(readCtx, nodesPartition)
	if err != nil {
		return t, err
	}
	var seen observation
	vacant := false
	err = h.runOnLoop(ctx, func() {
		h.applyHeartbeats(heartbeats.Records)
		h.markNodesRead(readAt)
		now := monotonicMS()
		vacant, seen = !h.stopping && h.mayTakeOver(now) && !h.hasLiveOwner(p, now), h.observe(p, now)
	})
	if err == nil && !vacant {
		err = errNotVacant
	}
	if err != nil {
		return t, err
	}
	return h.claim(ctx, t, seen)
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
	// end is the offset at which the partition ended when it was read.
	end int64
	// previous is the previous owner.
	previous      storedOwner
	previousState previousOwner
	// earlierLeaseMS is for how long after the takeover leases of earlier owners may
	// hold on workers of which the handover says nothing; longestLeaseMS covers all.
	earlierLeaseMS, longestLeaseMS int64
	startedAt                      int64
}

// The store treats an append with the epoch and sequence of an earlier append
// as its repeat, so two nodes must never choose the same pair.
const (
	// epochsPerMS is the range of random epochs within one millisecond.
	epochsPerMS      = 1 << 10
	maxFirstSequence = 1 << 40
)

func newEpoch() int64 { return wallMS()*epochsPerMS + rand.Int64N(epochsPerMS) }

// readPartition reads the records of a partition that is to be taken over.
func (h *Host) readPartition(ctx context.Context, p deps.Partition) (takenPartition, error) {
	t := takenPartition{partition: p, sequence: rand.Int64N(maxFirstSequence) + 1, startedAt: monotonicMS()}
	snapshot, err := h.cfg.Store.Newest(ctx, p)
	if err != nil {
		return t, err
	}
	if snapshot.End != snapshot.EndAtStart {
		return t, errors.New("the partition changed while it was read")
	}
	t.end = snapshot.End
	for _, r := range snapshot.Records {
		switch r.Key {
		case ownerKey:
			if err := decMode.Unmarshal(r.Value, &t.previous); err != nil {
				return t, errors.Wrap(err, "cannot decode the owner record")
			}
		case handoverKey:
			var handover handoverRecord
			if err := decMode.Unmarshal(r.Value, &handover); err != nil {
				h.record(events.RecordUnreadable, events.Fields{Detail: describe(p) + " " + handoverKey, Err: err})
				continue
			}
			t.handover = &handover
		default:
			t.records = append(t.records, r)
		}
	}
	if t.handover != nil && (t.handover.Epoch == 0 || t.handover.Epoch != t.previous.Epoch) {
		t.handover = nil
	}
	return t, nil
}

// claim fences a partition with a higher epoch, provided that the partition has not
// changed since it was read.
func (h *Host) claim(ctx context.Context, t takenPartition, seen observation) (takenPartition, error) {
	previous := t.previous.ownership
	if previous.Epoch > seen.knownEpoch && previous.Node != h.cfg.Node && seen.stateOf(previous) == ownerMaybeAlive {
		h.post(func() { h.applyAnnouncement(previous) })
		return t, errors.Errorf("node %s has just taken over the partition", previous.Node)
	}
	t.epoch = max(seen.knownEpoch+shard.TokensPerEpoch, previous.Epoch+shard.TokensPerEpoch, newEpoch())
	if t.handover == nil && !h.isOwn(previous) {
		t.previousState = seen.stateOf(previous)
	}
	t.earlierLeaseMS = h.earlierLeaseMS(seen, t.previous, t.previousState)
	t.longestLeaseMS = max(t.earlierLeaseMS, t.handover.longestLeaseMS())
	if t.partition == fleetPartition {
		// A fleet controller gives no leases; its successors wait for its actions.
		t.longestLeaseMS = h.cfg.TakeoverGapMS + verificationTTL.Milliseconds()
	}
	rec, err := h.ownerRecord(t.partition, t.epoch, t.longestLeaseMS)
	if err != nil {
		return t, err
	}
	err = h.cfg.Store.Append(ctx, deps.Append{Partition: t.partition, ExpectedEnd: &t.end, Fence: &deps.Fence{Epoch: t.epoch, Sequence: t.sequence},
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
		return t, cause
	}
	for _, r := range snapshot.Records {
		var o ownership
		if r.Key == ownerKey && decMode.Unmarshal(r.Value, &o) == nil && o.Epoch == t.epoch && o.Incarnation == h.incarnation {
			return t, nil
		}
	}
	return t, cause
}

// startOwning begins to schedule for a partition that this node has taken over.
func (h *Host) startOwning(t takenPartition) {
	now := monotonicMS()
	ctx, cancel := context.WithCancel(context.Background())
	s := &ownedShard{partition: t.partition, epoch: t.epoch, sequence: t.sequence, ctx: ctx, cancel: cancel, ownedSince: now, earlierLeasesUntil: now + t.longestLeaseMS, storedLeasesUntil: now + t.longestLeaseMS, records: map[string][]byte{}}
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
		describe(t.partition), t.epoch, len(t.records), t.previousState != ownerEnded, t.handover != nil, t.previous.Epoch, t.earlierLeaseMS, now-t.startedAt)})
	h.publishOwnership()
	h.announce(t.partition, t.epoch)
	if t.partition.Topic == deps.TopicJobs {
		go h.homes.refresh()
	}
}

// predecessorIdleMS returns how long a previous fleet controller, and those before it, have
// certainly not acted: as reported in its last heartbeat, or since its process was replaced.
// It returns 0 if nothing is known, as of a controller that has not outlived the gap after
// the one before it.
func (h *Host) predecessorIdleMS(previous storedOwner, now int64) int64 {
	if previous.EarlierLeaseMS == nil || *previous.EarlierLeaseMS > 0 {
		return 0
	}
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
