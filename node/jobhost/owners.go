package jobhost

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"sync/atomic"
	"time"

	"wigeonwinch/jobs/relay"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// ownerKey is the key of the record that names the owner of a partition.
const ownerKey = "owner"

// handoverKey is the key of the record that an owner leaves to its successor.
const handoverKey = "handover"

// ownedShard is a partition that this node owns.
type ownedShard struct {
	partition deps.Partition
	epoch     int64
	sequence  int64
	// core schedules the jobs. It is nil for the fleet partition.
	core *shard.Core
	// appendInFlight reports that an append has been sent and not yet answered.
	appendInFlight     bool
	appendFailingSince int64
	ctx                context.Context
	cancel             context.CancelFunc
	ownedSince         int64
	// earlierLeasesUntil is when the leases of earlier owners have ended.
	earlierLeasesUntil int64
	// leaseEndStored reports that the stored claim says that they have ended.
	leaseEndStored bool
	// verifiedAt is when this owner sent its last append that the store
	// accepted.
	verifiedAt atomic.Int64
	// roomUnanswered reports that the last report to the arbiter got no answer.
	roomUnanswered bool
	// relayWorkers are the shard's workers as the assignment of relays needs
	// them.
	relayWorkers []relay.Worker
	// extraRecords are records to append in addition to those of the core.
	extraRecords []extraRecord
	// cordonEpoch and cordonAt are the fleet controller's epoch and the time of
	// the last cordons.
	cordonEpoch, cordonAt int64
	// records holds the records of the fleet partition. hadPredecessor reports
	// that a previous owner wrote them.
	records        map[string][]byte
	hadPredecessor bool
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

// takeOverVacantShards starts to take over the shards without a live owner for
// which this node is the next candidate.
func (h *Host) takeOverVacantShards(now int64) {
	if h.stopping || !h.mayTakeOver(now) {
		return
	}
	planned := map[string]int{}
	for _, p := range h.requiredPartitions() {
		if h.owned[p] != nil || h.takingOver[p] || h.hasLiveOwner(p, now) {
			delete(h.vacantSince, p)
			continue
		}
		if h.vacantSince[p] == 0 {
			h.vacantSince[p] = now
		}
		candidates := h.takeoverCandidates(p, now, planned)
		planned[candidates[0]]++
		for rank, name := range candidates {
			if name == h.cfg.Node && now-h.vacantSince[p] >= int64(rank)*takeoverRankDelay.Milliseconds() {
				h.startTakeover(p)
			}
		}
	}
}

// mayTakeOver reports whether this node reads the others' heartbeats and can
// write its own. Otherwise missing heartbeats of others may be the fault of
// this node.
func (h *Host) mayTakeOver(now int64) bool {
	hb := h.confirmedHeartbeat.Load()
	maxAgeMS := heartbeatInterval.Milliseconds() + storeTimeout.Milliseconds()
	return hb != nil && now-hb.sentAt < maxAgeMS && now-h.nodesReadAt < maxAgeMS && now-h.startedAt > takeoverStartDelay.Milliseconds()
}

// presumedAlive reports whether a node must be treated as alive. After a gap in
// its own heartbeats, this node must again observe the others as silent for the
// full time.
func (h *Host) presumedAlive(n *nodeState, now int64) bool {
	if n.record.Leaving {
		return false
	}
	return n.fresh(h.heartbeatsKnownAt(n, now)) || !h.silenceIsConclusive(now)
}

// heartbeatsKnownAt returns the time until which this node has read the heartbeats of another
// node. What the store has accepted since is not known.
func (h *Host) heartbeatsKnownAt(n *nodeState, now int64) int64 {
	if n.record.Idle {
		return now
	}
	return min(now, h.nodesReadAt)
}

// silenceIsConclusive reports whether missing heartbeats of other nodes mean
// that those nodes are silent, rather than that this node had lost the store.
// This holds if the store has accepted this node's heartbeats for the full
// detection time. In a large fleet, where this node sends infrequent
// heartbeats, it also holds if this node could read from the store for that
// time and the store has recently accepted its heartbeats.
func (h *Host) silenceIsConclusive(now int64) bool {
	hb := h.confirmedHeartbeat.Load()
	if hb == nil {
		return false
	}
	detectionMS := (silentAfter + readInterval).Milliseconds()
	chainMS := now - hb.chainStart
	return chainMS >= detectionMS || h.largeFleet.Load() && now-h.readsUnbrokenSince >= detectionMS && chainMS >= standbyObservation.Milliseconds()
}

// hasLiveOwner reports whether a live node other than this one claims a
// partition.
func (h *Host) hasLiveOwner(p deps.Partition, now int64) bool {
	for _, n := range h.nodes {
		if !h.presumedAlive(n, now) || n.record.Node == h.cfg.Node {
			continue
		}
		a, ok := h.announcedOwners[p]
		if n.claims(p) || ok && a.Node == n.record.Node && a.Incarnation == n.record.Incarnation && now-h.ownerAnnouncedAt[p] < silentAfter.Milliseconds() {
			return true
		}
	}
	return false
}

// newestKnownEpoch returns the highest epoch with which a node has claimed a partition,
// alive or not.
func (h *Host) newestKnownEpoch(p deps.Partition) int64 {
	epoch := h.announcedOwners[p].Epoch
	for _, n := range h.nodes {
		for _, o := range n.record.Owned {
			if o.partition() == p {
				epoch = max(epoch, o.Epoch)
			}
		}
	}
	return epoch
}

// restartGap is the minimum difference of start times by which a node counts as
// restarted recently rather than started together with the others.
const restartGap = 3 * time.Second

// takeoverCandidates returns the live nodes in the order in which they should
// take over a partition. The fleet partition goes to the node that started
// last, because in a rolling restart that node is not the next to be restarted,
// and to a small VM only if there is no large one.
// Other partitions go to the node with the most cores per shard.
func (h *Host) takeoverCandidates(p deps.Partition, now int64, planned map[string]int) []string {
	load := map[string]float64{h.cfg.Node: shardsPerCore(len(h.owned)+len(h.takingOver)+planned[h.cfg.Node], h.cfg.Cores)}
	for name, n := range h.nodes {
		if name != h.cfg.Node && n.fresh(now) {
			load[name] = shardsPerCore(len(n.record.Owned)+planned[name], n.record.Cores)
		}
	}
	names := make([]string, 0, len(load))
	for name := range load {
		names = append(names, name)
	}
	largest := 0.0
	for _, name := range names {
		largest = max(largest, h.coresOf(name))
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if aSmall, bSmall := h.coresOf(a) < largest/2, h.coresOf(b) < largest/2; p == fleetPartition && aSmall != bSmall {
			return bSmall
		}
		if gap := h.incarnationOf(a) - h.incarnationOf(b); p == fleetPartition && (gap > restartGap.Nanoseconds() || -gap > restartGap.Nanoseconds()) {
			return gap > 0
		}
		if load[a] != load[b] {
			return load[a] < load[b]
		}
		return placementHash(a, p) < placementHash(b, p)
	})
	return names
}

// shardsPerCore returns the load of a node with one more shard.
func shardsPerCore(shards int, cores float64) float64 {
	if cores <= 0 {
		cores = defaultCores
	}
	return float64(shards+1) / cores
}

func (h *Host) coresOf(node string) float64 {
	cores := h.cfg.Cores
	if node != h.cfg.Node {
		cores = h.nodes[node].record.Cores
	}
	if cores <= 0 {
		return defaultCores
	}
	return cores
}

func (h *Host) incarnationOf(node string) int64 {
	if node == h.cfg.Node {
		return h.incarnation
	}
	if n := h.nodes[node]; n != nil {
		return n.record.Incarnation
	}
	return 0
}

func placementHash(node string, p deps.Partition) uint32 {
	f := fnv.New32a()
	_, _ = fmt.Fprintf(f, "%s/%d/%d", node, p.Topic, p.Index)
	return f.Sum32()
}

func describe(p deps.Partition) string { return fmt.Sprintf("topic=%d partition=%d", p.Topic, p.Index) }

// extraRecord is a record that is appended between the batches of the core.
// done is called once the record is stored.
type extraRecord struct {
	record shard.Record
	done   func()
}

// ownership returns this node's claim to a partition.
func (h *Host) ownership(p deps.Partition, epoch int64) ownership {
	return ownership{Topic: int(p.Topic), Index: p.Index, Epoch: epoch, Node: h.cfg.Node, Incarnation: h.incarnation}
}

// verifiedHeartbeat returns the last confirmed heartbeat, from which the
// ownership windows are counted. ok is false while the owner must first verify
// that no other node has taken over.
func (h *Host) verifiedHeartbeat(s *ownedShard) (hb confirmedHeartbeat, ok bool) {
	c := h.confirmedHeartbeat.Load()
	if c == nil {
		return confirmedHeartbeat{}, false
	}
	return *c, s.verifiedAt.Load() >= c.chainStart
}

// isSoleOwner reports whether this node is certainly the owner of the shard, so that no
// other node starts tasks on its workers.
func (h *Host) isSoleOwner(s *ownedShard, now int64) bool {
	hb, verified := h.verifiedHeartbeat(s)
	return verified && now < hb.sentAt+startWindow.Milliseconds()
}

// verifyOwnership appends the owner record again. The store rejects it if a
// newer owner exists.
func (h *Host) verifyOwnership(s *ownedShard) {
	if s.appendInFlight || len(s.extraRecords) > 0 {
		return
	}
	rec, err := h.ownerRecord(s.partition, s.epoch, s.earlierLeaseMS(monotonicMS()))
	if err != nil {
		h.dropShard(s, err.Error())
		return
	}
	s.extraRecords = append(s.extraRecords, extraRecord{rec, func() {}})
}

// publishOwnership publishes the partitions that this node owns and sends a
// heartbeat.
func (h *Host) publishOwnership() {
	view := ownedView{claims: make([]ownership, 0, len(h.owned))}
	for _, s := range h.sortedOwned() {
		view.claims = append(view.claims, h.ownership(s.partition, s.epoch))
		view.leaseEnds = append(view.leaseEnds, leaseEnd{s.epoch, s.earlierLeasesUntil})
	}
	h.ownedView.Store(&view)
	h.publishOwners(monotonicMS())
	h.triggerHeartbeat()
}

// dropShard stops a shard that another node owns now, without writing to the
// store.
func (h *Host) dropShard(s *ownedShard, why string) {
	if h.owned[s.partition] != s {
		return
	}
	h.stopShard(s)
	if h.fleet != nil && h.fleet.shard == s {
		h.fleet = nil
	}
	h.record(events.ShardLost, events.Fields{Detail: fmt.Sprintf("%s epoch=%d: %s", describe(s.partition), s.epoch, why)})
	h.needWorkers.Store(h.ownsJobShard())
	h.publishOwnership()
}

// stopShard cancels the calls of a shard. Its callers get an answer immediately
// and have to ask the next owner.
func (h *Host) stopShard(s *ownedShard) {
	delete(h.owned, s.partition)
	if s.partition == fleetPartition {
		h.arbiter = nil
	}
	s.cancel()
	h.relays.dropShard(s)
	if s.core == nil {
		return
	}
	h.deliverDecided(s)
	for _, r := range s.core.AbandonWaiters() {
		h.pending.deliver(r, h.answeredBy(s))
	}
}

// deliverDecided delivers the replies and logs the decisions that the core of a shard
// holds, without its orders.
func (h *Host) deliverDecided(s *ownedShard) {
	decided := s.core.TakeOrders()
	for _, e := range decided.Events {
		h.logDecision(s, e)
	}
	for _, r := range decided.Replies {
		h.pending.deliver(r, h.answeredBy(s))
	}
}

// ownsJobShard reports whether this node owns a shard with jobs and therefore
// needs the workers' entries.
func (h *Host) ownsJobShard() bool {
	for _, s := range h.owned {
		if s.core != nil {
			return true
		}
	}
	return false
}
