package eject

import (
	"math"
	"math/bits"
	"time"
)

// decayedSum is a sum that halves once per half-life.
type decayedSum struct {
	value     float64
	updatedAt time.Time
}

// decay updates the sum to the time now and returns it.
func (d *decayedSum) decay(now time.Time, halfLife time.Duration) float64 {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		if d.value > 0 {
			d.value *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		}
		d.updatedAt = now
	}
	return d.value
}

func (d *decayedSum) add(now time.Time, halfLife time.Duration, amount float64) {
	d.decay(now, halfLife)
	d.value += amount
}

// serviceRecord holds the recent outcomes of one service on one worker.
// successRate is an exponential moving average: 1 if all requests succeeded, 0
// if all failed.
type serviceRecord struct {
	successRate float64
	updatedAt   time.Time
}

// smoothingFactor is the weight of the newest outcome in successRate.
const smoothingFactor = 0.5

func (r *serviceRecord) add(now time.Time, ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	if r.updatedAt.IsZero() {
		r.successRate = value
	} else {
		r.successRate += smoothingFactor * (value - r.successRate)
	}
	r.updatedAt = now
}

// weight returns the weight of the record at the time now. It halves with each
// half-life since the latest outcome.
func (r *serviceRecord) weight(now time.Time, halfLife time.Duration) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(r.updatedAt)).Seconds() / halfLife.Seconds())
}

// priorWeight is the total weight of hypothetical workers, half of which
// succeed, that is added to the other workers. Without any outcomes on other
// workers, the weight of a failure is therefore one half.
const priorWeight = 0.2

// serviceIndex returns the index of a service's records. Services beyond
// Options.MaxServices share the last index.
func (t *Tracker) serviceIndex(service string) int {
	if i, ok := t.services[service]; ok {
		return i
	}
	if len(t.services) >= t.opts.MaxServices-1 {
		return t.opts.MaxServices - 1
	}
	i := len(t.services)
	t.services[service] = i
	return i
}

// serviceRecord returns the worker's record of a service. It grows the list of
// records as needed.
func (w *worker) serviceRecord(index int) *serviceRecord {
	for len(w.services) <= index {
		w.services = append(w.services, serviceRecord{})
	}
	return &w.services[index]
}

// Observe records the outcome of one request of a service on a worker.
func (t *Tracker) Observe(now time.Time, id, service string, ok bool) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.advance(now, w)
	index := t.serviceIndex(service)
	w.serviceRecord(index).add(now, ok)
	t.poolStreak.add(index, ok)
	w.outcomes.add(now, t.opts.HalfLife, 1)
	if ok {
		t.handleSuccess(now, w)
		return
	}
	weight := t.weighFailure(now, w, index)
	w.consecutiveWeight += weight
	w.failureWeight.add(now, t.opts.HalfLife, weight)
	t.handleFailure(now, w, weight)
}

// weighFailure returns the weight of a failure, from 0 to 1: the share of the
// other workers that recently succeeded with requests of this service.
func (t *Tracker) weighFailure(now time.Time, w *worker, index int) float64 {
	totalWeight, successWeight := priorWeight, priorWeight/2
	for _, other := range t.sorted {
		if other == w || len(other.services) <= index {
			continue
		}
		r := &other.services[index]
		weight := r.weight(now, t.opts.HalfLife)
		totalWeight += weight
		successWeight += weight * r.successRate
	}
	if ratio := successWeight / totalWeight; ratio >= minFailureWeight {
		return ratio
	}
	return 0
}

// minFailureWeight is the share of other workers that succeed below which a
// failure does not count against the worker.
const minFailureWeight = 0.15

// Thresholds for a pool in which all workers fail: the consecutive failures
// over all workers must reach poolFailuresPerWorker times the number of workers
// and cover at least poolMinServices services.
const (
	poolFailuresPerWorker = 3
	poolMinServices       = 2
)

// failureStreak counts the consecutive failures over all workers of the pool.
type failureStreak struct {
	failures int
	// services has one bit for each service that failed, by its index modulo
	// 64.
	services uint64
}

func (p *failureStreak) add(index int, ok bool) {
	if ok {
		*p = failureStreak{}
		return
	}
	p.failures++
	p.services |= 1 << (index % 64)
}

// coversPool reports whether the streak is long enough for a pool of this many
// workers and covers several services.
func (p *failureStreak) coversPool(workers int) bool {
	return p.failures >= poolFailuresPerWorker*workers && bits.OnesCount64(p.services) >= poolMinServices
}

func (t *Tracker) handleSuccess(now time.Time, w *worker) {
	w.consecutiveWeight = 0
	switch w.state {
	case Probing:
		w.probeSuccesses++
		if w.probeSuccesses >= t.opts.ProbeSuccesses {
			t.unavailable--
			w.failureWeight = decayedSum{}
			w.setState(Ramping, now)
		}
	case Suspect:
		w.setState(Healthy, now)
	case Healthy:
		if w.ejections > 0 && now.Sub(w.healthySince) > t.opts.MaxEjection {
			w.ejections = 0
		}
	}
}

func (t *Tracker) handleFailure(now time.Time, w *worker, weight float64) {
	switch w.state {
	case Ejected:
		return
	case Probing:
		if weight >= minProbeFailureWeight {
			t.unavailable--
			t.eject(now, w)
		}
		return
	}
	if w.consecutiveWeight >= t.opts.ConsecutiveFailureWeight || t.exceedsFailureRatio(now, w) {
		t.eject(now, w)
	}
}

// minProbeFailureWeight is the minimum weight of a failed probe that ejects the
// worker again.
const minProbeFailureWeight = 0.25

// exceedsFailureRatio reports whether the worker fails a large share of its
// requests, measured over time instead of consecutively.
func (t *Tracker) exceedsFailureRatio(now time.Time, w *worker) bool {
	failures := w.failureWeight.decay(now, t.opts.HalfLife)
	total := w.outcomes.decay(now, t.opts.HalfLife)
	return failures >= ratioMinFailureWeight && failures >= ratioMinShare*total
}

// eject ejects a worker, or marks it as suspect if the limits on ejected
// workers forbid the ejection.
func (t *Tracker) eject(now time.Time, w *worker) {
	unavailable := t.unavailable + 1
	total := len(t.sorted)
	if total-unavailable < t.opts.MinAvailable || float64(unavailable) > t.opts.MaxEjectedShare*float64(total) {
		w.setState(Suspect, now)
		return
	}
	t.unavailable = unavailable
	doublings := min(w.ejections, maxDoublings)
	duration := min(t.opts.BaseEjection<<doublings, t.opts.MaxEjection)
	w.ejections++
	w.consecutiveWeight = 0
	w.ejectedUntil = now.Add(duration)
	w.setState(Ejected, now)
}
