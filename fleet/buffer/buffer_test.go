package buffer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// addSamples adds one sample per minute and returns the time after the last.
func addSamples(e *Estimator, pool string, from time.Time, minutes int, slots float64) time.Time {
	for i := range minutes {
		e.Add([]Demand{{Pool: pool, BusySlots: slots, At: from.Add(time.Duration(i) * time.Minute)}})
	}
	return from.Add(time.Duration(minutes) * time.Minute)
}

func TestEstimatorLearnsBursts(t *testing.T) {
	e := NewEstimator()
	at := addSamples(e, "p", start, 60, 1)
	at = addSamples(e, "p", at, 30, 100)
	estimate, known := e.Estimate("p")
	require.True(t, known)
	require.True(t, estimate.Bursting)
	require.InDelta(t, 100, estimate.BurstLevel, 1)
	at = addSamples(e, "p", at, 1, 60)
	estimate, _ = e.Estimate("p")
	require.True(t, estimate.Ending)
	addSamples(e, "p", at, 10, 1)
	estimate, _ = e.Estimate("p")
	require.False(t, estimate.Bursting)
	require.InDelta(t, 31, estimate.BurstLength.Minutes(), 1)
	require.InDelta(t, 100, estimate.BurstLevel, 5, "the end of a burst does not lower its level")
}

func TestEstimatorIgnoresOldSamples(t *testing.T) {
	e := NewEstimator()
	e.Add([]Demand{{Pool: "p", BusySlots: 5, QueuedSlots: 2, LagSeconds: 60, At: start}})
	e.Add([]Demand{{Pool: "p", BusySlots: 90, LagSeconds: 120, At: start}})
	estimate, _ := e.Estimate("p")
	require.InDelta(t, 7, estimate.Current, 0)
}

func TestEstimatorLearnsBurstOrder(t *testing.T) {
	e := NewEstimator()
	at := start
	for _, pool := range []string{"a", "b", "c", "a", "b"} {
		for _, other := range []string{"a", "b", "c"} {
			addSamples(e, other, at, 40, 1)
		}
		at = addSamples(e, pool, at.Add(40*time.Minute), 20, 100)
		at = addSamples(e, pool, at, 5, 1)
	}
	next, sure := e.NextBurst()
	require.True(t, sure)
	require.Equal(t, "c", next)
}

func TestPoissonQuantile(t *testing.T) {
	for _, c := range []struct {
		mean, chance float64
		want         int
	}{{0.01, 0.02, 0}, {0.01, 0.001, 1}, {2.4, 0.001, 8}, {2.4, 0.5, 2}} {
		require.Equal(t, c.want, poissonQuantile(c.mean, c.chance), "%+v", c)
	}
}

func TestReportsCountJointNeedOnce(t *testing.T) {
	s := NewSizer(Options{})
	burst := Estimate{Current: 100, BurstLevel: 100, Bursting: true, BurstLength: time.Hour}
	pause := Estimate{Current: 1}
	needs := func(a, b Estimate) []Need {
		return []Need{
			{Pool: "a", Total: 10, Available: 9, Required: 8, RequiredBound: 7, Demand: a, Slots: 8},
			{Pool: "b", Total: 10, Available: 10, Required: 8, RequiredBound: 7, Demand: b, Slots: 8},
		}
	}
	s.Reports(needs(burst, pause), start)
	reports := s.Reports(needs(pause, burst), start.Add(time.Hour))
	failed := Options{}.MaxFailed(20)
	require.Positive(t, failed)
	require.Equal(t, Report{Total: 20, Available: 19, Required: 16 + 5 + failed, Shared: 5 + failed, LowerBound: 14 + failed}, reports[0])
	require.Equal(t, Report{Pool: "a", Total: 10, Available: 9, Required: 8, LowerBound: 7}, reports[1])
}
