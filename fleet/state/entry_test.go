package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestEntryEpochMustFollowCurrent(t *testing.T) {
	member := func(node string, incarnation uint64) structs.EntryMember {
		return structs.EntryMember{Node: node, Incarnation: incarnation}
	}
	tests := []struct {
		name    string
		zone    string
		epoch   structs.Epoch
		members []structs.EntryMember
		want    structs.VoidReason
	}{
		{"next", "kirtipur", 2, []structs.EntryMember{member("n3", 1)}, structs.VoidNone},
		{"current epoch again", "kirtipur", 1, []structs.EntryMember{member("n3", 1)}, structs.VoidStale},
		{"epoch skipped", "kirtipur", 3, []structs.EntryMember{member("n3", 1)}, structs.VoidStale},
		{"unknown zone", "pokhara", 1, []structs.EntryMember{member("n3", 1)}, structs.VoidUnknownItem},
		{"nobody", "kirtipur", 2, nil, structs.VoidInvalid},
		{"twice", "kirtipur", 2, []structs.EntryMember{member("n3", 1), member("n3", 2)}, structs.VoidInvalid},
		{"older incarnation", "kirtipur", 2, []structs.EntryMember{member("n1", 0)}, structs.VoidStale},
		{"newer incarnation", "kirtipur", 2, []structs.EntryMember{member("n1", 2)}, structs.VoidNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			rec := structs.Record{EntryEpoch: &structs.EntryEpoch{Zone: tt.zone, Epoch: tt.epoch, Members: tt.members}}
			verdict := h.apply("n3", rec)
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestDrainNeedsAcknowledgementsOfCurrentMembers(t *testing.T) {
	const id = "intake-01"
	tests := []struct {
		name   string
		change func(h *harness, zone string)
		want   structs.VoidReason
	}{
		{"all acknowledged", func(*harness, string) {}, structs.VoidNone},
		{"a member joined", func(h *harness, zone string) { h.setMembers(zone, 1, "n1", "n2", "n3") }, structs.VoidNotDrained},
		{"a member was replaced", func(h *harness, zone string) { h.setMembers(zone, 1, "n1", "n3") }, structs.VoidNotDrained},
		{"a member restarted", func(h *harness, zone string) { h.setMembers(zone, 2, "n1", "n2") }, structs.VoidNotDrained},
		{"a member left", func(h *harness, zone string) { h.setMembers(zone, 1, "n1") }, structs.VoidNone},
		{"a member left and rejoined with a new incarnation", func(h *harness, zone string) {
			h.setMembers(zone, 1, "n1")
			h.setMembers(zone, 2, "n1", "n2")
		}, structs.VoidNotDrained},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.requireApplied("n1", h.transition(id, structs.VMDraining))
			h.requireApplied("n1", h.ack(id, "n1", 1))
			h.requireVoid(structs.VoidNotDrained, "n1", h.transition(id, structs.VMDrained))
			h.requireApplied("n2", h.ack(id, "n2", 1))
			tt.change(h, h.vm(id).Zone)
			verdict := h.apply("n1", h.transition(id, structs.VMDrained))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

// A transition to drained is void while entry nodes have not acknowledged the
// drain, for example because a node joined. The lease holder must be able to
// append the same record, with the same key, once they have acknowledged.
func TestVoidTransitionMayBeAppendedAgain(t *testing.T) {
	const id = "intake-01"
	h := newHarness(t)
	h.requireApplied("n1", h.transition(id, structs.VMDraining))
	rec := withKey(h.transition(id, structs.VMDrained), "n1")
	require.Equal(t, structs.VoidNotDrained, h.s.Apply(h.s.Next(), rec).Void)
	h.requireApplied("n1", h.ack(id, "n1", 1))
	h.requireApplied("n2", h.ack(id, "n2", 1))
	require.Equal(t, structs.VoidNone, h.s.Apply(h.s.Next(), rec).Void)
	require.Equal(t, structs.VoidDuplicate, h.s.Apply(h.s.Next(), rec).Void)
}

func TestInvalidAcknowledgementsAreVoid(t *testing.T) {
	const id = "intake-01"
	h := newHarness(t)
	h.requireVoid(structs.VoidStale, "n1", h.ack(id, "n1", 1))
	h.requireApplied("n1", h.transition(id, structs.VMDraining))
	first := h.ack(id, "n1", 1)
	h.requireVoid(structs.VoidNotHolder, "n2", first)
	h.requireVoid(structs.VoidNotHolder, "n1", h.ack(id, "n1", 7))
	h.requireVoid(structs.VoidNotHolder, "n9", h.ack(id, "n9", 1))
	h.requireApplied("n1", first)
	h.requireApplied("n1", first)
	require.Equal(t, []string{"n1"}, h.vm(id).Acks)
	h.requireApplied("n1", h.transition(id, structs.VMActive))
	h.requireApplied("n1", h.transition(id, structs.VMDraining))
	require.Empty(t, h.vm(id).Acks)
	h.requireVoid(structs.VoidStale, "n1", first)
}

func TestDrainNeedsEntryNodesInZone(t *testing.T) {
	h := newHarness(t)
	h.requireApplied("pipeline", h.publish(
		structs.Change{Kind: structs.ItemZone, Name: "pokhara", Zone: &structs.Zone{Name: "pokhara", Region: "west"}},
		vmChange("intake-11", "intake", "pokhara", "127.0.0.1:29001"),
		vmChange("intake-12", "intake", "pokhara", "127.0.0.1:29002"),
	))
	h.requireApplied("n1", h.transition("intake-11", structs.VMDraining))
	h.requireVoid(structs.VoidNotDrained, "n1", h.transition("intake-11", structs.VMDrained))
	h.requireApplied("n1", h.transition("intake-11", structs.VMActive))
}

// vmChange returns a change that declares a small VM in rack r1 of a zone.
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
	released := func(h *harness) { h.requireApplied("n1", structs.Record{Lease: lease(1, 1, "n1", true)}) }
	renewed := func(h *harness) { h.requireApplied("n1", structs.Record{Lease: lease(1, 1, "n1", false)}) }
	acquisitionAfterOne := lease(2, 1, "n2", false)
	acquisitionAfterOne.ObservedSequence = 1
	renewedTwice := func(h *harness) {
		renewed(h)
		h.requireApplied("n1", structs.Record{Lease: lease(1, 2, "n1", false)})
	}
	none := func(*harness) {}
	tests := []struct {
		name    string
		prepare func(*harness)
		writer  string
		lease   *structs.Lease
		want    structs.VoidReason
	}{
		{"renew", none, "n1", lease(1, 1, "n1", false), structs.VoidNone},
		{"renewal repeated", none, "n1", lease(1, 0, "n1", false), structs.VoidStale},
		{"previous renewal lost", none, "n1", lease(1, 2, "n1", false), structs.VoidStale},
		{"renewed by another node", none, "n2", lease(1, 1, "n2", false), structs.VoidStale},
		{"acquired by another node", none, "n2", lease(2, 0, "n2", false), structs.VoidNone},
		{"acquired by another node after a newer renewal", renewedTwice, "n2", acquisitionAfterOne, structs.VoidStale},
		{"acquired by another node after the last renewal expired", renewed, "n2", acquisitionAfterOne, structs.VoidNone},
		{"acquired by another node without an observed sequence", renewedTwice, "n2", lease(2, 0, "n2", false), structs.VoidNone},
		{"next epoch skipped", none, "n2", lease(3, 0, "n2", false), structs.VoidStale},
		{"for another node", none, "n1", lease(2, 0, "n2", false), structs.VoidNotHolder},
		{"released by another node", none, "n2", lease(2, 0, "n2", true), structs.VoidNotHolder},
		{"release", none, "n1", lease(1, 1, "n1", true), structs.VoidNone},
		{"renewed after the release", released, "n1", lease(1, 2, "n1", false), structs.VoidStale},
		{"acquired after the release", released, "n1", lease(2, 1, "n1", false), structs.VoidNone},
		{"sequence far ahead", none, "n2", lease(2, 9, "n2", false), structs.VoidInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.prepare(h)
			verdict := h.apply(tt.writer, structs.Record{Lease: tt.lease})
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestReleasedLeaseDoesNotAuthorize(t *testing.T) {
	h := newHarness(t)
	h.requireApplied("n1", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", Release: true}})
	h.requireVoid(structs.VoidNotHolder, "n1", h.transition("intake-01", structs.VMDraining))
}
