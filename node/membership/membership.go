// Package membership decides which entry nodes are the members of an
// availability zone. It proposes entry epochs; the platform's log decides which
// proposal takes effect.
//
//	decision := membership.Decide(membership.Input{
//		Self: self, Zone: "north", Current: view.EntryEpochs["north"], Peers: peers, Now: now,
//	}, membership.Limits{})
//	if decision.Propose != nil { append it to the log }
//
// The package has no I/O and no clock. The safety of claims rests on one rule:
// an epoch is replaced only by one of its own members, or by any node once the
// platform lists all its members as terminated. If every other member has
// confirmed that it knows no newer epoch, a member can therefore rely on there
// being none.
package membership

import (
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// Defaults of Limits.
const (
	DefaultRemoveAfter    = 20 * time.Second
	DefaultMinorityAfter  = time.Minute
	DefaultProposeStagger = 3 * time.Second
	DefaultHeardWithin    = 7 * time.Second
)

// Limits configures the timing of decisions. Zero fields get defaults.
type Limits struct {
	// RemoveAfter is how long a member must be silent before it is removed. It
	// must be longer than the fence time of claims.
	RemoveAfter time.Duration
	// MinorityAfter is how long members must be silent before they are removed
	// by a node that hears, itself included, at most half of the members.
	MinorityAfter time.Duration
	// ProposeStagger is the additional delay before each further member adds a
	// joining node that an earlier member should have added.
	ProposeStagger time.Duration
	// HeardWithin is the maximum age of the last message of a node that is to
	// be added.
	HeardWithin time.Duration
}

func (l Limits) withDefaults() Limits {
	setDuration(&l.RemoveAfter, DefaultRemoveAfter)
	setDuration(&l.MinorityAfter, DefaultMinorityAfter)
	setDuration(&l.ProposeStagger, DefaultProposeStagger)
	setDuration(&l.HeardWithin, DefaultHeardWithin)
	return l
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Peer is what a node knows about another node of its zone.
type Peer struct {
	structs.EntryMember
	// LastHeard is when the last message of the node arrived.
	LastHeard time.Time
	// JoiningSince is when the node first asked to join; zero if it does not
	// ask.
	JoiningSince time.Time
	// Leaving is set if the node announced that it is stopping.
	Leaving bool
}

// Input is the input of a decision.
type Input struct {
	Self structs.EntryMember
	Zone string
	// Declared is set if the manifest names the zone.
	Declared bool
	// Current is the zone's epoch in the control state.
	Current structs.EntryEpoch
	// CurrentSince is when this node first saw the current epoch.
	CurrentSince time.Time
	// Peers are the other known nodes of the zone.
	Peers []Peer
	// ListedVMs is the platform's list of VMs, which lags; ListedAt is when it
	// was read. A list that was read before this node first saw the current
	// epoch is ignored, because it may be older than the epoch's members.
	ListedVMs []infra.ListedVM
	ListedAt  time.Time
	// Leaving is set if this node is stopping.
	Leaving bool
	Now     time.Time
}

// Reason is why an epoch is proposed, or why none is.
type Reason string

// Reasons of decisions.
const (
	ReasonNone        Reason = ""
	ReasonForm        Reason = "form"         // the zone has no members yet
	ReasonRestart     Reason = "restart"      // this incarnation replaces an earlier one of the node
	ReasonReplaceAll  Reason = "replace_all"  // all members are terminated
	ReasonChange      Reason = "change"       // members join, leave or are silent
	ReasonUndeclared  Reason = "undeclared"   // the manifest does not name the zone
	ReasonSuperseded  Reason = "superseded"   // a newer incarnation of this node is a member
	ReasonAskMembers  Reason = "ask_members"  // a member must add this node
	ReasonSoleLeaving Reason = "sole_leaving" // the last member stays in the epoch
)

// Decision is the result of Decide.
type Decision struct {
	// Propose is the epoch to append, or nil.
	Propose *structs.EntryEpoch
	Reason  Reason
	// Join is set if this node asks the members to add it.
	Join bool
}

// Decide returns the epoch that this node should propose now, if any.
func Decide(in Input, limits Limits) Decision {
	d := decider{in: in, limits: limits.withDefaults()}
	if !in.ListedAt.Before(in.CurrentSince) {
		d.presences = entryPresences(in.ListedVMs)
	}
	if !in.Declared {
		return Decision{Reason: ReasonUndeclared}
	}
	own, found := findMember(in.Current.Members, in.Self.Node)
	switch {
	case found && own.Incarnation > in.Self.Incarnation:
		return Decision{Reason: ReasonSuperseded}
	case in.Leaving && !found:
		return Decision{}
	case in.Leaving:
		return d.leave()
	case len(in.Current.Members) == 0:
		return d.propose([]structs.EntryMember{in.Self}, ReasonForm)
	case found && own != in.Self:
		return d.propose(replaceMember(in.Current.Members, in.Self), ReasonRestart)
	case !found && d.allTerminated():
		return d.propose([]structs.EntryMember{in.Self}, ReasonReplaceAll)
	case !found:
		return Decision{Reason: ReasonAskMembers, Join: true}
	}
	return d.changeMembers()
}

// decider holds the input of one decision.
type decider struct {
	in        Input
	limits    Limits
	presences map[string]infra.Presence
}

func entryPresences(list []infra.ListedVM) map[string]infra.Presence {
	byID := make(map[string]infra.Presence)
	for _, vm := range list {
		if vm.Kind == infra.VMKindEntry {
			byID[vm.ID] = vm.Presence
		}
	}
	return byID
}

func (d *decider) propose(members []structs.EntryMember, reason Reason) Decision {
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return Decision{
		Reason:  reason,
		Propose: &structs.EntryEpoch{Zone: d.in.Zone, Epoch: d.in.Current.Epoch + 1, Members: members},
	}
}

// leave proposes an epoch without this node, unless it is the last member. An
// epoch is never empty; its last member is replaced when its node restarts or
// is terminated.
func (d *decider) leave() Decision {
	var rest []structs.EntryMember
	for _, m := range d.in.Current.Members {
		if m.Node != d.in.Self.Node {
			rest = append(rest, m)
		}
	}
	rest = append(rest, d.joiners()...)
	if len(rest) == 0 {
		return Decision{Reason: ReasonSoleLeaving}
	}
	return d.propose(rest, ReasonChange)
}

// changeMembers proposes an epoch with the joining nodes added and the silent
// members removed.
func (d *decider) changeMembers() Decision {
	removed := d.removals()
	joiners := d.joiners()
	if len(removed) == 0 && len(joiners) == 0 {
		return Decision{}
	}
	var members []structs.EntryMember
	for _, m := range d.in.Current.Members {
		if !removed[m.Node] {
			members = append(members, m)
		}
	}
	return d.propose(append(members, joiners...), ReasonChange)
}

// joiners returns the joining nodes that this member should add. The first
// member that receives a join request adds the node; each further member waits
// longer.
func (d *decider) joiners() []structs.EntryMember {
	var joiners []structs.EntryMember
	wait := time.Duration(d.rank()) * d.limits.ProposeStagger
	for _, p := range d.in.Peers {
		_, member := findMember(d.in.Current.Members, p.Node)
		if member || p.Leaving || p.JoiningSince.IsZero() || d.silentFor(p.LastHeard) > d.limits.HeardWithin {
			continue
		}
		if d.presences[p.Node] == infra.PresenceTerminated {
			continue
		}
		if d.in.Leaving || d.in.Now.Sub(p.JoiningSince) >= wait {
			joiners = append(joiners, p.EntryMember)
		}
	}
	return joiners
}

// rank returns the number of members that sort before this one and have been
// heard recently.
func (d *decider) rank() int {
	rank := 0
	for _, m := range d.in.Current.Members {
		if m.Node >= d.in.Self.Node {
			break
		}
		if d.silentFor(d.lastHeard(m)) <= d.limits.HeardWithin {
			rank++
		}
	}
	return rank
}

// removals returns the members to remove.
func (d *decider) removals() map[string]bool {
	after := d.limits.RemoveAfter
	if !d.hearsMajority() {
		after = d.limits.MinorityAfter
	}
	removed := make(map[string]bool)
	for _, m := range d.in.Current.Members {
		if m.Node == d.in.Self.Node {
			continue
		}
		silent := d.silentFor(d.lastHeard(m))
		terminated := d.presences[m.Node] == infra.PresenceTerminated
		if silent > after || terminated && silent > d.limits.RemoveAfter {
			removed[m.Node] = true
		}
	}
	return removed
}

func (d *decider) hearsMajority() bool {
	heard := 1
	for _, m := range d.in.Current.Members {
		if m.Node != d.in.Self.Node && d.silentFor(d.lastHeard(m)) <= d.limits.RemoveAfter {
			heard++
		}
	}
	return 2*heard > len(d.in.Current.Members)
}

// lastHeard returns when the last message of a member's current incarnation
// arrived. A member from which none has arrived counts from when this node
// first saw the epoch.
func (d *decider) lastHeard(m structs.EntryMember) time.Time {
	heard := d.in.CurrentSince
	for _, p := range d.in.Peers {
		if p.Node == m.Node && p.Incarnation >= m.Incarnation && p.LastHeard.After(heard) {
			heard = p.LastHeard
		}
	}
	return heard
}

func (d *decider) silentFor(heard time.Time) time.Duration { return d.in.Now.Sub(heard) }

func (d *decider) allTerminated() bool {
	for _, m := range d.in.Current.Members {
		if d.presences[m.Node] != infra.PresenceTerminated {
			return false
		}
	}
	return true
}

func findMember(members []structs.EntryMember, node string) (structs.EntryMember, bool) {
	for _, m := range members {
		if m.Node == node {
			return m, true
		}
	}
	return structs.EntryMember{}, false
}

func replaceMember(members []structs.EntryMember, self structs.EntryMember) []structs.EntryMember {
	var changed []structs.EntryMember
	for _, m := range members {
		if m.Node == self.Node {
			m = self
		}
		changed = append(changed, m)
	}
	return changed
}
