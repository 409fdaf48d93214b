package buffer

import (
	"math"
	"sort"
	"time"
)

// Demand is a pool's load as the platform reported it.
type Demand struct {
	Pool string
	// BusySlots is the mean number of slots in use.
	BusySlots float64
	// QueuedSlots is the mean number of requests that wait for a slot.
	QueuedSlots float64
	// LagSeconds is how old the figures were at At.
	LagSeconds float64
	// At is when the figures were received.
	At time.Time
}

// Slots returns the number of slots the pool's callers wanted.
func (d Demand) Slots() float64 { return d.BusySlots + d.QueuedSlots }

// MeasuredAt returns the time the figures describe.
func (d Demand) MeasuredAt() time.Time {
	return d.At.Add(-time.Duration(d.LagSeconds * float64(time.Second)))
}

// Smoothing of the estimates.
const (
	meanHorizon    = 6 * time.Hour    // time constant of the long-run mean
	levelHorizon   = 20 * time.Minute // time constant of a burst's level
	riseFactor     = 2.0              // a level rises this many times faster than it falls
	steadyShare    = 0.8              // below this share of its level a burst begins or ends
	rampWeight     = 0.05             // weight of samples from the beginning or end
	sureShare      = 0.75             // share of the turns that makes an order sure
	burstFactor    = 2.0              // a burst is demand above this many means
	burstBegins    = 0.25             // share of its level at which a burst begins
	firstBurstGain = 0.1              // least weight of a sample in the first burst
)

// Estimate is what is believed of one pool's demand, in slots.
type Estimate struct {
	// Now is the demand at the last sample.
	Now float64
	// Mean is the long-run mean.
	Mean float64
	// Burst is the level that bursts reach, zero before the first.
	Burst float64
	// Bursting says that the pool is in a burst.
	Bursting bool
	// Ending says that the demand of a burst has begun to fall back.
	Ending bool
	// Since is when the current burst or pause began.
	Since time.Time
	// BurstLength is the smoothed length of bursts, zero before the first.
	BurstLength time.Duration
}

// Estimator learns the demand of every pool from lagging samples. Its memory
// is a cache: an empty estimator learns again.
type Estimator struct {
	pools map[string]*history
	// last is the pool whose burst began last.
	last string
	// followers counts, by pool, whose burst began next.
	followers map[string]map[string]int
}

// history is what the estimator keeps of one pool.
type history struct {
	Estimate
	samples  int
	full     bool      // the current burst has reached its level
	measured time.Time // time the last sample describes
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		pools:     make(map[string]*history),
		followers: make(map[string]map[string]int),
	}
}

// Add takes in the samples of one round. A sample that is not newer than the
// last one of its pool is ignored.
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
			e.noteTurn(sample.Pool)
		}
	}
}

// noteTurn remembers whose burst followed whose.
func (e *Estimator) noteTurn(pool string) {
	if e.last != "" && e.last != pool {
		if e.followers[e.last] == nil {
			e.followers[e.last] = make(map[string]int)
		}
		e.followers[e.last][pool]++
	}
	e.last = pool
}

// Next returns the pool whose burst is expected next, where bursts followed
// each other in the same order nearly every time before.
func (e *Estimator) Next() (string, bool) {
	var next string
	most, all := 0, 0
	for pool, count := range e.followers[e.last] {
		all += count
		if count > most || (count == most && pool < next) {
			next, most = pool, count
		}
	}
	return next, most > 0 && float64(most) >= sureShare*float64(all)
}

func (h *history) add(sample Demand) {
	at := sample.MeasuredAt()
	if h.samples > 0 && !at.After(h.measured) {
		return
	}
	h.samples++
	slots := sample.Slots()
	h.learnMean(slots, at)
	h.learnBurst(slots, at)
	h.Now = slots
	h.measured = at
}

func (h *history) learnMean(slots float64, at time.Time) {
	gain := 1 - math.Exp(-float64(at.Sub(h.measured))/float64(meanHorizon))
	if h.samples <= 1 {
		gain = 1
	}
	h.Mean += gain * (slots - h.Mean)
}

// learnBurst follows the switches between bursts and pauses and the level of
// the bursts.
func (h *history) learnBurst(slots float64, at time.Time) {
	bursting := h.isBurst(slots)
	if bursting != h.Bursting || h.samples == 1 {
		h.learnLength(bursting, at)
		h.Bursting = bursting
		h.Since = at
		h.full = false
	}
	if !bursting {
		h.Ending = false
		return
	}
	if h.Burst == 0 {
		h.Burst = slots
		return
	}
	horizon := float64(levelHorizon)
	if slots > h.Burst {
		horizon /= riseFactor
	}
	gain := 1 - math.Exp(-float64(at.Sub(h.measured))/horizon)
	if h.BurstLength == 0 {
		gain = max(gain, firstBurstGain)
	}
	steady := slots >= steadyShare*h.Burst
	h.full = h.full || steady
	h.Ending = h.full && !steady
	if !steady {
		gain *= rampWeight
	}
	h.Burst += gain * (slots - h.Burst)
}

// isBurst compares with the known level of bursts where there is one, and
// otherwise with the mean.
func (h *history) isBurst(slots float64) bool {
	if h.Burst > 0 {
		return slots > burstBegins*h.Burst
	}
	return h.samples > 1 && slots > burstFactor*h.Mean
}

func (h *history) learnLength(bursting bool, at time.Time) {
	if bursting || !h.Bursting || h.Since.IsZero() {
		return
	}
	length := at.Sub(h.Since)
	if h.BurstLength == 0 {
		h.BurstLength = length
		return
	}
	h.BurstLength += (length - h.BurstLength) / 2
}

// Of returns the estimate of one pool and whether there is one.
func (e *Estimator) Of(pool string) (Estimate, bool) {
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
