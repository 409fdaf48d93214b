package jobhost

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"sync/atomic"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// ownerKey is the key of the record that names a partition's owner.
const ownerKey = "owner"

// ownedShard is a partition that this node owns.
type ownedShard struct {
	partition deps.Partition
	epoch     int64
	sequence  int64
	// core decides about jobs; nil for the fleet's partition.
	core *shard.Core
	// appending says that an append is under way.
	appending    bool
	failingSince int64
	ctx          context.Context
	cancel       context.CancelFunc
	takenAt      int64
	// provenAt is when the last append was sent that the store took from this
	// owner.
	provenAt atomic.Int64
	// extra are records beside those of the core.
	extra []extraRecord
	// cordonEpoch and cordonAt are of the last cordons.
	cordonEpoch, cordonAt int64
	// kept are the fleet's records; inherited says that an earlier holder wrote
	// them.
	kept      map[string][]byte
	inherited bool
}

func (h *Host) sortedOwned() []*ownedShard {
	list := make([]*ownedShard, 0, len(h.owned))
	for _, s := range h.owned {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].partition.Topic != list[j].partition.Topic {
			return list[i].partition.Topic < list[j].partition.Topic
		}
		return list[i].partition.Index < list[j].partition.Index
	})
	return list
}

// lookForVacant starts to take over shards that have no live owner, if this
// node is next in line.
func (h *Host) lookForVacant(now int64) {
	if h.stopping || !h.mayClaim(now) {
		return
	}
	extra := map[string]int{}
	for _, p := range h.needed() {
		if h.owned[p] != nil || h.claiming[p] || h.hasOwner(p, now) {
			delete(h.vacantAt, p)
			continue
		}
		if h.vacantAt[p] == 0 {
			h.vacantAt[p] = now
		}
		order := h.candidates(p, now, extra)
		extra[order[0]]++
		for rank, name := range order {
			if name == h.cfg.Node && now-h.vacantAt[p] >= int64(rank)*rankStep.Milliseconds() {
				h.claim(p, now)
			}
		}
	}
}

// mayClaim says whether this node sees the others' heartbeats and can write
// its own, so that silence is theirs and not its own.
func (h *Host) mayClaim(now int64) bool {
	beat := h.heartbeat.Load()
	recent := heartbeatInterval.Milliseconds() + storeTimeout.Milliseconds()
	return beat != nil && now-beat.sentAt < recent && now-h.nodesOK < recent && now-h.startedAt > settleIn.Milliseconds()
}

// present says whether a node is to be taken as alive. After a gap in its own
// heartbeats this node has to see the others silent for the full time again.
func (h *Host) present(n *nodeView, now int64) bool {
	if n.record.Leaving {
		return false
	}
	return n.fresh(now) || !h.watched(now)
}

// watched says whether the others' silence is their own: the store took this
// node's heartbeats for as long, or, in a fleet where it writes rarely, let it
// read for as long and has lately taken them.
func (h *Host) watched(now int64) bool {
	beat := h.heartbeat.Load()
	if beat == nil {
		return false
	}
	full := (silentAfter + readInterval).Milliseconds()
	chain := now - beat.chainStart
	return chain >= full || h.crowded.Load() && now-h.readsSince >= full && chain >= alertWatch.Milliseconds()
}

// hasOwner says whether a live node claims to own a partition.
func (h *Host) hasOwner(p deps.Partition, now int64) bool {
	for _, n := range h.nodes {
		if !h.present(n, now) || n.record.Node == h.cfg.Node {
			continue
		}
		a, ok := h.announced[p]
		if n.owns(p) || ok && a.Node == n.record.Node && a.Boot == n.record.Boot && now-h.announcedAt[p] < silentAfter.Milliseconds() {
			return true
		}
	}
	return false
}

// restartGap is the difference in start times that tells a node restarted
// lately from one that started with the system.
const restartGap = 3 * time.Second

// candidates lists the live nodes in the order in which they should take a
// partition. The fleet's goes to the node that started last: in a roll-out it
// is the one that is not restarted next. Others go where a shard has the most
// cores.
func (h *Host) candidates(p deps.Partition, now int64, extra map[string]int) []string {
	load := map[string]float64{h.cfg.Node: shardsPerCore(len(h.owned)+len(h.claiming)+extra[h.cfg.Node], h.cfg.Cores)}
	for name, n := range h.nodes {
		if name != h.cfg.Node && n.fresh(now) {
			load[name] = shardsPerCore(len(n.record.Owned)+extra[name], n.record.Cores)
		}
	}
	names := make([]string, 0, len(load))
	for name := range load {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if gap := h.bootOf(a) - h.bootOf(b); p == fleetPartition && (gap > restartGap.Nanoseconds() || -gap > restartGap.Nanoseconds()) {
			return gap > 0
		}
		if load[a] != load[b] {
			return load[a] < load[b]
		}
		return spread(a, p) < spread(b, p)
	})
	return names
}

// shardsPerCore is what a node's VM would carry with one shard more.
func shardsPerCore(shards int, cores float64) float64 {
	if cores <= 0 {
		cores = usualCores
	}
	return float64(shards+1) / cores
}

func (h *Host) bootOf(node string) int64 {
	if node == h.cfg.Node {
		return h.boot
	}
	if n := h.nodes[node]; n != nil {
		return n.record.Boot
	}
	return 0
}

func spread(node string, p deps.Partition) uint32 {
	f := fnv.New32a()
	_, _ = fmt.Fprintf(f, "%s/%d/%d", node, p.Topic, p.Index)
	return f.Sum32()
}

func describe(p deps.Partition) string { return fmt.Sprintf("topic=%d partition=%d", p.Topic, p.Index) }

// extraRecord is stored between the core's batches.
type extraRecord struct {
	record shard.Record
	done   func()
}

// ownership is this node's claim to a partition.
func (h *Host) ownership(p deps.Partition, epoch int64) ownership {
	return ownership{Topic: int(p.Topic), Index: p.Index, Epoch: epoch, Node: h.cfg.Node, Boot: h.boot}
}

// ownerRecord names this node as a partition's owner. Appending it anew proves
// that no newer owner has fenced this one.
func (h *Host) ownerRecord(p deps.Partition, epoch int64) (shard.Record, error) {
	value, err := encMode.Marshal(h.ownership(p, epoch))
	return shard.Record{Key: ownerKey, Value: value}, err
}

// right returns until when the shard's owner may decide, as of the last
// heartbeat; ok is false while it has to prove that nobody took over.
func (h *Host) right(s *ownedShard) (beat confirmed, ok bool) {
	c := h.heartbeat.Load()
	if c == nil {
		return confirmed{}, false
	}
	return *c, s.provenAt.Load() >= c.chainStart
}

// prove writes the owner's record again, which a newer owner's epoch refuses.
func (h *Host) prove(s *ownedShard) {
	if s.appending || len(s.extra) > 0 {
		return
	}
	rec, err := h.ownerRecord(s.partition, s.epoch)
	if err != nil {
		h.drop(s, err.Error())
		return
	}
	s.extra = append(s.extra, extraRecord{rec, func() {}})
}

// ownershipChanged republishes what this node owns.
func (h *Host) ownershipChanged() {
	view := make([]ownership, 0, len(h.owned))
	for _, s := range h.sortedOwned() {
		view = append(view, h.ownership(s.partition, s.epoch))
	}
	h.ownedView.Store(&view)
	h.publishOwners(steadyMS())
	h.beatSoon()
}

// drop gives a partition up without a word to the store: another node owns it.
func (h *Host) drop(s *ownedShard, why string) {
	if h.owned[s.partition] != s {
		return
	}
	h.abandon(s)
	if h.fleet != nil && h.fleet.shard == s {
		h.fleet = nil
	}
	h.record(events.ShardLost, events.Fields{Detail: fmt.Sprintf("%s epoch=%d: %s", describe(s.partition), s.epoch, why)})
	h.needLists.Store(h.ownsJobs())
	h.ownershipChanged()
}

// abandon ends a shard's calls and tells its callers at once that they have
// to ask the next owner.
func (h *Host) abandon(s *ownedShard) {
	delete(h.owned, s.partition)
	s.cancel()
	if s.core == nil {
		return
	}
	for _, r := range s.core.Abandon() {
		h.pending.deliver(r)
	}
}

// ownsJobs says whether this node owns a shard with jobs, and so needs the
// workers' entries.
func (h *Host) ownsJobs() bool {
	for _, s := range h.owned {
		if s.core != nil {
			return true
		}
	}
	return false
}
