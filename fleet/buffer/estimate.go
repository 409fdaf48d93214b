package buffer

import (
	"math"
	"sort"
	"time"
)

// Demand is a sample of a pool's load as reported by the platform.
type Demand struct {
	Pool string
	// BusySlots is the mean number of slots in use.
	BusySlots float64
	// QueuedSlots is the mean number of requests that wait for a slot.
	QueuedSlots float64
	// LagSeconds is the age of the sample at the time At.
	LagSeconds float64
	// At is when the sample was received.
	At time.Time
}

// Slots returns the number of slots that the pool's callers requested.
func (d Demand) Slots() float64 { return d.BusySlots + d.QueuedSlots }

// MeasuredAt returns the time that the sample describes.
func (d Demand) MeasuredAt() time.Time {
	return d.At.Add(-time.Duration(d.LagSeconds * float64(time.Second)))
}

// Smoothing and thresholds of the estimates.
const (
	meanHorizon       = 6 * time.Hour    // time constant of the long-run mean
	levelHorizon      = 20 * time.Minute // time constant of a burst's level
	riseFactor        = 2.0              // a level rises this many times faster than it falls
	steadyShare       = 0.8              // below this share of its level a burst is ramping up or down
	rampWeight        = 0.05             // weight of samples from the ramps of a burst
	minOrderShare     = 0.75             // share of past successions above which the order of bursts is reliable
	burstFactor       = 2.0              // demand above this multiple of the mean is a burst, before a level is known
	burstStartShare   = 0.25             // share of the known level above which demand is a burst
	minFirstBurstGain = 0.1              // minimum weight of a sample in the first burst
)

// Estimate is the estimated demand of one pool, in slots.
type Estimate struct {
	// Current is the demand at the last sample.
	Current float64
	// Mean is the long-run mean.
	Mean float64
	// BurstLevel is the smoothed level that bursts reach; zero before the first
	// burst.
	BurstLevel float64
	// Bursting is whether the pool is in a burst.
	Bursting bool
	// Ending is whether the demand of the current burst has begun to fall.
	Ending bool
	// PhaseStart is when the current burst, or the pause between bursts, began.
	PhaseStart time.Time
	// BurstLength is the smoothed length of bursts; zero before the first burst
	// ends.
	BurstLength time.Duration
}

// Estimator estimates the demand of every pool from samples that arrive with a
// lag. Its data is not persisted: an empty estimator learns again.
type Estimator struct {
	pools map[string]*history
	// lastBurstPool is the pool whose burst began last.
	lastBurstPool string
	// followers counts, for each pool, how often the burst of another pool was
	// the next to begin.
	followers map[string]map[string]int
}

// history is the estimate of one pool and the data that it is computed from.
type history struct {
	Estimate
	samples      int
	reachedLevel bool      // the current burst has reached its level
	measuredAt   time.Time // time that the last sample describes
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{
		pools:     make(map[string]*history),
		followers: make(map[string]map[string]int),
	}
}

// Add updates the estimates with the samples of one round. A sample that is not
// newer than the last one of its pool is ignored.
func (e *Estimator) Add(samples []Demand) {
	for _, sample := range samples {
		h := e.pools[sample.Pool]
		if h == nil {
			h = &history{}
			e.pools[sample.Pool] = h
		}
		before := h.Bursting
		h.add(sample)
		if h.Bursting && !before {
			e.recordBurstStart(sample.Pool)
		}
	}
}

// recordBurstStart records that the pool's burst followed that of
// lastBurstPool.
func (e *Estimator) recordBurstStart(pool string) {
	if e.lastBurstPool != "" && e.lastBurstPool != pool {
		if e.followers[e.lastBurstPool] == nil {
			e.followers[e.lastBurstPool] = make(map[string]int)
		}
		e.followers[e.lastBurstPool][pool]++
	}
	e.lastBurstPool = pool
}

// NextBurst returns the pool whose burst is expected next, and whether the
// expectation is reliable: whether past bursts followed each other in the same
// order often enough.
func (e *Estimator) NextBurst() (string, bool) {
	var next string
	maxCount, total := 0, 0
	for pool, count := range e.followers[e.lastBurstPool] {
		total += count
		if count > maxCount || (count == maxCount && pool < next) {
			next, maxCount = pool, count
		}
	}
	return next, maxCount > 0 && float64(maxCount) >= minOrderShare*float64(total)
}

func (h *history) add(sample Demand) {
	at := sample.MeasuredAt()
	if h.samples > 0 && !at.After(h.measuredAt) {
		return
	}
	h.samples++
	slots := sample.Slots()
	h.updateMean(slots, at)
	h.updateBurst(slots, at)
	h.Current = slots
	h.measuredAt = at
}

func (h *history) updateMean(slots float64, at time.Time) {
	gain := 1 - math.Exp(-float64(at.Sub(h.measuredAt))/float64(meanHorizon))
	if h.samples <= 1 {
		gain = 1
	}
	h.Mean += gain * (slots - h.Mean)
}

// updateBurst detects when bursts begin and end, and updates their level and
// length.
func (h *history) updateBurst(slots float64, at time.Time) {
	bursting := h.isBurst(slots)
	if bursting != h.Bursting || h.samples == 1 {
		h.updateBurstLength(bursting, at)
		h.Bursting = bursting
		h.PhaseStart = at
		h.reachedLevel = false
	}
	if !bursting {
		h.Ending = false
		return
	}
	if h.BurstLevel == 0 {
		h.BurstLevel = slots
		return
	}
	horizon := float64(levelHorizon)
	if slots > h.BurstLevel {
		horizon /= riseFactor
	}
	gain := 1 - math.Exp(-float64(at.Sub(h.measuredAt))/horizon)
	if h.BurstLength == 0 {
		gain = max(gain, minFirstBurstGain)
	}
	steady := slots >= steadyShare*h.BurstLevel
	h.reachedLevel = h.reachedLevel || steady
	h.Ending = h.reachedLevel && !steady
	if !steady {
		gain *= rampWeight
	}
	h.BurstLevel += gain * (slots - h.BurstLevel)
}

// isBurst reports whether the demand is a burst. It is compared with the level
// of bursts if that is known, and otherwise with the mean.
func (h *history) isBurst(slots float64) bool {
	if h.BurstLevel > 0 {
		return slots > burstStartShare*h.BurstLevel
	}
	return h.samples > 1 && slots > burstFactor*h.Mean
}

func (h *history) updateBurstLength(bursting bool, at time.Time) {
	if bursting || !h.Bursting || h.PhaseStart.IsZero() {
		return
	}
	length := at.Sub(h.PhaseStart)
	if h.BurstLength == 0 {
		h.BurstLength = length
		return
	}
	h.BurstLength += (length - h.BurstLength) / 2
}

// Estimate returns the estimate of one pool, and whether the pool has one.
func (e *Estimator) Estimate(pool string) (Estimate, bool) {
	h := e.pools[pool]
	if h == nil {
		return Estimate{}, false
	}
	return h.Estimate, true
}

// Pools returns the names of the pools with an estimate, sorted.
func (e *Estimator) Pools() []string {
	names := make([]string, 0, len(e.pools))
	for name := range e.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
