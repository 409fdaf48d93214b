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

// DefaultScope is the scope of the planner's lease. One planner plans for the
// whole fleet, because budgets span zones and regions.
const DefaultScope = "fleet"

// Peers is the part of the peer mesh that the loop uses.
type Peers interface {
	Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error)
	Cast(node string, method uint16, body []byte)
	Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error))
	Peers() []peer.PeerStatus
	SetMembers(members []peer.Member)
}

// Drainer is the part of the request path that the loop uses to drain workers.
type Drainer interface {
	// CanAcknowledgeDrain reports whether this node has no request in flight on
	// the VM and sends it no more under the drain identified by the VM's
	// sequence number.
	CanAcknowledgeDrain(vm string, sequence uint64) bool
	// MarkLeaving tells the request path that the platform lists the VM as
	// leaving.
	MarkLeaving(vm string)
}

// Prober checks the health of workers.
type Prober interface {
	// Probe returns nil if the worker at the address is healthy.
	Probe(ctx context.Context, address string) error
}

// Config configures a Loop.
type Config struct {
	Node   string
	Zone   string
	Region string
	// PeerAddress is the IP address and port at which peers reach this node.
	PeerAddress string
	// Incarnation identifies a run of the node; each run has a higher one.
	Incarnation uint64
	// Scope is the scope of the planner's lease. Default DefaultScope.
	Scope   string
	Log     infra.Log
	VMList  infra.VMList
	Workers infra.Workers
	Peers   Peers
	Drainer Drainer
	Prober  Prober
	Events  events.Recorder
	// WallClock returns the wall time, which maintenance windows and leases
	// use. Default time.Now.
	WallClock  func() time.Time
	Intervals  Intervals
	Membership membership.Limits
	// Planner configures the planning rounds.
	Planner planner.Options
}

// Intervals configures the intervals and timeouts of the loop. Zero fields get
// defaults.
type Intervals struct {
	// Tick is the interval at which the loop runs what is due.
	Tick time.Duration
	// ReadWait is how long a read of the log waits for records at the tail.
	ReadWait time.Duration
	// ReadGrace is how much longer than its wait a read may take before it
	// counts as failed.
	ReadGrace time.Duration
	// AppendTimeout bounds one append. It also bounds actions on workers and
	// reads of the VM list and of the usage.
	AppendTimeout time.Duration
	// Exchange is the interval between two exchanges of reports with a peer.
	Exchange time.Duration
	// PullDelay is how long a peer may be ahead of this node before records
	// are pulled from it. It does not apply while the log can't be read.
	PullDelay time.Duration
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration
	// FenceTime is how long a member may rely on its last confirmation that no
	// newer entry epoch is in force.
	FenceTime time.Duration
	// LeaseTTL is the time to live of the planner's lease.
	LeaseTTL time.Duration
	// Plan is the interval between two planning rounds.
	Plan time.Duration
	// List is the minimum interval between two reads of the VM list.
	List time.Duration
	// Usage is the minimum interval between two reads of the workers' usage.
	Usage time.Duration
	// ListBytesPerSecond and UsageBytesPerSecond limit the traffic of the
	// planner's reads of the VM list and of the usage. Larger fleets are read
	// less often.
	ListBytesPerSecond  int
	UsageBytesPerSecond int
	// Probe is the interval between two probes of a VM that is out of service
	// or that the platform does not list as live. It is also the minimum
	// interval between two probe requests to one zone.
	Probe time.Duration
	// ZoneContact is the interval at which the planner checks that it can
	// reach a zone.
	ZoneContact time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed call.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Snapshot is the maximum time between two snapshots. A snapshot still
	// needs a minimum number of new records.
	Snapshot time.Duration
}

// Defaults of Intervals.
const (
	DefaultTick          = time.Second
	DefaultReadWait      = 5 * time.Second
	DefaultReadGrace     = 3 * time.Second
	DefaultAppendTimeout = 5 * time.Second
	DefaultExchange      = 3 * time.Second
	DefaultPullDelay     = 2 * time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultFenceTime     = 10 * time.Second
	DefaultLeaseTTL      = 30 * time.Second
	DefaultPlan          = 5 * time.Second
	DefaultList          = 5 * time.Second
	DefaultUsage         = 15 * time.Second

	DefaultListBytesPerSecond  = 400
	DefaultUsageBytesPerSecond = 300

	DefaultProbe       = 5 * time.Second
	DefaultZoneContact = 10 * time.Second
	DefaultMinBackoff  = 250 * time.Millisecond
	DefaultMaxBackoff  = 4 * time.Second
	DefaultSnapshot    = time.Hour
)

func (i Intervals) withDefaults() Intervals {
	defaults.Set(&i.Tick, DefaultTick)
	defaults.Set(&i.ReadWait, DefaultReadWait)
	defaults.Set(&i.ReadGrace, DefaultReadGrace)
	defaults.Set(&i.AppendTimeout, DefaultAppendTimeout)
	defaults.Set(&i.Exchange, DefaultExchange)
	defaults.Set(&i.PullDelay, DefaultPullDelay)
	defaults.Set(&i.CallTimeout, DefaultCallTimeout)
	defaults.Set(&i.FenceTime, DefaultFenceTime)
	defaults.Set(&i.LeaseTTL, DefaultLeaseTTL)
	defaults.Set(&i.Plan, DefaultPlan)
	defaults.Set(&i.List, DefaultList)
	defaults.Set(&i.Usage, DefaultUsage)
	defaults.Set(&i.Probe, DefaultProbe)
	defaults.Set(&i.ListBytesPerSecond, DefaultListBytesPerSecond)
	defaults.Set(&i.UsageBytesPerSecond, DefaultUsageBytesPerSecond)
	defaults.Set(&i.ZoneContact, DefaultZoneContact)
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
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	return c
}

func (c Config) selfMember() structs.EntryMember {
	return structs.EntryMember{Node: c.Node, Incarnation: c.Incarnation, PeerAddress: c.PeerAddress}
}
