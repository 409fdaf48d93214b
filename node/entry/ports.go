package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/forward"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/settings"
)

// Limits of request bodies that the settings do not hold.
const (
	// bodyTimeout bounds the time for a body whose caller allows more.
	bodyTimeout = 10 * time.Minute
	// drainBytes is the longest body that is read after its request was rejected.
	drainBytes = 256 << 10
)

// intakeLimits returns the limits for what callers and other clients can make the node
// hold.
func intakeLimits(s settings.Limits) intake.Limits {
	limits := intake.LimitsFor(int64(s.MemoryMB)<<20, s.Descriptors)
	limits.BodyBytes, limits.HeaderBytes, limits.DrainBytes = s.BodyBytes, s.HeaderBytes, drainBytes
	limits.HeaderTimeout = time.Duration(s.HeaderSeconds) * time.Second
	limits.IdleTimeout = time.Duration(s.IdleSeconds) * time.Second
	limits.BodyTimeout, limits.ProgressTimeout = bodyTimeout, forward.Defaults().ProgressTimeout
	return limits
}

// ports holds the listeners of a node and the servers on them. Once serve has
// been called, servers holds the caller, peer and administration server in this
// order.
type ports struct {
	caller, peer, admin net.Listener
	// The ports bound the connections of the listeners.
	callerPort, peerPort, adminPort *intake.Port
	servers                         []*http.Server
}

// bind opens all three ports. If one cannot be opened, it closes the others.
func (p *ports) bind(s *settings.Settings, gate *intake.Gate) error {
	p.callerPort, p.peerPort, p.adminPort = gate.CallerPort(), gate.PeerPort(), gate.OperatorPort()
	wanted := []struct {
		key      string
		address  string
		port     *intake.Port
		listener *net.Listener
	}{
		{"caller_address", s.CallerAddress, p.callerPort, &p.caller},
		{"peer_address", s.PeerAddress, p.peerPort, &p.peer},
		{"admin_address", s.AdminAddress, p.adminPort, &p.admin},
	}
	for _, w := range wanted {
		listener, err := w.port.Listen(w.address)
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
func (p *ports) serve(failed chan<- error, callers, peers, admin http.Handler) {
	callerServer, peerServer, adminServer := p.callerPort.Server(callers), p.peerPort.Server(peers), p.adminPort.Server(admin)
	adminServer.ReadTimeout = time.Minute
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
