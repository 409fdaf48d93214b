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
	"net/http"
	"net/http/httptrace"
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

// NoAnswerError is the error of a call whose answer did not come in time over an open
// connection.
type NoAnswerError struct {
	// Kept reports whether earlier calls had used the connection.
	Kept bool
	Err  error
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	if e.Kept {
		return "no answer over a kept connection: " + e.Err.Error()
	}
	return "no answer over a new connection: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// call is one call in progress.
type call struct {
	address string
	pool    *pool
	// connected reports whether the call has got a connection, kept whether earlier calls
	// had used it.
	connected, kept bool
}

// RoundTrip implements [http.RoundTripper]. An answer that does not come in time, or not
// whole, ends with a [NoAnswerError].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	c := &call{address: req.URL.Host, pool: t.pool(req.URL.Host)}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.connected, c.kept = true, info.Reused }}
	res, err := c.pool.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, t.checkAnswer(c, err)
	}
	res.Body = &body{ReadCloser: res.Body, check: func(err error) error { return t.checkAnswer(c, err) }}
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

// checkAnswer discards the pool of a call that got no answer in time, and returns the call's
// error. Calls in progress go on; their connections are not kept. A call that had to wait for
// a connection, or for one to be opened, tells nothing about the open ones.
func (t *Transport) checkAnswer(c *call, err error) error {
	if !c.connected || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	t.mu.Lock()
	if t.pools[c.address] == c.pool {
		delete(t.pools, c.address)
	}
	t.mu.Unlock()
	c.pool.transport.CloseIdleConnections()
	return &NoAnswerError{Kept: c.kept, Err: err}
}

// body is the body of a response. It checks failed reads.
type body struct {
	io.ReadCloser
	check func(error) error
}

// Read implements [io.Reader].
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.check(err)
	}
	return n, err
}
