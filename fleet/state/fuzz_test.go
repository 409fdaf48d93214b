package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// FuzzApplyEncoded applies arbitrary bytes to two copies of the example's
// state. It checks that the invariants hold and that both states agree.
func FuzzApplyEncoded(f *testing.F) {
	for _, rec := range fuzzSeeds(f) {
		data, err := structs.EncodeRecord(rec)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Add([]byte{})
	example := newHarness(f)
	parts, err := example.s.SnapshotRecords("seed", "n1")
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Restore(parts)
		require.NoError(t, err)
		second, err := Restore(parts)
		require.NoError(t, err)
		before := first.View()
		verdict := first.ApplyEncoded(first.Next(), data)
		require.Equal(t, verdict, second.ApplyEncoded(second.Next(), data))
		require.Equal(t, first.Digest(), second.Digest())
		require.Empty(t, first.CheckInvariants())
		rec, _ := structs.DecodeRecord(data)
		require.Empty(t, CheckStep(before, first.View(), rec, verdict))
		_, err = first.SnapshotRecords("after", "n1")
		require.NoError(t, err)
	})
}

// fuzzSeeds returns at least one record of each kind, most of them valid.
func fuzzSeeds(f *testing.F) []structs.Record {
	h := newHarness(f)
	parts, err := h.s.SnapshotRecords("s", "n1")
	require.NoError(f, err)
	return []structs.Record{
		withKey(h.transition("intake-01", structs.VMDraining), "n1"),
		withKey(h.transition("intake-01", structs.VMRebooting), "n1"),
		withKey(h.transition("intake-01", structs.VMFailed), "n1"),
		withKey(h.move("intake-01", "survey"), "n1"),
		withKey(h.ack("intake-01", "n1", 1), "n1"),
		withKey(structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 2, Sequence: 1, Holder: "n2", TTLMS: 1}}, "n2"),
		withKey(structs.Record{EntryEpoch: &structs.EntryEpoch{Zone: "kirtipur", Epoch: 2, Members: []structs.EntryMember{{Node: "n1", Incarnation: 1}}}}, "n1"),
		withKey(structs.Record{WaveStop: &structs.WaveStop{Wave: waveName, Reason: "r", LeaseScope: "fleet", LeaseEpoch: 1}}, "n1"),
		withKey(h.publish(teamChange("new", 1), deletion(structs.ItemVM, "survey-01")), "pipeline"),
		withKey(h.publish(structs.Change{Kind: 99, Name: "x", Delete: true}, structs.Change{Kind: structs.ItemVM, Name: "x"}), "pipeline"),
		withKey(parts[0], "n1"),
		{},
	}
}

// FuzzRestore restores arbitrary bytes as a snapshot and checks that an
// accepted snapshot yields a valid state.
func FuzzRestore(f *testing.F) {
	parts, err := newHarness(f).s.SnapshotRecords("s", "n1")
	require.NoError(f, err)
	f.Add(parts[0].Snapshot.Data, uint64(parts[0].Snapshot.Through))
	f.Add([]byte{0xa0}, uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, through uint64) {
		part := structs.Snapshot{Through: structs.Offset(through), Parts: 1, Data: data, Digest: hashBytes(data)}
		s, err := Restore([]structs.Record{{Snapshot: &part}})
		if err != nil {
			return
		}
		require.Empty(t, s.CheckInvariants())
		require.Equal(t, structs.Offset(through+1), s.Next())
	})
}
