package scheduler

import "wigeonwinch/dispatch"

// Worker is one worker of the pool as this entry node may use it.
type Worker struct {
	ID         string
	Zone, Rack string
	// Slots is this node's share now, borrowed slots included.
	Slots int
	// TotalSlots is what the worker has for all entry nodes together.
	TotalSlots int
	// Cores, MemoryMB and Accelerators are the worker's size.
	Cores, MemoryMB, Accelerators int
	// Accepting is false when the worker drains or leaves: it gets nothing new.
	Accepting bool
	// CanCheckpoint, CanThrottle and CanStop say what the worker offers for a
	// task in progress.
	CanCheckpoint, CanThrottle, CanStop bool
}

// Team is one team's quota.
type Team struct {
	Name string
	// Weight is the team's share against the others; zero counts as 1.
	Weight float64
	// MaxInProgress bounds the team's requests in progress from this node in
	// this pool; zero means no bound.
	MaxInProgress int
}

// Ticket names one submitted request. Tickets are never used again.
type Ticket uint64

// Start says that a request is to be sent to a worker now.
type Start struct {
	Ticket  Ticket
	Request *dispatch.Request
	Worker  string
}

// ReliefKind is what to ask of a worker for a task that holds a slot too long.
type ReliefKind uint8

// The kinds of relief, the mildest first.
const (
	ReliefCheckpoint ReliefKind = iota + 1
	ReliefThrottle
	ReliefStop
)

// Relief asks to set back a long request in progress because urgent work
// waits. It is a help only: the urgent reserve doesn't count on it.
type Relief struct {
	Ticket Ticket
	Worker string
	Kind   ReliefKind
}

// Actions is what the caller is to do now.
type Actions struct {
	Starts []Start
	// Expired are tickets whose deadline passed in the queue: they have not
	// run and have ended.
	Expired []Ticket
	// Relieve are requests for relief.
	Relieve []Relief
}

// Result is how a request in progress ended.
type Result uint8

// The results.
const (
	// OK means a whole answer.
	OK Result = iota + 1
	// Failed means a failure by the worker.
	Failed
	// Refused means that the worker truthfully refused: it has not run.
	Refused
	// Lost means that the worker went silent: the work may have run.
	Lost
	// Canceled means that the caller gave up; the worker is not blamed.
	Canceled
)

// Stats is a picture of the scheduler.
type Stats struct {
	// QueuedUrgent, QueuedShort and QueuedLong count the queued requests.
	QueuedUrgent int `json:"queued_urgent"`
	QueuedShort  int `json:"queued_short"`
	QueuedLong   int `json:"queued_long"`
	// InProgress counts the started requests, Long those that count as long.
	InProgress int `json:"in_progress"`
	Long       int `json:"long"`
	// FreeSlots counts the slots that could take work now.
	FreeSlots int `json:"free_slots"`
	// Violations counts broken invariants; it stays zero.
	Violations uint64 `json:"violations"`
	// Workers are sorted by ID.
	Workers []WorkerStats `json:"workers"`
}

// WorkerStats is one worker in Stats.
type WorkerStats struct {
	ID         string `json:"id"`
	InProgress int    `json:"in_progress"`
	Slots      int    `json:"slots"`
	Ejected    bool   `json:"ejected"`
}
