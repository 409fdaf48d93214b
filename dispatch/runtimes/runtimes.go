// Package runtimes learns how long requests run, for each service and route,
// and how much a declared run time tells.
//
//	l := runtimes.New(runtimes.Options{})
//	key := runtimes.Key{Service: "review", Route: "/drawings"}
//	l.Observe(now, key, declared, actual)
//	p := l.Predict(key, declared, threshold)
//	long := p.LongShare > 0.2
//
// A declared run time is not taken at its word: it selects the history of the
// requests that declared about the same, and that history is blended with what
// the route's whole history says of run times up to ten times shorter or
// longer than declared. Where declarations mean nothing, the first outweighs
// the second before long.
// Memory is bounded by Options.MaxRoutes.
package runtimes

import (
	"container/list"
	"time"
)

// The defaults of Options.
const (
	defaultMaxRoutes = 256
	defaultHalfLife  = 10 * time.Minute
)

// Options configures a Learner. Zero fields take their defaults.
type Options struct {
	// MaxRoutes bounds the routes remembered; the least recently seen goes.
	MaxRoutes int
	// HalfLife is after which time a run time counts half.
	HalfLife time.Duration
}

// Key names a route of a service.
type Key struct {
	Service, Route string
}

// Prediction is what is known of a request before it starts.
type Prediction struct {
	// Known is false when nothing has been learned of the route.
	Known bool
	// Mean, Median and P90 describe the expected run time.
	Mean, Median, P90 time.Duration
	// MeanWithin is the mean with each run cut at the threshold.
	MeanWithin time.Duration
	// LongShare is the probability of running beyond the threshold.
	LongShare float64
}

// Learner learns run times. It is not safe for concurrent use.
type Learner struct {
	opts   Options
	routes map[Key]*list.Element
	recent *list.List
}

// New returns a Learner that knows nothing.
func New(opts Options) *Learner {
	if opts.MaxRoutes <= 0 {
		opts.MaxRoutes = defaultMaxRoutes
	}
	if opts.HalfLife <= 0 {
		opts.HalfLife = defaultHalfLife
	}
	return &Learner{opts: opts, routes: make(map[Key]*list.Element), recent: list.New()}
}

// route is the history of one route.
type route struct {
	key        Key
	all        Histogram
	byDeclared [declaredBins]*Histogram
}

// Declared run times are told apart by half octaves.
const (
	bucketsPerBin = 2
	declaredBins  = bucketCount / bucketsPerBin
)

// declaredBin returns the bin of a declared run time.
func declaredBin(declared time.Duration) int { return bucketOf(declared) / bucketsPerBin }

// Observe learns the run time of a finished request. A declared time of zero
// means that none was declared.
func (l *Learner) Observe(now time.Time, key Key, declared, actual time.Duration) {
	r := l.touch(key)
	r.all.Add(now, l.opts.HalfLife, actual)
	if declared <= 0 {
		return
	}
	bin := declaredBin(declared)
	if r.byDeclared[bin] == nil {
		r.byDeclared[bin] = &Histogram{}
	}
	r.byDeclared[bin].Add(now, l.opts.HalfLife, actual)
}

// touch returns a route's history and marks it as recent.
func (l *Learner) touch(key Key) *route {
	if e := l.routes[key]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*route)
	}
	if len(l.routes) >= l.opts.MaxRoutes {
		oldest := l.recent.Back()
		delete(l.routes, oldest.Value.(*route).key)
		l.recent.Remove(oldest)
	}
	r := &route{key: key}
	l.routes[key] = l.recent.PushFront(r)
	return r
}

// Routes is the number of routes remembered.
func (l *Learner) Routes() int { return len(l.routes) }

// Predict tells what to expect of a request. Runs beyond the threshold count
// as long. For an unknown route the declared time is all there is.
func (l *Learner) Predict(key Key, declared, threshold time.Duration) Prediction {
	e := l.routes[key]
	if e == nil {
		return declaredOnly(declared, threshold)
	}
	r := e.Value.(*route)
	m := mixture{near: &r.all}
	if declared > 0 {
		m = mixture{near: r.byDeclared[declaredBin(declared)]}.withWide(&r.all, declared)
	}
	p := m.summarize(threshold)
	p.Known = true
	return p
}

func declaredOnly(declared, threshold time.Duration) Prediction {
	p := Prediction{Mean: declared, Median: declared, P90: declared, MeanWithin: declared}
	if threshold > 0 && declared > threshold {
		p.LongShare = 1
		p.MeanWithin = threshold
	}
	return p
}
