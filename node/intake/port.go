package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Port is one listening port with its bound of connections. Its methods are safe for
// concurrent use.
type Port struct {
	gate         *Gate
	name         string
	limit        int
	receiveBytes int

	mu   sync.Mutex
	open int
	// incomplete are the connections that wait for their client, since when they do so:
	// for a header, a body, or for an answer to be taken. idle are those between two
	// requests, closing those that only wait to be closed.
	incomplete, idle, closing list.List
}

// NewPort returns a port with a bound of open connections and the size of their receive
// buffers. name is its label in metrics.
func (g *Gate) NewPort(name string, connections, receiveBytes int) *Port {
	p := &Port{gate: g, name: name, limit: connections, receiveBytes: receiveBytes}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ports = append(g.ports, p)
	return p
}

// Gate returns the gate of the port.
func (p *Port) Gate() *Gate { return p.gate }

// Listen listens on a TCP address.
func (p *Port) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Accepted connections inherit the buffer size. Without it the bound of unread
		// bytes is the system's.
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.receiveBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &listener{l, p}, nil
}

// Server returns a server whose connections come from Listen.
func (p *Port) Server(h http.Handler) *http.Server {
	limits := p.gate.limits
	return &http.Server{
		Handler: p.handler(h), ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ConnState: changeState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

type connKey struct{}

// handler wraps h: it bounds the time for bodies that h does not read, and follows which
// bodies are incomplete.
func (p *Port) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		p.expectBody(w, r)
		if !carriesBody(r.Method) {
			// Nothing waits for the body, so that the request is worked on at once.
			enterPhase(r, phaseBusy)
			defer enterPhase(r, phaseIncomplete)
		}
		h.ServeHTTP(w, r)
	})
}

// carriesBody reports whether handlers usually wait for the body of a method's requests. Those
// that do so for others call Gate.Read.
func carriesBody(method string) bool {
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodDelete
}

// enterPhase changes the phase of a request's connection.
func enterPhase(r *http.Request, to phase) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.enter(to)
	}
}

func (p *Port) expectBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > p.gate.limits.DrainBytes {
		// Gate.Read takes this back once the body is complete.
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(p.gate.limits.BodyTimeout))
	enterPhase(r, phaseIncomplete)
}

// completeBody notes that the body of a request has arrived.
func completeBody(r *http.Request) { enterPhase(r, phaseBusy) }

type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection. It closes another one if the port has its full
// number, or the next one if none has to give way.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.port.admit(c); tracked != nil {
			return tracked, nil
		}
		_ = c.Close()
	}
}

// admit counts a new connection, or returns nil if there is no room for it.
func (p *Port) admit(c net.Conn) *conn {
	p.mu.Lock()
	if p.open >= p.limit {
		victim := p.victim(time.Now())
		if victim == nil {
			p.mu.Unlock()
			p.gate.count(ReasonConnections, p.name)
			return nil
		}
		p.remove(victim)
		p.mu.Unlock()
		_ = victim.Conn.Close()
		p.gate.count(ReasonMadeRoom, p.name)
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	p.open++
	tracked := &conn{Conn: c, port: p}
	tracked.move(phaseHeader)
	return tracked
}

// victim returns the connection that gives way to a new one: one that waits to be closed;
// the one that has been incomplete for the longest time, if longer than patience; the one
// that has been idle for the longest time; or any incomplete one. The caller holds the
// lock.
func (p *Port) victim(now time.Time) *conn {
	front := func(l *list.List) *conn {
		if e := l.Front(); e != nil {
			return e.Value.(*conn)
		}
		return nil
	}
	if c := front(&p.closing); c != nil {
		return c
	}
	oldest := front(&p.incomplete)
	if oldest != nil && now.Sub(oldest.since) >= patience {
		return oldest
	}
	if c := front(&p.idle); c != nil {
		return c
	}
	return oldest
}

// remove forgets a connection. The caller holds the lock.
func (p *Port) remove(c *conn) {
	if c.phase != phaseClosed {
		c.move(phaseClosed)
		p.open--
	}
}
