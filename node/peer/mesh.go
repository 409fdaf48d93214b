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

// Handler processes one incoming message and returns the reply. The reply to a
// cast is discarded.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Mesh manages the connections of a node to its peers. Its methods are safe
// for concurrent use.
type Mesh struct {
	cfg                Config
	keys               keyring
	client             *http.Client
	traffic            *trafficCounters
	handlerSlots       chan struct{}
	handshakeSlots     chan struct{}
	reconcileRequested chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	peers     map[string]*remote
	methods   map[uint16]Handler
	stopped   bool
	linkGroup sync.WaitGroup
}

// remote is the state that the mesh keeps about another node.
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
	// closedLinkContact is the last contact on the latest closed connection.
	closedLinkContact time.Time
	dialing           chan struct{}
	dialError         error
	failures          int
	failedAt          time.Time
	nextDial          time.Time
}

// New returns a mesh without connections. Run opens them.
func New(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	m := &Mesh{
		cfg:                cfg,
		keys:               newKeyring(cfg.Key, cfg.SecondaryKey),
		traffic:            newTrafficCounters(),
		handlerSlots:       make(chan struct{}, cfg.Limits.MaxHandlers),
		handshakeSlots:     make(chan struct{}, cfg.Limits.MaxHandshakes),
		reconcileRequested: make(chan struct{}, 1),
		random:             rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation)),
		peers:              make(map[string]*remote),
		methods:            make(map[uint16]Handler),
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

// Handle sets the handler of a method. It must be called before Run.
func (m *Mesh) Handle(method uint16, h func(ctx context.Context, from string, body []byte) ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.methods[method] = h
}

// SetMembers replaces the members, which come from the control state. Nodes that
// are neither members nor seeds are removed unless they are connected or being
// dialed.
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
	m.triggerReconcile()
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

// Alive returns the other nodes that are alive, sorted by name. See
// PeerStatus.Alive.
func (m *Mesh) Alive() []structs.EntryMember {
	var alive []structs.EntryMember
	for _, p := range m.Peers() {
		if p.Alive {
			alive = append(alive, p.EntryMember)
		}
	}
	return alive
}

// PeerStatus is the status of another node as seen by the mesh.
type PeerStatus struct {
	structs.EntryMember
	Zone string
	// Connected reports whether a connection is open.
	Connected bool
	// Wanted reports whether this node keeps a connection to the peer open.
	// Connections to other peers are closed when idle.
	Wanted bool
	// Alive reports whether the last contact is more recent than
	// Limits.SilenceTimeout and the node has not announced that it stops.
	Alive bool
	// Leaving reports whether the node announced that it stops.
	Leaving bool
	// LastContact is when the last message, ping or pong of the peer was
	// received. Zero means never.
	LastContact time.Time
}

// Peers returns the status of all other known nodes, sorted by name.
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
	lastContact := r.lastContact()
	return PeerStatus{
		EntryMember: structs.EntryMember{Node: r.node, Incarnation: r.incarnation, PeerAddress: r.address},
		Zone:        r.zone,
		Connected:   r.link != nil,
		Wanted:      r.wanted,
		Alive:       !lastContact.IsZero() && !r.leaving && now.Sub(lastContact) < m.cfg.Limits.SilenceTimeout,
		Leaving:     r.leaving,
		LastContact: lastContact,
	}
}

func (r *remote) lastContact() time.Time {
	if r.link != nil {
		return r.link.lastContact()
	}
	return r.closedLinkContact
}

// Traffic returns the traffic since the mesh was created, by method.
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

// LinkState reports whether there is a connection to a node, and whether the
// node has announced on it that it is about to stop.
func (m *Mesh) LinkState(node string) (connected, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.peers[node]
	if !ok || r.link == nil {
		return false, false
	}
	return true, r.leaving
}

// Call sends a message to a node and waits for the reply. It dials the node if
// necessary. An error of KindUnreachable means that the message was not sent,
// an error of KindLost that it may have been delivered.
func (m *Mesh) Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error) {
	l, err := m.ensureLink(ctx, node)
	if err != nil {
		return nil, unreachable(node, method, err)
	}
	return l.call(ctx, method, body)
}

// Cast sends a message without a reply. It never dials: a cast to a node that
// is not connected is dropped. A full queue drops its oldest cast. Dropped
// casts are counted.
func (m *Mesh) Cast(node string, method uint16, body []byte) {
	m.mu.Lock()
	r, ok := m.peers[node]
	if !ok || r.link == nil {
		m.mu.Unlock()
		m.traffic.addDroppedCast()
		return
	}
	l := r.link
	m.mu.Unlock()
	dropped, err := l.enqueue(frame{Kind: frameCast, Method: method, Body: body}, true)
	if dropped || err != nil {
		m.traffic.addDroppedCast()
	}
}

// Leave announces to all connected peers that this node is about to stop.
func (m *Mesh) Leave() {
	for _, l := range m.openLinks() {
		_, _ = l.enqueue(frame{Kind: frameLeaving}, true)
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

// dispatch runs the handler of an incoming message in a new goroutine. It
// refuses the message if there is no handler or too many handlers are running.
func (m *Mesh) dispatch(l *link, f frame) {
	m.mu.Lock()
	h, ok := m.methods[f.Method]
	m.mu.Unlock()
	if !ok {
		m.refuse(l, f, RefusalUnknownMethod)
		return
	}
	select {
	case m.handlerSlots <- struct{}{}:
	default:
		m.refuse(l, f, RefusalBusy)
		return
	}
	ctx, done := l.startHandler(f.ID, m.cfg.Limits.HandlerTimeout)
	go func() {
		defer func() { <-m.handlerSlots }()
		defer done()
		m.runHandler(ctx, l, f, h)
	}()
}

func (m *Mesh) runHandler(ctx context.Context, l *link, f frame, h Handler) {
	body, err := m.handle(ctx, l, f, h)
	if f.Kind == frameCast {
		return
	}
	reply := frame{ID: f.ID, Method: f.Method, Body: body}
	switch {
	case errors.Is(err, ErrBusy):
		reply.Refusal = RefusalBusy
	case err != nil:
		reply.Failure = err.Error()
	}
	l.reply(reply)
}

// handle calls the handler of a message. A panic in it ends only this message.
func (m *Mesh) handle(ctx context.Context, l *link, f frame, h Handler) (body []byte, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Errorf("the handler of method %d panicked: %v", f.Method, v)
			m.cfg.Events.Record(events.PanicContained, events.Fields{Peer: l.peer.Node, Err: err})
		}
	}()
	return h(ctx, l.peer.Node, f.Body)
}

func (m *Mesh) refuse(l *link, f frame, refusal Refusal) {
	m.cfg.Events.Record(events.PeerMessageRefused, events.Fields{Peer: l.peer.Node, Detail: string(refusal)})
	if f.Kind == frameCall {
		l.reply(frame{ID: f.ID, Method: f.Method, Refusal: refusal})
	}
}

func (m *Mesh) markLeaving(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.peers[l.peer.Node]; ok && r.link == l {
		r.leaving = true
	}
	m.cfg.Events.Record(events.PeerLeaving, events.Fields{Peer: l.peer.Node})
}

func (m *Mesh) triggerReconcile() {
	select {
	case m.reconcileRequested <- struct{}{}:
	default:
	}
}

var errUnknownNode = errors.New("node address is unknown: add the node to the peers in the settings or wait until its zone's membership lists it")
