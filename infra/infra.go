// Package infra defines the interfaces to the platform that the system runs
// on: the append-only log, the list of VMs and the control of workers. The
// subpackage client implements them over HTTP. The subpackage standin
// implements them in memory for tests and the demo. The subpackage outbound has
// the connections of HTTP clients.
//
//	batch, err := log.Read(ctx, from, 100, time.Second)
//	if infra.KindOf(err) == infra.KindTrimmed { ... }
package infra

import (
	"context"
	"time"

	"wigeonwinch/fleet/structs"
)

// Entry is one appended entry of the log.
type Entry struct {
	Offset structs.Offset
	Data   []byte
}

// Batch is the result of one read of the log.
type Batch struct {
	// First is the oldest offset that the log retains.
	First structs.Offset
	// Next is the offset that the next append will get.
	Next structs.Offset
	// Entries holds the entries from the requested offset on. It is empty at
	// the tail.
	Entries []Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends entries at consecutive offsets and returns the first
	// offset. After an error of KindUnknown the entries may have been appended.
	Append(ctx context.Context, entries [][]byte) (structs.Offset, error)
	// Read returns up to max entries from the given offset on. At the tail it
	// blocks up to wait for the next entry. It fails with KindTrimmed when
	// from is older than the oldest retained offset.
	Read(ctx context.Context, from structs.Offset, max int, wait time.Duration) (Batch, error)
}

// VMKind distinguishes workers from entry VMs.
type VMKind string

// VM kinds.
const (
	VMKindWorker VMKind = "worker"
	VMKindEntry  VMKind = "entry"
)

// Presence is the state of a VM in the VM list, which lags behind the actual
// state.
type Presence string

// Presence values. PresenceTerminated is final.
const (
	PresenceLive       Presence = "live"
	PresenceLeaving    Presence = "leaving"
	PresenceTerminated Presence = "terminated"
)

// ListedVM is one item of the VM list.
type ListedVM struct {
	ID       string   `json:"id"`
	Kind     VMKind   `json:"kind"`
	Zone     string   `json:"zone"`
	Address  string   `json:"address"`
	Presence Presence `json:"presence"`
	// Boot counts how often the VM was started.
	Boot uint64 `json:"boot"`
	// Image is the image that the VM booted last.
	Image string `json:"image"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// ActionKind is the kind of operation on a worker or a task.
type ActionKind string

// Action kinds.
const (
	ActionDrain      ActionKind = "drain"
	ActionReboot     ActionKind = "reboot"
	ActionCheckpoint ActionKind = "checkpoint"
	ActionThrottle   ActionKind = "throttle"
	ActionStop       ActionKind = "stop"
)

// Action is one operation on a worker. Actions are idempotent by VM and
// Sequence. The platform refuses an action with KindFenced when Epoch is older
// than an epoch it has already seen.
type Action struct {
	Kind     ActionKind    `json:"kind"`
	VM       string        `json:"vm"`
	Sequence uint64        `json:"sequence"`
	Scope    string        `json:"scope"`
	Epoch    structs.Epoch `json:"epoch"`
	// Image is the image to boot, for a reboot.
	Image string `json:"image,omitempty"`
	// Task is the ID of the request to checkpoint, throttle or stop.
	Task string `json:"task,omitempty"`
}

// Usage is a worker's load as reported by the platform, with a delay.
type Usage struct {
	VM string `json:"vm"`
	// Busy is the number of slots in use.
	Busy int `json:"busy"`
	// Waiting is the number of requests queued at the worker.
	Waiting int `json:"waiting"`
	// LagMS is the age of the values, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// Workers is the platform's interface for controlling workers.
type Workers interface {
	Act(ctx context.Context, action Action) error
	Usage(ctx context.Context) ([]Usage, error)
}
