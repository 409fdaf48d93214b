package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/membership"
	"wigeonwinch/node/peer"
)

// memberFacts is what the owner goroutine keeps about its zone's membership.
type memberFacts struct {
	current structs.Epoch
	// currentSince is when the current epoch was first seen.
	currentSince time.Time
	// proposed is the newest epoch this node may have put into the log.
	proposed structs.Epoch
	// pending is the key of the last proposal, proposals counts them.
	pending   string
	proposals int
	joining   bool
	reason    membership.Reason
	// entry is the zone's membership in the last view that was looked at.
	entry structs.EntryEpoch
	// told is the sum of the epochs of all zones that the mesh was told.
	told structs.Epoch
}

// fenceFacts is what Fresh needs; it is immutable.
type fenceFacts struct {
	input membership.FenceInput
}

// noteEpoch takes in a new membership from the view.
func (l *Loop) noteEpoch() {
	view := l.view.Load()
	if view == nil {
		return
	}
	entry := view.Entry[l.cfg.Zone]
	if entry.Epoch != l.member.current || l.member.currentSince.IsZero() {
		l.member.current = entry.Epoch
		l.member.currentSince = time.Now()
		l.cfg.Events.Record(events.EntryEpochInForce, events.Fields{Offset: view.Offset, Detail: fmt.Sprint(entry.Epoch)})
	}
	l.member.entry = entry
	l.tellMesh(view)
}

// tellMesh gives the members of all zones to the mesh when they changed.
func (l *Loop) tellMesh(view *structs.View) {
	if l.cfg.Peers == nil {
		return
	}
	var members []peer.Member
	var sum structs.Epoch
	for _, entry := range view.Entry {
		sum += entry.Epoch
	}
	if sum == l.member.told {
		return
	}
	l.member.told = sum
	for zone, entry := range view.Entry {
		for _, m := range entry.Members {
			members = append(members, peer.Member{EntryMember: m, Zone: zone})
		}
	}
	l.cfg.Peers.SetMembers(members)
}

// knownEpoch is the newest epoch of the zone that this node knows of.
func (l *Loop) knownEpoch() structs.Epoch {
	return max(l.member.current, l.member.proposed)
}

// zonePeers returns what this node knows of the other nodes of its zone.
func (l *Loop) zonePeers() []membership.Peer {
	var peers []membership.Peer
	for _, name := range l.peerNames() {
		facts := l.peers[name]
		if facts.status.Zone != l.cfg.Zone {
			continue
		}
		peers = append(peers, membership.Peer{
			EntryMember: facts.status.EntryMember,
			Heard:       facts.status.Heard,
			Since:       facts.joiningSince,
			Leaving:     facts.status.Leaving || facts.report.Leaving,
		})
	}
	return peers
}

// decideMembership proposes another epoch when one is due. Nothing is
// proposed while the log can't be read: the proposal would rest on old facts.
func (l *Loop) decideMembership(now time.Time) {
	view := l.view.Load()
	if view == nil || !l.readsLog() {
		l.withdrawProposal()
		return
	}
	_, declared := view.Zones[l.cfg.Zone]
	decision := membership.Decide(membership.Input{
		Self:         l.cfg.self(),
		Zone:         l.cfg.Zone,
		Declared:     declared,
		Current:      l.member.entry,
		CurrentSince: l.member.currentSince,
		Peers:        l.zonePeers(),
		Listed:       l.observed.listed,
		ListedAt:     l.observed.listedAt,
		Leaving:      l.leaving,
		Now:          now,
	}, l.cfg.Members)
	l.member.joining = decision.Join && !l.leaving
	l.noteReason(decision.Reason)
	if decision.Propose != nil {
		l.proposeEpoch(*decision.Propose)
	}
}

func (l *Loop) noteReason(reason membership.Reason) {
	if reason == l.member.reason {
		return
	}
	l.member.reason = reason
	l.cfg.Events.Record(events.MembershipDecided, events.Fields{Detail: string(reason)})
}

// proposeEpoch appends an epoch, unless the last proposal still waits for its
// verdict. Each proposal has its own key: one that was withdrawn and one that
// lost against another are made again on new facts.
func (l *Loop) proposeEpoch(epoch structs.EntryEpoch) {
	l.member.proposals++
	rec := structs.Record{
		Key:        fmt.Sprintf("entry/%s/%d/%s/%d/%d", epoch.Zone, epoch.Epoch, l.cfg.Node, l.cfg.Incarnation, l.member.proposals),
		EntryEpoch: &epoch,
	}
	if l.member.pending != "" && l.appends.isWaiting(l.member.pending) {
		return
	}
	l.member.pending = rec.Key
	l.member.proposed = max(l.member.proposed, epoch.Epoch)
	l.publishFence()
	l.submit(rec)
}

// withdrawProposal takes back a proposal that did not get into the log, so
// that the members stay fresh while the log can't be reached.
func (l *Loop) withdrawProposal() {
	if l.member.proposed <= l.member.current || l.member.pending == "" {
		return
	}
	if l.appends.withdraw(l.member.pending) {
		l.member.pending = ""
		l.member.proposed = l.member.current
		l.publishFence()
	}
}

// publishFence makes the facts visible that Fresh looks at.
func (l *Loop) publishFence() {
	input := membership.FenceInput{
		Self:        l.cfg.self(),
		Current:     l.member.entry,
		Proposed:    l.member.proposed,
		TailAskedAt: l.log.tailAskedAt,
		Fence:       l.cfg.Intervals.Fence,
	}
	for _, m := range l.member.entry.Members {
		facts, ok := l.peers[m.Node]
		if !ok {
			continue
		}
		input.Reports = append(input.Reports, membership.Report{
			Node:        m.Node,
			Incarnation: facts.report.Incarnation,
			Known:       facts.report.Known,
			AskedAt:     facts.confirmedAt,
		})
	}
	l.fence.Store(&fenceFacts{input: input})
}

// Fresh says that this node is a member of its zone's entry epoch and has
// learned within the fence time that no newer epoch is in force. It reads
// the monotonic clock, so that a node that was paused is not fresh.
func (l *Loop) Fresh() bool {
	facts := l.fence.Load()
	if facts == nil {
		return false
	}
	input := facts.input
	input.Now = time.Now()
	return membership.Fresh(input)
}

// TailReadAt returns when the read of the log was sent that last reached its
// tail; the view contains everything it returned. Zero means never.
func (l *Loop) TailReadAt() time.Time {
	asked := l.tailReadAt.Load()
	if asked == nil {
		return time.Time{}
	}
	return *asked
}

// Leave makes the node leave its zone's membership and give up the planner's
// lease. The loop goes on until its context ends.
func (l *Loop) Leave() {
	select {
	case l.inbox <- l.leave:
	case <-l.done:
	}
}

func (l *Loop) leave() {
	if l.leaving {
		return
	}
	l.leaving = true
	now := time.Now()
	l.releaseLease(now)
	l.decideMembership(now)
	l.exchangeAll()
	l.judgeReadiness(now)
	l.publishStatus()
}
