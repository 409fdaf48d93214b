package forward

import (
	"net"
	"net/http"
	"time"
)

// The bounds of the connections to one worker or peer, for each transport.
const (
	connectionsPerHost     = 16
	idleConnectionsPerHost = 4
	peerConnections        = 256
)

// The probes that find a connection which went silent while work is awaited.
const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// transports are the connections to workers and peers, by what may reuse them.
type transports struct {
	// kept reuses connections; for repeatable work.
	kept http.RoundTripper
	// proved reuses connections only shortly after their last use; for work
	// that is not repeatable.
	proved http.RoundTripper
	// fresh never reuses a connection.
	fresh http.RoundTripper
	// peers reaches other entry nodes.
	peers http.RoundTripper
	// own says that the transports report each connection they got.
	own bool
}

func newTransports(cfg Config) transports {
	if cfg.Transport != nil {
		return transports{kept: cfg.Transport, proved: cfg.Transport, fresh: cfg.Transport, peers: cfg.Transport}
	}
	kept := newTransport(cfg, cfg.Limits.KeepTimeout)
	proved := newTransport(cfg, cfg.Limits.ProvedTimeout)
	fresh := newTransport(cfg, cfg.Limits.ProvedTimeout)
	fresh.DisableKeepAlives = true
	peers := newTransport(cfg, cfg.Limits.ProvedTimeout)
	peers.MaxConnsPerHost = peerConnections
	peers.MaxIdleConnsPerHost = peerConnections
	return transports{kept: kept, proved: proved, fresh: fresh, peers: peers, own: true}
}

func newTransport(cfg Config, idle time.Duration) *http.Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{
			Timeout: cfg.Limits.ConnectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
			},
		}).DialContext
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxConnsPerHost:        connectionsPerHost,
		MaxIdleConnsPerHost:    idleConnectionsPerHost,
		MaxResponseHeaderBytes: int64(cfg.Limits.HeaderBytes),
	}
}

// choose returns the connections that may carry a request to a target.
func (t *transports) choose(r *request, to target) http.RoundTripper {
	switch {
	case to.peer != "":
		return t.peers
	case to.fresh:
		return t.fresh
	case r.Repeatable:
		return t.kept
	}
	return t.proved
}

// neverConnected says whether an error of a request that reported no
// connection proves that there was none.
func (t *transports) neverConnected(err error) bool {
	return t.own || isDialError(err)
}

// close closes the idle connections.
func (t *transports) close() {
	for _, rt := range []http.RoundTripper{t.kept, t.proved, t.fresh, t.peers} {
		if own, ok := rt.(*http.Transport); ok {
			own.CloseIdleConnections()
		}
	}
}
