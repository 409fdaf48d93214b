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

// Path is the HTTP path of the mesh handler on the peer port.
const Path = "/v1/peer"

// Address identifies a node and where it accepts peer connections.
type Address struct {
	Node string
	Zone string
	// Address is the node's IP address and port for peer connections.
	Address string
}

// Member is an entry node and its availability zone.
type Member struct {
	structs.EntryMember
	Zone string
}

// Config configures a Mesh.
type Config struct {
	Node        string
	Zone        string
	Incarnation uint64
	// Address is this node's IP address and port for peer connections.
	Address string
	// Key is the key shared by all nodes. This node computes its proofs with it.
	Key []byte
	// SecondaryKey is a second key that is accepted while the shared key is
	// being rotated. Optional.
	SecondaryKey []byte
	// Seeds are the peers listed in the settings.
	Seeds  []Address
	Events events.Recorder
	// Clock stamps outgoing messages, so that timelines of several nodes can be
	// merged in causal order. Optional.
	Clock  *timeline.Clock
	Limits Limits
	// Dial opens a network connection. It defaults to net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// maxVersion lets tests emulate an older node. Zero means MaxVersion.
	maxVersion int
}

// Limits holds the timeouts and resource limits of the mesh. Fields that are
// zero get the defaults below.
type Limits struct {
	// PingInterval is the time between pings on a connection.
	PingInterval time.Duration
	// PingTimeout is how long the dialing side waits for the pong.
	PingTimeout time.Duration
	// SilenceTimeout is how long a peer is considered alive after the last
	// message, ping or pong from it.
	SilenceTimeout time.Duration
	// HandshakeTimeout bounds dialing together with the handshake.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the write of one message.
	WriteTimeout time.Duration
	// HandlerTimeout bounds the handler of one incoming call or cast.
	HandlerTimeout time.Duration
	// IdleTimeout is how long a connection that was dialed on demand may stay
	// unused before it is closed.
	IdleTimeout time.Duration
	// MinBackoff is the delay before the next dial attempt after one failure. It
	// doubles with each further failure up to MaxBackoff. Random jitter shortens
	// each delay by up to half.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxCalls is the maximum number of queued calls and replies per connection.
	MaxCalls int
	// MaxCasts is the maximum number of queued casts per connection.
	MaxCasts int
	// MaxHandlers is the maximum number of handlers that run concurrently.
	MaxHandlers int
	// MaxHandshakes is the maximum number of incoming connections that are not
	// authenticated yet.
	MaxHandshakes int
}

// Default values of Limits.
const (
	DefaultPingInterval     = 2 * time.Second
	DefaultPingTimeout      = 2 * time.Second
	DefaultSilenceTimeout   = 7 * time.Second
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
	defaults.Set(&l.SilenceTimeout, DefaultSilenceTimeout)
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
