package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Direction is a direction of a link.
type Direction int

// The directions of a link, as seen by the process that opened the connection.
const (
	Requests Direction = iota
	Answers
)

const (
	proxyBufferBytes = 32 << 10
	proxyDialTimeout = 2 * time.Second
)

// Proxy forwards the TCP connections of one process to one server. Faults apply to
// the connections that pass through it.
type Proxy struct {
	listener net.Listener
	closed   chan struct{}

	mu     sync.Mutex
	target string
	// cut tells for each direction whether bytes are held back.
	cut [2]bool
	// isolated tells whether a partition holds back the bytes of both directions.
	isolated bool
	// restored is closed and replaced whenever a cut ends.
	restored chan struct{}
	delay    time.Duration
	conns    map[*proxyConn]struct{}
}

// NewProxy listens on a loopback port and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &Proxy{target: target, listener: listener, closed: make(chan struct{}), restored: make(chan struct{}), conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

// loopbackAny lets the operating system choose a port of the loopback device.
const loopbackAny = "127.0.0.1:0"

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Retarget lets new connections go to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Cut holds back all bytes of a direction, also on connections that are opened
// later.
func (p *Proxy) Cut(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[d] = true
}

// SetDelay delays all bytes of both directions.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Restore ends all cuts and delays, but not a partition. Held back bytes arrive now.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.delay = [2]bool{}, 0
	p.release()
}

// Isolate begins or ends a partition between the two ends of the link.
func (p *Proxy) Isolate(isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolated && !isolated {
		defer p.release()
	}
	p.isolated = isolated
}

// release lets held back bytes go on where nothing cuts the link any more. The caller
// holds the lock.
func (p *Proxy) release() {
	close(p.restored)
	p.restored = make(chan struct{})
}

// Silence makes the open connections silent for good. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
	}
}

// Close stops listening and closes all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
		close(p.closed)
	}
	for c := range p.conns {
		c.close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyDialTimeout)
	defer cancel()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{proxy: p, client: client, server: server, silenced: make(chan struct{})}
	if !p.register(c) {
		c.close()
		return
	}
	defer p.unregister(c)
	var pipes sync.WaitGroup
	pipes.Go(func() { c.pipe(server, client, Requests) })
	pipes.Go(func() { c.pipe(client, server, Answers) })
	pipes.Wait()
	c.close()
}

func (p *Proxy) register(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return false
	default:
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) unregister(c *proxyConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// state returns whether a direction is cut, the channel that tells of its end, and
// the delay.
func (p *Proxy) state(d Direction) (cut bool, restored <-chan struct{}, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[d] || p.isolated, p.restored, p.delay
}

// proxyConn is a connection of a client and the one that carries it on.
type proxyConn struct {
	proxy          *Proxy
	client, server net.Conn
	silenced       chan struct{}
	silenceOnce    sync.Once
}

func (c *proxyConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// pipe carries the bytes of one direction until its source ends.
func (c *proxyConn) pipe(to, from net.Conn, d Direction) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !c.admit(d) {
			discard(from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// discard reads until the connection ends.
func discard(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// admit waits while the direction is cut, and for the delay. It returns false if
// the connection has gone silent.
func (c *proxyConn) admit(d Direction) bool {
	for {
		cut, restored, delay := c.proxy.state(d)
		if !cut {
			return c.wait(delay)
		}
		select {
		case <-restored:
		case <-c.silenced:
			return false
		case <-c.proxy.closed:
			return false
		}
	}
}

func (c *proxyConn) wait(delay time.Duration) bool {
	if delay > 0 {
		time.Sleep(delay)
	}
	select {
	case <-c.silenced:
		return false
	default:
		return true
	}
}
