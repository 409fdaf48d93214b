package scheduler

import "time"

// The defaults of Options.
const (
	defaultMaxQueued   = 20_000
	defaultMaxWait     = 30 * time.Second
	defaultUrgentBound = time.Second
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
	return o
}
