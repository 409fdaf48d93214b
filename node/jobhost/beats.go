package jobhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// The intervals and bounds of heartbeats. The store processes the appends to a
// partition one at a time. An append takes 2 ms, or 60 times that when the
// store is slow, which leaves 8 appends per second. In a large fleet only the
// owners of shards therefore write frequently to nodesPartition.
const (
	// smallFleetNodes is the largest fleet in which all nodes send frequent
	// heartbeats. When the store is slowest, each of them can still write one
	// heartbeat per second.
	smallFleetNodes = 8
	// idleHeartbeatInterval is the pause between the heartbeats of nodes that
	// own nothing: 36 nodes write 9 heartbeats per second.
	idleHeartbeatInterval = 4 * time.Second
	// idleHeartbeatRetryDelay is the pause of such nodes after a heartbeat that
	// the store did not accept.
	idleHeartbeatRetryDelay = time.Second
	// idleSilentAfter is when such a node is presumed dead: two of its
	// heartbeats were lost.
	idleSilentAfter = 9 * time.Second
	// idleReadInterval is the pause between two reads of the heartbeats of
	// these nodes.
	idleReadInterval = time.Second
	// ownerLateAfter is the age of an owner's last heartbeat at which the next
	// takeover candidates begin to send frequent heartbeats. It allows for one
	// heartbeat and one read more than usual.
	ownerLateAfter = time.Second
	// standbyNodes is the number of candidates that then send frequent
	// heartbeats: more than fail at once with a zone.
	standbyNodes = 4
	// standbyObservation is how long a standby node must observe others as
	// silent after the store accepts its own heartbeats again: one retry of an
	// owner and one read.
	standbyObservation = 800 * time.Millisecond
	// startupHeartbeatPeriod is how long after its start a node sends frequent
	// heartbeats, so that all nodes see it before the first shards are
	// assigned.
	startupHeartbeatPeriod = 2 * time.Second
)

var (
	nodesPartition = deps.Partition{Topic: deps.TopicNodes}
	// idlePartition holds the heartbeats of the nodes that own nothing.
	idlePartition = deps.Partition{Topic: deps.TopicNodes, Index: 1}
)

// heartbeatMode selects how often and to which partition a node sends
// heartbeats.
type heartbeatMode int32

const (
	// heartbeatOwner sends frequent heartbeats to the partition in which all
	// nodes look for owners.
	heartbeatOwner heartbeatMode = iota
	// heartbeatStandby sends frequent heartbeats to the partition of the idle
	// nodes, so that on a slow store the candidates do not delay the heartbeats
	// of the owners they would replace.
	heartbeatStandby
	// heartbeatIdle sends infrequent heartbeats.
	heartbeatIdle
)

// schedule returns the partition, and the pauses after a heartbeat that the
// store accepted and after one that it did not.
func (m heartbeatMode) schedule() (partition deps.Partition, interval, retryDelay time.Duration) {
	switch m {
	case heartbeatIdle:
		return idlePartition, idleHeartbeatInterval, idleHeartbeatRetryDelay
	case heartbeatStandby:
		return idlePartition, heartbeatInterval, appendRetryDelay
	}
	return nodesPartition, heartbeatInterval, appendRetryDelay
}

// updateHeartbeatMode selects the heartbeat mode of this node.
func (h *Host) updateHeartbeatMode(now int64) {
	members := 0
	for _, n := range h.nodes {
		if !n.record.Leaving {
			members++
		}
	}
	h.largeFleet.Store(members > smallFleetNodes)
	nextCandidate := h.onStandby(now)
	h.nextCandidate.Store(nextCandidate)
	mode := heartbeatOwner
	switch {
	case members <= smallFleetNodes || len(h.owned)+len(h.takingOver) > 0 || now-h.startedAt < startupHeartbeatPeriod.Milliseconds():
	case nextCandidate:
		mode = heartbeatStandby
	default:
		mode = heartbeatIdle
	}
	if previous := heartbeatMode(h.heartbeatMode.Swap(int32(mode))); mode < previous {
		h.triggerHeartbeat()
	}
}

// onStandby reports whether the owner of a shard is late or missing and this
// node is among the next takeover candidates.
func (h *Host) onStandby(now int64) bool {
	for _, p := range h.requiredPartitions() {
		if h.ownerSeenWithin(p, now, ownerLateAfter) {
			continue
		}
		candidates := h.takeoverCandidates(p, now, nil)
		for _, name := range candidates[:min(len(candidates), standbyNodes)] {
			if name == h.cfg.Node {
				return true
			}
		}
	}
	return false
}

// ownerSeenWithin reports whether a heartbeat of a partition's owner was read
// within the given time.
func (h *Host) ownerSeenWithin(p deps.Partition, now int64, within time.Duration) bool {
	for _, n := range h.nodes {
		if !n.record.Leaving && now-n.heartbeatAt <= within.Milliseconds() && n.claims(p) {
			return true
		}
	}
	return false
}

// confirmedHeartbeat is the last heartbeat that the store has accepted. Since
// chainStart no other node can have observed this node as silent.
type confirmedHeartbeat struct{ sentAt, chainStart int64 }

// confirmHeartbeat extends the chain of heartbeats. After a gap in which others
// may have taken over, it starts a new chain.
func (h *Host) confirmHeartbeat(sentAt int64) {
	c := &confirmedHeartbeat{sentAt: sentAt, chainStart: sentAt}
	last := h.confirmedHeartbeat.Load()
	if last != nil && last.sentAt >= sentAt {
		return
	}
	if last != nil && monotonicMS()-last.sentAt < startWindow.Milliseconds() {
		c.chainStart = last.chainStart
	}
	if !h.confirmedHeartbeat.CompareAndSwap(last, c) {
		h.confirmHeartbeat(sentAt)
	}
}

// runHeartbeats sends this node's heartbeats until the context ends. The first
// heartbeat after heartbeatOwner still goes to nodesPartition, where all nodes
// look for owners and so learn of the change.
func (h *Host) runHeartbeats(ctx context.Context) {
	sequence := int64(0)
	failing := false
	lastMode := heartbeatOwner
	for ctx.Err() == nil && !h.leaving.Load() {
		sequence++
		mode := heartbeatMode(h.heartbeatMode.Load())
		partition, pause, retryDelay := mode.schedule()
		if lastMode == heartbeatOwner {
			partition = nodesPartition
		}
		err := h.sendHeartbeat(ctx, partition, sequence, mode != heartbeatOwner)
		if err != nil {
			pause = retryDelay
		} else {
			lastMode = mode
		}
		if (err != nil) != failing {
			failing = err != nil
			h.recordStoreState(failing, "heartbeat", err)
		}
		select {
		case <-time.After(pause):
		case <-h.heartbeatTrigger:
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat. If it has no answer when the next one is
// due, it does not delay the next one and still counts once its answer arrives.
func (h *Host) sendHeartbeat(ctx context.Context, partition deps.Partition, sequence int64, idle bool) error {
	answered := make(chan error, 1)
	go func() {
		sentAt := monotonicMS()
		err := h.appendHeartbeat(ctx, partition, sequence, idle)
		if err == nil {
			h.confirmHeartbeat(sentAt)
		}
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-time.After(heartbeatAnswerWait):
		return errors.Errorf("no answer within %s", heartbeatAnswerWait)
	}
}

func (h *Host) recordStoreState(failing bool, call string, err error) {
	if failing {
		h.record(events.StoreLost, events.Fields{Detail: call, Err: err})
		return
	}
	h.record(events.StoreBack, events.Fields{Detail: call})
}

func (h *Host) appendHeartbeat(ctx context.Context, partition deps.Partition, sequence int64, idle bool) error {
	view := h.ownedView.Load()
	rec := heartbeatRecord{
		Node: h.cfg.Node, Zone: h.cfg.Zone, Address: h.address(), Incarnation: h.incarnation,
		Sequence: sequence, Leaving: h.leaving.Load(), Owned: view.claims, ActionIdleMS: h.actionIdleMS.Load(), UptimeMS: monotonicMS() - h.startedAt,
		Cores: h.cfg.Cores, Idle: idle, EarlierLeases: view.earlierLeases(monotonicMS()),
	}
	value, err := encMode.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	h.stats.storeWrites.Add(1)
	return h.cfg.Store.Append(ctx, deps.Append{Partition: partition, Records: []shard.Record{{Key: h.cfg.Node, Value: value}}})
}

// NextIncarnation returns a number above those of all earlier processes of a
// node. The wall clock alone does not suffice because it may have been set
// back; the store has the last number.
func NextIncarnation(ctx context.Context, store deps.Store, node string) int64 {
	incarnation := time.Now().UnixNano()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	snapshot, err := store.Newest(ctx, nodesPartition)
	if err != nil {
		return incarnation
	}
	for _, r := range snapshot.Records {
		var rec heartbeatRecord
		if r.Key == node && decMode.Unmarshal(r.Value, &rec) == nil {
			incarnation = max(incarnation, rec.Incarnation+1)
		}
	}
	return incarnation
}

// triggerHeartbeat makes the next heartbeat due immediately.
func (h *Host) triggerHeartbeat() {
	select {
	case h.heartbeatTrigger <- struct{}{}:
	default:
	}
}
