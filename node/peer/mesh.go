package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// Handler answers one incoming message. For a cast the answer is dropped.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Mesh is one node's connections to its peers. Its methods are safe for
// concurrent use.
type Mesh struct {
	cfg      Config
	keys     keyring
	client   *http.Client
	traffic  *counters
	handlers chan struct{}
	pending  chan struct{}
	changed  chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	peers   map[string]*remote
	methods map[uint16]Handler
	stopped bool
	links   sync.WaitGroup
}

// remote is what the mesh knows of one other node.
type remote struct {
	node        string
	zone        string
	address     string
	incarnation uint64
	seed        bool
	member      bool
	wanted      bool
	leaving     bool
	link        *link
	heard       time.Time
	dialing     chan struct{}
	dialError   error
	failures    int
	failedAt    time.Time
	nextDial    time.Time
}

// New returns a mesh that has no connections yet.
func New(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	m := &Mesh{
		cfg:      cfg,
		keys:     newKeyring(cfg.Key, cfg.OtherKey),
		traffic:  newCounters(),
		handlers: make(chan struct{}, cfg.Limits.MaxHandlers),
		pending:  make(chan struct{}, cfg.Limits.MaxHandshakes),
		changed:  make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation)),
		peers:    make(map[string]*remote),
		methods:  make(map[uint16]Handler),
	}
	m.client = newClient(cfg)
	for _, seed := range cfg.Seeds {
		m.addSeed(seed)
	}
	return m
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

func (m *Mesh) addSeed(seed Address) {
	if seed.Node == m.cfg.Node {
		return
	}
	m.peers[seed.Node] = &remote{node: seed.Node, zone: seed.Zone, address: seed.Address, seed: true}
}

// Handle sets the handler of a method; it is called before Run.
func (m *Mesh) Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.methods[method] = h
}

// SetMembers replaces the members learned from the control state. Nodes that
// are neither members nor seeds nor connected are forgotten.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.peers {
		r.member = false
	}
	for _, member := range members {
		if member.Node != m.cfg.Node {
			m.setMember(member)
		}
	}
	for name, r := range m.peers {
		if !r.member && !r.seed && r.link == nil && r.dialing == nil {
			delete(m.peers, name)
		}
	}
	m.wake()
}

func (m *Mesh) setMember(member Member) {
	r, ok := m.peers[member.Node]
	if !ok {
		r = &remote{node: member.Node}
		m.peers[member.Node] = r
	}
	r.member = true
	r.zone = member.Zone
	if member.Incarnation < r.incarnation {
		return
	}
	if r.address != member.PeerAddress {
		r.address = member.PeerAddress
		r.nextDial = time.Time{}
	}
}

// Alive returns the other nodes heard within the silence bound, by name.
// Nodes that said they are leaving are left out.
func (m *Mesh) Alive() []structs.EntryMember {
	var alive []structs.EntryMember
	for _, p := range m.Peers() {
		if p.Alive {
			alive = append(alive, p.EntryMember)
		}
	}
	return alive
}

// PeerStatus is what the mesh knows of one other node.
type PeerStatus struct {
	structs.EntryMember
	Zone string
	// Connected says that a connection is open.
	Connected bool
	// Wanted says that this node keeps a connection to it open; others are
	// closed when they have been idle.
	Wanted bool
	// Alive says that the node was heard within the silence bound and does
	// not leave.
	Alive bool
	// Leaving says that the node announced its stop.
	Leaving bool
	// Heard is when it was last heard; zero means never.
	Heard time.Time
}

// Peers returns all other nodes the mesh knows, sorted by name.
func (m *Mesh) Peers() []PeerStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	list := make([]PeerStatus, 0, len(m.peers))
	for _, r := range m.peers {
		list = append(list, m.status(r, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

func (m *Mesh) status(r *remote, now time.Time) PeerStatus {
	heard := r.lastHeard()
	return PeerStatus{
		EntryMember: structs.EntryMember{Node: r.node, Incarnation: r.incarnation, PeerAddress: r.address},
		Zone:        r.zone,
		Connected:   r.link != nil,
		Wanted:      r.wanted,
		Alive:       !heard.IsZero() && !r.leaving && now.Sub(heard) < m.cfg.Limits.SilenceBound,
		Leaving:     r.leaving,
		Heard:       heard,
	}
}

func (r *remote) lastHeard() time.Time {
	if r.link != nil {
		return r.link.lastHeard()
	}
	return r.heard
}

// Traffic returns what was moved since the start, by method.
func (m *Mesh) Traffic() Traffic {
	t := m.traffic.snapshot()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.peers {
		if r.link != nil {
			t.Links++
		}
	}
	return t
}

// Call sends a message and waits for the answer. An error of
// KindUnreachable says that the message was not sent, one of KindLost that it
// may have arrived.
func (m *Mesh) Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error) {
	l, err := m.linkTo(ctx, node)
	if err != nil {
		return nil, unreachable(node, method, err)
	}
	return l.call(ctx, method, body)
}

// Cast sends a message without an answer to a connected peer. The queue is
// bounded and drops the oldest cast; dropped casts are counted.
func (m *Mesh) Cast(node string, method uint16, body []byte) {
	m.mu.Lock()
	r, ok := m.peers[node]
	if !ok || r.link == nil {
		m.mu.Unlock()
		m.traffic.castDropped()
		return
	}
	l := r.link
	m.mu.Unlock()
	dropped, err := l.push(frame{Kind: frameCast, Method: method, Body: body}, true)
	if dropped || err != nil {
		m.traffic.castDropped()
	}
}

// Leave tells all connected peers that this node stops soon.
func (m *Mesh) Leave() {
	for _, l := range m.openLinks() {
		_, _ = l.push(frame{Kind: frameBye}, true)
	}
}

func (m *Mesh) openLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*link
	for _, r := range m.peers {
		if r.link != nil {
			open = append(open, r.link)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].peer.Node < open[j].peer.Node })
	return open
}

// serve runs the handler of an incoming message on its own goroutine.
func (m *Mesh) serve(l *link, f frame) {
	m.mu.Lock()
	h, ok := m.methods[f.Method]
	m.mu.Unlock()
	if !ok {
		m.refuse(l, f, RefusalUnknownMethod)
		return
	}
	select {
	case m.handlers <- struct{}{}:
	default:
		m.refuse(l, f, RefusalBusy)
		return
	}
	ctx, done := l.beginServing(f.ID, m.cfg.Limits.HandlerTimeout)
	go func() {
		defer func() { <-m.handlers }()
		defer done()
		m.answer(ctx, l, f, h)
	}()
}

func (m *Mesh) answer(ctx context.Context, l *link, f frame, h Handler) {
	body, err := h(ctx, l.peer.Node, f.Body)
	if f.Kind == frameCast {
		return
	}
	reply := frame{ID: f.ID, Method: f.Method, Body: body}
	if err != nil {
		reply.Failure = err.Error()
	}
	l.reply(reply)
}

func (m *Mesh) refuse(l *link, f frame, refusal Refusal) {
	m.cfg.Events.Record(events.PeerMessageRefused, events.Fields{Peer: l.peer.Node, Detail: string(refusal)})
	if f.Kind == frameCall {
		l.reply(frame{ID: f.ID, Method: f.Method, Refusal: refusal})
	}
}

func (m *Mesh) leaving(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.peers[l.peer.Node]; ok && r.link == l {
		r.leaving = true
	}
	m.cfg.Events.Record(events.PeerLeaving, events.Fields{Peer: l.peer.Node})
}

func (m *Mesh) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

var errUnknownNode = errors.New("no address of the node is known: add it to the peers in the settings or wait for its zone's membership")
