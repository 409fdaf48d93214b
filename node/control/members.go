package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/membership"
	"wigeonwinch/node/peer"
)

// membershipState is what the owner goroutine knows about its zone's
// membership.
type membershipState struct {
	currentEpoch structs.Epoch
	// currentSince is when this node first saw the current epoch.
	currentSince time.Time
	// proposedEpoch is the newest epoch that this node may have written to the
	// log.
	proposedEpoch structs.Epoch
	// pendingKey is the key of the last proposal; proposalCount counts the
	// proposals.
	pendingKey    string
	proposalCount int
	joining       bool
	reason        membership.Reason
	// entry is the zone's entry epoch in the newest view.
	entry structs.EntryEpoch
	// meshEpochSum is the sum of the epochs of all zones in the last update of
	// the mesh. It changes with every epoch.
	meshEpochSum structs.Epoch
}

// freshnessInput is the immutable input of Fresh.
type freshnessInput struct {
	input membership.FreshnessInput
}

// updateEpoch takes the zone's entry epoch from the view.
func (l *Loop) updateEpoch() {
	view := l.view.Load()
	if view == nil {
		return
	}
	entry := view.EntryEpochs[l.cfg.Zone]
	if entry.Epoch != l.membership.currentEpoch || l.membership.currentSince.IsZero() {
		l.membership.currentEpoch = entry.Epoch
		l.membership.currentSince = time.Now()
		l.cfg.Events.Record(events.EntryEpochInForce, events.Fields{Offset: view.Offset, Detail: fmt.Sprint(entry.Epoch)})
	}
	l.membership.entry = entry
	l.updateMesh(view)
}

// updateMesh passes the members of all zones to the mesh if any epoch changed.
func (l *Loop) updateMesh(view *structs.View) {
	if l.cfg.Peers == nil {
		return
	}
	var members []peer.Member
	var sum structs.Epoch
	for _, entry := range view.EntryEpochs {
		sum += entry.Epoch
	}
	if sum == l.membership.meshEpochSum {
		return
	}
	l.membership.meshEpochSum = sum
	for zone, entry := range view.EntryEpochs {
		for _, m := range entry.Members {
			members = append(members, peer.Member{EntryMember: m, Zone: zone})
		}
	}
	l.cfg.Peers.SetMembers(members)
}

// knownEpoch returns the newest epoch of the zone that this node knows or
// proposed.
func (l *Loop) knownEpoch() structs.Epoch {
	return max(l.membership.currentEpoch, l.membership.proposedEpoch)
}

// zonePeers returns the input of a membership decision about the other nodes
// of the zone.
func (l *Loop) zonePeers() []membership.Peer {
	var peers []membership.Peer
	for _, name := range l.peerNames() {
		p := l.peers[name]
		if p.status.Zone != l.cfg.Zone {
			continue
		}
		peers = append(peers, membership.Peer{
			EntryMember:  p.status.EntryMember,
			LastHeard:    p.status.LastContact,
			JoiningSince: p.joiningSince,
			Leaving:      p.status.Leaving || p.report.Leaving,
		})
	}
	return peers
}

// decideMembership proposes a new epoch if the membership has to change. It
// proposes nothing while the log can't be read, because the proposal would
// rest on outdated information.
func (l *Loop) decideMembership(now time.Time) {
	view := l.view.Load()
	if view == nil || !l.logIsCurrent() {
		l.withdrawProposal()
		return
	}
	_, declared := view.Zones[l.cfg.Zone]
	decision := membership.Decide(membership.Input{
		Self:         l.cfg.selfMember(),
		Zone:         l.cfg.Zone,
		Declared:     declared,
		Current:      l.membership.entry,
		CurrentSince: l.membership.currentSince,
		Peers:        l.zonePeers(),
		ListedVMs:    l.observed.listed,
		ListedAt:     l.observed.listedAt,
		Leaving:      l.leaving,
		Now:          now,
	}, l.cfg.Membership)
	l.membership.joining = decision.Join && !l.leaving
	l.recordReason(decision.Reason)
	if decision.Propose != nil {
		l.proposeEpoch(*decision.Propose)
	}
}

func (l *Loop) recordReason(reason membership.Reason) {
	if reason == l.membership.reason {
		return
	}
	l.membership.reason = reason
	l.cfg.Events.Record(events.MembershipDecided, events.Fields{Detail: string(reason)})
}

// proposeEpoch appends an epoch, unless the last proposal has no verdict yet.
// Each proposal has its own key, so that a proposal that was withdrawn or that
// lost against another one can be made again from newer information.
func (l *Loop) proposeEpoch(epoch structs.EntryEpoch) {
	l.membership.proposalCount++
	rec := structs.Record{
		Key:        fmt.Sprintf("entry/%s/%d/%s/%d/%d", epoch.Zone, epoch.Epoch, l.cfg.Node, l.cfg.Incarnation, l.membership.proposalCount),
		EntryEpoch: &epoch,
	}
	if l.membership.pendingKey != "" && l.appends.isPending(l.membership.pendingKey) {
		return
	}
	l.membership.pendingKey = rec.Key
	l.membership.proposedEpoch = max(l.membership.proposedEpoch, epoch.Epoch)
	l.publishFreshness()
	l.submit(rec)
}

// withdrawProposal withdraws a proposal that has not been written to the log,
// so that the members stay fresh while the log can't be reached.
func (l *Loop) withdrawProposal() {
	if l.membership.proposedEpoch <= l.membership.currentEpoch || l.membership.pendingKey == "" {
		return
	}
	if l.appends.withdraw(l.membership.pendingKey) {
		l.membership.pendingKey = ""
		l.membership.proposedEpoch = l.membership.currentEpoch
		l.publishFreshness()
	}
}

// publishFreshness publishes the input of Fresh.
func (l *Loop) publishFreshness() {
	input := membership.FreshnessInput{
		Self:           l.cfg.selfMember(),
		Current:        l.membership.entry,
		ProposedEpoch:  l.membership.proposedEpoch,
		TailReadSentAt: l.log.tailReadSentAt,
		FenceTime:      l.cfg.Intervals.FenceTime,
	}
	for _, m := range l.membership.entry.Members {
		p, ok := l.peers[m.Node]
		if !ok {
			continue
		}
		input.Reports = append(input.Reports, membership.Report{
			Node:          m.Node,
			Incarnation:   p.report.Incarnation,
			KnownEpoch:    p.report.KnownEpoch,
			RequestSentAt: p.exchangeSentAt,
		})
	}
	l.freshness.Store(&freshnessInput{input: input})
}

// Fresh reports whether this node is a member of its zone's entry epoch and
// has confirmed within the fence time that no newer epoch is in force. It
// reads the monotonic clock, so that a node that was paused is not fresh.
func (l *Loop) Fresh() bool {
	freshness := l.freshness.Load()
	if freshness == nil {
		return false
	}
	input := freshness.input
	input.Now = time.Now()
	return membership.Fresh(input)
}

// TailReadSentAt returns the time at which this node sent the newest read that
// reached the log's tail. The view includes everything that the read returned.
// Zero means never.
func (l *Loop) TailReadSentAt() time.Time {
	sentAt := l.tailReadAt.Load()
	if sentAt == nil {
		return time.Time{}
	}
	return *sentAt
}

// Leave makes the node leave its zone's membership and release the planner's
// lease. The loop runs on until its context ends.
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
	l.makeExchangesDue()
	l.updateReadiness(now)
	l.publishStatus()
}
