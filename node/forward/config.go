package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// Fleet gives the latest immutable view of the control state.
type Fleet interface {
	// View returns the latest view; nil while there is none.
	View() *structs.View
}

// TailReader is a Fleet that also knows how fresh its view is.
type TailReader interface {
	// TailReadAt returns when the last read of the log that reached its tail
	// was sent. The view contains everything that this read returned.
	TailReadAt() time.Time
}

// Peers carries messages between entry nodes.
type Peers interface {
	Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error)
	Cast(node string, method uint16, body []byte)
	Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error))
	// Alive returns the members that are heard at present.
	Alive() []structs.EntryMember
}

// Config is what a Server is made from.
type Config struct {
	// Node is the name of this entry node.
	Node string
	// Zone is its availability zone.
	Zone string
	// Region is its region.
	Region string
	// Incarnation differs between two runs of the node; it only grows.
	Incarnation uint64
	// PeerKey is shared by all entry nodes.
	PeerKey []byte
	// OtherPeerKey is accepted too, while the key is being replaced. Optional.
	OtherPeerKey []byte
	// Limits bounds what callers, peers and workers may use.
	Limits Limits
	Fleet  Fleet
	Peers  Peers
	// Events takes numbered events. Default: none are kept.
	Events events.Recorder
	// Transport sends requests to workers and peers. Default: own connections.
	Transport http.RoundTripper
	// Dial opens connections of the default transport. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock returns the time. Default: time.Now.
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
	return c
}
