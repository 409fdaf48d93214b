// Package dispatch names what the request decisions share: a request, its
// class and its end. The subpackages decide; none of them does I/O, reads a
// clock or starts a goroutine. Time enters as an argument.
package dispatch

import "time"

// Class is the urgency a caller asks for.
type Class uint8

// The classes of request.
const (
	ClassNormal Class = iota
	ClassUrgent
)

// Outcome is one of the three truthful ends of a request.
type Outcome string

// The outcomes, as the Wigeonwinch-Outcome header carries them.
const (
	// OutcomeAnswered means that the whole answer follows.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no part of the work has started.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is what the decisions know of one request.
type Request struct {
	// ID identifies the request; callers send it again on a retry.
	ID string
	// Team is the team whose quota pays.
	Team string
	// Service is the service asked for.
	Service string
	// Route is the path prefix that matched.
	Route string
	// Pool is the pool that serves the service.
	Pool string
	// Class is the urgency.
	Class Class
	// Repeatable says that running it twice does no harm.
	Repeatable bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Declared is the run time the caller declared; zero means none.
	Declared time.Duration
	// Cores, MemoryMB and Accelerators are what one run needs.
	Cores, MemoryMB, Accelerators int
}

// RefusalReason is the typed reason for a refusal.
type RefusalReason string

// The reasons for a refusal.
const (
	RefusedQuota      RefusalReason = "quota"        // the team's bound is reached
	RefusedRate       RefusalReason = "rate"         // the team's rate is reached
	RefusedQueueFull  RefusalReason = "queue_full"   // the pool's queue is full
	RefusedDeadline   RefusalReason = "deadline"     // it could not start in time
	RefusedImpossible RefusalReason = "impossible"   // no worker can ever hold it
	RefusedNoWorker   RefusalReason = "no_worker"    // no worker is in reach
	RefusedUnknown    RefusalReason = "unknown_pool" // the pool does not exist
)

// Refusal says why a request was not taken; the work has not run.
type Refusal struct {
	Reason RefusalReason
	// Detail says what was exceeded and how to remedy it.
	Detail string
	// RetryAfter is when trying again makes sense; zero means it does not.
	RetryAfter time.Duration
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return "refused (" + string(r.Reason) + "): " + r.Detail }
