package state

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// bench folds records one after the other and checks the invariants after
// each.
type bench struct {
	t     testing.TB
	s     *State
	keys  int
	epoch structs.Epoch
}

// newBench publishes the Gothalo example, forms the entry epochs of its zones
// and takes the lease of the scope "fleet" as "n1".
func newBench(t testing.TB) *bench {
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	b := &bench{t: t, s: New(), epoch: 1}
	b.ok("pipeline", structs.Record{Publish: &structs.Publish{Changes: manifest.Diff(b.s.View(), m)}})
	for _, zone := range m.Zones {
		b.members(zone.Name, 1, "n1", "n2")
	}
	b.ok("n1", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Holder: "n1", TTLMS: 10000}})
	return b
}

func (b *bench) apply(writer string, rec structs.Record) structs.Verdict {
	b.keys++
	rec.Key = fmt.Sprintf("k%d", b.keys)
	rec.Writer = writer
	verdict, broken := b.s.ApplyChecked(b.s.Next(), rec)
	require.Empty(b.t, broken)
	require.Empty(b.t, b.s.Check())
	return verdict
}

func (b *bench) ok(writer string, rec structs.Record) {
	b.t.Helper()
	verdict := b.apply(writer, rec)
	require.Equal(b.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (b *bench) void(reason structs.Void, writer string, rec structs.Record) {
	b.t.Helper()
	verdict := b.apply(writer, rec)
	require.Equal(b.t, reason, verdict.Void, verdict.Detail)
	require.NotEmpty(b.t, verdict.Detail)
}

func (b *bench) vm(id string) structs.VMStatus {
	b.t.Helper()
	vm, ok := b.s.View().VMByID(id)
	require.True(b.t, ok, id)
	return vm
}

// step is a transition of a VM from its present sequence.
func (b *bench) step(id string, to structs.VMState) structs.Record {
	return structs.Record{Transition: &structs.Transition{
		VM: id, Sequence: b.vm(id).Sequence, To: to, LeaseScope: "fleet", LeaseEpoch: b.epoch,
	}}
}

func (b *bench) move(id, pool string) structs.Record {
	return structs.Record{Move: &structs.Move{
		VM: id, Sequence: b.vm(id).Sequence, To: pool, LeaseScope: "fleet", LeaseEpoch: b.epoch,
	}}
}

func (b *bench) ack(id, node string, incarnation uint64) structs.Record {
	return structs.Record{DrainAck: &structs.DrainAck{
		VM: id, Sequence: b.vm(id).Sequence, Node: node, Incarnation: incarnation,
	}}
}

// members gives a zone its next entry epoch.
func (b *bench) members(zone string, incarnation uint64, nodes ...string) {
	b.t.Helper()
	entry := b.s.View().Entry[zone]
	next := &structs.EntryEpoch{Zone: zone, Epoch: entry.Epoch + 1}
	for _, node := range nodes {
		next.Members = append(next.Members, structs.EntryMember{Node: node, Incarnation: incarnation})
	}
	b.ok(nodes[0], structs.Record{EntryEpoch: next})
}

// drain takes a VM from active to drained.
func (b *bench) drain(id string) {
	b.t.Helper()
	b.ok("n1", b.step(id, structs.VMDraining))
	for _, m := range b.s.View().Entry[b.vm(id).Zone].Members {
		b.ok(m.Node, b.ack(id, m.Node, m.Incarnation))
	}
	b.ok("n1", b.step(id, structs.VMDrained))
}

func (b *bench) publish(changes ...structs.Change) structs.Record {
	return structs.Record{Publish: &structs.Publish{Base: b.s.View().Generation, Changes: changes}}
}
