package scheduler

import (
	"time"

	"wigeonwinch/dispatch/eject"
	"wigeonwinch/dispatch/retry"
	"wigeonwinch/runtimes"
)

// The defaults of Options.
const (
	defaultMaxQueued     = 20_000
	defaultMaxWait       = 30 * time.Second
	defaultUrgentBound   = time.Second
	defaultUrgentReserve = 1
	defaultLongShare     = 0.08
)

// Options configures a Scheduler. Zero fields take their defaults.
type Options struct {
	// Node is the name of this entry node. Nodes with different names break
	// ties between equally loaded workers differently.
	Node string
	// MaxQueued limits the number of queued requests.
	MaxQueued int
	// MaxWait limits the queueing time of a request without a deadline.
	MaxWait time.Duration
	// UrgentBound is the time within which urgent requests are to start.
	UrgentBound time.Duration
	// UrgentReserve is the minimum number of slots kept free for urgent
	// requests. The scheduler keeps more free after higher urgent load. With a
	// value of two, one long urgent request does not use up the reserve.
	UrgentReserve int
	// LongShare is the share of the slots that long requests get even while
	// short requests wait.
	LongShare float64
	// Learner predicts run times from past ones. The schedulers of one node
	// may share it; nil means that New creates one.
	Learner *runtimes.Predictor
	// Retries is the retry budget. The schedulers of one node may share it;
	// nil means that New creates one.
	Retries *retry.Budget
	// Eject configures the ejection of failing workers.
	Eject eject.Options
	// OnViolation, if not nil, is called for each broken invariant.
	OnViolation func(Violation)
}

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.UrgentBound <= 0 {
		o.UrgentBound = defaultUrgentBound
	}
	if o.UrgentReserve <= 0 {
		o.UrgentReserve = defaultUrgentReserve
	}
	if o.LongShare <= 0 {
		o.LongShare = defaultLongShare
	}
	if o.Learner == nil {
		o.Learner = runtimes.New(runtimes.Options{})
	}
	if o.Retries == nil {
		o.Retries = retry.NewBudget(retry.Options{})
	}
	return o
}
