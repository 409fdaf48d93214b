package logstate

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
)

func TestCollectorReturnsNewestCompleteSnapshot(t *testing.T) {
	record := func(through structs.Offset, part, parts int) []byte {
		data, err := structs.EncodeRecord(structs.Record{Key: "s", Snapshot: &structs.Snapshot{Through: through, Part: part, Parts: parts, Digest: uint64(through)}})
		require.NoError(t, err)
		return data
	}
	var collector SnapshotCollector
	_, err := collector.Result()
	require.ErrorIs(t, err, ErrNoSnapshot)
	for _, data := range [][]byte{
		record(5, 1, 2), // the first part was trimmed
		record(9, 0, 2), []byte("other"), record(9, 1, 2),
		record(20, 0, 2), // the second part is missing
	} {
		collector.Add(data)
	}
	parts, err := collector.Result()
	require.NoError(t, err)
	require.Len(t, parts, 2)
	require.Equal(t, structs.Offset(9), parts[0].Snapshot.Through)
}

func appendRecord(t *testing.T, log *standin.Log, rec structs.Record) {
	t.Helper()
	data, err := structs.EncodeRecord(rec)
	require.NoError(t, err)
	_, err = log.Append(t.Context(), [][]byte{data})
	require.NoError(t, err)
}

func publishRecord(t *testing.T) structs.Record {
	t.Helper()
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	changes := manifest.Diff(&structs.View{}, m)
	return structs.Record{Key: "p", Writer: "pipeline", Publish: &structs.Publish{Changes: changes}}
}

func TestReadAppliesFullLogOrNewestSnapshot(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{Retain: 3})
	appendRecord(t, log, publishRecord(t))
	fromStart, err := Read(t.Context(), log)
	require.NoError(t, err)
	require.EqualValues(t, 1, fromStart.View().Generation)

	parts, err := fromStart.SnapshotRecords("s", "entry-1")
	require.NoError(t, err)
	for _, part := range parts {
		appendRecord(t, log, part)
	}
	appendRecord(t, log, structs.Record{Key: "x", Writer: "w"})
	appendRecord(t, log, structs.Record{Key: "y", Writer: "w"})
	_, err = log.Read(t.Context(), 0, 1, 0)
	require.Error(t, err, "the log must have trimmed the publish")

	fromSnapshot, err := Read(t.Context(), log)
	require.NoError(t, err)
	require.EqualValues(t, 1, fromSnapshot.View().Generation)
	require.EqualValues(t, 4, fromSnapshot.Next())
}

func TestReadOfTrimmedLogWithoutSnapshotFails(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{Retain: 1})
	for range 3 {
		appendRecord(t, log, structs.Record{Key: "x", Writer: "w"})
	}
	_, err := Read(t.Context(), log)
	require.ErrorIs(t, err, ErrNoSnapshot)
}
