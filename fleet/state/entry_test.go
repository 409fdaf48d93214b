package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestEntryEpochsFormAChain(t *testing.T) {
	member := func(node string, incarnation uint64) structs.EntryMember {
		return structs.EntryMember{Node: node, Incarnation: incarnation}
	}
	tests := []struct {
		name    string
		zone    string
		epoch   structs.Epoch
		members []structs.EntryMember
		want    structs.Void
	}{
		{"next", "kirtipur", 2, []structs.EntryMember{member("n3", 1)}, structs.VoidNone},
		{"same again", "kirtipur", 1, []structs.EntryMember{member("n3", 1)}, structs.VoidStale},
		{"one left out", "kirtipur", 3, []structs.EntryMember{member("n3", 1)}, structs.VoidStale},
		{"unknown zone", "pokhara", 1, []structs.EntryMember{member("n3", 1)}, structs.VoidUnknownItem},
		{"nobody", "kirtipur", 2, nil, structs.VoidInvalid},
		{"twice", "kirtipur", 2, []structs.EntryMember{member("n3", 1), member("n3", 2)}, structs.VoidInvalid},
		{"older run", "kirtipur", 2, []structs.EntryMember{member("n1", 0)}, structs.VoidStale},
		{"newer run", "kirtipur", 2, []structs.EntryMember{member("n1", 2)}, structs.VoidNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			rec := structs.Record{EntryEpoch: &structs.EntryEpoch{Zone: tt.zone, Epoch: tt.epoch, Members: tt.members}}
			verdict := b.apply("n3", rec)
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestDrainNeedsTheMembersOfTheMoment(t *testing.T) {
	const id = "intake-01"
	tests := []struct {
		name   string
		change func(b *bench, zone string)
		want   structs.Void
	}{
		{"all acknowledged", func(*bench, string) {}, structs.VoidNone},
		{"a member joined", func(b *bench, zone string) { b.members(zone, 1, "n1", "n2", "n3") }, structs.VoidNotDrained},
		{"a member was replaced", func(b *bench, zone string) { b.members(zone, 1, "n1", "n3") }, structs.VoidNotDrained},
		{"a member was started again", func(b *bench, zone string) { b.members(zone, 2, "n1", "n2") }, structs.VoidNotDrained},
		{"a member left", func(b *bench, zone string) { b.members(zone, 1, "n1") }, structs.VoidNone},
		{"a member left and came back as another run", func(b *bench, zone string) {
			b.members(zone, 1, "n1")
			b.members(zone, 2, "n1", "n2")
		}, structs.VoidNotDrained},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.ok("n1", b.step(id, structs.VMDraining))
			b.ok("n1", b.ack(id, "n1", 1))
			b.void(structs.VoidNotDrained, "n1", b.step(id, structs.VMDrained))
			b.ok("n2", b.ack(id, "n2", 1))
			tt.change(b, b.vm(id).Zone)
			verdict := b.apply("n1", b.step(id, structs.VMDrained))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

// A holder that was refused because a member joined may append the same record
// again once that member has acknowledged.
func TestRefusedActMayBeAppendedAgain(t *testing.T) {
	const id = "intake-01"
	b := newBench(t)
	b.ok("n1", b.step(id, structs.VMDraining))
	rec := keyed(b.step(id, structs.VMDrained), "n1")
	require.Equal(t, structs.VoidNotDrained, b.s.Apply(b.s.Next(), rec).Void)
	b.ok("n1", b.ack(id, "n1", 1))
	b.ok("n2", b.ack(id, "n2", 1))
	require.Equal(t, structs.VoidNone, b.s.Apply(b.s.Next(), rec).Void)
	require.Equal(t, structs.VoidDuplicate, b.s.Apply(b.s.Next(), rec).Void)
}

func TestAcknowledgementsThatDoNotCount(t *testing.T) {
	const id = "intake-01"
	b := newBench(t)
	b.void(structs.VoidStale, "n1", b.ack(id, "n1", 1))
	b.ok("n1", b.step(id, structs.VMDraining))
	first := b.ack(id, "n1", 1)
	b.void(structs.VoidNotHolder, "n2", first)
	b.void(structs.VoidNotHolder, "n1", b.ack(id, "n1", 7))
	b.void(structs.VoidNotHolder, "n9", b.ack(id, "n9", 1))
	b.ok("n1", first)
	b.ok("n1", first)
	require.Equal(t, []string{"n1"}, b.vm(id).Acks)
	b.ok("n1", b.step(id, structs.VMActive))
	b.ok("n1", b.step(id, structs.VMDraining))
	require.Empty(t, b.vm(id).Acks)
	b.void(structs.VoidStale, "n1", first)
}

func TestZoneWithoutEntryNodesDrainsNothing(t *testing.T) {
	b := newBench(t)
	b.ok("pipeline", b.publish(
		structs.Change{Kind: structs.ItemZone, Name: "pokhara", Zone: &structs.Zone{Name: "pokhara", Region: "west"}},
		vmChange("intake-11", "intake", "pokhara", "127.0.0.1:29001"),
		vmChange("intake-12", "intake", "pokhara", "127.0.0.1:29002"),
	))
	b.ok("n1", b.step("intake-11", structs.VMDraining))
	b.void(structs.VoidNotDrained, "n1", b.step("intake-11", structs.VMDrained))
	b.ok("n1", b.step("intake-11", structs.VMActive))
}

// vmChange declares a small VM in rack r1 of a zone.
func vmChange(id, pool, zone, address string) structs.Change {
	return structs.Change{Kind: structs.ItemVM, Name: id, VM: &structs.VM{
		ID: id, Pool: pool, Zone: zone, Rack: "r1", Address: address,
		Cores: 1, MemoryMB: 1, Slots: 1, Connections: 1,
	}}
}

func TestLeaseRecords(t *testing.T) {
	lease := func(epoch structs.Epoch, sequence uint64, holder string, release bool) *structs.Lease {
		return &structs.Lease{Scope: "fleet", Epoch: epoch, Sequence: sequence, Holder: holder, TTLMS: 5000, Release: release}
	}
	released := func(b *bench) { b.ok("n1", structs.Record{Lease: lease(1, 1, "n1", true)}) }
	renewed := func(b *bench) { b.ok("n1", structs.Record{Lease: lease(1, 1, "n1", false)}) }
	waitedOut := lease(2, 1, "n2", false)
	waitedOut.Seen = 1
	renewedTwice := func(b *bench) {
		renewed(b)
		b.ok("n1", structs.Record{Lease: lease(1, 2, "n1", false)})
	}
	none := func(*bench) {}
	tests := []struct {
		name    string
		prepare func(*bench)
		writer  string
		lease   *structs.Lease
		want    structs.Void
	}{
		{"renew", none, "n1", lease(1, 1, "n1", false), structs.VoidNone},
		{"renewal repeated", none, "n1", lease(1, 0, "n1", false), structs.VoidStale},
		{"renewal lost before", none, "n1", lease(1, 2, "n1", false), structs.VoidStale},
		{"renewed by another", none, "n2", lease(1, 1, "n2", false), structs.VoidStale},
		{"taken by another", none, "n2", lease(2, 0, "n2", false), structs.VoidNone},
		{"taken by another, overtaken by a renewal", renewedTwice, "n2", waitedOut, structs.VoidStale},
		{"taken by another after the renewal lapsed", renewed, "n2", waitedOut, structs.VoidNone},
		{"taken by another without a claim", renewedTwice, "n2", lease(2, 0, "n2", false), structs.VoidNone},
		{"epoch left out", none, "n2", lease(3, 0, "n2", false), structs.VoidStale},
		{"for another", none, "n1", lease(2, 0, "n2", false), structs.VoidNotHolder},
		{"released by another", none, "n2", lease(2, 0, "n2", true), structs.VoidNotHolder},
		{"release", none, "n1", lease(1, 1, "n1", true), structs.VoidNone},
		{"renewed after the release", released, "n1", lease(1, 2, "n1", false), structs.VoidStale},
		{"taken after the release", released, "n1", lease(2, 1, "n1", false), structs.VoidNone},
		{"sequence far ahead", none, "n2", lease(2, 9, "n2", false), structs.VoidInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.prepare(b)
			verdict := b.apply(tt.writer, structs.Record{Lease: tt.lease})
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestReleasedLeaseGivesNoRight(t *testing.T) {
	b := newBench(t)
	b.ok("n1", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", Release: true}})
	b.void(structs.VoidNotHolder, "n1", b.step("intake-01", structs.VMDraining))
}
