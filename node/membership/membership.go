// Package membership decides who the entry nodes of an availability zone are.
// It proposes entry epochs; the platform's log decides which one holds.
//
//	decision := membership.Decide(membership.Input{
//		Self: self, Zone: "north", Current: view.Entry["north"], Peers: peers, Now: now,
//	}, membership.Limits{})
//	if decision.Propose != nil { append it to the log }
//
// The package has no I/O and no clock. One rule carries the safety of claims:
// an epoch is replaced only by one of its own members, or by anybody once the
// platform lists all its members as terminated. So a member that hears from
// every other member that none knows a newer epoch can rely on there being
// none.
package membership

import (
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// The defaults of Limits.
const (
	DefaultRemoveAfter      = 20 * time.Second
	DefaultMinorityAfter    = time.Minute
	DefaultProposeStagger   = 3 * time.Second
	defaultHeardWithinBound = 7 * time.Second
)

// Limits are the times that decisions use. Zero fields get defaults.
type Limits struct {
	// RemoveAfter is how long a member must have been silent before it is
	// removed. It must be longer than the fence time of claims.
	RemoveAfter time.Duration
	// MinorityAfter is how long members must have been silent before a node
	// that hears at most half of the members removes them.
	MinorityAfter time.Duration
	// ProposeStagger is how much longer each further member waits before it
	// proposes what an earlier one should have.
	ProposeStagger time.Duration
	// HeardWithin is how old the last message of a node may be for it to join.
	HeardWithin time.Duration
}

func (l Limits) withDefaults() Limits {
	setDuration(&l.RemoveAfter, DefaultRemoveAfter)
	setDuration(&l.MinorityAfter, DefaultMinorityAfter)
	setDuration(&l.ProposeStagger, DefaultProposeStagger)
	setDuration(&l.HeardWithin, defaultHeardWithinBound)
	return l
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Peer is what a node knows of another node of its zone.
type Peer struct {
	structs.EntryMember
	// Heard is when the node was last heard.
	Heard time.Time
	// Since is when the node first asked to join; zero if it does not ask.
	Since time.Time
	// Leaving says that the node announced its stop.
	Leaving bool
}

// Input is everything a decision looks at.
type Input struct {
	Self structs.EntryMember
	Zone string
	// Declared says that the manifest names the zone.
	Declared bool
	// Current is the zone's epoch in the control state.
	Current structs.EntryEpoch
	// CurrentSince is when this node first saw the current epoch.
	CurrentSince time.Time
	// Peers are the other nodes of the zone that this node has heard.
	Peers []Peer
	// Listed is the platform's list of VMs; it lags. ListedAt is when it was
	// read. A list read before the current epoch was seen says nothing of the
	// epoch's members.
	Listed   []infra.ListedVM
	ListedAt time.Time
	// Leaving says that this node stops.
	Leaving bool
	Now     time.Time
}

// Reason says why an epoch is proposed, or why none is.
type Reason string

// The reasons of a decision.
const (
	ReasonNone        Reason = ""
	ReasonForm        Reason = "form"         // the zone has no members yet
	ReasonRestart     Reason = "restart"      // this run replaces an older run of the node
	ReasonReplaceAll  Reason = "replace_all"  // all members are terminated
	ReasonChange      Reason = "change"       // members join, leave or are silent
	ReasonUndeclared  Reason = "undeclared"   // the manifest does not name the zone
	ReasonSuperseded  Reason = "superseded"   // a newer run of this node is a member
	ReasonAskMembers  Reason = "ask_members"  // a member must add this node
	ReasonSoleLeaving Reason = "sole_leaving" // the last member stays in the epoch
)

// Decision is the outcome of one look at the membership.
type Decision struct {
	// Propose is the epoch to append, or nil.
	Propose *structs.EntryEpoch
	Reason  Reason
	// Join says that this node asks the members to add it.
	Join bool
}

// Decide returns what this node should propose now.
func Decide(in Input, limits Limits) Decision {
	d := decider{in: in, limits: limits.withDefaults()}
	if !in.ListedAt.Before(in.CurrentSince) {
		d.listed = presences(in.Listed)
	}
	if !in.Declared {
		return Decision{Reason: ReasonUndeclared}
	}
	own, found := find(in.Current.Members, in.Self.Node)
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
		return d.propose(replace(in.Current.Members, in.Self), ReasonRestart)
	case !found && d.allTerminated():
		return d.propose([]structs.EntryMember{in.Self}, ReasonReplaceAll)
	case !found:
		return Decision{Reason: ReasonAskMembers, Join: true}
	}
	return d.change()
}

// decider holds one decision's inputs.
type decider struct {
	in     Input
	limits Limits
	listed map[string]infra.Presence
}

func presences(list []infra.ListedVM) map[string]infra.Presence {
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

// leave takes this node out, unless it is the last one: an epoch is never
// empty, and its last member is replaced by a restart or when terminated.
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

// change adds the nodes that ask to join and removes silent members.
func (d *decider) change() Decision {
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

// joiners returns the nodes that asked to join and that this member is to
// add. The first member that hears one adds it; others wait their turn.
func (d *decider) joiners() []structs.EntryMember {
	var joiners []structs.EntryMember
	wait := time.Duration(d.rank()) * d.limits.ProposeStagger
	for _, p := range d.in.Peers {
		_, member := find(d.in.Current.Members, p.Node)
		if member || p.Leaving || p.Since.IsZero() || d.silence(p.Heard) > d.limits.HeardWithin {
			continue
		}
		if d.listed[p.Node] == infra.PresenceTerminated {
			continue
		}
		if d.in.Leaving || d.in.Now.Sub(p.Since) >= wait {
			joiners = append(joiners, p.EntryMember)
		}
	}
	return joiners
}

// rank counts the members before this one that are heard.
func (d *decider) rank() int {
	rank := 0
	for _, m := range d.in.Current.Members {
		if m.Node >= d.in.Self.Node {
			break
		}
		if d.silence(d.lastHeard(m)) <= d.limits.HeardWithin {
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
		silent := d.silence(d.lastHeard(m))
		terminated := d.listed[m.Node] == infra.PresenceTerminated
		if silent > after || terminated && silent > d.limits.RemoveAfter {
			removed[m.Node] = true
		}
	}
	return removed
}

func (d *decider) hearsMajority() bool {
	heard := 1
	for _, m := range d.in.Current.Members {
		if m.Node != d.in.Self.Node && d.silence(d.lastHeard(m)) <= d.limits.RemoveAfter {
			heard++
		}
	}
	return 2*heard > len(d.in.Current.Members)
}

// lastHeard returns when a member's present run was last heard. A member that
// was never heard counts from the start of the epoch.
func (d *decider) lastHeard(m structs.EntryMember) time.Time {
	heard := d.in.CurrentSince
	for _, p := range d.in.Peers {
		if p.Node == m.Node && p.Incarnation >= m.Incarnation && p.Heard.After(heard) {
			heard = p.Heard
		}
	}
	return heard
}

func (d *decider) silence(heard time.Time) time.Duration { return d.in.Now.Sub(heard) }

func (d *decider) allTerminated() bool {
	for _, m := range d.in.Current.Members {
		if d.listed[m.Node] != infra.PresenceTerminated {
			return false
		}
	}
	return true
}

func find(members []structs.EntryMember, node string) (structs.EntryMember, bool) {
	for _, m := range members {
		if m.Node == node {
			return m, true
		}
	}
	return structs.EntryMember{}, false
}

func replace(members []structs.EntryMember, self structs.EntryMember) []structs.EntryMember {
	var changed []structs.EntryMember
	for _, m := range members {
		if m.Node == self.Node {
			m = self
		}
		changed = append(changed, m)
	}
	return changed
}
