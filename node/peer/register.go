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

// simultaneousDialWindow is the maximum age of a connection at which a second
// one, dialed by the other node, counts as a simultaneous dial. A connection
// that arrives later replaces the open one, because its dialer must have lost
// the open one.
const simultaneousDialWindow = 2 * time.Second

// Handler returns the HTTP handler that accepts peer connections. It must be
// mounted at Path.
func (m *Mesh) Handler() http.Handler { return http.HandlerFunc(m.accept) }

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	select {
	case m.handshakeSlots <- struct{}{}:
	default:
		http.Error(w, "too many handshakes in progress, try again later", http.StatusServiceUnavailable)
		return
	}
	l, err := m.acceptLink(w, r)
	<-m.handshakeSlots
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
	lastPingNanos := new(atomic.Int64)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		OnPingReceived: func(context.Context, []byte) bool {
			lastPingNanos.Store(time.Now().UnixNano())
			return true
		},
	})
	if err != nil {
		return nil, handshakeFailed("", RefusalNone, err)
	}
	conn.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Limits.HandshakeTimeout)
	defer cancel()
	h := handshake{own: m.ownHello(), keys: m.keys, admit: m.admit}
	s, err := h.accept(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(MaxFrameBytes)
	s.lastPingNanos = lastPingNanos
	return m.register(conn, s, s.peer.Node)
}

// admit decides whether an authenticated peer may connect. It returns
// RefusalNone if so.
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
	return m.resolveConflict(r.link, peer, peer.Node, time.Now())
}

// resolveConflict chooses between an open connection to a peer and a new one.
// It returns RefusalNone if the new connection replaces the open one. A newer
// incarnation of the peer replaces an older one. Within one incarnation the new
// connection wins, unless both nodes dialed at the same time: then the
// connection dialed by the node whose name sorts first wins.
func (m *Mesh) resolveConflict(open *link, peer hello, dialer string, now time.Time) Refusal {
	switch {
	case peer.Incarnation < open.peer.Incarnation:
		return RefusalIncarnation
	case peer.Incarnation > open.peer.Incarnation:
		return RefusalNone
	case open.dialer == dialer || now.Sub(open.established) > simultaneousDialWindow:
		return RefusalNone
	case dialer < open.dialer:
		return RefusalNone
	}
	return RefusalDuplicate
}

// register makes a connection the only one to its peer and closes the earlier
// one, if any. It closes and refuses the connection if the earlier one is kept
// or the mesh has stopped.
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
		refusal = m.resolveConflict(r.link, s.peer, dialer, time.Now())
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
	hooks := linkHooks{dispatch: m.dispatch, markLeaving: m.markLeaving, traffic: m.traffic, clock: m.cfg.Clock}
	l := newLink(conn, s, dialer, m.cfg.Limits, hooks)
	m.attachLink(r, l)
	return l, nil
}

var errReplaced = errors.New("replaced by a newer connection to the same peer")

func (m *Mesh) attachLink(r *remote, l *link) {
	r.link = l
	r.leaving = false
	r.incarnation = l.peer.Incarnation
	r.zone = l.peer.Zone
	if l.peer.Address != "" {
		r.address = l.peer.Address
	}
	m.cfg.Events.Record(events.PeerConnected, events.Fields{Peer: r.node})
}

// runLink runs a registered connection until it ends and records the end.
func (m *Mesh) runLink(l *link) {
	err := l.run()
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.peers[l.peer.Node]; ok && r.link == l {
		m.detachLink(r, l)
	}
	number := events.PeerDisconnected
	if errors.Is(err, errSilent) {
		number = events.PeerSilent
	}
	m.cfg.Events.Record(number, events.Fields{Peer: l.peer.Node, Err: err})
}

// minStableDuration is how long a connection must last to reset the count of
// consecutive failures.
const minStableDuration = 5 * time.Second

// detachLink removes an ended connection from its peer and counts the end as a
// failure. Only a connection that lasted longer than minStableDuration resets
// the count first, so that a peer that closes its connections at once is dialed
// with increasing backoff. The caller holds m.mu.
func (m *Mesh) detachLink(r *remote, l *link) {
	now := time.Now()
	r.closedLinkContact = l.lastContact()
	r.link = nil
	if now.Sub(l.established) > minStableDuration {
		r.failures = 0
	}
	m.recordFailure(r, now)
	r.dialError = errLinkClosed
	m.triggerReconcile()
}
