// Package outbound sends HTTP requests over connections that are kept for further
// requests to the same address.
//
// Open connections may go silent for good, all of them at once and without a reset, while
// new ones work. A call that gets no answer in time is the only sign. The kept connections
// to its address may be as silent as its own, and each of them would cost one more call its
// time-out, so the transport discards them and the next call opens a new one.
package outbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Transport is an [http.RoundTripper] with a connection pool for each address. Its methods
// are safe for concurrent use.
type Transport struct {
	newPool func() *http.Transport
	// idleTimeout is how long a pool is kept without a call.
	idleTimeout time.Duration

	mu    sync.Mutex
	pools map[string]*pool
	// sweptAt is when unused pools were last removed.
	sweptAt time.Time
}

// pool holds the connections to one address.
type pool struct {
	transport *http.Transport
	usedAt    time.Time
}

// New returns a transport whose pools newPool makes, one for each address. The pools close
// their connections after the given time without a call.
func New(idleTimeout time.Duration, newPool func() *http.Transport) *Transport {
	return &Transport{newPool: newPool, idleTimeout: idleTimeout, pools: map[string]*pool{}, sweptAt: time.Now()}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	p := t.pool(address)
	res, err := p.transport.RoundTrip(req)
	if err != nil {
		t.checkAnswer(address, p, err)
		return nil, err
	}
	res.Body = &body{ReadCloser: res.Body, failed: func(err error) { t.checkAnswer(address, p, err) }}
	return res, nil
}

// pool returns the pool of an address.
func (t *Transport) pool(address string) *pool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[address]
	if p == nil {
		t.sweep(now)
		p = &pool{transport: t.newPool()}
		p.transport.IdleConnTimeout = t.idleTimeout
		t.pools[address] = p
	}
	p.usedAt = now
	return p
}

// sweep removes the pools that are not used any more. The caller holds t.mu.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < t.idleTimeout {
		return
	}
	t.sweptAt = now
	for address, p := range t.pools {
		if now.Sub(p.usedAt) > t.idleTimeout {
			delete(t.pools, address)
			p.transport.CloseIdleConnections()
		}
	}
}

// checkAnswer discards the pool of an address after a call that got no answer in time.
// Calls in progress go on; their connections are not kept.
func (t *Transport) checkAnswer(address string, p *pool, err error) {
	if !unanswered(err) {
		return
	}
	t.mu.Lock()
	if t.pools[address] == p {
		delete(t.pools, address)
	}
	t.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// unanswered reports whether the time for an answer has passed. A connection that could not
// be opened in time tells nothing about the open ones.
func unanswered(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// body is the body of a response. It reports a failed read.
type body struct {
	io.ReadCloser
	failed func(error)
}

// Read implements [io.Reader].
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed(err)
	}
	return n, err
}
