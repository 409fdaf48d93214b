package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// spendAll returns how many retries the budget allows at one time.
func spendAll(b *Budget, now time.Time) int {
	n := 0
	for b.TrySpend(now) {
		n++
	}
	return n
}

// TestRetriesStayWithinConfiguredRatio guards against retries that exceed the
// configured ratio when every retry that the budget allows is sent.
func TestRetriesStayWithinConfiguredRatio(t *testing.T) {
	b := NewBudget(Options{Ratio: 0.1, MinRate: 0.001})
	spent, requests := 0, 0
	for i := range 100_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		b.RecordRequest(now)
		requests++
		spent += spendAll(b, now)
	}
	require.LessOrEqual(t, float64(spent), 0.1*float64(requests)+defaultMinBurst+1)
	require.Greater(t, float64(spent), 0.09*float64(requests))
}

// TestUnusedRetriesAreBoundedByWindow guards against a long period without
// failures that accumulates enough retries to overload the workers at once.
func TestUnusedRetriesAreBoundedByWindow(t *testing.T) {
	b := NewBudget(Options{Ratio: 0.1, Window: 10 * time.Second})
	now := epoch
	for range 100_000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordRequest(now)
	}
	require.InDelta(t, 100, spendAll(b, now), 10)
}

func TestIdleBudgetDropsToMinBurst(t *testing.T) {
	b := NewBudget(Options{Ratio: 0.1, Window: time.Second})
	for range 100_000 {
		b.RecordRequest(epoch)
	}
	later := epoch.Add(time.Hour)
	require.Equal(t, int(defaultMinBurst), spendAll(b, later))
	require.False(t, b.TrySpend(later.Add(-time.Minute)), "a time before the last update must add no retries")
}

func TestDelayGrowsWithJitter(t *testing.T) {
	require.Equal(t, defaultInitialDelay/2, Backoff(1, 0))
	require.Greater(t, Backoff(1, 1023), Backoff(1, 0))
	require.Equal(t, defaultMaxDelay/2, Backoff(60, 0))
	for seed := range uint64(2048) {
		require.LessOrEqual(t, Backoff(3, seed), 4*defaultInitialDelay)
	}
}
