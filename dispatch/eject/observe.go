package eject

import (
	"math"
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

// counts are the outcomes of one service.
type counts struct {
	total, failures decayed
}

func (c *counts) add(now time.Time, halfLife time.Duration, ok bool) {
	c.total.add(now, halfLife, 1)
	if !ok {
		c.failures.add(now, halfLife, 1)
	}
}

// priorOutcomes is how many outcomes, half of them failures, a service starts
// with: a first failure of an unseen service surprises only half.
const priorOutcomes = 1.0

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

// countsOf returns the counts of a service, grown as needed.
func countsOf(list *[]counts, index int) *counts {
	for len(*list) <= index {
		*list = append(*list, counts{})
	}
	return &(*list)[index]
}

// Observe counts an outcome of a request of a service on a worker.
func (t *Tracker) Observe(now time.Time, id, service string, ok bool) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.advance(now, w)
	index := t.serviceIndex(service)
	surprise := t.surprise(now, w, index)
	countsOf(&t.totals, index).add(now, t.opts.HalfLife, ok)
	countsOf(&w.services, index).add(now, t.opts.HalfLife, ok)
	w.all.add(now, t.opts.HalfLife, 1)
	if ok {
		t.succeeded(now, w)
		return
	}
	w.run += surprise
	w.surprise.add(now, t.opts.HalfLife, surprise)
	t.failed(now, w, surprise)
}

// surprise is how little the other workers fail this service, from 0 to 1.
func (t *Tracker) surprise(now time.Time, w *worker, index int) float64 {
	all := countsOf(&t.totals, index)
	own := countsOf(&w.services, index)
	h := t.opts.HalfLife
	total := max(0, all.total.at(now, h)-own.total.at(now, h))
	failures := max(0, all.failures.at(now, h)-own.failures.at(now, h))
	ratio := (failures + priorOutcomes/2) / (total + priorOutcomes)
	return max(0, 1-ratio)
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
