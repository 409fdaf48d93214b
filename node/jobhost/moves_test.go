package jobhost

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A pool before its first peak is expected to reach the lowest peak of the other
// pools; a pool that never had much work does not count as one of them.
func TestExpectedPeakComesFromEarlierPeaks(t *testing.T) {
	m := newMoveTracker()
	assert.Zero(t, m.expectedPeak("first"), "no peak was seen")
	m.peakRates = map[string]int64{"first": 8_000, "second": 6_000, "idle": 300}
	assert.Equal(t, int64(8_000), m.expectedPeak("first"))
	assert.Equal(t, int64(6_000), m.expectedPeak("idle"))
	assert.Equal(t, int64(6_000), m.expectedPeak("new"))
}

// The settled rate is what a pool was asked for throughout the last seconds.
func TestSettledRateIsTheLowestOfTheWindow(t *testing.T) {
	m := newMoveTracker()
	window := settleWindow.Milliseconds()
	m.rates["p"] = appendWithin(nil, sample{0, 500}, settleWindow)
	m.rates["p"] = appendWithin(m.rates["p"], sample{window / 2, 9_000}, settleWindow)
	assert.Equal(t, int64(500), m.settledRate("p"), "the rise is recent")
	m.rates["p"] = appendWithin(m.rates["p"], sample{window + 1, 8_000}, settleWindow)
	assert.Equal(t, int64(8_000), m.settledRate("p"))
}
