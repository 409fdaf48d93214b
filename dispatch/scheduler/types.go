package scheduler

import "wigeonwinch/dispatch"

// Worker describes one worker of the pool and how much of it this entry node
// may use.
type Worker struct {
	ID         string
	Zone, Rack string
	// Slots is the number of slots this node may use now, including borrowed
	// ones.
	Slots int
	// TotalSlots is the number of slots the worker has for all entry nodes.
	TotalSlots int
	// Cores, MemoryMB and Accelerators are the worker's capacity.
	Cores, MemoryMB, Accelerators int
	// Accepting is false while the worker drains or leaves the pool; no new
	// request starts on it.
	Accepting bool
	// CanCheckpoint, CanThrottle and CanStop report which kinds of preemption
	// the worker supports for a task in progress.
	CanCheckpoint, CanThrottle, CanStop bool
}

// Team is one team's quota.
type Team struct {
	Name string
	// Weight is the team's share relative to other teams; zero counts as 1.
	Weight float64
	// MaxInProgress limits the requests that the team has in progress from
	// this node in this pool; zero means no limit.
	MaxInProgress int
}

// Ticket identifies one submitted request. Tickets are never reused.
type Ticket uint64

// Start is a decision to send a request to a worker now.
type Start struct {
	Ticket  Ticket
	Request *dispatch.Request
	Worker  string
}

// PreemptionKind is what a worker is asked to do with a task that holds a slot
// too long.
type PreemptionKind uint8

// The kinds of preemption, least disruptive first.
const (
	PreemptCheckpoint PreemptionKind = iota + 1
	PreemptThrottle
	PreemptStop
)

// Preemption asks a worker to checkpoint, throttle or stop a long request in
// progress because urgent requests wait. It is best effort: the reserve for
// urgent requests does not depend on it.
type Preemption struct {
	Ticket Ticket
	Worker string
	Kind   PreemptionKind
}

// Actions lists what the caller must do now.
type Actions struct {
	Starts []Start
	// Expired lists the tickets that ended in the queue because their deadline
	// passed or could no longer be met; their requests have not run.
	Expired []Ticket
	// Preemptions lists the preemptions to request from workers.
	Preemptions []Preemption
}

// Result is the outcome of one attempt to run a request.
type Result uint8

// The results.
const (
	// OK means that the worker returned a complete answer.
	OK Result = iota + 1
	// Failed means that the worker failed the request.
	Failed
	// Refused means that the worker refused the request, which has not run.
	Refused
	// Lost means that the worker stopped responding; the request may have run.
	Lost
	// Canceled means that the caller gave up; it does not count against the
	// worker.
	Canceled
)

// Stats is a snapshot of the scheduler's counters.
type Stats struct {
	// QueuedUrgent, QueuedShort and QueuedLong count the queued requests.
	QueuedUrgent int `json:"queued_urgent"`
	QueuedShort  int `json:"queued_short"`
	QueuedLong   int `json:"queued_long"`
	// InProgress counts the requests in progress; Long counts those of them
	// that are classified as long.
	InProgress int `json:"in_progress"`
	Long       int `json:"long"`
	// FreeSlots counts the slots on which a request could start now.
	FreeSlots int `json:"free_slots"`
	// Violations counts broken invariants; zero in correct operation.
	Violations uint64 `json:"violations"`
	// Workers are sorted by ID.
	Workers []WorkerStats `json:"workers"`
}

// WorkerStats is the state of one worker in Stats.
type WorkerStats struct {
	ID         string `json:"id"`
	InProgress int    `json:"in_progress"`
	Slots      int    `json:"slots"`
	Ejected    bool   `json:"ejected"`
}
