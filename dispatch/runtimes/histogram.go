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
	shortestRunTime  = time.Millisecond / 4
)

// decayStep is the least time between two scalings of a histogram, as a share
// of its half-life.
const decayStep = 1.0 / 64

// Histogram holds run times on a logarithmic scale, from a quarter of a
// millisecond to about four hours, and forgets old ones with a half-life. Its
// size is fixed.
type Histogram struct {
	weight  float64
	buckets [bucketCount]float32
	scaled  time.Time
}

// bucketOf returns the bucket of a run time.
func bucketOf(d time.Duration) int {
	if d <= shortestRunTime {
		return 0
	}
	octave := math.Log2(float64(d) / float64(shortestRunTime))
	return min(bucketCount-1, int(octave*bucketsPerOctave))
}

// middleOf returns the geometric middle of a bucket.
func middleOf(bucket int) time.Duration {
	octave := (float64(bucket) + 0.5) / bucketsPerOctave
	return time.Duration(float64(shortestRunTime) * math.Exp2(octave))
}

// Add counts one run time.
func (h *Histogram) Add(now time.Time, halfLife, d time.Duration) {
	h.decay(now, halfLife)
	h.buckets[bucketOf(d)]++
	h.weight++
}

// decay scales everything down by the time that has passed.
func (h *Histogram) decay(now time.Time, halfLife time.Duration) {
	if h.scaled.IsZero() {
		h.scaled = now
		return
	}
	lives := now.Sub(h.scaled).Seconds() / halfLife.Seconds()
	if lives < decayStep {
		return
	}
	h.scaled = now
	factor := float32(math.Exp2(-lives))
	sum := float32(0)
	for i := range h.buckets {
		h.buckets[i] *= factor
		sum += h.buckets[i]
	}
	h.weight = float64(sum)
}

// Weight is the decayed number of run times.
func (h *Histogram) Weight() float64 { return h.weight }

// Quantile returns the run time below which the given share lies; zero when
// the histogram is empty.
func (h *Histogram) Quantile(share float64) time.Duration {
	return mixture{near: h}.quantile(share)
}

// mixture is a histogram blended with a wider one that counts as priorWeight
// run times. Of the wider one, only the buckets from first to last count.
type mixture struct {
	near        *Histogram
	wide        *Histogram
	first, last int
	wideWeight  float64
}

// withWide adds the wider histogram, cut to the buckets around a declared run
// time that it could be. When the cut is empty, the declared time stands for
// it.
func (m mixture) withWide(wide *Histogram, declared time.Duration) mixture {
	m.first = bucketOf(declared / maxDeclaredError)
	m.last = bucketOf(declared * maxDeclaredError)
	for i := m.first; i <= m.last; i++ {
		m.wideWeight += float64(wide.buckets[i])
	}
	m.wide = wide
	if m.wideWeight < minWideWeight {
		m.wide = &Histogram{}
		m.wide.buckets[bucketOf(declared)] = 1
		m.wideWeight = 1
	}
	return m
}

const (
	// maxDeclaredError is by which factor declared run times may be off.
	maxDeclaredError = 10
	// minWideWeight is from which weight on the cut histogram tells anything.
	minWideWeight = 0.5
)

// priorWeight is how many run times the wider histogram counts for.
const priorWeight = 4.0

// factors returns how much one count of each histogram contributes to a total
// of one.
func (m mixture) factors() (near, wide float64) {
	nearWeight := 0.0
	if m.near != nil {
		nearWeight = m.near.weight
	}
	if m.wide == nil {
		return inverse(nearWeight), 0
	}
	total := nearWeight + priorWeight
	return 1 / total, priorWeight / m.wideWeight / total
}

func inverse(x float64) float64 {
	if x == 0 {
		return 0
	}
	return 1 / x
}

// each calls visit with the share of each bucket, the shortest first.
func (m mixture) each(visit func(bucket int, share float64) (more bool)) {
	near, wide := m.factors()
	for i := range bucketCount {
		share := 0.0
		if near > 0 && m.near != nil {
			share += near * float64(m.near.buckets[i])
		}
		if wide > 0 && i >= m.first && i <= m.last {
			share += wide * float64(m.wide.buckets[i])
		}
		if share > 0 && !visit(i, share) {
			return
		}
	}
}

func (m mixture) quantile(share float64) time.Duration {
	sum := 0.0
	var found time.Duration
	m.each(func(bucket int, s float64) bool {
		sum += s
		found = middleOf(bucket)
		return sum < share
	})
	return found
}

// summarize computes a prediction with one pass over the buckets.
func (m mixture) summarize(threshold time.Duration) Prediction {
	var p Prediction
	limit := bucketOf(threshold)
	sum, mean, within := 0.0, 0.0, 0.0
	m.each(func(bucket int, share float64) bool {
		middle := middleOf(bucket)
		sum += share
		mean += share * float64(middle)
		within += share * float64(min(middle, threshold))
		if bucket > limit {
			p.LongShare += share
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
	p.MeanWithin = time.Duration(within)
	return p
}

// The quantiles of a Prediction. They are a little below their names so that
// rounding in the sum of shares does not hide the last bucket.
const (
	medianShare = 0.5 - 1e-6
	p90Share    = 0.9 - 1e-6
)
