package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

func TestOffsetsAreAppliedOnceAndInOrder(t *testing.T) {
	h := newHarness(t)
	next := h.s.Next()
	before := h.s.Digest()
	rec := structs.Record{Key: "x", Writer: "n1", Lease: &structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", TTLMS: 1}}
	require.Equal(t, structs.VoidGap, h.s.Apply(next+1, rec).Void)
	require.Equal(t, structs.VoidDuplicate, h.s.Apply(next-1, rec).Void)
	require.Equal(t, before, h.s.Digest())
	require.Equal(t, structs.VoidNone, h.s.Apply(next, rec).Void)
	require.Equal(t, structs.VoidDuplicate, h.s.Apply(next+1, rec).Void)
	require.Equal(t, next+2, h.s.Next())
}

func TestUndecodableRecordIsVoidAndAdvancesOffset(t *testing.T) {
	s := New()
	verdict := s.ApplyEncoded(0, []byte{0xff, 0x00})
	require.Equal(t, structs.VoidInvalid, verdict.Void)
	require.Equal(t, structs.Offset(1), s.Next())
}

func TestViewIsImmutable(t *testing.T) {
	h := newHarness(t)
	view := h.s.View()
	require.Same(t, view, h.s.View())
	want := manifest.FromView(view)
	h.requireApplied("n1", h.transition("intake-01", structs.VMDraining))
	h.requireApplied("pipeline", h.publish(structs.Change{Kind: structs.ItemTeam, Name: "new", Team: &structs.Team{Name: "new"}}))
	require.NotSame(t, view, h.s.View())
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
	h := newHarness(t)
	h.drain("intake-01")
	h.requireApplied("n1", h.transition("survey-01", structs.VMDraining))
	h.requireApplied("n2", h.ack("survey-01", "n2", 1))
	parts, err := h.s.SnapshotRecords("snap", "n1")
	require.NoError(t, err)
	restored, err := Restore(parts)
	require.NoError(t, err)
	require.Equal(t, h.s.Digest(), restored.Digest())
	require.Equal(t, h.s.View(), restored.View())
	parts[0].Snapshot.Data[100] ^= 1
	_, err = Restore(parts)
	require.ErrorContains(t, err, "digest")
}

func TestApplyingDiffYieldsManifest(t *testing.T) {
	h := newHarness(t)
	m := manifest.FromView(h.s.View())
	require.Empty(t, manifest.Diff(h.s.View(), m))
	m.Teams[0].Weight = 9
	m.Services = m.Services[1:]
	m.Waves = nil
	changes := manifest.Diff(h.s.View(), m)
	require.Len(t, changes, 3)
	h.requireApplied("pipeline", h.publish(changes...))
	m.BaseGeneration++
	require.Equal(t, m, manifest.FromView(h.s.View()))
}
