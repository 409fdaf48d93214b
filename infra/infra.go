// Package infra names what the system asks of the platform it runs on:
// the append-only log, the list of VMs and the control of workers. The
// subpackage client reaches them over HTTP, the subpackage standin takes
// their place in tests and in the demo.
//
//	batch, err := log.Read(ctx, from, 100, time.Second)
//	if platform.KindOf(err) == platform.KindTrimmed { ... }
package infra

import (
	"context"
	"time"

	"wigeonwinch/fleet/structs"
)

// Entry is one record of the log as it was appended.
type Entry struct {
	Offset structs.Offset
	Data   []byte
}

// Batch is the result of one read of the log.
type Batch struct {
	// First is the oldest offset that the log still keeps.
	First structs.Offset
	// Next is the offset the next append will get.
	Next structs.Offset
	// Entries start at the offset that was asked for; empty at the tail.
	Entries []Entry
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds entries at consecutive offsets and returns the first. An
	// error of KindUnknown means that the entries may have been added.
	Append(ctx context.Context, entries [][]byte) (structs.Offset, error)
	// Read returns up to max entries from the given offset on. At the tail it
	// waits up to wait for one. It fails with KindTrimmed when from is older
	// than the oldest kept offset.
	Read(ctx context.Context, from structs.Offset, max int, wait time.Duration) (Batch, error)
}

// VMKind tells workers from entry VMs.
type VMKind string

// The kinds of VM.
const (
	VMKindWorker VMKind = "worker"
	VMKindEntry  VMKind = "entry"
)

// Presence is what the list says of a VM. The list lags behind reality.
type Presence string

// The values of Presence. Terminated is final.
const (
	PresenceLive       Presence = "live"
	PresenceLeaving    Presence = "leaving"
	PresenceTerminated Presence = "terminated"
)

// ListedVM is one line of the VM list.
type ListedVM struct {
	ID       string   `json:"id"`
	Kind     VMKind   `json:"kind"`
	Zone     string   `json:"zone"`
	Address  string   `json:"address"`
	Presence Presence `json:"presence"`
	// Boot counts the VM's starts.
	Boot uint64 `json:"boot"`
	// Image is the image it last started.
	Image string `json:"image"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// ActionKind is something the platform can do to a worker or a task.
type ActionKind string

// The kinds of action.
const (
	ActionDrain      ActionKind = "drain"
	ActionReboot     ActionKind = "reboot"
	ActionCheckpoint ActionKind = "checkpoint"
	ActionThrottle   ActionKind = "throttle"
	ActionStop       ActionKind = "stop"
)

// Action is one act on a worker. Acts are idempotent by VM and Sequence and
// refused with KindFenced when Epoch is older than one seen before.
type Action struct {
	Kind     ActionKind    `json:"kind"`
	VM       string        `json:"vm"`
	Sequence uint64        `json:"sequence"`
	Scope    string        `json:"scope"`
	Epoch    structs.Epoch `json:"epoch"`
	// Image is the image to reboot into.
	Image string `json:"image,omitempty"`
	// Task names the request for checkpoint, throttle and stop.
	Task string `json:"task,omitempty"`
}

// Usage is a worker's load as the platform reported it some time ago.
type Usage struct {
	VM string `json:"vm"`
	// Busy is the number of slots in use.
	Busy int `json:"busy"`
	// Waiting is the number of requests the worker keeps waiting.
	Waiting int `json:"waiting"`
	// LagMS is how old the figures are, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// Workers is the platform's control of workers.
type Workers interface {
	Act(ctx context.Context, action Action) error
	Usage(ctx context.Context) ([]Usage, error)
}
