package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"wigeonwinch/node/events"
)

// maintainInterval is how often missing connections are looked for.
const maintainInterval = time.Second

func newClient(cfg Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       cfg.Dial,
		DisableKeepAlives: true,
		Proxy:             nil,
	}}
}

// Run keeps the wanted connections open until ctx ends, then closes all.
func (m *Mesh) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		m.maintain()
		select {
		case <-ticker.C:
		case <-m.changed:
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
	m.links.Wait()
	m.client.CloseIdleConnections()
}

// maintain dials wanted peers and closes idle connections.
func (m *Mesh) maintain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	wanted := m.wanted(now)
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

// failingTime is how long a node is avoided after a failure where another
// serves as well.
const failingTime = 30 * time.Second

func (r *remote) failing(now time.Time) bool {
	return r.link == nil && r.failures > 0 && now.Sub(r.failedAt) < failingTime
}

func (m *Mesh) wanted(now time.Time) map[string]bool {
	nodes := make([]node, 0, len(m.peers))
	for _, r := range m.peers {
		if r.seed || r.member {
			nodes = append(nodes, node{name: r.node, zone: r.zone, member: r.member, failing: r.failing(now)})
		}
	}
	return wantedLinks(node{name: m.cfg.Node, zone: m.cfg.Zone}, nodes)
}

// startDial starts one attempt; m.mu is held.
func (m *Mesh) startDial(r *remote) {
	if m.stopped {
		return
	}
	r.dialing = make(chan struct{})
	name, address := r.node, r.address
	m.links.Go(func() {
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
	m.noteFailure(r, time.Now())
	if RefusalOf(err) == RefusalDuplicate {
		return
	}
	m.cfg.Events.Record(events.PeerDialFailed, events.Fields{Peer: name, Err: err})
}

// noteFailure notes a failed attempt or an ended connection.
func (m *Mesh) noteFailure(r *remote, now time.Time) {
	r.failures++
	r.failedAt = now
	r.nextDial = now.Add(m.backoff(r.failures))
}

// backoff returns the pause after the given number of failures in a row.
func (m *Mesh) backoff(failures int) time.Duration {
	pause := m.cfg.Limits.MaxBackoff
	if failures < 16 {
		pause = min(pause, m.cfg.Limits.MinBackoff<<(failures-1))
	}
	return pause/2 + time.Duration(m.random.Int64N(int64(pause/2)+1))
}

// dial opens and registers one connection.
func (m *Mesh) dial(name, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Limits.HandshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return nil, handshakeFailed(name, RefusalNone, err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	h := handshake{own: m.ownHello(), keys: m.keys, expect: name}
	s, err := h.dial(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return m.register(conn, s, m.cfg.Node)
}

// linkTo returns the connection to a node and dials it when there is none.
func (m *Mesh) linkTo(ctx context.Context, name string) (*link, error) {
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
		return nil, errors.WithMessage(r.dialError, "last attempt")
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
	return m.dialed(name)
}

func (m *Mesh) dialed(name string) (*link, error) {
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
