package peer

import (
	"context"
	"net"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/defaults"
	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

// Path is where the mesh's handler is mounted on the peer port.
const Path = "/v1/peer"

// Address says where a node takes peers' connections.
type Address struct {
	Node string
	Zone string
	// Address is the IP address and port for peers.
	Address string
}

// Member is an entry node and the availability zone it belongs to.
type Member struct {
	structs.EntryMember
	Zone string
}

// Config is what a mesh is made from.
type Config struct {
	Node        string
	Zone        string
	Incarnation uint64
	// Address is the node's own IP address and port for peers.
	Address string
	// Key is shared by all nodes; it is used to prove.
	Key []byte
	// OtherKey is accepted too, while the key is being replaced. Optional.
	OtherKey []byte
	// Seeds are the peers known from the settings.
	Seeds  []Address
	Events events.Recorder
	// Clock stamps messages for the time line. Optional.
	Clock  *timeline.Clock
	Limits Limits
	// Dial opens a connection. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// maxVersion lets tests play an older node.
	maxVersion int
}

// Limits bounds what the mesh uses. Zero fields get defaults.
type Limits struct {
	// PingInterval is the time between two pings on a connection.
	PingInterval time.Duration
	// PingTimeout is how long a ping waits for its answer.
	PingTimeout time.Duration
	// SilenceBound is how long after its last message a peer counts as alive.
	SilenceBound time.Duration
	// HandshakeTimeout bounds dialing and the handshake.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the writing of one message.
	WriteTimeout time.Duration
	// HandlerTimeout bounds one incoming call.
	HandlerTimeout time.Duration
	// IdleTimeout is when a connection dialed for a call is closed.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before dialing again.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxCalls bounds the queued calls and replies of one connection.
	MaxCalls int
	// MaxCasts bounds the queued casts of one connection.
	MaxCasts int
	// MaxHandlers bounds the incoming calls in progress.
	MaxHandlers int
	// MaxHandshakes bounds the unauthenticated connections.
	MaxHandshakes int
}

// The defaults of Limits.
const (
	DefaultPingInterval     = 2 * time.Second
	DefaultPingTimeout      = 2 * time.Second
	DefaultSilenceBound     = 7 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultWriteTimeout     = 5 * time.Second
	DefaultHandlerTimeout   = 60 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMinBackoff       = 250 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
	DefaultMaxCalls         = 1024
	DefaultMaxCasts         = 256
	DefaultMaxHandlers      = 512
	DefaultMaxHandshakes    = 64
)

func (l Limits) withDefaults() Limits {
	defaults.Set(&l.PingInterval, DefaultPingInterval)
	defaults.Set(&l.PingTimeout, DefaultPingTimeout)
	defaults.Set(&l.SilenceBound, DefaultSilenceBound)
	defaults.Set(&l.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&l.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&l.HandlerTimeout, DefaultHandlerTimeout)
	defaults.Set(&l.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&l.MinBackoff, DefaultMinBackoff)
	defaults.Set(&l.MaxBackoff, DefaultMaxBackoff)
	defaults.Set(&l.MaxCalls, DefaultMaxCalls)
	defaults.Set(&l.MaxCasts, DefaultMaxCasts)
	defaults.Set(&l.MaxHandlers, DefaultMaxHandlers)
	defaults.Set(&l.MaxHandshakes, DefaultMaxHandshakes)
	return l
}

func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	if c.Events == nil {
		c.Events = events.Discard{}
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.maxVersion == 0 {
		c.maxVersion = MaxVersion
	}
	return c
}
