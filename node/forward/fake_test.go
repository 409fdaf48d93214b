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

// fakeFleet hands out views that a test publishes.
type fakeFleet struct{ view atomic.Pointer[structs.View] }

func (f *fakeFleet) View() *structs.View { return f.view.Load() }

func (f *fakeFleet) TailReadAt() time.Time { return time.Now() }

// fakeNet joins servers without a network.
type fakeNet struct {
	lock  sync.Mutex
	peers map[string]*fakePeers
	// cut says whether two nodes hear each other; nil: always.
	cut func(a, b string) bool
	// stall waits while a node is paused; nil: never.
	stall func(ctx context.Context, node string)
}

type fakePeers struct {
	net      *fakeNet
	member   structs.EntryMember
	dead     atomic.Bool
	lock     sync.Mutex
	handlers map[uint16]func(context.Context, string, []byte) ([]byte, error)
}

var errCut = errors.New("the peer is out of reach")

func newFakeNet() *fakeNet { return &fakeNet{peers: make(map[string]*fakePeers)} }

func (n *fakeNet) join(m structs.EntryMember) *fakePeers {
	n.lock.Lock()
	defer n.lock.Unlock()
	p := &fakePeers{net: n, member: m, handlers: make(map[uint16]func(context.Context, string, []byte) ([]byte, error))}
	n.peers[m.Node] = p
	return p
}

// reach returns a peer that hears from; nil when there is none.
func (n *fakeNet) reach(from, to string) *fakePeers {
	n.lock.Lock()
	a, b := n.peers[from], n.peers[to]
	n.lock.Unlock()
	if a == nil || b == nil || a.dead.Load() || b.dead.Load() {
		return nil
	}
	if n.cut != nil && n.cut(from, to) {
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
	p.net.wait(ctx, p.member.Node)
	to := p.net.reach(p.member.Node, node)
	if to == nil {
		return nil, errCut
	}
	p.net.wait(ctx, node)
	if ctx.Err() != nil {
		return nil, ctx.Err() // as the mesh, which doesn't wait for a paused peer
	}
	to.lock.Lock()
	h := to.handlers[method]
	to.lock.Unlock()
	reply, err := h(ctx, p.member.Node, bytes.Clone(body))
	p.net.wait(ctx, node)
	p.net.wait(ctx, p.member.Node)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if p.net.reach(p.member.Node, node) == nil {
		return nil, errCut
	}
	return reply, err
}

func (p *fakePeers) Cast(node string, method uint16, body []byte) {
	go func() { _, _ = p.Call(context.Background(), node, method, body) }()
}

// wait holds a message up while a node is paused.
func (n *fakeNet) wait(ctx context.Context, node string) {
	if n.stall != nil {
		n.stall(ctx, node)
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
		if to := p.net.reach(p.member.Node, name); to != nil && name != p.member.Node {
			alive = append(alive, to.member)
		}
	}
	return alive
}

// recorded keeps the events of a test.
type recorded struct {
	lock sync.Mutex
	list []events.Number
}

func (r *recorded) Record(n events.Number, _ events.Fields) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.list = append(r.list, n)
}

func (r *recorded) count(n events.Number) int {
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

// viewOf builds a view with one zone per name, one entry node in each, and
// the given workers in pool "fire" behind the route "/fire".
func viewOf(zones []string, vms ...structs.VMStatus) *structs.View {
	v := &structs.View{
		Generation: 1,
		Zones:      make(map[string]structs.Zone),
		Teams:      map[string]structs.Team{"shed": {Name: "shed", Weight: 1}},
		Pools:      map[string]structs.Pool{"fire": {Name: "fire"}},
		Services:   map[string]structs.Service{"review": {Name: "review", Pool: "fire", Routes: []string{"/fire"}, DeadlineMS: 2000}},
		Entry:      make(map[string]structs.EntryEpoch),
		VMs:        vms,
	}
	for _, zone := range zones {
		v.Zones[zone] = structs.Zone{Name: zone, Region: "r"}
		v.Entry[zone] = structs.EntryEpoch{Zone: zone, Epoch: 1, Members: []structs.EntryMember{member(zone)}}
	}
	return v
}

func member(zone string) structs.EntryMember {
	return structs.EntryMember{Node: "entry-" + zone, Incarnation: 1}
}

func worker(id, zone, address string) structs.VMStatus {
	return structs.VMStatus{
		VM:    structs.VM{ID: id, Pool: "fire", Zone: zone, Address: address, Cores: 16, MemoryMB: 1 << 16, Slots: 8, Connections: 64},
		Pool:  "fire",
		State: structs.VMActive,
	}
}

// echo is a backend server that counts its runs.
type echo struct {
	*httptest.Server
	runs atomic.Int64
}

func newEcho(t *testing.T, serve http.HandlerFunc) *echo {
	e := &echo{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		e.runs.Add(1)
		w.Header().Set(HeaderRequestID, h.Header.Get(HeaderRequestID))
		serve(w, h)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *echo) address() string { return e.Listener.Addr().String() }

// startServer returns the running server of one zone.
func startServer(t *testing.T, fleet Fleet, net *fakeNet, zone string, limits Limits) (*Server, *recorded) {
	events := &recorded{}
	m := member(zone)
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

// ask sends one request to a handler and returns what the caller gets.
func ask(h http.Handler, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
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
