// Package dispatch defines the types that its subpackages share: a request,
// its class, its outcome and the reasons for a refusal. The subpackages make
// the decisions about requests. None of them performs I/O, reads a clock or
// starts a goroutine; the caller passes the current time as an argument.
package dispatch

import "time"

// Class is the urgency class that a caller requests.
type Class uint8

// The request classes.
const (
	ClassNormal Class = iota
	ClassUrgent
)

// Outcome states whether a request ran, as far as the node can tell when the
// request ends.
type Outcome string

// The outcomes, as sent in the Wigeonwinch-Outcome header.
const (
	// OutcomeAnswered means that the complete answer follows.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no part of the request has been executed.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Request holds the properties of one request that dispatch decisions use.
type Request struct {
	// ID identifies the request. Callers send the same ID on a retry.
	ID string
	// Team is the team whose quota the request counts against.
	Team string
	// Service is the requested service.
	Service string
	// Route is the path prefix of the service's route that matched.
	Route string
	// Pool is the pool that serves the service.
	Pool  string
	Class Class
	// Repeatable reports whether the request can safely run more than once.
	Repeatable bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// DeclaredRunTime is the run time that the caller declared; zero means
	// none.
	DeclaredRunTime time.Duration
	// Cores, MemoryMB and Accelerators are the resources that one run needs.
	Cores, MemoryMB, Accelerators int
}

// RefusalReason is the machine-readable reason for a refusal.
type RefusalReason string

// The reasons for a refusal.
const (
	RefusedQuota       RefusalReason = "quota"        // the team has its maximum number of requests in progress
	RefusedRate        RefusalReason = "rate"         // the team exceeds its request rate
	RefusedQueueFull   RefusalReason = "queue_full"   // the pool's queue is full
	RefusedDeadline    RefusalReason = "deadline"     // the request could not finish before its deadline
	RefusedImpossible  RefusalReason = "impossible"   // the request needs more than any worker of the pool has
	RefusedNoWorker    RefusalReason = "no_worker"    // no worker of the pool is reachable
	RefusedUnknownPool RefusalReason = "unknown_pool" // the pool does not exist
)

// Refusal is the error for a request that was not admitted. The request has
// not run.
type Refusal struct {
	Reason RefusalReason
	// Detail describes which limit was exceeded and how to remedy it.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; zero
	// means that a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return "refused (" + string(r.Reason) + "): " + r.Detail }
