package forward

import (
	"net"
	"net/http"
	"time"
)

// The connection limits per worker or peer, for each transport.
const (
	connectionsPerHost     = 16
	idleConnectionsPerHost = 4
	peerConnections        = 256
)

// The TCP keep-alive probes that detect a dead connection while an answer is
// awaited.
const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// transports holds the transports to workers and peers. They differ in when
// they reuse a connection.
type transports struct {
	// repeatable reuses connections. It is used for repeatable requests.
	repeatable http.RoundTripper
	// singleSend reuses a connection only shortly after its last use. It is
	// used for non-repeatable requests, which are sent only once.
	singleSend http.RoundTripper
	// fresh never reuses a connection.
	fresh http.RoundTripper
	// peers connects to other entry nodes.
	peers http.RoundTripper
	// reportConns is set when the transports report each connection they
	// obtain.
	reportConns bool
}

func newTransports(cfg Config) transports {
	if cfg.Transport != nil {
		return transports{repeatable: cfg.Transport, singleSend: cfg.Transport, fresh: cfg.Transport, peers: cfg.Transport}
	}
	repeatableTransport := newTransport(cfg, cfg.Limits.WorkerIdleTimeout)
	singleSendTransport := newTransport(cfg, cfg.Limits.SingleSendIdleTimeout)
	freshTransport := newTransport(cfg, cfg.Limits.SingleSendIdleTimeout)
	freshTransport.DisableKeepAlives = true
	peerTransport := newTransport(cfg, cfg.Limits.SingleSendIdleTimeout)
	peerTransport.MaxConnsPerHost = peerConnections
	peerTransport.MaxIdleConnsPerHost = peerConnections
	return transports{repeatable: repeatableTransport, singleSend: singleSendTransport, fresh: freshTransport, peers: peerTransport, reportConns: true}
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

// choose returns the transport for sending a request to a target.
func (t *transports) choose(r *request, dest target) http.RoundTripper {
	switch {
	case dest.peer != "":
		return t.peers
	case dest.fresh:
		return t.fresh
	case r.Repeatable:
		return t.repeatable
	}
	return t.singleSend
}

// failedBeforeConnect reports whether an error proves that no connection was
// established. It is valid only for a request whose trace reported no
// connection.
func (t *transports) failedBeforeConnect(err error) bool {
	return t.reportConns || isDialError(err)
}

// close closes the idle connections.
func (t *transports) close() {
	for _, transport := range []http.RoundTripper{t.repeatable, t.singleSend, t.fresh, t.peers} {
		if ownTransport, ok := transport.(*http.Transport); ok {
			ownTransport.CloseIdleConnections()
		}
	}
}
