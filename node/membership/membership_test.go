package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func member(node string, incarnation uint64) structs.EntryMember {
	return structs.EntryMember{Node: node, Incarnation: incarnation, PeerAddress: "10.0.0.1:7000"}
}

func epoch(n structs.Epoch, members ...structs.EntryMember) structs.EntryEpoch {
	return structs.EntryEpoch{Zone: "north", Epoch: n, Members: members}
}

func terminated(nodes ...string) []infra.ListedVM {
	var list []infra.ListedVM
	for _, node := range nodes {
		list = append(list, infra.ListedVM{ID: node, Kind: infra.VMKindEntry, Presence: infra.PresenceTerminated})
	}
	return list
}

func heard(m structs.EntryMember, second int) Peer { return Peer{EntryMember: m, Heard: at(second)} }

func joining(m structs.EntryMember, second, since int) Peer {
	return Peer{EntryMember: m, Heard: at(second), Since: at(since)}
}

func TestDecide(t *testing.T) {
	a, b, c := member("a", 1), member("b", 1), member("c", 1)
	cases := []struct {
		name    string
		in      Input
		members []structs.EntryMember
		reason  Reason
		join    bool
	}{
		{"an undeclared zone gets no epoch", Input{Self: a, Now: at(0)}, nil, ReasonUndeclared, false},
		{"the first node forms the zone", Input{Self: a, Declared: true}, []structs.EntryMember{a}, ReasonForm, false},
		{"a joiner asks the members", Input{Self: c, Declared: true, Current: epoch(2, a, b), Now: at(900)}, nil, ReasonAskMembers, true},
		{"a joiner never replaces a silent sole member", Input{Self: b, Declared: true, Current: epoch(1, a), Now: at(9000)}, nil, ReasonAskMembers, true},
		{
			"a joiner never replaces a sole member that the list lost",
			Input{Self: b, Declared: true, Current: epoch(1, a), Now: at(9000), Listed: terminated("x")}, nil, ReasonAskMembers, true,
		},
		{
			"a joiner replaces members that are all terminated",
			Input{Self: c, Declared: true, Current: epoch(2, a, b), Listed: terminated("a", "b")}, []structs.EntryMember{c}, ReasonReplaceAll, false,
		},
		{
			"but not by a list that is older than their epoch",
			Input{Self: c, Declared: true, Current: epoch(2, a, b), CurrentSince: at(50), ListedAt: at(49), Now: at(60), Listed: terminated("a", "b")},
			nil, ReasonAskMembers, true,
		},
		{
			"one live member of two keeps a joiner waiting",
			Input{Self: c, Declared: true, Current: epoch(2, a, b), Listed: terminated("a")}, nil, ReasonAskMembers, true,
		},
		{
			"a restarted node replaces its older run",
			Input{Self: member("a", 2), Declared: true, Current: epoch(2, a, b)}, []structs.EntryMember{member("a", 2), b}, ReasonRestart, false,
		},
		{"an older run keeps out", Input{Self: a, Declared: true, Current: epoch(2, member("a", 2))}, nil, ReasonSuperseded, false},
		{
			"the first member adds a joiner at once",
			Input{Self: a, Declared: true, Current: epoch(2, a, b), Now: at(10), Peers: []Peer{heard(b, 10), joining(c, 10, 10)}},
			[]structs.EntryMember{a, b, c}, ReasonChange, false,
		},
		{
			"the second member waits its turn",
			Input{Self: b, Declared: true, Current: epoch(2, a, b), Now: at(10), Peers: []Peer{heard(a, 10), joining(c, 10, 10)}},
			nil, ReasonNone, false,
		},
		{
			"and adds it when the first did not",
			Input{Self: b, Declared: true, Current: epoch(2, a, b), Now: at(14), Peers: []Peer{heard(a, 14), joining(c, 14, 10)}},
			[]structs.EntryMember{a, b, c}, ReasonChange, false,
		},
		{
			"a peer that does not ask is not added",
			Input{Self: a, Declared: true, Current: epoch(1, a), Now: at(10), Peers: []Peer{heard(b, 10)}}, nil, ReasonNone, false,
		},
		{
			"a silent member stays for a while",
			Input{Self: a, Declared: true, Current: epoch(2, a, b, c), Now: at(20), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 0)}},
			nil, ReasonNone, false,
		},
		{
			"then the majority removes it, listed live or not",
			Input{Self: a, Declared: true, Current: epoch(2, a, b, c), Now: at(21), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 0)}},
			[]structs.EntryMember{a, b}, ReasonChange, false,
		},
		{
			"a member off the list that is heard stays",
			Input{Self: a, Declared: true, Current: epoch(2, a, b), Now: at(100), Peers: []Peer{heard(b, 99)}, Listed: terminated("b")},
			nil, ReasonNone, false,
		},
		{
			"half of the members wait longer",
			Input{Self: a, Declared: true, Current: epoch(2, a, b), Now: at(50), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}},
			nil, ReasonNone, false,
		},
		{
			"unless the other is terminated",
			Input{Self: a, Declared: true, Current: epoch(2, a, b), Now: at(50), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}, Listed: terminated("b"), ListedAt: at(40)},
			[]structs.EntryMember{a}, ReasonChange, false,
		},
		{
			"half of the members remove the other in the end",
			Input{Self: a, Declared: true, Current: epoch(2, a, b), Now: at(61), CurrentSince: at(0), Peers: []Peer{heard(b, 0)}},
			[]structs.EntryMember{a}, ReasonChange, false,
		},
		{
			"words of an older run do not keep a member",
			Input{Self: a, Declared: true, Current: epoch(2, a, b, member("c", 2)), Now: at(21), CurrentSince: at(0), Peers: []Peer{heard(b, 20), heard(c, 20)}},
			[]structs.EntryMember{a, b}, ReasonChange, false,
		},
		{
			"a leaving member takes itself out",
			Input{Self: a, Leaving: true, Declared: true, Current: epoch(2, a, b), Now: at(10), Peers: []Peer{heard(b, 10)}},
			[]structs.EntryMember{b}, ReasonChange, false,
		},
		{
			"a leaving sole member hands over to a joiner",
			Input{Self: a, Leaving: true, Declared: true, Current: epoch(1, a), Now: at(10), Peers: []Peer{joining(b, 10, 10)}},
			[]structs.EntryMember{b}, ReasonChange, false,
		},
		{
			"a leaving sole member stays without one",
			Input{Self: a, Leaving: true, Declared: true, Current: epoch(1, a), Now: at(10)}, nil, ReasonSoleLeaving, false,
		},
		{
			"a leaving peer is not added",
			Input{Self: a, Declared: true, Current: epoch(1, a), Now: at(10), Peers: []Peer{{EntryMember: b, Heard: at(10), Since: at(1), Leaving: true}}},
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
	a, b, c := member("a", 1), member("b", 1), member("c", 1)
	report := func(m structs.EntryMember, known structs.Epoch, second int) Report {
		return Report{Node: m.Node, Incarnation: m.Incarnation, Known: known, AskedAt: at(second)}
	}
	const fence = 10 * time.Second
	cases := []struct {
		name string
		in   FenceInput
		want bool
	}{
		{"not a member", FenceInput{Self: c, Current: epoch(2, a, b), TailAskedAt: at(100)}, false},
		{"an older run", FenceInput{Self: a, Current: epoch(2, member("a", 2), b), TailAskedAt: at(100)}, false},
		{"the log's tail was read", FenceInput{Self: a, Current: epoch(2, a, b), TailAskedAt: at(95)}, true},
		{"long ago", FenceInput{Self: a, Current: epoch(2, a, b), TailAskedAt: at(90)}, false},
		{"a sole member", FenceInput{Self: a, Current: epoch(2, a)}, true},
		{"a sole member that proposed another epoch", FenceInput{Self: a, Current: epoch(2, a), Proposed: 3}, false},
		{"all others confirm", FenceInput{Self: a, Current: epoch(2, a, b, c), Reports: []Report{report(b, 2, 95), report(c, 2, 95)}}, true},
		{"one does not answer", FenceInput{Self: a, Current: epoch(2, a, b, c), Reports: []Report{report(b, 2, 95)}}, false},
		{"one knows a newer epoch", FenceInput{Self: a, Current: epoch(2, a, b), Reports: []Report{report(b, 3, 95)}}, false},
		{"one answered too long ago", FenceInput{Self: a, Current: epoch(2, a, b), Reports: []Report{report(b, 2, 90)}}, false},
		{"an older run answered", FenceInput{Self: a, Current: epoch(2, a, member("b", 2)), Reports: []Report{report(b, 2, 99)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Now = at(100)
			c.in.Fence = fence
			require.Equal(t, c.want, Fresh(c.in))
		})
	}
}
