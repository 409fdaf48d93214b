package jobhost

import (
	"context"
	"slices"
	"sort"
	"time"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
	"wigeonwinch/node/peer"
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 13, MapPairs: 1 << 10, NestedLevels: 12})
)

// ownership names the owner of the shard of a partition.
type ownership struct {
	Topic       int    `cbor:"1,keyasint"`
	Index       int    `cbor:"2,keyasint"`
	Epoch       int64  `cbor:"3,keyasint"`
	Node        string `cbor:"4,keyasint,omitempty"`
	Incarnation int64  `cbor:"5,keyasint,omitempty"`
}

func (o ownership) partition() deps.Partition {
	return deps.Partition{Topic: deps.Topic(o.Topic), Index: o.Index}
}

// heartbeatRecord is a node's heartbeat as it is stored.
type heartbeatRecord struct {
	Node        string      `cbor:"1,keyasint"`
	Zone        string      `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Incarnation int64       `cbor:"4,keyasint"`
	Sequence    int64       `cbor:"5,keyasint"`
	Leaving     bool        `cbor:"6,keyasint,omitempty"`
	Owned       []ownership `cbor:"7,keyasint,omitempty"`
	// ActionIdleMS is set in the last heartbeat of a leaving node: how long it
	// has not acted on VMs.
	ActionIdleMS int64 `cbor:"8,keyasint,omitempty"`
	// UptimeMS is how long the process has run.
	UptimeMS int64 `cbor:"9,keyasint,omitempty"`
	// Cores is the CPU capacity of the node's VM in cores.
	Cores float64 `cbor:"10,keyasint,omitempty"`
	// Idle reports that the next heartbeat may follow only after
	// idleHeartbeatInterval.
	Idle bool `cbor:"11,keyasint,omitempty"`
	// EarlierLeases are the leases of the owners before this one, by its epochs.
	EarlierLeases []earlierLease `cbor:"12,keyasint,omitempty"`
}

// nodeState is what this node knows about a node, itself included.
type nodeState struct {
	record heartbeatRecord
	// heartbeatAt is when a new heartbeat was last read.
	heartbeatAt int64
}

// claims reports whether the node's last heartbeat claims a partition.
func (n *nodeState) claims(p deps.Partition) bool {
	return slices.ContainsFunc(n.record.Owned, func(o ownership) bool { return o.partition() == p })
}

func (n *nodeState) fresh(now int64) bool {
	maxAge := silentAfter
	if n.record.Idle {
		maxAge = idleSilentAfter
	}
	return !n.record.Leaving && now-n.heartbeatAt <= maxAge.Milliseconds()
}

// followNodes reads the heartbeats in nodesPartition, and followIdle those in
// idlePartition, which only a large fleet uses.
func (h *Host) followNodes(ctx context.Context) {
	f := partitionReader{host: h, partition: nodesPartition, pause: readInterval, urgent: h.nextCandidate.Load}
	f.run(ctx, h.postHeartbeats, func(sentAt int64) { h.post(func() { h.markNodesRead(sentAt) }) })
}

func (h *Host) followIdle(ctx context.Context) {
	f := partitionReader{host: h, partition: idlePartition, pause: idleReadInterval, active: h.largeFleet.Load}
	f.run(ctx, h.postHeartbeats, nil)
}

func (h *Host) postHeartbeats(records []shard.Record, _ bool) {
	h.post(func() { h.applyHeartbeats(records) })
}

// markNodesRead records a successful read of nodesPartition that was sent at the given time.
func (h *Host) markNodesRead(sentAt int64) {
	if sentAt-h.nodesReadAt > startWindow.Milliseconds() {
		h.readsUnbrokenSince = sentAt
	}
	h.nodesReadAt = max(h.nodesReadAt, sentAt)
}

func (h *Host) applyHeartbeats(records []shard.Record) {
	now := monotonicMS()
	for _, r := range records {
		var rec heartbeatRecord
		if len(r.Value) == 0 {
			continue
		}
		if err := decMode.Unmarshal(r.Value, &rec); err != nil || rec.Node == "" {
			h.record(events.RecordUnreadable, events.Fields{Detail: "heartbeat " + r.Key, Err: err})
			continue
		}
		h.applyHeartbeat(now, rec)
	}
	h.publishOwners(now)
	h.setMembers()
}

func (h *Host) applyHeartbeat(now int64, rec heartbeatRecord) {
	n := h.nodes[rec.Node]
	if n == nil {
		n = &nodeState{}
		h.nodes[rec.Node] = n
		h.record(events.NodeSeen, events.Fields{Peer: rec.Node, Detail: rec.Zone + " " + rec.Address})
	}
	if rec.Incarnation < n.record.Incarnation || rec.Incarnation == n.record.Incarnation && rec.Sequence <= n.record.Sequence {
		return
	}
	n.record = rec
	n.heartbeatAt = now
	for _, o := range rec.Owned {
		h.applyClaim(o)
	}
}

// applyClaim drops the shard that a newer owner claims.
func (h *Host) applyClaim(o ownership) {
	if s := h.owned[o.partition()]; s != nil && s.epoch < o.Epoch {
		h.dropShard(s, "taken over by "+o.Node)
	}
}

// publishOwners determines the owner of each shard for the goroutines that
// forward requests.
func (h *Host) publishOwners(now int64) {
	owners := map[deps.Partition]ownership{}
	for _, n := range h.nodes {
		for _, o := range n.record.Owned {
			if o.Epoch > owners[o.partition()].Epoch && n.fresh(now) {
				owners[o.partition()] = o
			}
		}
	}
	for p, o := range h.announcedOwners {
		if o.Epoch > owners[p].Epoch {
			owners[p] = o
		}
	}
	for p, s := range h.owned {
		if s.core != nil && s.epoch >= owners[p].Epoch {
			owners[p] = h.ownership(p, s.epoch)
		}
	}
	h.owners.Store(&owners)
}

func (h *Host) setMembers() {
	members := make([]peer.Member, 0, len(h.nodes))
	for _, n := range h.nodes {
		members = append(members, peer.Member{Zone: n.record.Zone, EntryMember: structs.EntryMember{
			Node: n.record.Node, Incarnation: uint64(n.record.Incarnation), PeerAddress: n.record.Address,
		}})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	h.mesh.SetMembers(members)
}

// partitionReader reads one partition that other programs or nodes write.
type partitionReader struct {
	host      *Host
	partition deps.Partition
	wait      time.Duration
	// answerMargin is how much longer than wait a read may take.
	answerMargin time.Duration
	pause        time.Duration
	// urgent reports whether to read more often. nil means never.
	urgent func() bool
	// active reports whether to read now. nil means always. wake ends the pause
	// before active is asked again.
	active func() bool
	wake   <-chan struct{}
}

// run calls handle with new records. whole reports that they are all the
// records that the store holds rather than an addition. onRead, if set, is
// called after each successful read with the time at which it was sent.
func (f partitionReader) run(ctx context.Context, handle func(records []shard.Record, whole bool), onRead func(sentAt int64)) {
	next := int64(-1)
	failing := false
	for ctx.Err() == nil {
		if f.active != nil && !f.active() {
			next = -1
			f.waitUntilActive(ctx)
			continue
		}
		sentAt := monotonicMS()
		records, end, whole, err := f.read(ctx, next)
		if (err != nil) != failing {
			failing = err != nil
			f.host.recordStoreState(failing, "read", err)
		}
		if err != nil {
			if deps.KindOf(err) == deps.KindTrimmed {
				next = -1
				continue
			}
			pause.For(ctx, readRetryDelay)
			continue
		}
		next = end
		if len(records) > 0 || whole {
			handle(records, whole)
		}
		if onRead != nil {
			onRead(sentAt)
		}
		if f.wait == 0 || len(records) > 0 {
			pause.For(ctx, f.nextPause())
		}
	}
}

func (f partitionReader) waitUntilActive(ctx context.Context) {
	timer := time.NewTimer(f.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

func (f partitionReader) nextPause() time.Duration {
	if f.urgent != nil && f.urgent() {
		return f.pause / 4
	}
	return f.pause
}

func (f partitionReader) read(ctx context.Context, next int64) ([]shard.Record, int64, bool, error) {
	timeout := f.wait + max(f.answerMargin, minReadMargin)
	if next < 0 {
		timeout = storeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.host.stats.storeReads.Add(1)
	if next < 0 {
		snapshot, err := f.host.cfg.Store.Newest(ctx, f.partition)
		return snapshot.Records, snapshot.EndAtStart, true, err
	}
	records, end, err := f.host.cfg.Store.Read(ctx, f.partition, next, f.wait)
	return records, end, false, err
}

// minReadMargin is the minimum time that a read gets beyond its wait.
const minReadMargin = 500 * time.Millisecond
