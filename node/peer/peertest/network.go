// Package peertest is an in-memory network for tests: connections that can be
// cut or go silent, and counters of the bytes that each host moves.
//
//	network := peertest.NewNetwork()
//	listener := network.Listen("10.0.0.1:7000")
//	go http.Serve(listener, mesh.Handler())
//	conn, err := network.Dialer("10.0.0.2")(ctx, "tcp", "10.0.0.1:7000")
//	network.Cut("10.0.0.1", "10.0.0.2")
//
// It uses no sockets and no goroutines of its own, so that it runs in a
// testing/synctest bubble.
package peertest

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects hosts, each known by its IP address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[pair]bool
	conns     map[*conn]bool
	bytes     map[string]uint64
	writes    map[string]uint64
}

// pair is an unordered pair of hosts.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		cut:       make(map[pair]bool),
		conns:     make(map[*conn]bool),
		bytes:     make(map[string]uint64),
		writes:    make(map[string]uint64),
	}
}

// Cut makes the connections of two hosts silent and new ones hang.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = true
	n.silence(a, b)
}

// Heal ends a cut. Connections that were silent stay so.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pairOf(a, b))
}

// Silence makes the open connections of two hosts silent for good; new ones
// work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(a, b)
}

func (n *Network) silence(a, b string) {
	for c := range n.conns {
		if pairOf(c.local, c.remote) == pairOf(a, b) {
			c.out.silence()
		}
	}
}

// Bytes returns what a host has sent and received so far.
func (n *Network) Bytes(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// Writes returns how often a host has written to a connection so far. Each
// write is at least one packet.
func (n *Network) Writes(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.writes[host]
}

// OpenConnections returns the number of connections between two hosts.
func (n *Network) OpenConnections(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if pairOf(c.local, c.remote) == pairOf(a, b) {
			count++
		}
	}
	return count / 2
}

func (n *Network) count(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += uint64(bytes)
	n.bytes[to] += uint64(bytes)
	n.writes[from]++
}

// Listen opens a listener at an IP address and port.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{
		network: n,
		address: address,
		queue:   make(chan net.Conn, backlog),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l
}

// backlog is how many connections wait to be accepted.
const backlog = 64

// Dialer returns the function with which a host opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	n.mu.Lock()
	isCut := n.cut[pairOf(from, to)]
	l := n.listeners[address]
	n.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	near, far := n.connect(from, to)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	default:
		return nil, errors.Errorf("dial %s: backlog full", address)
	}
}

func (n *Network) connect(from, to string) (near, far *conn) {
	forth, back := newStream(), newStream()
	near = &conn{network: n, local: from, remote: to, in: back, out: forth}
	far = &conn{network: n, local: to, remote: from, in: forth, out: back}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = true
	n.conns[far] = true
	return near, far
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) unlisten(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.unlisten(l)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns "tcp".
func (address) Network() string { return "tcp" }

// String returns the IP address and port.
func (a address) String() string { return string(a) }
