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
	meanHorizon   = 6 * time.Hour   // time constant of the long-run mean
	levelHorizon  = 8 * time.Minute // time constant of a burst's level
	burstFactor   = 2.0             // a burst is demand above this many means
	meanFirstGain = 0.5             // least weight of the first samples
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
	// Since is when the current burst or pause began.
	Since time.Time
	// BurstLength is the smoothed length of bursts, zero before the first.
	BurstLength time.Duration
}

// Estimator learns the demand of every pool from lagging samples. Its memory
// is a cache: an empty estimator learns again.
type Estimator struct {
	pools map[string]*history
	// excess is the decayed largest joint need for VMs beyond the pools' own.
	excess float64
	// excessAt is when excess was last raised or decayed.
	excessAt time.Time
}

// history is what the estimator keeps of one pool.
type history struct {
	Estimate
	samples  int
	measured time.Time // time the last sample describes
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{pools: make(map[string]*history)}
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
		h.add(sample)
	}
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
	h.Mean += min(gain, max(meanFirstGain, gain)) * (slots - h.Mean)
}

// learnBurst follows the switches between bursts and pauses and the level of
// the bursts.
func (h *history) learnBurst(slots float64, at time.Time) {
	bursting := h.isBurst(slots)
	if bursting != h.Bursting || h.samples == 1 {
		h.learnLength(bursting, at)
		h.Bursting = bursting
		h.Since = at
	}
	if !bursting {
		return
	}
	if h.Burst == 0 {
		h.Burst = slots
		return
	}
	gain := 1 - math.Exp(-float64(at.Sub(h.measured))/float64(levelHorizon))
	h.Burst += gain * (slots - h.Burst)
}

// isBurst compares with the known level of bursts where there is one, and
// otherwise with the mean.
func (h *history) isBurst(slots float64) bool {
	if h.Burst > 0 {
		return slots > h.Burst/burstFactor
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
