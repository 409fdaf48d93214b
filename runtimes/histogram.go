package runtimes

import (
	"math"
	"time"
)

// The resolution and range of a Histogram.
const (
	bucketsPerOctave = 4
	octaves          = 26
	bucketCount      = bucketsPerOctave * octaves
	minRunTime       = time.Millisecond / 4
)

// decayStep is the minimum time between two decays of a histogram, as a
// fraction of its half-life.
const decayStep = 1.0 / 64

// Histogram is a histogram of run times with logarithmic buckets from a quarter
// of a millisecond to about four hours. Its counts decay exponentially with a
// half-life. Its size is fixed.
type Histogram struct {
	weight    float64
	buckets   [bucketCount]float32
	decayedAt time.Time
}

// bucketIndex returns the index of the bucket that a run time falls into. Run
// times outside the range fall into the first or the last bucket.
func bucketIndex(d time.Duration) int {
	if d <= minRunTime {
		return 0
	}
	octave := math.Log2(float64(d) / float64(minRunTime))
	return min(bucketCount-1, int(octave*bucketsPerOctave))
}

// bucketMidpoint returns the geometric midpoint of a bucket.
func bucketMidpoint(bucket int) time.Duration {
	octave := (float64(bucket) + 0.5) / bucketsPerOctave
	return time.Duration(float64(minRunTime) * math.Exp2(octave))
}

// Add records one run time.
func (h *Histogram) Add(now time.Time, halfLife, d time.Duration) { h.AddWeighted(now, halfLife, d, 1) }

// AddWeighted records a run time that counts as the given number of run times.
func (h *Histogram) AddWeighted(now time.Time, halfLife, d time.Duration, weight float64) {
	h.decay(now, halfLife)
	h.buckets[bucketIndex(d)] += float32(weight)
	h.weight += weight
}

// decay scales the counts down according to the time since the last decay.
func (h *Histogram) decay(now time.Time, halfLife time.Duration) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
		return
	}
	halfLives := now.Sub(h.decayedAt).Seconds() / halfLife.Seconds()
	if halfLives < decayStep {
		return
	}
	h.decayedAt = now
	factor := float32(math.Exp2(-halfLives))
	sum := float32(0)
	for i := range h.buckets {
		h.buckets[i] *= factor
		sum += h.buckets[i]
	}
	h.weight = float64(sum)
}

// Weight returns the decayed number of run times.
func (h *Histogram) Weight() float64 { return h.weight }

// Quantile returns the run time at the given quantile, from 0 to 1. It returns
// zero when the histogram is empty.
func (h *Histogram) Quantile(share float64) time.Duration {
	return mixture{specific: h}.quantile(share)
}

// mixture is a specific histogram blended with a prior histogram that counts as
// priorWeight run times. Only the buckets from first to last of the prior
// count; priorTotal is their sum.
type mixture struct {
	specific    *Histogram
	prior       *Histogram
	first, last int
	priorTotal  float64
}

// withPrior adds a prior histogram, restricted to the buckets within a factor
// of maxDeclaredError around the declared run time. When those buckets are
// empty, the prior is the declared run time itself.
func (m mixture) withPrior(prior *Histogram, declared time.Duration) mixture {
	m.first = bucketIndex(declared / maxDeclaredError)
	m.last = bucketIndex(declared * maxDeclaredError)
	for i := m.first; i <= m.last; i++ {
		m.priorTotal += float64(prior.buckets[i])
	}
	m.prior = prior
	if m.priorTotal < minPriorTotal {
		m.prior = &Histogram{}
		m.prior.buckets[bucketIndex(declared)] = 1
		m.priorTotal = 1
	}
	return m
}

const (
	// maxDeclaredError is the factor by which a declared run time is assumed to
	// be off at most, in either direction.
	maxDeclaredError = 10
	// minPriorTotal is the minimum decayed count at which the restricted prior
	// is used.
	minPriorTotal = 0.5
)

// priorWeight is the number of run times that the prior counts for.
const priorWeight = 4.0

// factors returns the probability that one count of each histogram contributes,
// so that all probabilities add up to one.
func (m mixture) factors() (specific, prior float64) {
	specificWeight := 0.0
	if m.specific != nil {
		specificWeight = m.specific.weight
	}
	if m.prior == nil {
		return reciprocalOrZero(specificWeight), 0
	}
	total := specificWeight + priorWeight
	return 1 / total, priorWeight / m.priorTotal / total
}

func reciprocalOrZero(x float64) float64 {
	if x == 0 {
		return 0
	}
	return 1 / x
}

// forEachBucket calls visit with the probability of each bucket that is not
// empty, in ascending order of run time, until visit returns false.
func (m mixture) forEachBucket(visit func(bucket int, share float64) (more bool)) {
	specific, prior := m.factors()
	for i := range bucketCount {
		share := 0.0
		if specific > 0 && m.specific != nil {
			share += specific * float64(m.specific.buckets[i])
		}
		if prior > 0 && i >= m.first && i <= m.last {
			share += prior * float64(m.prior.buckets[i])
		}
		if share > 0 && !visit(i, share) {
			return
		}
	}
}

func (m mixture) quantile(share float64) time.Duration {
	sum := 0.0
	var result time.Duration
	m.forEachBucket(func(bucket int, s float64) bool {
		sum += s
		result = bucketMidpoint(bucket)
		return sum < share
	})
	return result
}

// summarize computes a prediction in one pass over the buckets.
func (m mixture) summarize(threshold time.Duration) Prediction {
	var p Prediction
	limit := bucketIndex(threshold)
	sum, mean, cappedMean := 0.0, 0.0, 0.0
	m.forEachBucket(func(bucket int, share float64) bool {
		middle := bucketMidpoint(bucket)
		sum += share
		mean += share * float64(middle)
		cappedMean += share * float64(min(middle, threshold))
		if bucket > limit {
			p.LongProbability += share
		}
		if p.Median == 0 && sum >= medianShare {
			p.Median = middle
		}
		if p.P90 == 0 && sum >= p90Share {
			p.P90 = middle
		}
		return true
	})
	p.Mean = time.Duration(mean)
	p.CappedMean = time.Duration(cappedMean)
	return p
}

// The quantiles of a Prediction. Each is slightly below its nominal value, so
// that a rounding error in the sum of probabilities does not skip the last
// bucket.
const (
	medianShare = 0.5 - 1e-6
	p90Share    = 0.9 - 1e-6
)
