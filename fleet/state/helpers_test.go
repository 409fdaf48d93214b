package state

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// harness applies records to a State and checks the invariants after each one.
type harness struct {
	t        testing.TB
	s        *State
	keyCount int
	epoch    structs.Epoch
}

// newHarness returns a harness in which the Gothalo example is published, each
// zone has the entry nodes n1 and n2, and n1 holds the lease of scope "fleet".
func newHarness(t testing.TB) *harness {
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	h := &harness{t: t, s: New(), epoch: 1}
	h.requireApplied("pipeline", structs.Record{Publish: &structs.Publish{Changes: manifest.Diff(h.s.View(), m)}})
	for _, zone := range m.Zones {
		h.setMembers(zone.Name, 1, "n1", "n2")
	}
	h.requireApplied("n1", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Holder: "n1", TTLMS: 10000}})
	return h
}

func (h *harness) apply(writer string, rec structs.Record) structs.Verdict {
	h.keyCount++
	rec.Key = fmt.Sprintf("k%d", h.keyCount)
	rec.Writer = writer
	verdict, broken := h.s.ApplyChecked(h.s.Next(), rec)
	require.Empty(h.t, broken)
	require.Empty(h.t, h.s.CheckInvariants())
	return verdict
}

func (h *harness) requireApplied(writer string, rec structs.Record) {
	h.t.Helper()
	verdict := h.apply(writer, rec)
	require.Equal(h.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (h *harness) requireVoid(reason structs.VoidReason, writer string, rec structs.Record) {
	h.t.Helper()
	verdict := h.apply(writer, rec)
	require.Equal(h.t, reason, verdict.Void, verdict.Detail)
	require.NotEmpty(h.t, verdict.Detail)
}

func (h *harness) vm(id string) structs.VMStatus {
	h.t.Helper()
	vm, ok := h.s.View().VMByID(id)
	require.True(h.t, ok, id)
	return vm
}

// transition returns a transition of a VM at its current sequence.
func (h *harness) transition(id string, to structs.VMState) structs.Record {
	return structs.Record{Transition: &structs.Transition{
		VM: id, Sequence: h.vm(id).Sequence, To: to, LeaseScope: "fleet", LeaseEpoch: h.epoch,
	}}
}

func (h *harness) move(id, pool string) structs.Record {
	return structs.Record{Move: &structs.Move{
		VM: id, Sequence: h.vm(id).Sequence, To: pool, LeaseScope: "fleet", LeaseEpoch: h.epoch,
	}}
}

func (h *harness) ack(id, node string, incarnation uint64) structs.Record {
	return structs.Record{DrainAck: &structs.DrainAck{
		VM: id, Sequence: h.vm(id).Sequence, Node: node, Incarnation: incarnation,
	}}
}

// setMembers appends the next entry epoch of a zone.
func (h *harness) setMembers(zone string, incarnation uint64, nodes ...string) {
	h.t.Helper()
	entry := h.s.View().EntryEpochs[zone]
	next := &structs.EntryEpoch{Zone: zone, Epoch: entry.Epoch + 1}
	for _, node := range nodes {
		next.Members = append(next.Members, structs.EntryMember{Node: node, Incarnation: incarnation})
	}
	h.requireApplied(nodes[0], structs.Record{EntryEpoch: next})
}

// drain takes an active VM through draining to drained.
func (h *harness) drain(id string) {
	h.t.Helper()
	h.requireApplied("n1", h.transition(id, structs.VMDraining))
	for _, m := range h.s.View().EntryEpochs[h.vm(id).Zone].Members {
		h.requireApplied(m.Node, h.ack(id, m.Node, m.Incarnation))
	}
	h.requireApplied("n1", h.transition(id, structs.VMDrained))
}

func (h *harness) publish(changes ...structs.Change) structs.Record {
	return structs.Record{Publish: &structs.Publish{Base: h.s.View().Generation, Changes: changes}}
}
