package eject

import (
	"math"
	"math/bits"
	"time"
)

// decayed is a sum that halves with each half-life.
type decayed struct {
	value float64
	last  time.Time
}

// at returns the sum as of now.
func (d *decayed) at(now time.Time, halfLife time.Duration) float64 {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		if d.value > 0 {
			d.value *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		}
		d.last = now
	}
	return d.value
}

func (d *decayed) add(now time.Time, halfLife time.Duration, x float64) {
	d.at(now, halfLife)
	d.value += x
}

// recent is how a worker has lately ended one service's requests: 1 when all
// were answered, 0 when all failed.
type recent struct {
	ok   float64
	last time.Time
}

// newestShare is how much the newest outcome counts in recent.
const newestShare = 0.5

func (r *recent) add(now time.Time, ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	if r.last.IsZero() {
		r.ok = value
	} else {
		r.ok += newestShare * (value - r.ok)
	}
	r.last = now
}

// weight is how much an outcome of some time ago still tells.
func (r *recent) weight(now time.Time, halfLife time.Duration) float64 {
	if r.last.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(r.last)).Seconds() / halfLife.Seconds())
}

// priorWeight is how many workers of unknown outcome are added to the others:
// without any knowledge a failure surprises half.
const priorWeight = 0.2

// serviceIndex numbers the services; those beyond the bound share the last.
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

// recentOf returns a worker's record of a service, grown as needed.
func (w *worker) recentOf(index int) *recent {
	for len(w.services) <= index {
		w.services = append(w.services, recent{})
	}
	return &w.services[index]
}

// Observe counts an outcome of a request of a service on a worker.
func (t *Tracker) Observe(now time.Time, id, service string, ok bool) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.advance(now, w)
	index := t.serviceIndex(service)
	w.recentOf(index).add(now, ok)
	t.pool.add(index, ok)
	w.all.add(now, t.opts.HalfLife, 1)
	if ok {
		t.succeeded(now, w)
		return
	}
	surprise := t.surprise(now, w, index)
	w.run += surprise
	w.surprise.add(now, t.opts.HalfLife, surprise)
	t.failed(now, w, surprise)
}

// surprise is the share of the other workers that lately answered this
// service's requests, from 0 to 1.
func (t *Tracker) surprise(now time.Time, w *worker, index int) float64 {
	weights, answered := priorWeight, priorWeight/2
	for _, other := range t.order {
		if other == w || len(other.services) <= index {
			continue
		}
		r := &other.services[index]
		weight := r.weight(now, t.opts.HalfLife)
		weights += weight
		answered += weight * r.ok
	}
	if ratio := answered / weights; ratio >= minSurprise {
		return ratio
	}
	return 0
}

// minSurprise is below which share of other workers that answer a failure says
// nothing against the worker.
const minSurprise = 0.15

// The rule for a pool of which all workers fail all services.
const (
	poolFailuresPerWorker = 3
	poolMinServices       = 2
)

// poolRecord is the run of failures over all workers.
type poolRecord struct {
	failures int
	// services has a bit for each service that failed.
	services uint64
}

func (p *poolRecord) add(index int, ok bool) {
	if ok {
		*p = poolRecord{}
		return
	}
	p.failures++
	p.services |= 1 << (index % 64)
}

// failsAll says whether every worker has failed several services in a row.
func (p *poolRecord) failsAll(workers int) bool {
	return p.failures >= poolFailuresPerWorker*workers && bits.OnesCount64(p.services) >= poolMinServices
}

func (t *Tracker) succeeded(now time.Time, w *worker) {
	w.run = 0
	switch w.state {
	case Probing:
		w.successes++
		if w.successes >= t.opts.ProbeSuccesses {
			t.out--
			w.surprise = decayed{}
			w.set(Ramping, now)
		}
	case Suspect:
		w.set(Healthy, now)
	case Healthy:
		if w.ejections > 0 && now.Sub(w.lastReturn) > t.opts.MaxEjection {
			w.ejections = 0
		}
	}
}

func (t *Tracker) failed(now time.Time, w *worker, surprise float64) {
	switch w.state {
	case Ejected:
		return
	case Probing:
		if surprise >= probeSurprise {
			t.out--
			t.eject(now, w)
		}
		return
	}
	if w.run >= t.opts.Run || t.failsMuch(now, w) {
		t.eject(now, w)
	}
}

// probeSurprise is from which surprise on a failed probe blames the worker.
const probeSurprise = 0.25

// failsMuch is the rule for a worker that fails a large share by itself.
func (t *Tracker) failsMuch(now time.Time, w *worker) bool {
	surprise := w.surprise.at(now, t.opts.HalfLife)
	all := w.all.at(now, t.opts.HalfLife)
	return surprise >= ratioMinFailures && surprise >= ratioMinShare*all
}

// eject takes a worker out, or marks it as suspect when too many are out.
func (t *Tracker) eject(now time.Time, w *worker) {
	out := t.out + 1
	total := len(t.order)
	if total-out < t.opts.MinAvailable || float64(out) > t.opts.MaxShare*float64(total) {
		w.set(Suspect, now)
		return
	}
	t.out = out
	doublings := min(w.ejections, maxDoublings)
	span := min(t.opts.BaseEjection<<doublings, t.opts.MaxEjection)
	w.ejections++
	w.run = 0
	w.until = now.Add(span)
	w.set(Ejected, now)
}
