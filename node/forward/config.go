package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
)

// Fleet provides the latest immutable view of the control state.
type Fleet interface {
	// View returns the latest view, or nil if there is none yet.
	View() *structs.View
}

// TailReader is a Fleet that also reports how recent its view is.
type TailReader interface {
	// TailReadSentAt returns the time at which the latest read that reached the
	// tail of the log was sent. The view contains everything that this read
	// returned.
	TailReadSentAt() time.Time
}

// Peers carries messages between entry nodes.
type Peers interface {
	Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error)
	Cast(node string, method uint16, body []byte)
	Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error))
	// Alive returns the other entry nodes whose last contact is recent and that
	// have not announced that they stop.
	Alive() []structs.EntryMember
}

// Config holds the settings for [New].
type Config struct {
	// Node is the name of this entry node.
	Node string
	// Zone is the availability zone of this entry node.
	Zone string
	// Region is the region of this entry node.
	Region string
	// Incarnation identifies one run of the node; each run has a higher one.
	Incarnation uint64
	// PeerKey is the key shared by all entry nodes.
	PeerKey []byte
	// SecondaryPeerKey is a second key that is accepted while the peer key is
	// being replaced. Optional.
	SecondaryPeerKey []byte
	// Limits bounds the resources that callers, peers and workers may use.
	Limits Limits
	// Gate reads the bodies. Default: one with a budget of Limits.BodyBytesTotal.
	Gate  *intake.Gate
	Fleet Fleet
	Peers Peers
	// Events records numbered events. Default: events are discarded.
	Events events.Recorder
	// Transport sends requests to workers and peers. Default: transports that
	// the server creates itself.
	Transport http.RoundTripper
	// Dial opens the connections of the default transports. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock returns the current time. Default: time.Now.
	Clock func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Events == nil {
		c.Events = events.Discard{}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	c.Limits = c.Limits.withDefaults()
	if c.Gate == nil {
		c.Gate = c.Limits.bodyGate(c)
	}
	return c
}
