// Package runtimes learns the run time distribution of requests per service
// and route, and predicts run times from it and from the run time that a
// request declares.
//
//	p := runtimes.New(runtimes.Options{})
//	key := runtimes.Key{Service: "review", Route: "/drawings"}
//	p.Observe(now, key, declared, actual)
//	prediction := p.Predict(key, declared, threshold)
//	long := prediction.LongProbability > 0.2
//
// A declared run time is not trusted as such. It selects the history of the
// requests that declared a similar run time. That history is blended with a
// prior: the part of the route's whole history with run times up to ten times
// shorter or longer than declared. When declarations carry no information, the
// history of similar declarations soon outweighs the prior.
//
// Options.MaxRoutes bounds the memory.
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

// Options configures a [Predictor]. Zero fields take their defaults.
type Options struct {
	// MaxRoutes bounds the number of routes with a history. The least recently
	// observed route is evicted.
	MaxRoutes int
	// HalfLife is the time after which an observed run time counts half.
	HalfLife time.Duration
}

// Key identifies a route of a service.
type Key struct {
	Service, Route string
}

// Prediction is the expected run time of a request.
type Prediction struct {
	// HasHistory reports whether the route has a history. Without one, the
	// prediction is the declared run time.
	HasHistory bool
	// Weight is the decayed number of run times that the route's history holds.
	Weight float64
	// Mean, Median and P90 are statistics of the predicted run time.
	Mean, Median, P90 time.Duration
	// CappedMean is the mean with each run time capped at the threshold.
	CappedMean time.Duration
	// LongProbability is the probability that the run time exceeds the
	// threshold.
	LongProbability float64
}

// Predictor predicts run times from the run times that it observes. It is not
// safe for concurrent use.
type Predictor struct {
	opts   Options
	routes map[Key]*list.Element
	lru    *list.List
}

// New returns a [Predictor] without observations.
func New(opts Options) *Predictor {
	if opts.MaxRoutes <= 0 {
		opts.MaxRoutes = defaultMaxRoutes
	}
	if opts.HalfLife <= 0 {
		opts.HalfLife = defaultHalfLife
	}
	return &Predictor{opts: opts, routes: make(map[Key]*list.Element), lru: list.New()}
}

// route is the history of one route: a histogram of all its run times, and one
// for each bin of declared run times that has been observed.
type route struct {
	key        Key
	all        Histogram
	byDeclared [declaredBins]*Histogram
}

// Declared run times are grouped into bins of half an octave.
const (
	bucketsPerBin = 2
	declaredBins  = bucketCount / bucketsPerBin
)

// declaredBin returns the bin of a declared run time.
func declaredBin(declared time.Duration) int { return bucketIndex(declared) / bucketsPerBin }

// Observe records the run time of a finished request. A declared run time of
// zero means that the request declared none.
func (l *Predictor) Observe(now time.Time, key Key, declared, actual time.Duration) {
	l.ObserveWeighted(now, key, declared, actual, 1)
}

// ObserveWeighted records a run time that counts as the given number of run
// times; it may be a fraction.
func (l *Predictor) ObserveWeighted(now time.Time, key Key, declared, actual time.Duration, weight float64) {
	r := l.routeFor(key)
	r.all.AddWeighted(now, l.opts.HalfLife, actual, weight)
	if declared <= 0 {
		return
	}
	bin := declaredBin(declared)
	if r.byDeclared[bin] == nil {
		r.byDeclared[bin] = &Histogram{}
	}
	r.byDeclared[bin].AddWeighted(now, l.opts.HalfLife, actual, weight)
}

// routeFor returns the history of a route and marks the route as the most
// recently observed. It creates a missing history, and evicts the least
// recently observed route to make room for it.
func (l *Predictor) routeFor(key Key) *route {
	if e := l.routes[key]; e != nil {
		l.lru.MoveToFront(e)
		return e.Value.(*route)
	}
	if len(l.routes) >= l.opts.MaxRoutes {
		oldest := l.lru.Back()
		delete(l.routes, oldest.Value.(*route).key)
		l.lru.Remove(oldest)
	}
	r := &route{key: key}
	l.routes[key] = l.lru.PushFront(r)
	return r
}

// Routes returns the number of routes with a history.
func (l *Predictor) Routes() int { return len(l.routes) }

// Predict predicts the run time of a request. Runs that exceed the threshold
// count as long. For a route without a history, the prediction is the declared
// run time.
func (l *Predictor) Predict(key Key, declared, threshold time.Duration) Prediction {
	e := l.routes[key]
	if e == nil {
		return predictFromDeclared(declared, threshold)
	}
	r := e.Value.(*route)
	m := mixture{specific: &r.all}
	if declared > 0 {
		m = mixture{specific: r.byDeclared[declaredBin(declared)]}.withPrior(&r.all, declared)
	}
	p := m.summarize(threshold)
	p.HasHistory, p.Weight = true, r.all.weight
	return p
}

// predictFromDeclared returns the prediction for a route without a history.
func predictFromDeclared(declared, threshold time.Duration) Prediction {
	p := Prediction{Mean: declared, Median: declared, P90: declared, CappedMean: declared}
	if threshold > 0 && declared > threshold {
		p.LongProbability = 1
		p.CappedMean = threshold
	}
	return p
}
