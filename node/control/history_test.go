package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestHistoryKeepsTheLastRecords(t *testing.T) {
	var h history
	h.reset(10)
	for i := range maxHistoryRecords + 5 {
		h.add([]byte{byte(i)})
	}
	require.Equal(t, structs.Offset(15), h.first)
	_, ok := h.from(14, 1000)
	require.False(t, ok, "a record that is no longer kept")
	_, ok = h.from(h.next()+1, 1000)
	require.False(t, ok, "a record that is not there yet")
	data, ok := h.from(15, 3)
	require.True(t, ok)
	require.Len(t, data, 3)
	h.add(make([]byte, 100))
	data, ok = h.from(h.next()-1, 3)
	require.True(t, ok)
	require.Len(t, data, 1, "at least one record, however long")
}

func TestOutcomesKeepWhatAKeyWasTold(t *testing.T) {
	o := newOutcomes()
	void := structs.Verdict{Key: "k", Offset: 1, Void: structs.VoidNotDrained}
	applied := structs.Verdict{Key: "k", Offset: 2}
	o.add(void)
	o.add(applied)
	o.add(structs.Verdict{Key: "k", Offset: 3, Void: structs.VoidDuplicate})
	got, ok := o.get("k")
	require.True(t, ok)
	require.Equal(t, applied, got)
	require.Len(t, o.order, 1)
}

func TestCollectorTakesTheNewestWholeSnapshot(t *testing.T) {
	record := func(through structs.Offset, part, parts int) []byte {
		data, err := structs.EncodeRecord(structs.Record{Key: "s", Snapshot: &structs.Snapshot{Through: through, Part: part, Parts: parts, Digest: uint64(through)}})
		require.NoError(t, err)
		return data
	}
	var c collector
	_, err := c.result()
	require.ErrorIs(t, err, errNoSnapshot)
	for _, data := range [][]byte{
		record(5, 1, 2), // its first part was trimmed
		record(9, 0, 2), []byte("other"), record(9, 1, 2),
		record(20, 0, 2), // its second part is missing
	} {
		c.add(data)
	}
	parts, err := c.result()
	require.NoError(t, err)
	require.Len(t, parts, 2)
	require.Equal(t, structs.Offset(9), parts[0].Snapshot.Through)
}
