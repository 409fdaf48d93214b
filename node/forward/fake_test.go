package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// fakeFleet returns the view that a test has stored.
type fakeFleet struct{ view atomic.Pointer[structs.View] }

func (f *fakeFleet) View() *structs.View { return f.view.Load() }

func (f *fakeFleet) TailReadAt() time.Time { return time.Now() }

// fakeNet connects servers without a network.
type fakeNet struct {
	lock  sync.Mutex
	peers map[string]*fakePeers
	// unreachable reports whether two nodes cannot reach each other; nil
	// means never.
	unreachable func(a, b string) bool
	// waitPaused blocks while a node is paused; nil means never.
	waitPaused func(ctx context.Context, node string)
}

type fakePeers struct {
	net      *fakeNet
	member   structs.EntryMember
	dead     atomic.Bool
	lock     sync.Mutex
	handlers map[uint16]func(context.Context, string, []byte) ([]byte, error)
}

var errUnreachable = errors.New("the peer is unreachable")

func newFakeNet() *fakeNet { return &fakeNet{peers: make(map[string]*fakePeers)} }

func (n *fakeNet) join(m structs.EntryMember) *fakePeers {
	n.lock.Lock()
	defer n.lock.Unlock()
	p := &fakePeers{net: n, member: m, handlers: make(map[uint16]func(context.Context, string, []byte) ([]byte, error))}
	n.peers[m.Node] = p
	return p
}

// reachablePeer returns a peer that from can reach, or nil.
func (n *fakeNet) reachablePeer(from, to string) *fakePeers {
	n.lock.Lock()
	a, b := n.peers[from], n.peers[to]
	n.lock.Unlock()
	if a == nil || b == nil || a.dead.Load() || b.dead.Load() {
		return nil
	}
	if n.unreachable != nil && n.unreachable(from, to) {
		return nil
	}
	return b
}

func (p *fakePeers) Handle(method uint16, h func(context.Context, string, []byte) ([]byte, error)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.handlers[method] = h
}

func (p *fakePeers) Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error) {
	p.net.waitWhilePaused(ctx, p.member.Node)
	to := p.net.reachablePeer(p.member.Node, node)
	if to == nil {
		return nil, errUnreachable
	}
	p.net.waitWhilePaused(ctx, node)
	if ctx.Err() != nil {
		return nil, ctx.Err() // like the mesh, which does not wait for a paused peer
	}
	to.lock.Lock()
	h := to.handlers[method]
	to.lock.Unlock()
	if h == nil {
		return nil, errUnreachable // like the mesh, which refuses a message that it has no handler for
	}
	reply, err := h(ctx, p.member.Node, bytes.Clone(body))
	p.net.waitWhilePaused(ctx, node)
	p.net.waitWhilePaused(ctx, p.member.Node)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if p.net.reachablePeer(p.member.Node, node) == nil {
		return nil, errUnreachable
	}
	return reply, err
}

func (p *fakePeers) Cast(node string, method uint16, body []byte) {
	go func() { _, _ = p.Call(context.Background(), node, method, body) }()
}

// waitWhilePaused delays a message while a node is paused.
func (n *fakeNet) waitWhilePaused(ctx context.Context, node string) {
	if n.waitPaused != nil {
		n.waitPaused(ctx, node)
	}
}

func (p *fakePeers) Alive() []structs.EntryMember {
	p.net.lock.Lock()
	names := make([]string, 0, len(p.net.peers))
	for name := range p.net.peers {
		names = append(names, name)
	}
	p.net.lock.Unlock()
	var alive []structs.EntryMember
	for _, name := range names {
		if to := p.net.reachablePeer(p.member.Node, name); to != nil && name != p.member.Node {
			alive = append(alive, to.member)
		}
	}
	return alive
}

// eventRecorder records the events of a test.
type eventRecorder struct {
	lock sync.Mutex
	list []events.Number
}

func (r *eventRecorder) Record(n events.Number, _ events.Fields) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.list = append(r.list, n)
}

func (r *eventRecorder) count(n events.Number) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	total := 0
	for _, m := range r.list {
		if m == n {
			total++
		}
	}
	return total
}

// newView returns a view with the given zones, one entry node in each, and
// the given workers in pool "fire" behind the route "/fire".
func newView(zones []string, vms ...structs.VMStatus) *structs.View {
	v := &structs.View{
		Generation:  1,
		Zones:       make(map[string]structs.Zone),
		Teams:       map[string]structs.Team{"shed": {Name: "shed", Weight: 1}},
		Pools:       map[string]structs.Pool{"fire": {Name: "fire"}},
		Services:    map[string]structs.Service{"review": {Name: "review", Pool: "fire", Routes: []string{"/fire"}, DeadlineMS: 2000}},
		EntryEpochs: make(map[string]structs.EntryEpoch),
		VMs:         vms,
	}
	for _, zone := range zones {
		v.Zones[zone] = structs.Zone{Name: zone, Region: "r"}
		v.EntryEpochs[zone] = structs.EntryEpoch{Zone: zone, Epoch: 1, Members: []structs.EntryMember{entryMember(zone)}}
	}
	return v
}

func entryMember(zone string) structs.EntryMember {
	return structs.EntryMember{Node: "entry-" + zone, Incarnation: 1}
}

func newWorker(id, zone, address string) structs.VMStatus {
	return structs.VMStatus{
		VM:    structs.VM{ID: id, Pool: "fire", Zone: zone, Address: address, Cores: 16, MemoryMB: 1 << 16, Slots: 8, Connections: 64},
		Pool:  "fire",
		State: structs.VMActive,
	}
}

// testBackend is a backend server that counts its runs.
type testBackend struct {
	*httptest.Server
	runs atomic.Int64
}

func newTestBackend(t *testing.T, serve http.HandlerFunc) *testBackend {
	e := &testBackend{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		e.runs.Add(1)
		w.Header().Set(HeaderRequestID, h.Header.Get(HeaderRequestID))
		serve(w, h)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *testBackend) address() string { return e.Listener.Addr().String() }

// startServer starts a server in a zone and stops it when the test ends.
func startServer(t *testing.T, fleet Fleet, net *fakeNet, zone string, limits Limits) (*Server, *eventRecorder) {
	events := &eventRecorder{}
	m := entryMember(zone)
	s := New(Config{
		Node: m.Node, Zone: zone, Region: "r", Incarnation: m.Incarnation, PeerKey: []byte("key"),
		Limits: limits, Fleet: fleet, Peers: net.join(m), Events: events,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		require.NoError(t, s.Stop(context.Background()))
		cancel()
		<-done
	})
	return s, events
}

// sendRequest sends one request to a handler and returns the response that
// the caller gets.
func sendRequest(h http.Handler, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			}
		}()
		h.ServeHTTP(w, r)
	}()
	return w
}
