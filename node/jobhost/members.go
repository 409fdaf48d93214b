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

// ownership says who owns a partition's shard.
type ownership struct {
	Topic int    `cbor:"1,keyasint"`
	Index int    `cbor:"2,keyasint"`
	Epoch int64  `cbor:"3,keyasint"`
	Node  string `cbor:"4,keyasint,omitempty"`
	Boot  int64  `cbor:"5,keyasint,omitempty"`
}

func (o ownership) partition() deps.Partition {
	return deps.Partition{Topic: deps.Topic(o.Topic), Index: o.Index}
}

// heartbeatRecord is what a node says of itself in the store.
type heartbeatRecord struct {
	Node     string      `cbor:"1,keyasint"`
	Zone     string      `cbor:"2,keyasint"`
	Address  string      `cbor:"3,keyasint"`
	Boot     int64       `cbor:"4,keyasint"`
	Sequence int64       `cbor:"5,keyasint"`
	Leaving  bool        `cbor:"6,keyasint,omitempty"`
	Owned    []ownership `cbor:"7,keyasint,omitempty"`
	// QuietMS is, in a leaving node's last heartbeat, for how long it has not
	// acted on VMs.
	QuietMS int64 `cbor:"8,keyasint,omitempty"`
	// UptimeMS is for how long the process has run.
	UptimeMS int64 `cbor:"9,keyasint,omitempty"`
	// Cores is what the node's VM can compute, in cores.
	Cores float64 `cbor:"10,keyasint,omitempty"`
	// Idle says that the next heartbeat comes after idleInterval only.
	Idle bool `cbor:"11,keyasint,omitempty"`
}

// nodeView is what this node knows of another, or of itself.
type nodeView struct {
	record heartbeatRecord
	// changedAt is when a new heartbeat was last read.
	changedAt int64
}

// owns says whether the node's last heartbeat claims a partition.
func (n *nodeView) owns(p deps.Partition) bool {
	return slices.ContainsFunc(n.record.Owned, func(o ownership) bool { return o.partition() == p })
}

func (n *nodeView) fresh(now int64) bool {
	bound := silentAfter
	if n.record.Idle {
		bound = idleSilentAfter
	}
	return !n.record.Leaving && now-n.changedAt <= bound.Milliseconds()
}

// followNodes reads the heartbeats that come often, followIdle the others.
func (h *Host) followNodes(ctx context.Context) {
	f := feed{host: h, partition: nodesPartition, pause: readInterval}
	f.follow(ctx, h.postHeartbeats, func() { h.post(h.nodesWereRead) })
}

func (h *Host) followIdle(ctx context.Context) {
	f := feed{host: h, partition: idlePartition, pause: idleReadInterval, active: h.crowded.Load}
	f.follow(ctx, h.postHeartbeats, nil)
}

func (h *Host) postHeartbeats(records []shard.Record, _ bool) {
	h.post(func() { h.takeHeartbeats(records) })
}

// nodesWereRead notes a read of the heartbeats that come often.
func (h *Host) nodesWereRead() {
	now := steadyMS()
	if now-h.nodesOK > startRight.Milliseconds() {
		h.readsSince = now
	}
	h.nodesOK = now
}

func (h *Host) takeHeartbeats(records []shard.Record) {
	now := steadyMS()
	for _, r := range records {
		var rec heartbeatRecord
		if len(r.Value) == 0 {
			continue
		}
		if err := decMode.Unmarshal(r.Value, &rec); err != nil || rec.Node == "" {
			h.record(events.RecordUnreadable, events.Fields{Detail: "heartbeat " + r.Key, Err: err})
			continue
		}
		h.takeHeartbeat(now, rec)
	}
	h.publishOwners(now)
	h.setMembers()
}

func (h *Host) takeHeartbeat(now int64, rec heartbeatRecord) {
	n := h.nodes[rec.Node]
	if n == nil {
		n = &nodeView{}
		h.nodes[rec.Node] = n
		h.record(events.NodeSeen, events.Fields{Peer: rec.Node, Detail: rec.Zone + " " + rec.Address})
	}
	if rec.Boot < n.record.Boot || rec.Boot == n.record.Boot && rec.Sequence <= n.record.Sequence {
		return
	}
	n.record = rec
	n.changedAt = now
}

// publishOwners works out who owns which shard, for the goroutines that pass
// requests on.
func (h *Host) publishOwners(now int64) {
	owners := map[deps.Partition]ownership{}
	for _, n := range h.nodes {
		for _, o := range n.record.Owned {
			if o.Epoch > owners[o.partition()].Epoch && n.fresh(now) {
				owners[o.partition()] = o
			}
		}
	}
	for p, o := range h.announced {
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
			Node: n.record.Node, Incarnation: uint64(n.record.Boot), PeerAddress: n.record.Address,
		}})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	h.mesh.SetMembers(members)
}

// feed follows one partition that others write.
type feed struct {
	host      *Host
	partition deps.Partition
	wait      time.Duration
	// margin is how much longer than wait a read may take.
	margin time.Duration
	pause  time.Duration
	// hurry says whether to read more often; nil means never.
	hurry func() bool
	// active says whether to read now; nil means always.
	active func() bool
}

// follow calls take with new records; whole says that they are all that is
// kept, not an addition. Each successful read is reported to ok.
func (f feed) follow(ctx context.Context, take func(records []shard.Record, whole bool), ok func()) {
	next := int64(-1)
	lost := false
	for ctx.Err() == nil {
		if f.active != nil && !f.active() {
			next = -1
			pause.For(ctx, f.pause)
			continue
		}
		records, after, whole, err := f.read(ctx, next)
		if (err != nil) != lost {
			lost = err != nil
			f.host.noteStore(lost, "read", err)
		}
		if err != nil {
			if deps.KindOf(err) == deps.KindTrimmed {
				next = -1
				continue
			}
			pause.For(ctx, readRetry)
			continue
		}
		next = after
		if len(records) > 0 || whole {
			take(records, whole)
		}
		if ok != nil {
			ok()
		}
		if f.wait == 0 || len(records) > 0 {
			pause.For(ctx, f.pauseNow())
		}
	}
}

func (f feed) pauseNow() time.Duration {
	if f.hurry != nil && f.hurry() {
		return f.pause / 4
	}
	return f.pause
}

func (f feed) read(ctx context.Context, next int64) ([]shard.Record, int64, bool, error) {
	bound := f.wait + max(f.margin, minReadMargin)
	if next < 0 {
		bound = storeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	f.host.stats.storeReads.Add(1)
	if next < 0 {
		page, err := f.host.cfg.Store.Newest(ctx, f.partition)
		return page.Records, page.StartEnd, true, err
	}
	records, after, err := f.host.cfg.Store.Read(ctx, f.partition, next, f.wait)
	return records, after, false, err
}

// minReadMargin is the least time that a read of the store gets.
const minReadMargin = 500 * time.Millisecond
