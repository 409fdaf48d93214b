package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/settings"
)

// headerTimeout limits how long a client of the peer or administration port may
// take to send a request header.
const headerTimeout = 10 * time.Second

// ports holds the listeners of a node and the servers on them. Once serve has
// been called, servers holds the caller, peer and administration server in this
// order.
type ports struct {
	caller, peer, admin net.Listener
	servers             []*http.Server
}

// bind opens all three ports. If one cannot be opened, it closes the others.
func (p *ports) bind(s *settings.Settings) error {
	wanted := []struct {
		key      string
		address  string
		listener *net.Listener
	}{
		{"caller_address", s.CallerAddress, &p.caller},
		{"peer_address", s.PeerAddress, &p.peer},
		{"admin_address", s.AdminAddress, &p.admin},
	}
	for _, w := range wanted {
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			p.close()
			return errors.Wrapf(err, "%s = %s: choose an address of this VM and a port that is free", w.key, w.address)
		}
		*w.listener = listener
	}
	return nil
}

// serve starts one server per port. A server that ends unexpectedly sends an
// error to failed.
func (p *ports) serve(failed chan<- error, limits settings.Limits, callers, peers, admin http.Handler) {
	callerServer := &http.Server{
		Handler:           callers,
		ReadHeaderTimeout: time.Duration(limits.HeaderSeconds) * time.Second,
		IdleTimeout:       time.Duration(limits.IdleSeconds) * time.Second,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	peerServer := &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: limits.HeaderBytes}
	adminServer := &http.Server{Handler: admin, ReadHeaderTimeout: headerTimeout, ReadTimeout: time.Minute, IdleTimeout: time.Minute}
	p.servers = []*http.Server{callerServer, peerServer, adminServer}
	for i, listener := range []net.Listener{p.caller, p.peer, p.admin} {
		server := p.servers[i]
		go func() {
			err := server.Serve(listener)
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "server on %s", listener.Addr())
			}
		}()
	}
}

// shutdownCallers stops accepting connections from callers and waits for the
// requests in progress.
func (p *ports) shutdownCallers(ctx context.Context) error {
	return errors.Wrap(p.servers[0].Shutdown(ctx), "requests are still in progress; raise limits.stop_seconds")
}

// close closes the servers and listeners that are still open.
func (p *ports) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
	for _, listener := range []net.Listener{p.caller, p.peer, p.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
