package claims

import (
	"slices"
	"time"
)

// zoneChangePropagation is the maximum time until a change of the set of zones
// is in force on every node.
const zoneChangePropagation = 30 * time.Second

// maxLosses is the maximum number of record losses that a table keeps
// separately. Older losses are merged into the time since which all records are
// complete.
const maxLosses = 8

// fenceMarginDivisor sets the margin of a takeover as a fraction of the fence
// time. The margin allows for clocks that run at different rates.
const fenceMarginDivisor = 4

// FenceMargin returns how much longer than the fence time a takeover waits. A
// claimant must not use a grant that took longer than this to arrive.
func FenceMargin(fence time.Duration) time.Duration {
	return fence / fenceMarginDivisor
}

// handoverPageMinEntries is the number of records at which a handover page is
// complete. A page may exceed it, because it holds whole shards.
const handoverPageMinEntries = 2000

// takeover is the state of a table that waits for the records of previous home
// nodes.
type takeover struct {
	// previous is the membership whose records are needed.
	previous Membership
	// previousKnown reports whether previous is certainly the membership
	// immediately before the current epoch.
	previousKnown bool
	// acked are the members that no longer grant claims under older epochs.
	acked map[Member]bool
	// complete are the members whose records have all arrived.
	complete map[Member]bool
	// allAckedAt is when the last current member completed its handover, which
	// also acknowledges the epoch.
	allAckedAt time.Time
	// recordsIncomplete reports whether records of any key may be missing.
	recordsIncomplete bool
}

// SetMembership sets the zone's current membership and starts the takeover of
// the records. Epochs that are not newer than the current one are ignored. If
// first is true, no member of the zone can have granted a claim before this
// epoch, and no other zone can have granted one for the same ids, so there is
// nothing to take over.
func (t *Table) SetMembership(now time.Time, m Membership, first bool) {
	t.observeEpoch(m.Epoch)
	if t.hasMembership && m.Epoch <= t.current.Epoch {
		return
	}
	previous := t.current
	hadMembership := t.hasMembership
	interrupted := t.takeover != nil
	t.current = m
	t.previous = previous
	t.hasMembership = true
	t.pruneEpochChecks()
	if first {
		return
	}
	t.takeover = &takeover{
		previous:          previous,
		previousKnown:     hadMembership && previous.Epoch+1 == m.Epoch && containsMember(previous.Members, t.cfg.Self),
		acked:             make(map[Member]bool),
		complete:          make(map[Member]bool),
		recordsIncomplete: interrupted,
	}
	t.Tick(now)
}

// SetZones sets the set of zones. Ids whose home zone was another one are
// granted only if they were issued after every node knows the new set.
func (t *Table) SetZones(now time.Time, zones []string) {
	if slices.Equal(t.zones, zones) {
		return
	}
	previous := t.zones
	t.zones = slices.Clone(zones)
	if len(previous) == 0 {
		return
	}
	t.advanceCompleteSince(time.UnixMilli(t.lastZoneChange.EffectiveAtMS))
	t.lastZoneChange = ZoneChange{PreviousZones: previous, EffectiveAtMS: unixMillis(now.Add(zoneChangePropagation))}
}

// pruneEpochChecks drops the epoch checks of members that are not current.
func (t *Table) pruneEpochChecks() {
	for m := range t.epochCheckedAt {
		if !containsMember(t.current.Members, m) {
			delete(t.epochCheckedAt, m)
		}
	}
}

// hasPreviousRecords reports whether the table has all earlier claims of the
// key. During a takeover this holds only if this member was the key's home node
// in the previous membership too.
func (t *Table) hasPreviousRecords(key Key) bool {
	if t.takeover == nil {
		return true
	}
	if t.takeover.recordsIncomplete || !t.takeover.previousKnown {
		return false
	}
	home, ok := HomeMember(key, t.takeover.previous.Members)
	return ok && home == t.cfg.Self
}

// PendingHandovers returns the members from which a handover is still needed,
// current members first.
func (t *Table) PendingHandovers() []Member {
	if t.takeover == nil {
		return nil
	}
	var list []Member
	for _, m := range t.current.Members {
		if m != t.cfg.Self && !t.takeover.complete[m] {
			list = append(list, m)
		}
	}
	for _, m := range t.takeover.previous.Members {
		if containsMember(t.current.Members, m) || t.takeover.complete[m] {
			continue
		}
		list = append(list, m)
	}
	return list
}

// Handover returns the reply to a member that requests its records.
func (t *Table) Handover(now time.Time, r HandoverRequest) HandoverReply {
	t.store.expire(now)
	t.observeEpoch(r.Epoch)
	reply := HandoverReply{Epoch: t.current.Epoch}
	if !t.hasMembership || r.Epoch != t.current.Epoch || r.To != t.cfg.Self {
		return reply
	}
	reply.Ready = true
	reply.Previous = t.previous
	reply.CompleteSinceMS = unixMillisOrZero(t.completeSince)
	reply.Losses = t.losses
	reply.LastZoneChange = t.lastZoneChange
	reply.Incomplete = t.recordsIncomplete()
	t.fillPage(&reply, r)
	return reply
}

// recordsIncomplete reports whether this member's own takeover is known to lack
// records.
func (t *Table) recordsIncomplete() bool {
	if t.takeover == nil {
		return false
	}
	return t.takeover.recordsIncomplete
}

// fillPage adds the records whose home node is now the requesting member, whole
// shards at a time from shard r.Page on. Page numbers are shard numbers.
func (t *Table) fillPage(reply *HandoverReply, r HandoverRequest) {
	if r.Page < 0 || r.Page >= shardCount {
		return
	}
	for shard := r.Page; shard < shardCount; shard++ {
		if len(reply.Entries) >= handoverPageMinEntries {
			reply.Next = shard
			return
		}
		t.store.forEachInShard(shard, func(e Entry) {
			home, ok := HomeMember(e.Key, t.current.Members)
			if ok && home == r.From {
				reply.Entries = append(reply.Entries, e)
			}
		})
	}
}

// ApplyHandover stores one page of a member's records and completes the
// takeover if nothing else is missing.
func (t *Table) ApplyHandover(now time.Time, from Member, reply HandoverReply) {
	t.observeEpoch(reply.Epoch)
	if t.takeover == nil || !reply.Ready || reply.Epoch != t.current.Epoch {
		return
	}
	for _, e := range reply.Entries {
		if !t.StoreReplica(now, e) {
			t.takeover.recordsIncomplete = true
		}
	}
	t.takeover.acked[from] = true
	t.adoptPreviousMembership(reply)
	if reply.Incomplete {
		t.takeover.recordsIncomplete = true
	}
	t.mergeCompleteness(reply)
	if reply.Next == 0 {
		t.takeover.complete[from] = true
	}
	t.Tick(now)
}

// adoptPreviousMembership sets the membership before the current epoch from a
// peer's reply, if the table does not know it.
func (t *Table) adoptPreviousMembership(reply HandoverReply) {
	if t.takeover.previousKnown || reply.Previous.Epoch+1 != t.current.Epoch {
		return
	}
	t.takeover.previousKnown = true
	t.takeover.previous = reply.Previous
	t.previous = reply.Previous
}

// mergeCompleteness merges the limits on the completeness of a peer's records
// into those of this table.
func (t *Table) mergeCompleteness(reply HandoverReply) {
	if reply.CompleteSinceMS != 0 {
		t.advanceCompleteSince(time.UnixMilli(reply.CompleteSinceMS))
	}
	for _, loss := range reply.Losses {
		t.addLoss(loss)
	}
	if reply.LastZoneChange.EffectiveAtMS > t.lastZoneChange.EffectiveAtMS {
		t.lastZoneChange = reply.LastZoneChange
	}
}

func (t *Table) advanceCompleteSince(at time.Time) {
	if unixMillis(at) != 0 && at.After(t.completeSince) {
		t.completeSince = at
	}
}

// addLoss adds a loss unless an equal or later one of the same epoch is known.
// Losses beyond maxLosses are merged into completeSince, oldest first.
func (t *Table) addLoss(loss RecordLoss) {
	same := func(other RecordLoss) bool {
		return other.Previous.Epoch == loss.Previous.Epoch && other.LostAtMS >= loss.LostAtMS
	}
	if slices.ContainsFunc(t.losses, same) {
		return
	}
	t.losses = append(t.losses, loss)
	for len(t.losses) > maxLosses {
		t.advanceCompleteSince(time.UnixMilli(t.losses[0].LostAtMS))
		t.losses = t.losses[1:]
	}
}

// Tick drops expired records, and completes a takeover when all records have
// arrived or the wait for previous members that may still grant claims is over.
func (t *Table) Tick(now time.Time) {
	t.store.expire(now)
	if t.takeover == nil || !t.currentMembersComplete(now) {
		return
	}
	wait := t.cfg.Fence + FenceMargin(t.cfg.Fence)
	fencePassed := now.Sub(t.takeover.allAckedAt) >= wait
	if t.takeover.recordsIncomplete || !t.takeover.previousKnown {
		if fencePassed {
			t.finishTakeover(now, true, nil)
		}
		return
	}
	missing := t.missingPrevious()
	if len(missing) > 0 && !fencePassed {
		return
	}
	t.finishTakeover(now, false, missing)
}

// currentMembersComplete reports whether every current member has handed over
// its records. It records when this was first the case.
func (t *Table) currentMembersComplete(now time.Time) bool {
	for _, m := range t.current.Members {
		if m != t.cfg.Self && !t.takeover.complete[m] {
			return false
		}
	}
	if t.takeover.allAckedAt.IsZero() {
		t.takeover.allAckedAt = now
	}
	return true
}

// missingPrevious returns the previous members whose handover is not complete.
func (t *Table) missingPrevious() []Member {
	var missing []Member
	for _, m := range t.takeover.previous.Members {
		if m == t.cfg.Self || t.takeover.complete[m] {
			continue
		}
		missing = append(missing, m)
	}
	return missing
}

// finishTakeover ends the takeover. If recordsIncomplete is true, the records
// of all keys count as complete only from now on; otherwise those of the
// missing members count as lost.
func (t *Table) finishTakeover(now time.Time, recordsIncomplete bool, missing []Member) {
	previous := t.takeover.previous
	t.takeover = nil
	if recordsIncomplete {
		t.advanceCompleteSince(now)
		return
	}
	if len(missing) > 0 {
		t.addLoss(RecordLoss{Previous: previous, Members: missing, LostAtMS: unixMillis(now)})
	}
}

func unixMillisOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return unixMillis(t)
}
