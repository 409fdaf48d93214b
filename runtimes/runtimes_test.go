package runtimes

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var review = Key{Service: "review", Route: "/"}

func TestQuantileErrorIsWithinOneBucket(t *testing.T) {
	var h Histogram
	for i := range 1000 {
		h.Add(epoch, time.Minute, time.Duration(i+1)*time.Millisecond)
	}
	require.InEpsilon(t, 500*time.Millisecond, h.Quantile(0.5), 0.2)
	require.InEpsilon(t, 990*time.Millisecond, h.Quantile(0.99), 0.2)
}

// TestHistogramClampsExtremeRunTimes guards against an index out of range for
// run times that are zero, negative or longer than the histogram covers.
func TestHistogramClampsExtremeRunTimes(t *testing.T) {
	var h Histogram
	h.Add(epoch, time.Minute, 0)
	h.Add(epoch, time.Minute, -time.Second)
	h.Add(epoch, time.Minute, 1000*time.Hour)
	require.Equal(t, 3.0, h.Weight())
	require.Positive(t, h.Quantile(1))
}

func TestOldRunTimesDecay(t *testing.T) {
	l := New(Options{HalfLife: time.Minute})
	for range 100 {
		l.Observe(epoch, review, 0, time.Second)
	}
	later := epoch.Add(10 * time.Minute)
	for range 10 {
		l.Observe(later, review, 0, 10*time.Millisecond)
	}
	require.Less(t, l.Predict(review, 0, time.Second).Median, 20*time.Millisecond)
}

// TestPredictionWeighsDeclaredRunTimesByAccuracy guards against trusting or
// ignoring all declared run times alike. One route declares run times that are
// off by a factor of up to ten but correlate with the actual ones; the other
// declares random run times.
func TestPredictionWeighsDeclaredRunTimesByAccuracy(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := New(Options{})
	noise := Key{Service: "noise", Route: "/"}
	for range 100_000 {
		actual := 100 * time.Millisecond
		if rng.IntN(100) == 0 {
			actual = 5 * time.Second
		}
		declarationError := pow10(2*rng.Float64() - 1)
		l.Observe(epoch, review, scale(actual, declarationError), actual)
		l.Observe(epoch, noise, scale(time.Second, declarationError), actual)
	}
	threshold := 800 * time.Millisecond
	require.Greater(t, l.Predict(review, 10*time.Second, threshold).LongProbability, 0.9)
	require.Less(t, l.Predict(review, 100*time.Millisecond, threshold).LongProbability, 0.01)
	for _, declared := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		require.InDelta(t, 0.01, l.Predict(noise, declared, threshold).LongProbability, 0.01)
	}
}

func TestUnknownRouteUsesDeclaredRunTime(t *testing.T) {
	l := New(Options{})
	p := l.Predict(review, 10*time.Second, time.Second)
	require.False(t, p.HasHistory)
	require.Equal(t, 1.0, p.LongProbability)
	require.Equal(t, time.Second, p.CappedMean)
	require.Zero(t, l.Predict(review, 0, time.Second).Mean)
}

func TestLeastRecentlyObservedRouteIsEvicted(t *testing.T) {
	l := New(Options{MaxRoutes: 10})
	for i := range 1000 {
		l.Observe(epoch, review, 0, time.Second)
		l.Observe(epoch, Key{Service: "s", Route: strconv.Itoa(i)}, 0, time.Second)
	}
	require.Equal(t, 10, l.Routes())
	require.True(t, l.Predict(review, 0, time.Second).HasHistory, "a route that is observed often must not be evicted")
}

// TestDeclarationBeyondAllHistoryIsUsed guards against predicting the usual run
// time of a route for a request that declares far more than any observed run
// time.
func TestDeclarationBeyondAllHistoryIsUsed(t *testing.T) {
	l := New(Options{})
	for range 1000 {
		l.Observe(epoch, review, 100*time.Millisecond, 100*time.Millisecond)
	}
	p := l.Predict(review, 10*time.Minute, time.Second)
	require.Equal(t, 1.0, p.LongProbability)
	require.InEpsilon(t, 10*time.Minute, p.Median, 0.2)
}

// TestOwnHistoryOverridesExtremeDeclarations guards against a route whose
// requests always declare a thousand times their run time and are predicted as
// long forever. The observed run times must prevail.
func TestOwnHistoryOverridesExtremeDeclarations(t *testing.T) {
	l := New(Options{})
	for range 100 {
		l.Observe(epoch, review, 100*time.Second, 100*time.Millisecond)
	}
	require.Less(t, l.Predict(review, 100*time.Second, time.Second).LongProbability, 0.1)
}
