package control

import (
	"context"
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/node/defaults"
	"wigeonwinch/node/events"
	"wigeonwinch/node/membership"
	"wigeonwinch/node/peer"
)

// DefaultScope is the lease scope of planning. One planner plans for the
// whole fleet, because budgets span zones and regions.
const DefaultScope = "fleet"

// Peers is what the loop asks of the mesh.
type Peers interface {
	Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error)
	Cast(node string, method uint16, body []byte)
	Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error))
	Peers() []peer.PeerStatus
	SetMembers(members []peer.Member)
}

// Drainer is what the loop asks of the request path about leaving workers.
type Drainer interface {
	// Acknowledge says that nothing more is sent to the VM in the given step
	// of its life and that nothing of this node is in progress on it.
	Acknowledge(vm string, sequence uint64) bool
	// Leaving tells that the platform's list shows the VM as leaving.
	Leaving(vm string)
}

// Prober asks a worker whether it works.
type Prober interface {
	// Probe returns nil when the worker at the address answers well.
	Probe(ctx context.Context, address string) error
}

// Config is what a loop is made from.
type Config struct {
	Node   string
	Zone   string
	Region string
	// PeerAddress is the node's own IP address and port for peers.
	PeerAddress string
	// Incarnation differs between two runs of a node; it only grows.
	Incarnation uint64
	// Scope is the lease scope of planning. Default DefaultScope.
	Scope   string
	Log     infra.Log
	VMs     infra.VMList
	Workers infra.Workers
	Peers   Peers
	Forward Drainer
	Probe   Prober
	Events  events.Recorder
	// Wall returns the wall time for maintenance windows. Default time.Now.
	Wall      func() time.Time
	Intervals Intervals
	Members   membership.Limits
	// Planner tunes the planning rounds.
	Planner planner.Options
}

// Intervals are the times the loop works by. Zero fields get defaults.
type Intervals struct {
	// Tick is how often the loop looks at what is due.
	Tick time.Duration
	// ReadWait is how long a read of the log waits at the tail.
	ReadWait time.Duration
	// ReadGrace is how much longer a read may take before it counts as lost.
	ReadGrace time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// Exchange is the time between two exchanges with a peer.
	Exchange time.Duration
	// BehindPatience is how long the log may be behind a peer before records
	// are taken from the peer.
	BehindPatience time.Duration
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration
	// Fence is how long a member may act on what it learned of its epoch.
	Fence time.Duration
	// LeaseTTL is how long a planner's lease lasts.
	LeaseTTL time.Duration
	// Plan is the time between two planning rounds.
	Plan time.Duration
	// List is the least time between two reads of the VM list.
	List time.Duration
	// Usage is the least time between two reads of the workers' usage.
	Usage time.Duration
	// ListBytesPerSecond and UsageBytesPerSecond bound what the planner's reads
	// of the VM list and of the usage cost; large ones are read less often.
	ListBytesPerSecond  int
	UsageBytesPerSecond int
	// Probe is the time between two probes of a VM that is out of service or
	// that the list does not show as live, and the least time between two
	// messages that ask one zone for probes.
	Probe time.Duration
	// Zones is the time between two checks that a zone can be heard.
	Zones time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed call.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Snapshot is the longest time between two snapshots.
	Snapshot time.Duration
}

// The defaults of Intervals.
const (
	DefaultTick           = time.Second
	DefaultReadWait       = 5 * time.Second
	DefaultReadGrace      = 3 * time.Second
	DefaultAppendTimeout  = 5 * time.Second
	DefaultExchange       = 3 * time.Second
	DefaultBehindPatience = 2 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultFence          = 10 * time.Second
	DefaultLeaseTTL       = 30 * time.Second
	DefaultPlan           = 5 * time.Second
	DefaultList           = 5 * time.Second
	DefaultUsage          = 15 * time.Second

	DefaultListBytesPerSecond  = 400
	DefaultUsageBytesPerSecond = 300

	DefaultProbe      = 5 * time.Second
	DefaultZones      = 10 * time.Second
	DefaultMinBackoff = 250 * time.Millisecond
	DefaultMaxBackoff = 4 * time.Second
	DefaultSnapshot   = time.Hour
)

func (i Intervals) withDefaults() Intervals {
	defaults.Set(&i.Tick, DefaultTick)
	defaults.Set(&i.ReadWait, DefaultReadWait)
	defaults.Set(&i.ReadGrace, DefaultReadGrace)
	defaults.Set(&i.AppendTimeout, DefaultAppendTimeout)
	defaults.Set(&i.Exchange, DefaultExchange)
	defaults.Set(&i.BehindPatience, DefaultBehindPatience)
	defaults.Set(&i.CallTimeout, DefaultCallTimeout)
	defaults.Set(&i.Fence, DefaultFence)
	defaults.Set(&i.LeaseTTL, DefaultLeaseTTL)
	defaults.Set(&i.Plan, DefaultPlan)
	defaults.Set(&i.List, DefaultList)
	defaults.Set(&i.Usage, DefaultUsage)
	defaults.Set(&i.Probe, DefaultProbe)
	defaults.Set(&i.ListBytesPerSecond, DefaultListBytesPerSecond)
	defaults.Set(&i.UsageBytesPerSecond, DefaultUsageBytesPerSecond)
	defaults.Set(&i.Zones, DefaultZones)
	defaults.Set(&i.MinBackoff, DefaultMinBackoff)
	defaults.Set(&i.MaxBackoff, DefaultMaxBackoff)
	defaults.Set(&i.Snapshot, DefaultSnapshot)
	return i
}

func (c Config) withDefaults() Config {
	c.Intervals = c.Intervals.withDefaults()
	if c.Scope == "" {
		c.Scope = DefaultScope
	}
	if c.Events == nil {
		c.Events = events.Discard{}
	}
	if c.Wall == nil {
		c.Wall = time.Now
	}
	return c
}

func (c Config) self() structs.EntryMember {
	return structs.EntryMember{Node: c.Node, Incarnation: c.Incarnation, PeerAddress: c.PeerAddress}
}
