package peer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"wigeonwinch/node/events"
)

// crossingWindow is how close two connections of one pair must start to count
// as dialed at the same time. Later ones replace the earlier: their dialer
// has lost the earlier one.
const crossingWindow = 2 * time.Second

// Handler returns the WebSocket endpoint; it is mounted at Path.
func (m *Mesh) Handler() http.Handler { return http.HandlerFunc(m.accept) }

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	select {
	case m.pending <- struct{}{}:
	default:
		http.Error(w, "too many handshakes in progress, try again later", http.StatusServiceUnavailable)
		return
	}
	l, err := m.acceptLink(w, r)
	<-m.pending
	if err != nil {
		m.cfg.Events.Record(events.PeerRejected, events.Fields{Peer: r.RemoteAddr, Err: err})
		return
	}
	m.runLink(l)
}

func (m *Mesh) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	if len(m.keys) == 0 {
		http.Error(w, "this node has no peer key, add one to its settings", http.StatusServiceUnavailable)
		return nil, handshakeFailed("", RefusalKey, errors.New("this node has no peer key"))
	}
	heard := new(atomic.Int64)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			heard.Store(time.Now().UnixNano())
			return true
		},
	})
	if err != nil {
		return nil, handshakeFailed("", RefusalNone, err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Limits.HandshakeTimeout)
	defer cancel()
	h := handshake{own: m.ownHello(), keys: m.keys, admit: m.admit}
	s, err := h.accept(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	s.heard = heard
	return m.register(conn, s, s.peer.Node)
}

// admit decides whether an authenticated peer may connect.
func (m *Mesh) admit(peer hello) Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return RefusalBusy
	}
	r, ok := m.peers[peer.Node]
	if !ok || r.link == nil {
		return RefusalNone
	}
	return m.conflict(r.link, peer, peer.Node, time.Now())
}

// conflict decides between an open connection and a new one of the same pair.
// It returns RefusalNone when the new one replaces the open one.
func (m *Mesh) conflict(open *link, peer hello, dialer string, now time.Time) Refusal {
	switch {
	case peer.Incarnation < open.peer.Incarnation:
		return RefusalIncarnation
	case peer.Incarnation > open.peer.Incarnation:
		return RefusalNone
	case open.dialer == dialer || now.Sub(open.since) > crossingWindow:
		return RefusalNone
	case dialer < open.dialer:
		return RefusalNone
	}
	return RefusalDuplicate
}

// register makes a connection the pair's only one.
func (m *Mesh) register(conn *websocket.Conn, s session, dialer string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.peers[s.peer.Node]
	if !ok {
		r = &remote{node: s.peer.Node}
		m.peers[s.peer.Node] = r
	}
	refusal := RefusalNone
	if r.link != nil {
		refusal = m.conflict(r.link, s.peer, dialer, time.Now())
	}
	if m.stopped {
		refusal = RefusalBusy
	}
	if refusal != RefusalNone {
		_ = conn.CloseNow()
		return nil, handshakeFailed(s.peer.Node, refusal, nil)
	}
	if r.link != nil {
		go r.link.close(errReplaced)
	}
	hooks := linkHooks{serve: m.serve, leaving: m.leaving, traffic: m.traffic, clock: m.cfg.Clock}
	l := newLink(conn, s, dialer, m.cfg.Limits, hooks)
	m.adopt(r, l)
	return l, nil
}

var errReplaced = errors.New("a newer connection to the same peer replaced this one")

func (m *Mesh) adopt(r *remote, l *link) {
	r.link = l
	r.leaving = false
	r.incarnation = l.peer.Incarnation
	r.zone = l.peer.Zone
	if l.peer.Address != "" {
		r.address = l.peer.Address
	}
	m.cfg.Events.Record(events.PeerConnected, events.Fields{Peer: r.node})
}

// runLink runs a registered connection until it ends.
func (m *Mesh) runLink(l *link) {
	err := l.run()
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.peers[l.peer.Node]; ok && r.link == l {
		m.unlink(r, l)
	}
	number := events.PeerDisconnected
	if errors.Is(err, errSilent) {
		number = events.PeerSilent
	}
	m.cfg.Events.Record(number, events.Fields{Peer: l.peer.Node, Err: err})
}

// shortLife is how long a connection must have lasted to count as working.
const shortLife = 5 * time.Second

// unlink forgets a connection that ended. A connection that ended soon counts
// as a failed attempt, so that a peer that closes at once is not dialed again
// and again.
func (m *Mesh) unlink(r *remote, l *link) {
	now := time.Now()
	r.heard = l.lastHeard()
	r.link = nil
	if now.Sub(l.since) > shortLife {
		r.failures = 0
	}
	m.noteFailure(r, now)
	r.dialError = errLinkClosed
	m.wake()
}
