// Package deps defines the external services that the job part of a node
// depends on: a keyed, partitioned log store, the workers, the VMs and the
// operator's configuration. Module platform implements these interfaces for the
// users' platform; package depstest and module infra hold stand-ins for tests.
package deps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// Topic is one stream of records in the store.
type Topic int

// The topics. Other programs write TopicOperator and TopicWorkers; nodes only
// read them.
const (
	TopicOperator Topic = iota
	TopicWorkers
	// TopicStatus holds the status records that the operator reads.
	TopicStatus
	// TopicNodes holds the heartbeats of the entry nodes.
	TopicNodes
	// TopicJobs holds the jobs of one shard per partition.
	TopicJobs
	// TopicFleet holds the records of the fleet controller, which moves and
	// maintains VMs.
	TopicFleet
	// TopicHomes holds the shards that accept, or have accepted, jobs of each queue.
	TopicHomes
)

// Partition identifies one partition of a topic.
type Partition struct {
	Topic Topic
	Index int
}

// Fence identifies the owner that appends. The store rejects appends with an
// older epoch.
type Fence struct {
	Epoch int64
	// Sequence numbers the appends of one owner. Repeating a sequence number
	// changes nothing.
	Sequence int64
}

// Append is one atomic append to a partition.
type Append struct {
	Partition
	Records []shard.Record
	// Fence is optional.
	Fence *Fence
	// ExpectedEnd, if set, is the offset at which the partition must end for
	// the append to succeed.
	ExpectedEnd *int64
}

// Snapshot holds the newest record of each key of a partition.
type Snapshot struct {
	Records []shard.Record
	// End is the offset after the last record. EndAtStart is that offset when
	// the first page was read; if both are equal, the partition did not change
	// during the read.
	EndAtStart, End int64
}

// ErrorKind classifies a failed call by its effect.
type ErrorKind string

// The kinds of errors that all calls to external services return.
const (
	// KindRefused means that the call had no effect and may be retried later.
	KindRefused ErrorKind = "refused"
	// KindUnknown means that the call may have taken effect, or may still do so
	// seconds later.
	KindUnknown ErrorKind = "unknown"
	// KindFenced means that a newer owner exists.
	KindFenced ErrorKind = "fenced"
	// KindConflict means that a condition of the call does not hold.
	KindConflict ErrorKind = "conflict"
	// KindSequence means that the store expects another sequence number.
	KindSequence ErrorKind = "sequence"
	// KindTrimmed means that the store no longer holds the requested history.
	KindTrimmed ErrorKind = "trimmed"
	// KindInvalid means that the call is invalid and would fail again.
	KindInvalid ErrorKind = "invalid"
	// KindOtherIncarnation means that another incarnation of the worker runs at
	// the address.
	KindOtherIncarnation ErrorKind = "replaced"
)

// Error describes a failed call.
type Error struct {
	Kind   ErrorKind
	Call   string
	Detail string
	Err    error
	// Connection says how the connection failed, if that is the cause.
	Connection ConnectionFailure
	// KeptConnection reports whether the call got no answer in time over a connection
	// that earlier calls had used.
	KeptConnection bool
}

// ConnectionFailure is the way in which a connection failed.
type ConnectionFailure string

// The ways in which connections fail. Both mean that the other host is up. All
// other failures, time-outs among them, are the empty value.
const (
	// ConnectionClosed means that the other side ended the connection before it
	// answered.
	ConnectionClosed ConnectionFailure = "closed"
	// ConnectionRejected means that no process listens at the address.
	ConnectionRejected ConnectionFailure = "rejected"
)

// ConnectionFailureOf returns how the connection of a failed call failed.
func ConnectionFailureOf(err error) ConnectionFailure {
	var e *Error
	if errors.As(err, &e) {
		return e.Connection
	}
	return ""
}

// KeptConnectionSilent reports whether a failed call got no answer in time over a connection
// that earlier calls had used.
func KeptConnectionSilent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.KeptConnection
}

// Error returns the call, the kind of the failure and its cause.
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

// KindOf returns the kind of a failed call, or KindUnknown for an error of
// another type, which does not tell whether the call took effect.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// Store is a durable log with keyed partitions.
type Store interface {
	// Append returns once the records are durable.
	Append(ctx context.Context, a Append) error
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, p Partition) (Snapshot, error)
	// Read returns the records from an offset on. At the end of the partition
	// it waits for new ones.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (records []shard.Record, next int64, err error)
}

// Workers sends polls and orders to workers.
type Workers interface {
	Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error)
	Start(ctx context.Context, s shard.Start) shard.StartResult
	Stop(ctx context.Context, s shard.Stop) error
	Pace(ctx context.Context, p shard.Pace) error
}

// PlacementAdvisor is the external service that permits the placements of some
// queues.
type PlacementAdvisor interface {
	// Advise returns the placement permits for a step on the given workers.
	Advise(ctx context.Context, step shard.Key, workers []string) (shard.AdviceResponse, error)
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMUp            VMState = "up"
	VMMoving        VMState = "moving"
	VMInMaintenance VMState = "upkeep"
	VMDown          VMState = "down"
	VMUnknown       VMState = "unknown"
)

// VM is one VM that can run a worker.
type VM struct {
	ID     string
	Pool   string
	State  VMState
	Zone   string
	Worker string
	// Rack is the rack of the VM. Labels holds all its labels.
	Rack     string
	Labels   []string
	Capacity spec.Resources
}

// Holder identifies the node that may act on VMs. The platform rejects actions
// with an older epoch.
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

// Route maps requests with a host and path prefix to a queue.
type Route struct {
	Host, PathPrefix string
	Queue            shard.Queue
	// Public reports whether calls need no customer's key although the configuration
	// has customers.
	Public bool
}

// Customer is a customer of the configuration and the keys of its callers.
type Customer struct {
	customer.Customer
	Keys []customer.KeyDigest
}

// Pool is the VM pool of one service of the configuration.
type Pool struct {
	Service string
	// Spare marks the pool whose VMs are off and cost nothing.
	Spare bool
}

// Configuration is the operator's complete configuration of one version.
type Configuration struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	// Customers is empty if calls need no key.
	Customers []Customer
	// keys is the index of the customers' keys; see IndexKeys.
	keys customer.KeyIndex
}

// Wave is a request to maintain a list of VMs.
type Wave struct {
	Number   int
	VMs      []string
	Duration time.Duration
	// MaxDown is the maximum number of VMs that may be down for the wave at
	// once.
	MaxDown int
}

// OperatorChange is one decoded operator record. One field is set, or none if
// the record is not meant for this program.
type OperatorChange struct {
	Configuration *Configuration
	Wave          *Wave
}

// WorkerChange is one decoded worker record.
type WorkerChange struct {
	ID string
	// Removed reports that the entry was removed.
	Removed bool
	Worker  shard.Worker
	VM      string
}

// Codec decodes the records that other programs write to the store, and encodes
// the records that they read.
type Codec interface {
	Operator(r shard.Record) (OperatorChange, error)
	Worker(r shard.Record) (WorkerChange, error)
	WaveStatus(wave int, completed bool) (shard.Record, error)
}
