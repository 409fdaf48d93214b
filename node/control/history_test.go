package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestHistoryKeepsNewestRecords(t *testing.T) {
	var h history
	h.reset(10)
	for i := range maxHistoryRecords + 5 {
		h.add([]byte{byte(i)})
	}
	require.Equal(t, structs.Offset(15), h.first)
	_, ok := h.from(14, 1000)
	require.False(t, ok, "a record that was dropped")
	_, ok = h.from(h.next()+1, 1000)
	require.False(t, ok, "a record beyond the newest one")
	data, ok := h.from(15, 3)
	require.True(t, ok)
	require.Len(t, data, 3)
	h.add(make([]byte, 100))
	data, ok = h.from(h.next()-1, 3)
	require.True(t, ok)
	require.Len(t, data, 1, "at least one record, whatever its size")
}

func TestVerdictCacheKeepsVerdictOnDuplicate(t *testing.T) {
	c := newVerdictCache()
	void := structs.Verdict{Key: "k", Offset: 1, Void: structs.VoidNotDrained}
	applied := structs.Verdict{Key: "k", Offset: 2}
	c.add(void)
	c.add(applied)
	c.add(structs.Verdict{Key: "k", Offset: 3, Void: structs.VoidDuplicate})
	got, ok := c.get("k")
	require.True(t, ok)
	require.Equal(t, applied, got)
	require.Len(t, c.order, 1)
}
