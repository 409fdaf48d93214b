// Package deps names what the job part of a node asks of the outside: a
// keyed store with partitions, the workers, the VMs and the operator's
// configuration. The module platform implements it for the users' platform,
// the module infra holds stand-ins for tests.
package deps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// Topic is one of the streams in the store.
type Topic int

// The topics. The first two are written by others and only read here.
const (
	TopicOperator Topic = iota
	TopicWorkers
	// TopicStatus holds what the operator reads.
	TopicStatus
	// TopicNodes holds the entry nodes' heartbeats.
	TopicNodes
	// TopicJobs holds a shard's jobs in each partition.
	TopicJobs
	// TopicFleet holds the duty of moving and maintaining VMs.
	TopicFleet
)

// Partition is one partition of a topic.
type Partition struct {
	Topic Topic
	Index int
}

// Fence makes appends of older owners fail.
type Fence struct {
	Epoch int64
	// Sequence numbers the owner's appends; a repeated one changes nothing.
	Sequence int64
}

// Append is one atomic append.
type Append struct {
	Partition
	Records []shard.Record
	// Fence is optional.
	Fence *Fence
	// At, if set, is where the partition must end.
	At *int64
}

// Page is the content of a keyed partition.
type Page struct {
	Records []shard.Record
	// End is the offset of the next record. StartEnd is the end as of the
	// first page; nothing changed in between if both are equal.
	StartEnd, End int64
}

// ErrorKind says what a failed call means.
type ErrorKind string

// The kinds of errors of all outside calls.
const (
	// KindRefused: nothing was done; try again later.
	KindRefused ErrorKind = "refused"
	// KindUnknown: it may have been done, or may be done seconds later.
	KindUnknown ErrorKind = "unknown"
	// KindFenced: a newer owner exists.
	KindFenced ErrorKind = "fenced"
	// KindConflict: the condition does not hold.
	KindConflict ErrorKind = "conflict"
	// KindSequence: the store expects another sequence number.
	KindSequence ErrorKind = "sequence"
	// KindTrimmed: the history does not reach back so far.
	KindTrimmed ErrorKind = "trimmed"
	// KindInvalid: the call is wrong and will fail again.
	KindInvalid ErrorKind = "invalid"
	// KindReplaced: the worker at the address is another incarnation.
	KindReplaced ErrorKind = "replaced"
)

// Error is a failed call.
type Error struct {
	Kind   ErrorKind
	Call   string
	Detail string
	Err    error
}

// Error names the call and what the failure means.
func (e *Error) Error() string {
	text := e.Call + ": " + string(e.Kind)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns what a failed call means; an error of another type says
// nothing of whether it was done.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// Store is a log with keyed partitions that lasts.
type Store interface {
	// Append returns once the records are stored.
	Append(ctx context.Context, a Append) error
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, p Partition) (Page, error)
	// Read returns the records from an offset on; at the end it waits.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (records []shard.Record, next int64, err error)
}

// Workers carries orders to workers.
type Workers interface {
	Poll(ctx context.Context, p shard.Poll) (shard.Lists, error)
	Start(ctx context.Context, s shard.Start) shard.StartOutcome
	Stop(ctx context.Context, s shard.Stop) error
	Pace(ctx context.Context, p shard.Pace) error
}

// Advisor is the service that permits the placements of some queues.
type Advisor interface {
	// Advise returns the permits for a step on these workers.
	Advise(ctx context.Context, step shard.Key, workers []string) (shard.Advised, error)
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMUp      VMState = "up"
	VMMoving  VMState = "moving"
	VMUpkeep  VMState = "upkeep"
	VMDown    VMState = "down"
	VMUnknown VMState = "unknown"
)

// VM is one VM that can hold a worker.
type VM struct {
	ID     string
	Pool   string
	State  VMState
	Zone   string
	Worker string
	// Rack is the rack it stands in, Labels all its labels.
	Rack     string
	Labels   []string
	Capacity spec.Resources
}

// Holder is the fenced right to act on VMs.
type Holder struct {
	Name  string
	Epoch int64
}

// VMs lists and changes VMs.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
	Move(ctx context.Context, h Holder, vm, pool string) error
	Maintain(ctx context.Context, h Holder, vm string, wave int) error
}

// Route sends requests with a host and path prefix to a queue.
type Route struct {
	Host, PathPrefix string
	Queue            shard.Queue
}

// Pool is one service of the configuration.
type Pool struct {
	Service string
	// Spare VMs are off and cost nothing.
	Spare bool
}

// Configuration is the operator's newest configuration in full.
type Configuration struct {
	Version int64
	Routes  []Route
	Pools   []Pool
}

// Wave asks for the maintenance of VMs.
type Wave struct {
	Number   int
	VMs      []string
	Duration time.Duration
	// Cap is how many may be down for it at once.
	Cap int
}

// OperatorChange is one decoded record of the operator; one field is set, or
// none if the record isn't for this program.
type OperatorChange struct {
	Configuration *Configuration
	Wave          *Wave
}

// WorkerChange is one decoded record of a worker.
type WorkerChange struct {
	ID string
	// Gone says that the entry was removed.
	Gone   bool
	Worker shard.Worker
	VM     string
}

// Codec decodes what others write into the store, and encodes what they read.
type Codec interface {
	Operator(r shard.Record) (OperatorChange, error)
	Worker(r shard.Record) (WorkerChange, error)
	WaveStatus(wave int, completed bool) (shard.Record, error)
}
