// Package peertest provides an in-memory network for tests. Hosts can be
// partitioned from each other, connections can be silenced, and the network
// counts the bytes and writes of each host.
//
//	network := peertest.NewNetwork()
//	listener := network.Listen("10.0.0.1:7000")
//	go http.Serve(listener, mesh.Handler())
//	conn, err := network.Dialer("10.0.0.2")(ctx, "tcp", "10.0.0.1:7000")
//	network.Partition("10.0.0.1", "10.0.0.2")
//
// The network uses no sockets and no goroutines of its own, so that it can run
// in a testing/synctest bubble.
package peertest

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects hosts, which are identified by their IP addresses.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	partitioned map[hostPair]bool
	conns       map[*conn]bool
	bytes       map[string]uint64
	writes      map[string]uint64
}

// hostPair is an unordered pair of hosts.
type hostPair struct{ a, b string }

func newHostPair(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		partitioned: make(map[hostPair]bool),
		conns:       make(map[*conn]bool),
		bytes:       make(map[string]uint64),
		writes:      make(map[string]uint64),
	}
}

// Partition partitions two hosts: their open connections drop all data, and
// dialing hangs until its context is done.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[newHostPair(a, b)] = true
	n.discardWrites(a, b)
}

// Heal ends the partition of two hosts. Connections that were open during the
// partition keep dropping all data.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, newHostPair(a, b))
}

// Silence makes the open connections between two hosts drop all data from now
// on. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discardWrites(a, b)
}

func (n *Network) discardWrites(a, b string) {
	for c := range n.conns {
		if newHostPair(c.local, c.remote) == newHostPair(a, b) {
			c.out.discardWrites()
		}
	}
}

// Bytes returns the number of bytes that a host has sent and received.
func (n *Network) Bytes(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// Writes returns the number of writes of a host to its connections. Each write
// is at least one packet.
func (n *Network) Writes(host string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.writes[host]
}

// OpenConnections returns the number of open connections between two hosts.
func (n *Network) OpenConnections(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if newHostPair(c.local, c.remote) == newHostPair(a, b) {
			count++
		}
	}
	return count / 2
}

func (n *Network) countWrite(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += uint64(bytes)
	n.bytes[to] += uint64(bytes)
	n.writes[from]++
}

// Listen returns a listener for an IP address and port.
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

// backlog is the maximum number of connections of a listener that wait to be
// accepted.
const backlog = 64

// Dialer returns the dial function of a host.
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
	partitioned := n.partitioned[newHostPair(from, to)]
	l := n.listeners[address]
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	local, remote := n.connect(from, to)
	select {
	case l.queue <- remote:
		return local, nil
	case <-l.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	default:
		return nil, errors.Errorf("dial %s: backlog full", address)
	}
}

func (n *Network) connect(from, to string) (local, remote *conn) {
	toRemote, toLocal := newStream(), newStream()
	local = &conn{network: n, local: from, remote: to, in: toLocal, out: toRemote}
	remote = &conn{network: n, local: to, remote: from, in: toRemote, out: toLocal}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[local] = true
	n.conns[remote] = true
	return local, remote
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) removeListener(l *listener) {
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

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.removeListener(l)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String returns the IP address and port.
func (a address) String() string { return string(a) }
