package jobhost

import (
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// The owner of a shard frees a task of a worker that it can't reach once every lease has ended
// that earlier owners may have given. It may be replaced before that, so it stores with its
// claim, and publishes with its heartbeats, for how long leases of the owners before it may
// still hold. Its successor waits for these and for the leases of the owner itself.

// storedOwner is the record that names the owner of a partition.
type storedOwner struct {
	ownership
	// EarlierLeaseMS is for how long after the record was written leases of the owners
	// before this one may hold; nil in records of earlier versions.
	EarlierLeaseMS *int64 `cbor:"6,keyasint,omitempty"`
}

// earlierLease says for how long after a heartbeat leases of the owners before the one of an
// epoch may hold. A heartbeat has none for an owner before which no lease holds any more.
type earlierLease struct {
	_              struct{} `cbor:",toarray"`
	Epoch, LeaseMS int64
}

// ownerRecord returns the record that names this node as the owner of a partition, with the
// longest time for which leases of earlier owners may hold. Appending it again verifies that
// no newer owner has fenced this one.
func (h *Host) ownerRecord(p deps.Partition, epoch, earlierLeaseMS int64) (shard.Record, error) {
	value, err := encMode.Marshal(storedOwner{h.ownership(p, epoch), &earlierLeaseMS})
	return shard.Record{Key: ownerKey, Value: value}, err
}

// earlierLeaseMS is for how long leases of earlier owners may hold.
func (s *ownedShard) earlierLeaseMS(now int64) int64 { return max(s.earlierLeasesUntil-now, 0) }

// storeLeaseEnd stores the claim again once the leases of earlier owners have ended, so that
// a later successor does not wait for them.
func (h *Host) storeLeaseEnd(s *ownedShard, now int64) {
	if s.leaseEndStored || now < s.earlierLeasesUntil || s.appendInFlight || len(s.extraRecords) > 0 {
		return
	}
	s.leaseEndStored = true
	h.verifyOwnership(s)
}

// prolongEarlierLeases publishes that leases which a successor does not know of may hold for
// longer than was known at the takeover.
func (h *Host) prolongEarlierLeases(s *ownedShard) {
	if until := s.core.EarlierLeasesUntil(); until > s.earlierLeasesUntil {
		s.earlierLeasesUntil, s.leaseEndStored = until, false
		h.publishOwnership()
	}
}

// ownedView is what a node publishes of the shards that it owns.
type ownedView struct {
	claims    []ownership
	leaseEnds []leaseEnd
}

// leaseEnd is when the leases of the owners before the one of an epoch have ended.
type leaseEnd struct{ epoch, until int64 }

// earlierLeases returns what a heartbeat says of the leases of earlier owners.
func (v *ownedView) earlierLeases(now int64) []earlierLease {
	var list []earlierLease
	for _, e := range v.leaseEnds {
		if e.until > now {
			list = append(list, earlierLease{Epoch: e.epoch, LeaseMS: e.until - now})
		}
	}
	return list
}

// observation is what a node knows of the other nodes when it begins to take a partition over.
type observation struct {
	// knownEpoch is the highest epoch with which a node has claimed the partition.
	knownEpoch int64
	// deadNodes are the nodes that are presumed dead, incarnations the newest known
	// process of each node.
	deadNodes    map[string]bool
	incarnations map[string]int64
	// earlierLeaseMS is for how long leases of the owners before one may hold, by its
	// epoch, for the owners of the partition that are known from heartbeats.
	earlierLeaseMS map[int64]int64
}

// observe returns what this node knows of the other nodes.
func (h *Host) observe(p deps.Partition, now int64) observation {
	o := observation{knownEpoch: h.newestKnownEpoch(p), deadNodes: map[string]bool{}, incarnations: map[string]int64{}, earlierLeaseMS: map[int64]int64{}}
	for name, n := range h.nodes {
		if !h.presumedAlive(n, now) {
			o.deadNodes[name] = true
		}
		o.incarnations[name] = n.record.Incarnation
		for _, claim := range n.record.Owned {
			if claim.partition() == p {
				o.earlierLeaseMS[claim.Epoch] = n.earlierLeaseMS(claim.Epoch, now)
			}
		}
	}
	return o
}

// earlierLeaseMS is for how long leases of the owners before an epoch of this node may hold
// by its last heartbeat, which is at least as old as its reading.
func (n *nodeState) earlierLeaseMS(epoch, now int64) int64 {
	longestMS := int64(0)
	for _, l := range n.record.EarlierLeases {
		if l.Epoch == epoch {
			longestMS = max(longestMS, l.LeaseMS-(now-n.heartbeatAt))
		}
	}
	return longestMS
}

// stateOf returns what is known of the owner that made a claim. Only a later process of its
// node proves that it has ended.
func (o observation) stateOf(owner ownership) previousOwner {
	newest, known := o.incarnations[owner.Node]
	switch {
	case owner.Node == "" || newest > owner.Incarnation:
		return ownerEnded
	case known && newest == owner.Incarnation && o.deadNodes[owner.Node]:
		return ownerSilent
	}
	return ownerMaybeAlive
}

// isOwn reports whether this process made a claim itself.
func (h *Host) isOwn(o ownership) bool {
	return o.Node == h.cfg.Node && o.Incarnation == h.incarnation
}

// earlierLeaseMS is for how long after a takeover leases of all earlier owners may hold.
func (h *Host) earlierLeaseMS(o observation, previous storedOwner, state previousOwner) int64 {
	leaseMS := h.cfg.previousLeaseMS(state)
	switch {
	case previous.Node == "":
		return leaseMS
	case previous.EarlierLeaseMS == nil:
		return h.cfg.previousLeaseMS(ownerMaybeAlive)
	}
	if ms, known := o.earlierLeaseMS[previous.Epoch]; known {
		return max(leaseMS, ms)
	}
	return max(leaseMS, *previous.EarlierLeaseMS)
}
