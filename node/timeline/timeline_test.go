package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fixedClock(now time.Time) *Clock {
	return NewClock(func() time.Time { return now })
}

func TestMergeKeepsCausalOrderDespiteSkewedClocks(t *testing.T) {
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	ahead := fixedClock(noon.Add(10 * time.Second))
	behind := fixedClock(noon)

	sent := ahead.Now()
	behind.Observe(sent)
	received := behind.Now()

	merged := Merge(
		[]Entry{{Stamp: received, Node: "b", Name: "received"}},
		[]Entry{{Stamp: sent, Node: "a", Name: "sent"}},
	)
	require.Equal(t, "sent", merged[0].Name)
	require.Equal(t, "received", merged[1].Name)
}

func TestObserveIgnoresClockFarAhead(t *testing.T) {
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	clock := fixedClock(noon)
	clock.Observe(Stamp{Wall: noon.Add(time.Hour).UnixNano()})
	require.Equal(t, noon.UnixNano(), clock.Now().Wall)
}

func TestNowAdvancesWhenWallClockDoesNot(t *testing.T) {
	clock := fixedClock(time.Unix(100, 0))
	first := clock.Now()
	second := clock.Now()
	require.True(t, first.Before(second))
}

func TestRingKeepsLatestEntries(t *testing.T) {
	ring := NewRing(3)
	for i := range 5 {
		ring.Add(Entry{Stamp: Stamp{Wall: int64(i)}, VM: []string{"x", "y"}[i%2]})
	}
	all := ring.Select(Filter{})
	require.Len(t, all, 3)
	require.EqualValues(t, 2, all[0].Stamp.Wall)
	require.Len(t, ring.Select(Filter{VM: "y"}), 1)
	require.Len(t, ring.Select(Filter{Since: 4}), 1)
	require.EqualValues(t, 4, ring.Select(Filter{Limit: 1})[0].Stamp.Wall)
}
