package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"wigeonwinch/node/events"
)

// reconcileInterval is how often the mesh compares its open connections with
// the wanted ones.
const reconcileInterval = time.Second

func newClient(cfg Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       cfg.Dial,
		DisableKeepAlives: true,
		Proxy:             nil,
	}}
}

// Run keeps connections to the wanted peers open until ctx is done, then closes
// all connections and waits for them to end.
func (m *Mesh) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcileLinks()
		select {
		case <-ticker.C:
		case <-m.reconcileRequested:
		case <-ctx.Done():
			m.stop()
			return nil
		}
	}
}

func (m *Mesh) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	for _, l := range m.openLinks() {
		l.close(errLinkClosed)
	}
	m.linkGroup.Wait()
	m.client.CloseIdleConnections()
}

// reconcileLinks dials wanted peers that are not connected and closes idle
// connections to peers that are not wanted.
func (m *Mesh) reconcileLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	wanted := m.wantedPeers(now)
	for name, r := range m.peers {
		r.wanted = wanted[name]
		if r.wanted && r.link == nil && r.dialing == nil && !now.Before(r.nextDial) {
			m.startDial(r)
		}
	}
	for _, r := range m.peers {
		if r.link != nil && !r.wanted && m.idle(r.link, now) {
			go r.link.close(errLinkClosed)
		}
	}
}

func (m *Mesh) idle(l *link, now time.Time) bool {
	return l.dialer == m.cfg.Node && now.Sub(l.lastUsed()) > m.cfg.Limits.IdleTimeout
}

// failureAvoidance is how long after a failure another node is preferred over
// the failed one, where either node can be used.
const failureAvoidance = 30 * time.Second

func (r *remote) failing(now time.Time) bool {
	return r.link == nil && r.failures > 0 && now.Sub(r.failedAt) < failureAvoidance
}

func (m *Mesh) wantedPeers(now time.Time) map[string]bool {
	nodes := make([]node, 0, len(m.peers))
	for _, r := range m.peers {
		if r.seed || r.member {
			nodes = append(nodes, node{name: r.node, zone: r.zone, member: r.member, failing: r.failing(now)})
		}
	}
	return wantedLinks(node{name: m.cfg.Node, zone: m.cfg.Zone}, nodes)
}

// startDial starts one dial attempt. The caller holds m.mu.
func (m *Mesh) startDial(r *remote) {
	if m.stopped {
		return
	}
	r.dialing = make(chan struct{})
	name, address := r.node, r.address
	m.linkGroup.Go(func() {
		l, err := m.dial(name, address)
		m.finishDial(name, err)
		if err == nil {
			m.runLink(l)
		}
	})
}

func (m *Mesh) finishDial(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.peers[name]
	if !ok {
		return
	}
	close(r.dialing)
	r.dialing = nil
	r.dialError = err
	if err == nil {
		return
	}
	m.recordFailure(r, time.Now())
	if RefusalOf(err) == RefusalDuplicate {
		return
	}
	m.cfg.Events.Record(events.PeerDialFailed, events.Fields{Peer: name, Err: err})
}

// recordFailure records a failed dial attempt or an ended connection and
// schedules the next attempt. The caller holds m.mu.
func (m *Mesh) recordFailure(r *remote, now time.Time) {
	r.failures++
	r.failedAt = now
	r.nextDial = now.Add(m.backoff(r.failures))
}

// backoff returns the delay after the given number of consecutive failures: it
// doubles with each failure up to MaxBackoff, and up to half of it is random.
func (m *Mesh) backoff(failures int) time.Duration {
	delay := m.cfg.Limits.MaxBackoff
	if failures < 16 {
		delay = min(delay, m.cfg.Limits.MinBackoff<<(failures-1))
	}
	return delay/2 + time.Duration(m.random.Int64N(int64(delay/2)+1))
}

// dial opens a connection, runs the handshake and registers the connection.
func (m *Mesh) dial(name, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Limits.HandshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return nil, handshakeFailed(name, RefusalNone, err)
	}
	conn.SetReadLimit(maxHandshakeBytes)
	h := handshake{own: m.ownHello(), keys: m.keys, expectedNode: name}
	session, err := h.dial(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(MaxFrameBytes)
	return m.register(conn, session, m.cfg.Node)
}

// ensureLink returns the connection to a node and dials the node if there is
// none. It waits for a dial attempt in progress and fails at once while the
// backoff of the last attempt lasts.
func (m *Mesh) ensureLink(ctx context.Context, name string) (*link, error) {
	m.mu.Lock()
	r, ok := m.peers[name]
	switch {
	case !ok || r.address == "":
		m.mu.Unlock()
		return nil, errUnknownNode
	case r.link != nil:
		defer m.mu.Unlock()
		return r.link, nil
	case r.dialing == nil && time.Now().Before(r.nextDial):
		defer m.mu.Unlock()
		return nil, errors.WithMessage(r.dialError, "last dial attempt failed")
	case r.dialing == nil:
		m.startDial(r)
	}
	done := r.dialing
	m.mu.Unlock()
	if done == nil {
		return nil, errLinkClosed
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return m.linkAfterDial(name)
}

func (m *Mesh) linkAfterDial(name string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.peers[name]
	if !ok {
		return nil, errUnknownNode
	}
	if r.link == nil {
		return nil, errors.WithMessage(r.dialError, "dial")
	}
	return r.link, nil
}

func (m *Mesh) ownHello() hello {
	return hello{
		MinVersion:  MinVersion,
		MaxVersion:  m.cfg.maxVersion,
		Node:        m.cfg.Node,
		Zone:        m.cfg.Zone,
		Incarnation: m.cfg.Incarnation,
		Address:     m.cfg.Address,
		Nonce:       newNonce(),
	}
}
