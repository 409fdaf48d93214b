package claims

import (
	"slices"
	"time"
)

// zoneChangeWait is how long a change of the set of zones may take to be in
// force on every node.
const zoneChangeWait = 30 * time.Second

// maxLosses bounds the losses a table remembers one by one.
const maxLosses = 8

// fenceMarginDivisor adds a part of the fence time to the wait of a takeover,
// for clocks that run at different rates.
const fenceMarginDivisor = 4

// FenceMargin returns how much longer than the fence time a takeover waits. A
// claimant that waited longer for a grant must not use it.
func FenceMargin(fence time.Duration) time.Duration {
	return fence / fenceMarginDivisor
}

// handoverPageEntries is the least number of records that fill a page.
const handoverPageEntries = 2000

// takeover is the state of a table that waits for former homes.
type takeover struct {
	// former is the membership whose records are awaited; known is false when
	// it is not certain that former is the one right before this epoch.
	former Membership
	known  bool
	// acked are the members that stopped granting under older epochs.
	acked map[Member]bool
	// complete are the members whose records have all arrived.
	complete map[Member]bool
	// allAckedAt is when the last present member acknowledged.
	allAckedAt time.Time
	// fenceAll says that no record can be trusted to be complete.
	fenceAll bool
}

// SetMembership tells the table the zone's entry epoch. Older epochs are
// ignored. First says that no member of the zone can ever have granted a
// claim before this epoch, and no other zone one for the same ids.
func (t *Table) SetMembership(now time.Time, m Membership, first bool) {
	t.mention(m.Epoch)
	if t.started && m.Epoch <= t.now.Epoch {
		return
	}
	before := t.now
	wasStarted := t.started
	interrupted := t.takeover != nil
	t.now = m
	t.former = before
	t.started = true
	t.pruneHeard()
	if first {
		return
	}
	t.takeover = &takeover{
		former:   before,
		known:    wasStarted && before.Epoch+1 == m.Epoch && containsMember(before.Members, t.cfg.Self),
		acked:    make(map[Member]bool),
		complete: make(map[Member]bool),
		fenceAll: interrupted,
	}
	t.Tick(now)
}

// SetZones tells the table the set of zones, in any order. Ids that come from
// another zone are granted only when they were issued after every node knows
// the new set.
func (t *Table) SetZones(now time.Time, zones []string) {
	if slices.Equal(t.zones, zones) {
		return
	}
	former := t.zones
	t.zones = slices.Clone(zones)
	if len(former) == 0 {
		return
	}
	t.raiseSince(time.UnixMilli(t.rezoned.AtMS))
	t.rezoned = ZoneChange{Former: former, AtMS: millis(now.Add(zoneChangeWait))}
}

func (t *Table) pruneHeard() {
	for m := range t.heard {
		if !containsMember(t.now.Members, m) {
			delete(t.heard, m)
		}
	}
}

// holdsRecordsOf says whether all former claims of the key are here.
func (t *Table) holdsRecordsOf(key Key) bool {
	if t.takeover == nil {
		return true
	}
	if t.takeover.fenceAll || !t.takeover.known {
		return false
	}
	home, ok := HomeMember(key, t.takeover.former.Members)
	return ok && home == t.cfg.Self
}

// Awaiting returns the members to ask for a handover, present ones first.
func (t *Table) Awaiting() []Member {
	if t.takeover == nil {
		return nil
	}
	var list []Member
	for _, m := range t.now.Members {
		if m != t.cfg.Self && !t.takeover.complete[m] {
			list = append(list, m)
		}
	}
	for _, m := range t.takeover.former.Members {
		if containsMember(t.now.Members, m) || t.takeover.complete[m] {
			continue
		}
		list = append(list, m)
	}
	return list
}

// Handover answers another member's request for its records.
func (t *Table) Handover(now time.Time, r HandoverRequest) HandoverReply {
	t.store.expire(now)
	t.mention(r.Epoch)
	reply := HandoverReply{Epoch: t.now.Epoch}
	if !t.started || r.Epoch != t.now.Epoch || r.To != t.cfg.Self {
		return reply
	}
	reply.Ready = true
	reply.Former = t.former
	reply.SinceMS = millisOrZero(t.since)
	reply.Losses = t.losses
	reply.Rezoned = t.rezoned
	reply.Incomplete = t.lacksRecords()
	t.fillPage(&reply, r)
	return reply
}

// lacksRecords says whether records from before the former epoch are missing.
func (t *Table) lacksRecords() bool {
	if t.takeover == nil {
		return false
	}
	return t.takeover.fenceAll
}

func (t *Table) fillPage(reply *HandoverReply, r HandoverRequest) {
	if r.Page < 0 || r.Page >= shardCount {
		return
	}
	for shard := r.Page; shard < shardCount; shard++ {
		if len(reply.Entries) >= handoverPageEntries {
			reply.Next = shard
			return
		}
		t.store.shard(shard, func(e Entry) {
			home, ok := HomeMember(e.Key, t.now.Members)
			if ok && home == r.From {
				reply.Entries = append(reply.Entries, e)
			}
		})
	}
}

// TakeHandover takes one page of a member's records.
func (t *Table) TakeHandover(now time.Time, from Member, reply HandoverReply) {
	t.mention(reply.Epoch)
	if t.takeover == nil || !reply.Ready || reply.Epoch != t.now.Epoch {
		return
	}
	for _, e := range reply.Entries {
		if !t.Copy(now, e) {
			t.takeover.fenceAll = true
		}
	}
	t.takeover.acked[from] = true
	t.adoptFormer(reply)
	if reply.Incomplete {
		t.takeover.fenceAll = true
	}
	t.adoptHistory(reply)
	if reply.Next == 0 {
		t.takeover.complete[from] = true
	}
	t.Tick(now)
}

// adoptFormer learns the membership before this epoch from a peer.
func (t *Table) adoptFormer(reply HandoverReply) {
	if t.takeover.known || reply.Former.Epoch+1 != t.now.Epoch {
		return
	}
	t.takeover.known = true
	t.takeover.former = reply.Former
	t.former = reply.Former
}

func (t *Table) adoptHistory(reply HandoverReply) {
	if reply.SinceMS != 0 {
		t.raiseSince(time.UnixMilli(reply.SinceMS))
	}
	for _, loss := range reply.Losses {
		t.addLoss(loss)
	}
	if reply.Rezoned.AtMS > t.rezoned.AtMS {
		t.rezoned = reply.Rezoned
	}
}

func (t *Table) raiseSince(at time.Time) {
	if millis(at) != 0 && at.After(t.since) {
		t.since = at
	}
}

func (t *Table) addLoss(loss Loss) {
	same := func(other Loss) bool {
		return other.Former.Epoch == loss.Former.Epoch && other.AtMS >= loss.AtMS
	}
	if slices.ContainsFunc(t.losses, same) {
		return
	}
	t.losses = append(t.losses, loss)
	for len(t.losses) > maxLosses {
		t.raiseSince(time.UnixMilli(t.losses[0].AtMS))
		t.losses = t.losses[1:]
	}
}

// Tick completes a takeover when its time has come, and drops old records.
func (t *Table) Tick(now time.Time) {
	t.store.expire(now)
	if t.takeover == nil || !t.presentAcked(now) {
		return
	}
	wait := t.cfg.Fence + FenceMargin(t.cfg.Fence)
	fencePassed := now.Sub(t.takeover.allAckedAt) >= wait
	if t.takeover.fenceAll || !t.takeover.known {
		if fencePassed {
			t.finishTakeover(now, true, nil)
		}
		return
	}
	removed := t.missingFormer()
	if len(removed) > 0 && !fencePassed {
		return
	}
	t.finishTakeover(now, false, removed)
}

// presentAcked says whether every present member has handed over.
func (t *Table) presentAcked(now time.Time) bool {
	for _, m := range t.now.Members {
		if m != t.cfg.Self && !t.takeover.complete[m] {
			return false
		}
	}
	if t.takeover.allAckedAt.IsZero() {
		t.takeover.allAckedAt = now
	}
	return true
}

// missingFormer returns the former members that never handed over.
func (t *Table) missingFormer() []Member {
	var missing []Member
	for _, m := range t.takeover.former.Members {
		if m == t.cfg.Self || t.takeover.complete[m] {
			continue
		}
		missing = append(missing, m)
	}
	return missing
}

func (t *Table) finishTakeover(now time.Time, all bool, removed []Member) {
	former := t.takeover.former
	t.takeover = nil
	if all {
		t.raiseSince(now)
		return
	}
	if len(removed) > 0 {
		t.addLoss(Loss{Former: former, Removed: removed, AtMS: millis(now)})
	}
}

func millisOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return millis(t)
}
