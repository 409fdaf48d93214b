package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

func newMember(node string, incarnation uint64) structs.EntryMember {
	return structs.EntryMember{Node: node, Incarnation: incarnation, PeerAddress: "10.0.0.1:7000"}
}

func newEpoch(n structs.Epoch, members ...structs.EntryMember) structs.EntryEpoch {
	return structs.EntryEpoch{Zone: "north", Epoch: n, Members: members}
}

func terminated(nodes ...string) []infra.ListedVM {
	var list []infra.ListedVM
	for _, node := range nodes {
		list = append(list, infra.ListedVM{ID: node, Kind: infra.VMKindEntry, Presence: infra.PresenceTerminated})
	}
	return list
}

func heard(m structs.EntryMember, sec int) Peer { return Peer{EntryMember: m, LastHeard: at(sec)} }

func joining(m structs.EntryMember, sec, since int) Peer {
	return Peer{EntryMember: m, LastHeard: at(sec), JoiningSince: at(since)}
}

func TestDecide(t *testing.T) {
	a, b, c := newMember("a", 1), newMember("b", 1), newMember("c", 1)
	cases := []struct {
		name    string
		in      Input
		members []structs.EntryMember
		reason  Reason
		join    bool
	}{
		{"no epoch for an undeclared zone", Input{Self: a, Now: at(0)}, nil, ReasonUndeclared, false},
		{"the first node forms the zone", Input{Self: a, Declared: true}, []structs.EntryMember{a}, ReasonForm, false},
		{"a joining node asks the members", Input{Self: c, Declared: true, Current: newEpoch(2, a, b), Now: at(900)}, nil, ReasonAskMembers, true},
		{"a joining node never replaces a silent sole member", Input{Self: b, Declared: true, Current: newEpoch(1, a), Now: at(9000)}, nil, ReasonAskMembers, true},
		{
			"a joining node never replaces a sole member that is missing from the list",
			Input{Self: b, Declared: true, Current: newEpoch(1, a), Now: at(9000), ListedVMs: terminated("x")}, nil, ReasonAskMembers, true,
		},
		{
			"a joining node replaces members that are all terminated",
			Input{Self: c, Declared: true, Current: newEpoch(2, a, b), ListedVMs: terminated("a", "b")}, []structs.EntryMember{c}, ReasonReplaceAll, false,
		},
		{
			"a joining node ignores a list that is older than the epoch",
			Input{Self: c, Declared: true, Current: newEpoch(2, a, b), CurrentSince: at(50), ListedAt: at(49), Now: at(60), ListedVMs: terminated("a", "b")},
			nil, ReasonAskMembers, true,
		},
		{
			"a joining node waits while one of two members is not terminated",
			Input{Self: c, Declared: true, Current: newEpoch(2, a, b), ListedVMs: terminated("a")}, nil, ReasonAskMembers, true,
		},
		{
			"a restarted node replaces its earlier incarnation",
			Input{Self: newMember("a", 2), Declared: true, Current: newEpoch(2, a, b)}, []structs.EntryMember{newMember("a", 2), b}, ReasonRestart, false,
		},
		{"an earlier incarnation proposes nothing", Input{Self: a, Declared: true, Current: newEpoch(2, newMember("a", 2))}, nil, ReasonSuperseded, false},
		{
			"the first member adds a joining node at once",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b), Now: at(10), Peers: []Peer{heard(b, 10), joining(c, 10, 10)}},
			[]structs.EntryMember{a, b, c}, ReasonChange, false,
		},
		{
			"the second member waits before it adds a joining node",
			Input{Self: b, Declared: true, Current: newEpoch(2, a, b), Now: at(10), Peers: []Peer{heard(a, 10), joining(c, 10, 10)}},
			nil, ReasonNone, false,
		},
		{
			"the second member adds a joining node that the first did not add",
			Input{Self: b, Declared: true, Current: newEpoch(2, a, b), Now: at(14), Peers: []Peer{heard(a, 14), joining(c, 14, 10)}},
			[]structs.EntryMember{a, b, c}, ReasonChange, false,
		},
		{
			"a peer that does not ask to join is not added",
			Input{Self: a, Declared: true, Current: newEpoch(1, a), Now: at(10), Peers: []Peer{heard(b, 10)}}, nil, ReasonNone, false,
		},
		{
			"a member that is silent for RemoveAfter stays",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b, c), Now: at(20), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 0)}},
			nil, ReasonNone, false,
		},
		{
			"the majority removes a member that is silent for longer, whatever its presence in the list",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b, c), Now: at(21), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 0)}},
			[]structs.EntryMember{a, b}, ReasonChange, false,
		},
		{
			"a member listed as terminated stays while it sends messages",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b), Now: at(100), Peers: []Peer{heard(b, 99)}, ListedVMs: terminated("b")},
			nil, ReasonNone, false,
		},
		{
			"half of the members wait for MinorityAfter",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b), Now: at(50), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}},
			nil, ReasonNone, false,
		},
		{
			"half of the members remove a silent terminated member earlier",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b), Now: at(50), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}, ListedVMs: terminated("b"), ListedAt: at(40)},
			[]structs.EntryMember{a}, ReasonChange, false,
		},
		{
			"half of the members remove a silent member after MinorityAfter",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b), Now: at(61), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}},
			[]structs.EntryMember{a}, ReasonChange, false,
		},
		{
			"messages of an earlier incarnation do not keep a member",
			Input{Self: a, Declared: true, Current: newEpoch(2, a, b, newMember("c", 2)), Now: at(21), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 20)}},
			[]structs.EntryMember{a, b}, ReasonChange, false,
		},
		{
			"a leaving member removes itself",
			Input{Self: a, Leaving: true, Declared: true, Current: newEpoch(2, a, b), Now: at(10), Peers: []Peer{heard(b, 10)}},
			[]structs.EntryMember{b}, ReasonChange, false,
		},
		{
			"a leaving sole member is replaced by a joining node",
			Input{Self: a, Leaving: true, Declared: true, Current: newEpoch(1, a), Now: at(10), Peers: []Peer{joining(b, 10, 10)}},
			[]structs.EntryMember{b}, ReasonChange, false,
		},
		{
			"a leaving sole member stays if no node is joining",
			Input{Self: a, Leaving: true, Declared: true, Current: newEpoch(1, a), Now: at(10)}, nil, ReasonSoleLeaving, false,
		},
		{
			"a leaving peer is not added",
			Input{Self: a, Declared: true, Current: newEpoch(1, a), Now: at(10), Peers: []Peer{{EntryMember: b, LastHeard: at(10), JoiningSince: at(1), Leaving: true}}},
			nil, ReasonNone, false,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Zone = "north"
			got := Decide(c.in, Limits{})
			require.Equal(t, c.reason, got.Reason)
			require.Equal(t, c.join, got.Join)
			if c.members == nil {
				require.Nil(t, got.Propose)
				return
			}
			require.NotNil(t, got.Propose)
			require.Equal(t, c.members, got.Propose.Members)
			require.Equal(t, c.in.Current.Epoch+1, got.Propose.Epoch)
		})
	}
}

func TestFresh(t *testing.T) {
	a, b, c := newMember("a", 1), newMember("b", 1), newMember("c", 1)
	report := func(m structs.EntryMember, known structs.Epoch, second int) Report {
		return Report{Node: m.Node, Incarnation: m.Incarnation, KnownEpoch: known, RequestSentAt: at(second)}
	}
	const fence = 10 * time.Second
	cases := []struct {
		name string
		in   FreshnessInput
		want bool
	}{
		{"not a member", FreshnessInput{Self: c, Current: newEpoch(2, a, b), TailReadSentAt: at(100)}, false},
		{"an earlier incarnation", FreshnessInput{Self: a, Current: newEpoch(2, newMember("a", 2), b), TailReadSentAt: at(100)}, false},
		{"the log's tail was read", FreshnessInput{Self: a, Current: newEpoch(2, a, b), TailReadSentAt: at(95)}, true},
		{"the log's tail was read too long ago", FreshnessInput{Self: a, Current: newEpoch(2, a, b), TailReadSentAt: at(90)}, false},
		{"a sole member", FreshnessInput{Self: a, Current: newEpoch(2, a)}, true},
		{"a sole member that proposed another epoch", FreshnessInput{Self: a, Current: newEpoch(2, a), ProposedEpoch: 3}, false},
		{"all other members confirm", FreshnessInput{Self: a, Current: newEpoch(2, a, b, c), Reports: []Report{report(b, 2, 95), report(c, 2, 95)}}, true},
		{"one other member does not answer", FreshnessInput{Self: a, Current: newEpoch(2, a, b, c), Reports: []Report{report(b, 2, 95)}}, false},
		{"one other member knows a newer epoch", FreshnessInput{Self: a, Current: newEpoch(2, a, b), Reports: []Report{report(b, 3, 95)}}, false},
		{"one other member answered too long ago", FreshnessInput{Self: a, Current: newEpoch(2, a, b), Reports: []Report{report(b, 2, 90)}}, false},
		{"an earlier incarnation answered", FreshnessInput{Self: a, Current: newEpoch(2, a, newMember("b", 2)), Reports: []Report{report(b, 2, 99)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Now = at(100)
			c.in.FenceTime = fence
			require.Equal(t, c.want, Fresh(c.in))
		})
	}
}
