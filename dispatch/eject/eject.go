// Package eject ejects workers whose requests fail. It judges a worker by the
// outcomes of its requests, compared with the outcomes on the other workers of
// the pool.
//
//	t := eject.New(eject.Options{})
//	t.SetWorkers(now, []string{"w1", "w2", "w3"})
//	t.Observe(now, "w1", "review", false)
//	usable := t.Share(now, "w1") // share of the worker's slots to use
//
// The weight of a failure is the share of the other workers on which the same
// service succeeds: a service that fails on other workers too says little about
// this worker. An ejected worker is probed with few requests before it is
// readmitted, and its share of slots then ramps up in steps. The package reads
// no clock: callers pass the time.
package eject

import (
	"slices"
	"time"
)

// Defaults of Options.
const (
	defaultConsecutiveFailureWeight = 2.5
	defaultHalfLife                 = 20 * time.Second
	defaultMaxEjectedShare          = 0.7
	defaultMinAvailable             = 1
	defaultBaseEjection             = 5 * time.Second
	defaultMaxEjection              = 5 * time.Minute
	defaultProbeSuccesses           = 3
	defaultRampTime                 = 5 * time.Second
	defaultMaxServices              = 64
)

// Thresholds that eject a worker that fails many but not all of its requests:
// the decayed sum of its failure weights must reach ratioMinFailureWeight, and
// also the share ratioMinShare of its decayed number of outcomes.
const (
	ratioMinFailureWeight = 8.0
	ratioMinShare         = 0.4
)

const (
	// rampSteps is the number of steps in which a readmitted worker gets its
	// slots back.
	rampSteps = 8
	// anyProbeDelay is how long a worker stays in the state Probing before any
	// request may serve as a probe.
	anyProbeDelay = 30 * time.Second
	// maxDoublings bounds how often the ejection time doubles.
	maxDoublings = 16
)

// Options configures a Tracker. Zero fields take their defaults.
type Options struct {
	// ConsecutiveFailureWeight is the total weight of consecutive failures at
	// which a worker is ejected.
	ConsecutiveFailureWeight float64
	// HalfLife is the time after which the weight of an outcome has halved.
	HalfLife time.Duration
	// MaxEjectedShare is the largest share of the workers that may be ejected
	// or probing at the same time.
	MaxEjectedShare float64
	// MinAvailable is the minimum number of workers that are neither ejected
	// nor probing. It comes from the availability budgets of the services.
	MinAvailable int
	// BaseEjection is the time from the first ejection of a worker to its
	// probes. It doubles with each further ejection, up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// ProbeSuccesses is the number of consecutive probes that must succeed
	// before a worker is readmitted.
	ProbeSuccesses int
	// RampTime is how long a readmitted worker takes to reach its full share.
	RampTime time.Duration
	// MaxServices bounds the services with separate records.
	MaxServices int
}

func (o Options) withDefaults() Options {
	setFloat(&o.ConsecutiveFailureWeight, defaultConsecutiveFailureWeight)
	setFloat(&o.MaxEjectedShare, defaultMaxEjectedShare)
	setInt(&o.MinAvailable, defaultMinAvailable)
	setInt(&o.ProbeSuccesses, defaultProbeSuccesses)
	setInt(&o.MaxServices, defaultMaxServices)
	setDuration(&o.HalfLife, defaultHalfLife)
	setDuration(&o.BaseEjection, defaultBaseEjection)
	setDuration(&o.MaxEjection, defaultMaxEjection)
	setDuration(&o.RampTime, defaultRampTime)
	return o
}

func setFloat(field *float64, value float64) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// State is the health state of a worker, which determines how much of it is
// used.
type State uint8

// The health states of a worker.
const (
	// Healthy workers are used fully.
	Healthy State = iota
	// Suspect workers failed enough to be ejected, but the limits on ejected
	// workers forbid it. One slot of each stays in use.
	Suspect
	// Ejected workers get no requests.
	Ejected
	// Probing workers get one request at a time.
	Probing
	// Ramping workers get a share of their slots that grows with time.
	Ramping
)

// Tracker tracks the health of the workers of one pool. It is not safe for
// concurrent use.
type Tracker struct {
	opts        Options
	workers     map[string]*worker
	sorted      []*worker
	services    map[string]int
	poolStreak  failureStreak
	initialized bool
	unavailable int
}

// worker is the health record of one worker.
type worker struct {
	id                string
	state             State
	ejectedUntil      time.Time
	stateSince        time.Time
	consecutiveWeight float64
	failureWeight     decayedSum
	outcomes          decayedSum
	services          []serviceRecord
	probeSuccesses    int
	ejections         int
	healthySince      time.Time
}

// New returns a Tracker without workers.
func New(opts Options) *Tracker {
	return &Tracker{
		opts:     opts.withDefaults(),
		workers:  make(map[string]*worker),
		services: make(map[string]int),
	}
}

// SetMinAvailable replaces Options.MinAvailable. A number below one selects the
// default.
func (t *Tracker) SetMinAvailable(workers int) {
	if workers <= 0 {
		workers = defaultMinAvailable
	}
	t.opts.MinAvailable = workers
}

// SetWorkers replaces the workers. The workers of the first non-empty call are
// healthy at once. Workers that are added later are new or returning, and ramp
// up.
func (t *Tracker) SetWorkers(now time.Time, ids []string) {
	next := make(map[string]*worker, len(ids))
	for _, id := range ids {
		if w := t.workers[id]; w != nil {
			next[id] = w
			continue
		}
		next[id] = t.newWorker(now, id)
	}
	t.workers = next
	t.initialized = t.initialized || len(ids) > 0
	t.sorted = t.sorted[:0]
	t.unavailable = 0
	for _, w := range next {
		t.sorted = append(t.sorted, w)
		if w.state == Ejected || w.state == Probing {
			t.unavailable++
		}
	}
	slices.SortFunc(t.sorted, func(a, b *worker) int { return compareIDs(a.id, b.id) })
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (t *Tracker) newWorker(now time.Time, id string) *worker {
	w := &worker{id: id}
	if t.initialized {
		w.setState(Ramping, now)
	}
	return w
}

// StartRamp ramps up a healthy worker. Call it when the worker starts to accept
// requests again.
func (t *Tracker) StartRamp(now time.Time, id string) {
	if w := t.workers[id]; w != nil && w.state == Healthy {
		w.setState(Ramping, now)
	}
}

func (w *worker) setState(state State, now time.Time) {
	w.state = state
	w.stateSince = now
}

// State returns the state of a worker. An unknown worker is healthy.
func (t *Tracker) State(now time.Time, id string) State {
	w := t.workers[id]
	if w == nil {
		return Healthy
	}
	t.advance(now, w)
	return w.state
}

// Share returns the share of a worker's slots to use, from 0 to 1. The caller
// rounds the number of slots up, so that a share above zero allows at least
// one.
func (t *Tracker) Share(now time.Time, id string) float64 {
	w := t.workers[id]
	if w == nil {
		return 1
	}
	t.advance(now, w)
	switch w.state {
	case Ejected:
		return 0
	case Suspect, Probing:
		return minShare
	case Ramping:
		steps := int(rampSteps * now.Sub(w.stateSince) / t.opts.RampTime)
		return max(minShare, float64(steps)/rampSteps)
	}
	return 1
}

// minShare is small enough to round up to exactly one slot on any worker.
const minShare = 1e-6

// Admits reports whether a worker may be sent a request of this kind. A probing
// worker gets only repeatable requests that are not urgent, unless it has been
// in that state for more than anyProbeDelay.
func (t *Tracker) Admits(now time.Time, id string, repeatable, urgent bool) bool {
	w := t.workers[id]
	if w == nil || w.state != Probing {
		return true
	}
	return repeatable && !urgent || now.Sub(w.stateSince) > anyProbeDelay
}

// advance applies the state changes of a worker that are due at now.
func (t *Tracker) advance(now time.Time, w *worker) {
	switch {
	case w.state == Ejected && !now.Before(w.ejectedUntil):
		w.setState(Probing, now)
		w.probeSuccesses = 0
	case w.state == Ramping && now.Sub(w.stateSince) >= t.opts.RampTime:
		w.setState(Healthy, now)
		w.healthySince = now
	}
}

// NextChange returns the earliest time at which the share of a worker, or the
// kinds of requests that it may be sent, change by the passage of time alone.
// It returns the zero time if there is none.
func (t *Tracker) NextChange(now time.Time) time.Time {
	var earliest time.Time
	for _, w := range t.sorted {
		at := t.nextWorkerChange(now, w)
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

func (t *Tracker) nextWorkerChange(now time.Time, w *worker) time.Time {
	switch w.state {
	case Ejected:
		return w.ejectedUntil
	case Probing:
		if anyProbeAt := w.stateSince.Add(anyProbeDelay + 1); anyProbeAt.After(now) {
			return anyProbeAt
		}
	case Ramping:
		step := t.opts.RampTime / rampSteps
		elapsedSteps := now.Sub(w.stateSince) / step
		return w.stateSince.Add((elapsedSteps + 1) * step)
	}
	return time.Time{}
}

// Unavailable returns the number of workers that are ejected or probing.
func (t *Tracker) Unavailable() int { return t.unavailable }

// AllFailing reports whether no worker of a non-empty pool works: either all
// workers are ejected, probing or suspect, or the latest requests of the pool
// all failed, are many for its size and belong to more than one service.
func (t *Tracker) AllFailing() bool {
	if len(t.sorted) > 0 && t.poolStreak.coversPool(len(t.sorted)) {
		return true
	}
	for _, w := range t.sorted {
		if w.state == Healthy || w.state == Ramping {
			return false
		}
	}
	return len(t.sorted) > 0
}
