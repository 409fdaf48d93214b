package jobhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// The paces of heartbeats. A partition of the store takes one append after
// the other, 2 ms each and 60 times that when the store is slow: 8 a second.
// In a fleet of many nodes only the owners of shards write often there.
const (
	// fewNodes may all write often; the store's slowest times leave each of
	// them a heartbeat a second.
	fewNodes = 8
	// idleInterval is the pause of nodes that own nothing: 9 writes a second
	// of 36 nodes.
	idleInterval = 4 * time.Second
	// idleRetry is their pause after a heartbeat that was not taken.
	idleRetry = time.Second
	// idleSilentAfter is when such a node is no longer counted on: two of its
	// heartbeats got lost.
	idleSilentAfter = 9 * time.Second
	// idleReadInterval is the pause between two reads of their heartbeats.
	idleReadInterval = time.Second
	// alertAfter is an owner's silence that makes the next in line write
	// often: one heartbeat and one read more than usual.
	alertAfter = time.Second
	// alertRanks is how many of them do: more than fail at once with a zone.
	alertRanks = 4
	// alertWatch is for how long they have to see others silent after their
	// own heartbeats are taken again: an owner's retry and a read.
	alertWatch = 800 * time.Millisecond
	// introduction is for how long after its start a node writes often, so
	// that all see it before the first shards are dealt.
	introduction = 2 * time.Second
)

var (
	nodesPartition = deps.Partition{Topic: deps.TopicNodes}
	// idlePartition takes the heartbeats of the nodes that own nothing.
	idlePartition = deps.Partition{Topic: deps.TopicNodes, Index: 1}
)

// pace is how a node writes its heartbeats.
type pace int32

const (
	// paceOwner: often, where all look for owners.
	paceOwner pace = iota
	// paceAlert: often, beside the idle ones, so that the owners of a slow
	// store are not held up by those who would replace them.
	paceAlert
	// paceIdle: rarely.
	paceIdle
)

// plan returns the partition and the pauses after a heartbeat that was taken
// and after one that was not.
func (p pace) plan() (partition deps.Partition, taken, failed time.Duration) {
	switch p {
	case paceIdle:
		return idlePartition, idleInterval, idleRetry
	case paceAlert:
		return idlePartition, heartbeatInterval, appendRetry
	}
	return nodesPartition, heartbeatInterval, appendRetry
}

// paceHeartbeats decides how this node writes its heartbeats.
func (h *Host) paceHeartbeats(now int64) {
	here := 0
	for _, n := range h.nodes {
		if !n.record.Leaving {
			here++
		}
	}
	h.crowded.Store(here > fewNodes)
	next := paceOwner
	switch {
	case here <= fewNodes || len(h.owned)+len(h.claiming) > 0 || now-h.startedAt < introduction.Milliseconds():
	case h.alerted(now):
		next = paceAlert
	default:
		next = paceIdle
	}
	if last := pace(h.beatPace.Swap(int32(next))); next < last {
		h.beatSoon()
	}
}

// alerted says whether a shard's owner is late or missing and this node is
// among the next in line.
func (h *Host) alerted(now int64) bool {
	for _, p := range h.needed() {
		if h.ownerSeen(p, now, alertAfter) {
			continue
		}
		order := h.candidates(p, now, nil)
		for _, name := range order[:min(len(order), alertRanks)] {
			if name == h.cfg.Node {
				return true
			}
		}
	}
	return false
}

// ownerSeen says whether a partition's owner has been heard of within a time.
func (h *Host) ownerSeen(p deps.Partition, now int64, within time.Duration) bool {
	for _, n := range h.nodes {
		if !n.record.Leaving && now-n.changedAt <= within.Milliseconds() && n.owns(p) {
			return true
		}
	}
	return false
}

// confirmed is the last heartbeat that the store has. Since chainStart no
// other node can have seen this one as silent.
type confirmed struct{ sentAt, chainStart int64 }

// confirm continues the chain of heartbeats, or starts a new one after a gap
// in which others may have taken over.
func (h *Host) confirm(sentAt int64) {
	c := &confirmed{sentAt: sentAt, chainStart: sentAt}
	last := h.heartbeat.Load()
	if last != nil && last.sentAt >= sentAt {
		return
	}
	if last != nil && steadyMS()-last.sentAt < startRight.Milliseconds() {
		c.chainStart = last.chainStart
	}
	if !h.heartbeat.CompareAndSwap(last, c) {
		h.confirm(sentAt)
	}
}

// beat writes this node's heartbeats until the context ends. The first one of a
// slower pace still goes where all look for owners, so that they learn of it.
func (h *Host) beat(ctx context.Context) {
	sequence := int64(0)
	lost := false
	last := paceOwner
	for ctx.Err() == nil && !h.leaving.Load() {
		sequence++
		now := pace(h.beatPace.Load())
		partition, pause, retry := now.plan()
		if last == paceOwner {
			partition = nodesPartition
		}
		err := h.beatOnce(ctx, partition, sequence, now != paceOwner)
		if err != nil {
			pause = retry
		} else {
			last = now
		}
		if (err != nil) != lost {
			lost = err != nil
			h.noteStore(lost, "heartbeat", err)
		}
		select {
		case <-time.After(pause):
		case <-h.wakeBeat:
		case <-ctx.Done():
		}
	}
}

// beatOnce writes one heartbeat. One that has no answer yet when the next is
// due does not hold it up, and counts once its answer comes.
func (h *Host) beatOnce(ctx context.Context, partition deps.Partition, sequence int64, idle bool) error {
	answered := make(chan error, 1)
	go func() {
		sentAt := steadyMS()
		err := h.writeHeartbeat(ctx, partition, sequence, idle)
		if err == nil {
			h.confirm(sentAt)
		}
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-time.After(heartbeatDue):
		return errors.Errorf("no answer within %s", heartbeatDue)
	}
}

func (h *Host) noteStore(lost bool, call string, err error) {
	if lost {
		h.record(events.StoreLost, events.Fields{Detail: call, Err: err})
		return
	}
	h.record(events.StoreBack, events.Fields{Detail: call})
}

func (h *Host) writeHeartbeat(ctx context.Context, partition deps.Partition, sequence int64, idle bool) error {
	rec := heartbeatRecord{
		Node: h.cfg.Node, Zone: h.cfg.Zone, Address: h.address(), Boot: h.boot,
		Sequence: sequence, Leaving: h.leaving.Load(), Owned: *h.ownedView.Load(), QuietMS: h.quietMS, UptimeMS: steadyMS() - h.startedAt,
		Cores: h.cfg.Cores, Idle: idle,
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

// NextBoot returns a number above those of all earlier processes of a node.
// The time of day alone may have been set back; the store has the last one.
func NextBoot(ctx context.Context, store deps.Store, node string) int64 {
	boot := time.Now().UnixNano()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	page, err := store.Newest(ctx, nodesPartition)
	if err != nil {
		return boot
	}
	for _, r := range page.Records {
		var rec heartbeatRecord
		if r.Key == node && decMode.Unmarshal(r.Value, &rec) == nil {
			boot = max(boot, rec.Boot+1)
		}
	}
	return boot
}

// beatSoon writes the next heartbeat at once.
func (h *Host) beatSoon() {
	select {
	case h.wakeBeat <- struct{}{}:
	default:
	}
}
