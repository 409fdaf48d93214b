package scheduler

import (
	"time"

	"wigeonwinch/dispatch/eject"
	"wigeonwinch/dispatch/retry"
	"wigeonwinch/dispatch/runtimes"
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
	// Node names this entry node; nodes with different names prefer workers
	// in different orders.
	Node string
	// MaxQueued bounds the queued requests.
	MaxQueued int
	// MaxWait bounds the time in the queue of a request without deadline.
	MaxWait time.Duration
	// UrgentBound is within which time urgent work is to start.
	UrgentBound time.Duration
	// UrgentReserve is the least number of slots kept free for urgent work.
	// More are kept where more urgent work has come. Two stand a long urgent
	// request in the reserve.
	UrgentReserve int
	// LongShare is the share of the slots that long work gets even while short
	// work waits.
	LongShare float64
	// Learner holds the learned run times; the schedulers of one node may
	// share it. Nil means a learner of its own.
	Learner *runtimes.Learner
	// Retries bounds the retries; the schedulers of one node may share it. Nil
	// means a budget of its own.
	Retries *retry.Budget
	// Eject configures the ejection of workers that fail.
	Eject eject.Options
	// OnViolation is called for each broken invariant; nil means count only.
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
