package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// FuzzApplyEncoded folds arbitrary bytes into the example's state, twice, and
// checks that the invariants hold and both folds agree.
func FuzzApplyEncoded(f *testing.F) {
	for _, rec := range fuzzSeeds(f) {
		data, err := structs.EncodeRecord(rec)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Add([]byte{})
	start := newBench(f)
	parts, err := start.s.SnapshotRecords("seed", "n1")
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		one, err := Restore(parts)
		require.NoError(t, err)
		two, err := Restore(parts)
		require.NoError(t, err)
		before := one.View()
		verdict := one.ApplyEncoded(one.Next(), data)
		require.Equal(t, verdict, two.ApplyEncoded(two.Next(), data))
		require.Equal(t, one.Digest(), two.Digest())
		require.Empty(t, one.Check())
		rec, _ := structs.DecodeRecord(data)
		require.Empty(t, CheckStep(before, one.View(), rec, verdict))
		_, err = one.SnapshotRecords("after", "n1")
		require.NoError(t, err)
	})
}

// fuzzSeeds returns one record of each kind, most of them valid.
func fuzzSeeds(f *testing.F) []structs.Record {
	b := newBench(f)
	parts, err := b.s.SnapshotRecords("s", "n1")
	require.NoError(f, err)
	return []structs.Record{
		keyed(b.step("intake-01", structs.VMDraining), "n1"),
		keyed(b.step("intake-01", structs.VMRebooting), "n1"),
		keyed(b.step("intake-01", structs.VMFailed), "n1"),
		keyed(b.move("intake-01", "survey"), "n1"),
		keyed(b.ack("intake-01", "n1", 1), "n1"),
		keyed(structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 2, Sequence: 1, Holder: "n2", TTLMS: 1}}, "n2"),
		keyed(structs.Record{EntryEpoch: &structs.EntryEpoch{Zone: "kirtipur", Epoch: 2, Members: []structs.EntryMember{{Node: "n1", Incarnation: 1}}}}, "n1"),
		keyed(structs.Record{WaveStop: &structs.WaveStop{Wave: waveName, Reason: "r", LeaseScope: "fleet", LeaseEpoch: 1}}, "n1"),
		keyed(b.publish(teamChange("new", 1), drop(structs.ItemVM, "survey-01")), "pipeline"),
		keyed(b.publish(structs.Change{Kind: 99, Name: "x", Delete: true}, structs.Change{Kind: structs.ItemVM, Name: "x"}), "pipeline"),
		keyed(parts[0], "n1"),
		{},
	}
}

// FuzzRestore reads arbitrary bytes as a snapshot.
func FuzzRestore(f *testing.F) {
	parts, err := newBench(f).s.SnapshotRecords("s", "n1")
	require.NoError(f, err)
	f.Add(parts[0].Snapshot.Data, uint64(parts[0].Snapshot.Through))
	f.Add([]byte{0xa0}, uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, through uint64) {
		part := structs.Snapshot{Through: structs.Offset(through), Parts: 1, Data: data, Digest: hashBytes(data)}
		s, err := Restore([]structs.Record{{Snapshot: &part}})
		if err != nil {
			return
		}
		require.Empty(t, s.Check())
		require.Equal(t, structs.Offset(through+1), s.Next())
	})
}
