package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

func TestOffsetsAreFoldedOnceAndInOrder(t *testing.T) {
	b := newBench(t)
	next := b.s.Next()
	before := b.s.Digest()
	rec := structs.Record{Key: "x", Writer: "n1", Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", TTLMS: 1}}
	require.Equal(t, structs.VoidGap, b.s.Apply(next+1, rec).Void)
	require.Equal(t, structs.VoidDuplicate, b.s.Apply(next-1, rec).Void)
	require.Equal(t, before, b.s.Digest())
	require.Equal(t, structs.VoidNone, b.s.Apply(next, rec).Void)
	require.Equal(t, structs.VoidDuplicate, b.s.Apply(next+1, rec).Void)
	require.Equal(t, next+2, b.s.Next())
}

func TestUndecodableRecordIsVoidAndTakesItsOffset(t *testing.T) {
	s := New()
	verdict := s.ApplyEncoded(0, []byte{0xff, 0x00})
	require.Equal(t, structs.VoidInvalid, verdict.Void)
	require.Equal(t, structs.Offset(1), s.Next())
}

func TestViewNeverChanges(t *testing.T) {
	b := newBench(t)
	view := b.s.View()
	require.Same(t, view, b.s.View())
	want := manifest.FromView(view)
	b.ok("n1", b.step("intake-01", structs.VMDraining))
	b.ok("pipeline", b.publish(structs.Change{Kind: structs.ItemTeam, Name: "new", Team: &structs.Team{Name: "new"}}))
	require.NotSame(t, view, b.s.View())
	require.Equal(t, want, manifest.FromView(view))
	require.Equal(t, structs.VMActive, mustVM(t, view, "intake-01").State)
	require.NotContains(t, view.Teams, "new")
}

func mustVM(t *testing.T, view *structs.View, id string) structs.VMStatus {
	vm, ok := view.VMByID(id)
	require.True(t, ok)
	return vm
}

func TestSnapshotRestoresTheSameState(t *testing.T) {
	b := newBench(t)
	b.drain("intake-01")
	b.ok("n1", b.step("survey-01", structs.VMDraining))
	b.ok("n2", b.ack("survey-01", "n2", 1))
	parts, err := b.s.SnapshotRecords("snap", "n1")
	require.NoError(t, err)
	restored, err := Restore(parts)
	require.NoError(t, err)
	require.Equal(t, b.s.Digest(), restored.Digest())
	require.Equal(t, b.s.View(), restored.View())
	parts[0].Snapshot.Data[100] ^= 1
	_, err = Restore(parts)
	require.ErrorContains(t, err, "digest")
}

func TestDiffLeadsToTheManifest(t *testing.T) {
	b := newBench(t)
	m := manifest.FromView(b.s.View())
	require.Empty(t, manifest.Diff(b.s.View(), m))
	m.Teams[0].Weight = 9
	m.Services = m.Services[1:]
	m.Waves = nil
	changes := manifest.Diff(b.s.View(), m)
	require.Len(t, changes, 3)
	b.ok("pipeline", b.publish(changes...))
	m.BaseGeneration++
	require.Equal(t, m, manifest.FromView(b.s.View()))
}
