// Package eject takes workers that fail what they start out of use, judged by
// outcomes and against the other workers of the pool.
//
//	t := eject.New(eject.Options{})
//	t.SetWorkers(now, []string{"w1", "w2", "w3"})
//	t.Observe(now, "w1", "review", false)
//	usable := t.Share(now, "w1") // share of the worker's slots to use
//
// A failure weighs by how surprising it is: a service that fails on the other
// workers too says little about this worker. An ejected worker is probed with
// few requests before it returns, and returns step by step. Time is an
// argument.
package eject

import (
	"slices"
	"time"
)

// The defaults of Options.
const (
	defaultRun            = 2.5
	defaultHalfLife       = 20 * time.Second
	defaultMaxShare       = 0.7
	defaultMinAvailable   = 1
	defaultBaseEjection   = 5 * time.Second
	defaultMaxEjection    = 5 * time.Minute
	defaultProbeSuccesses = 3
	defaultRampTime       = 5 * time.Second
	defaultMaxServices    = 64
)

// The rule on ratios, for a worker that fails much but not everything.
const (
	ratioMinFailures = 8.0
	ratioMinShare    = 0.4
)

const (
	// rampSteps is in how many steps a returning worker gets its slots back.
	rampSteps = 8
	// probePatience is after which time without a probe any work may serve.
	probePatience = 30 * time.Second
	// maxDoublings bounds the growth of the ejection time.
	maxDoublings = 16
)

// Options configures a Tracker. Zero fields take their defaults.
type Options struct {
	// Run is the summed surprise of failures in a row that ejects a worker.
	Run float64
	// HalfLife is after which time an outcome counts half.
	HalfLife time.Duration
	// MaxShare is the largest share of the workers ejected at once.
	MaxShare float64
	// MinAvailable is the least number of workers that stay in use, from the
	// services' availability budgets.
	MinAvailable int
	// BaseEjection and MaxEjection bound the time until the first probe.
	BaseEjection, MaxEjection time.Duration
	// ProbeSuccesses is how many probes in a row must succeed.
	ProbeSuccesses int
	// RampTime is how long a returning worker takes to its full share.
	RampTime time.Duration
	// MaxServices bounds the services told apart.
	MaxServices int
}

func (o Options) withDefaults() Options {
	setFloat(&o.Run, defaultRun)
	setFloat(&o.MaxShare, defaultMaxShare)
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

// State is how far a worker is in use.
type State uint8

// The states.
const (
	// Healthy workers are fully in use.
	Healthy State = iota
	// Suspect workers should be ejected, but too many others are.
	Suspect
	// Ejected workers get nothing.
	Ejected
	// Probing workers get one request at a time.
	Probing
	// Ramping workers get a growing share.
	Ramping
)

// Tracker judges the workers of one pool. It is not safe for concurrent use.
type Tracker struct {
	opts     Options
	workers  map[string]*worker
	order    []*worker
	services map[string]int
	pool     poolRecord
	started  bool
	out      int
}

// worker is one worker's record.
type worker struct {
	id         string
	state      State
	until      time.Time
	since      time.Time
	run        float64
	surprise   decayed
	all        decayed
	services   []recent
	successes  int
	ejections  int
	lastReturn time.Time
}

// New returns a Tracker without workers.
func New(opts Options) *Tracker {
	return &Tracker{
		opts:     opts.withDefaults(),
		workers:  make(map[string]*worker),
		services: make(map[string]int),
	}
}

// SetMinAvailable replaces the least number of workers that stay in use; a
// number below one takes the default.
func (t *Tracker) SetMinAvailable(workers int) {
	if workers <= 0 {
		workers = defaultMinAvailable
	}
	t.opts.MinAvailable = workers
}

// SetWorkers replaces the workers. The first ones are healthy at once; later
// ones are new or returning and get a growing share.
func (t *Tracker) SetWorkers(now time.Time, ids []string) {
	next := make(map[string]*worker, len(ids))
	for _, id := range ids {
		if w := t.workers[id]; w != nil {
			next[id] = w
			continue
		}
		next[id] = t.arrive(now, id)
	}
	t.workers = next
	t.started = t.started || len(ids) > 0
	t.order = t.order[:0]
	t.out = 0
	for _, w := range next {
		t.order = append(t.order, w)
		if w.state == Ejected || w.state == Probing {
			t.out++
		}
	}
	slices.SortFunc(t.order, func(a, b *worker) int { return compare(a.id, b.id) })
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (t *Tracker) arrive(now time.Time, id string) *worker {
	w := &worker{id: id}
	if t.started {
		w.set(Ramping, now)
	}
	return w
}

// Restart makes a worker that accepts work again ramp up.
func (t *Tracker) Restart(now time.Time, id string) {
	if w := t.workers[id]; w != nil && w.state == Healthy {
		w.set(Ramping, now)
	}
}

func (w *worker) set(state State, now time.Time) {
	w.state = state
	w.since = now
}

// State returns a worker's state; unknown workers are healthy.
func (t *Tracker) State(now time.Time, id string) State {
	w := t.workers[id]
	if w == nil {
		return Healthy
	}
	t.advance(now, w)
	return w.state
}

// Share is the share of a worker's slots to use, from 0 to 1. A share above
// zero means one slot at least.
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
		return smallestShare
	case Ramping:
		steps := int(rampSteps * now.Sub(w.since) / t.opts.RampTime)
		return max(smallestShare, float64(steps)/rampSteps)
	}
	return 1
}

// smallestShare rounds up to one slot on any worker.
const smallestShare = 1e-6

// Takes says whether a worker takes a request of this kind: a probing worker
// gets only repeatable work, unless none has come for long.
func (t *Tracker) Takes(now time.Time, id string, repeatable, urgent bool) bool {
	w := t.workers[id]
	if w == nil || w.state != Probing {
		return true
	}
	return repeatable && !urgent || now.Sub(w.since) > probePatience
}

// advance moves a worker's state on with time.
func (t *Tracker) advance(now time.Time, w *worker) {
	switch {
	case w.state == Ejected && !now.Before(w.until):
		w.set(Probing, now)
		w.successes = 0
	case w.state == Ramping && now.Sub(w.since) >= t.opts.RampTime:
		w.set(Healthy, now)
		w.lastReturn = now
	}
}

// Wake is the earliest time after now at which a share changes by time alone;
// the zero time when none does.
func (t *Tracker) Wake(now time.Time) time.Time {
	var wake time.Time
	for _, w := range t.order {
		at := t.changeOf(now, w)
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

func (t *Tracker) changeOf(now time.Time, w *worker) time.Time {
	switch w.state {
	case Ejected:
		return w.until
	case Probing:
		if patient := w.since.Add(probePatience + 1); patient.After(now) {
			return patient
		}
	case Ramping:
		step := t.opts.RampTime / rampSteps
		passed := now.Sub(w.since) / step
		return w.since.Add((passed + 1) * step)
	}
	return time.Time{}
}

// Unavailable is the number of workers ejected or probing.
func (t *Tracker) Unavailable() int { return t.out }

// NoneWorks says whether there are workers and all of them are ejected, being
// probed or suspect, or have lately failed all that they got, of more than one
// service.
func (t *Tracker) NoneWorks() bool {
	if len(t.order) > 0 && t.pool.failsAll(len(t.order)) {
		return true
	}
	for _, w := range t.order {
		if w.state == Healthy || w.state == Ramping {
			return false
		}
	}
	return len(t.order) > 0
}
