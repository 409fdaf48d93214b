// Package expect learns from finished steps how long the tasks of a step run,
// and predicts it for the steps of new jobs.
//
//	l := expect.New()
//	l.Observe(nowMS, step, expect.Outcome{MeanMS: 730, LongestMS: 1100})
//	e := l.Expect(step)
//	work := e.TaskMS * int64(need.MilliCPU)
//
// The tasks of a step share most of the error of their declared run time, so
// that one step is one observation however many tasks it has. A declared run
// time selects the history of the steps that declared about the same; package
// runtimes says how.
package expect

import (
	"time"

	"wigeonwinch/runtimes"
)

// The bounds of a Learner.
const (
	// minSteps is the decayed number of finished steps from which a history is
	// used.
	minSteps = 16
	// maxQueues bounds the queues with a history, maxCustomers the customers
	// and maxHistories the histories of one customer: its queues and its images.
	maxQueues, maxCustomers, maxHistories = 64, 32, 8
	// ownSteps is the decayed number of a customer's finished steps at which a
	// further one counts half in the history that all customers of the queue
	// share; all of them count for no more than 1.6 times as many there.
	ownSteps = 32
	// spreadUnit is the time that stands for the ratio 1 in the histories of
	// ratios.
	spreadUnit = time.Second
)

// Step describes a step whose run time is asked for.
type Step struct {
	Queue, Customer, Image string
	// Count is the number of tasks.
	Count int
	// DeclaredMS is the run time of one task that the job declares.
	DeclaredMS int64
}

// Outcome is what was seen of the tasks of a finished step.
type Outcome struct {
	// MeanMS and LongestMS are statistics of the tasks' run times.
	MeanMS, LongestMS int64
}

// Source is the history that an expectation comes from.
type Source string

// The sources, the most specific one first.
const (
	FromImage    Source = "image"
	FromCustomer Source = "customer"
	FromQueue    Source = "queue"
	// FromDeclared is used where no history is long enough.
	FromDeclared Source = "declared"
)

// Expectation is what to expect of a step.
type Expectation struct {
	Source Source
	// Steps is the decayed number of finished steps in the history; 0 if the
	// expectation is the declared run time.
	Steps float64
	// TaskMS is the mean run time of one task, P90MS its 90th percentile.
	TaskMS, P90MS int64
	// LongestMS is the run time of the step's longest task, as often longer as
	// shorter.
	LongestMS int64
}

// Learner holds the histories. It is not safe for concurrent use.
type Learner struct {
	queues    *runtimes.Predictor
	spreads   *runtimes.Predictor
	customers *lru[customerHistories]
	accuracy  map[string]*accuracy
}

// customerHistories are the histories of one customer.
type customerHistories = *runtimes.Predictor

// New returns a [Learner] without history.
func New() *Learner {
	return &Learner{
		queues:    runtimes.New(runtimes.Options{MaxRoutes: maxQueues}),
		spreads:   runtimes.New(runtimes.Options{MaxRoutes: maxQueues * widths}),
		customers: newLRU[customerHistories](maxCustomers),
		accuracy:  map[string]*accuracy{},
	}
}

// The keys of the histories.
func queueKey(queue string) runtimes.Key { return runtimes.Key{Service: queue} }

func imageKey(s *Step) runtimes.Key { return runtimes.Key{Service: s.Queue, Route: s.Image} }

func spreadKey(s *Step) runtimes.Key {
	return runtimes.Key{Service: s.Queue, Route: string(rune('a' + width(s.Count)))}
}

// widths is the number of classes by which the numbers of tasks are grouped.
const widths = 5

// width returns the class of a number of tasks.
func width(count int) int {
	switch {
	case count <= 1:
		return 0
	case count <= 4:
		return 1
	case count <= 9:
		return 2
	case count <= 16:
		return 3
	}
	return widths - 1
}

// Observe records a finished step. nowMS is any clock that doesn't go back. It
// reports whether run times of the queue are expected from now on.
func (l *Learner) Observe(nowMS int64, s Step, o Outcome) (first bool) {
	if o.MeanMS <= 0 {
		return false
	}
	known := l.knows(s.Queue)
	l.noteAccuracy(&s, o)
	now, declared, actual := time.UnixMilli(nowMS), milliseconds(s.DeclaredMS), milliseconds(o.MeanMS)
	weight := 1.0
	if s.Customer != "" || s.Image != "" {
		own := l.historiesOf(s.Customer)
		if s.Customer != "" {
			share := own.Predict(queueKey(s.Queue), 0, 0).Weight / ownSteps
			weight = 1 / (1 + share*share)
			own.Observe(now, queueKey(s.Queue), declared, actual)
		}
		if s.Image != "" {
			own.Observe(now, imageKey(&s), declared, actual)
		}
	}
	l.queues.ObserveWeighted(now, queueKey(s.Queue), declared, actual, weight)
	if o.LongestMS >= o.MeanMS {
		ratio := float64(o.LongestMS) / float64(o.MeanMS)
		l.spreads.Observe(now, spreadKey(&s), 0, time.Duration(ratio*float64(spreadUnit)))
	}
	return !known && l.knows(s.Queue)
}

// knows reports whether the queue's history is long enough to be used.
func (l *Learner) knows(queue string) bool {
	return l.queues.Predict(queueKey(queue), 0, 0).Weight >= minSteps
}

// historiesOf returns a customer's histories and marks the customer as seen
// last.
func (l *Learner) historiesOf(customer string) customerHistories {
	own := l.customers.get(customer)
	if own == nil {
		own = runtimes.New(runtimes.Options{MaxRoutes: maxHistories})
	}
	l.customers.put(customer, own)
	return own
}

// Expect returns what to expect of a step: by its image, else by its customer,
// else by its queue, else as declared.
func (l *Learner) Expect(s Step) Expectation {
	p, source := l.predict(&s)
	if source == FromDeclared {
		return Expectation{Source: FromDeclared, TaskMS: s.DeclaredMS, P90MS: s.DeclaredMS, LongestMS: s.DeclaredMS}
	}
	e := Expectation{Source: source, Steps: p.Weight, TaskMS: p.Mean.Milliseconds(), P90MS: p.P90.Milliseconds()}
	e.LongestMS = int64(float64(p.Median.Milliseconds()) * l.spread(&s))
	return e
}

func (l *Learner) predict(s *Step) (runtimes.Prediction, Source) {
	declared := milliseconds(s.DeclaredMS)
	if own := l.customers.get(s.Customer); own != nil {
		if s.Image != "" {
			if p := own.Predict(imageKey(s), declared, 0); p.Weight >= minSteps {
				return p, FromImage
			}
		}
		if p := own.Predict(queueKey(s.Queue), declared, 0); p.Weight >= minSteps {
			return p, FromCustomer
		}
	}
	if p := l.queues.Predict(queueKey(s.Queue), declared, 0); p.Weight >= minSteps {
		return p, FromQueue
	}
	return runtimes.Prediction{}, FromDeclared
}

// spread returns the ratio of the run time of a step's longest task to the
// median one.
func (l *Learner) spread(s *Step) float64 {
	p := l.spreads.Predict(spreadKey(s), 0, 0)
	if p.Weight < minSteps {
		return 1
	}
	return float64(p.Median) / float64(spreadUnit)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
