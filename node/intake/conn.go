package intake

import (
	"container/list"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	// phaseBusy is a connection whose request is worked on, or that is not HTTP any more.
	phaseBusy phase = iota
	// phaseHeader is a connection whose header is incomplete.
	phaseHeader
	// phaseIncomplete is a connection whose client has to send or to take something.
	phaseIncomplete
	// phaseIdle is a connection between two requests.
	phaseIdle
	// phaseClosing is a connection that got its last answer.
	phaseClosing
	phaseClosed
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	port *Port
	// readsHeader reports whether the server reads a header; hijacked that the connection
	// is not HTTP any more.
	readsHeader, hijacked atomic.Bool
	// headerBytes are the bytes of the header that were read, headerHeld those of the
	// budget that it takes up. They belong to the goroutine that reads.
	headerBytes int
	headerHeld  int64

	// The lock of the port guards the following.
	phase   phase
	since   time.Time
	element *list.Element
}

// list returns the list of the connections in a phase, or nil.
func (p *Port) list(ph phase) *list.List {
	switch ph {
	case phaseHeader, phaseIncomplete:
		return &p.incomplete
	case phaseIdle:
		return &p.idle
	case phaseClosing:
		return &p.closing
	}
	return nil
}

// move changes the phase. The caller holds the port's lock.
func (c *conn) move(to phase) {
	if c.element != nil {
		c.port.list(c.phase).Remove(c.element)
		c.element = nil
	}
	c.phase = to
	if l := c.port.list(to); l != nil {
		c.since = time.Now()
		c.element = l.PushBack(c)
	}
	c.readsHeader.Store(to == phaseHeader || to == phaseIdle)
}

// enter changes the phase of a connection that is open, and returns the one before.
func (c *conn) enter(to phase) phase {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	from := c.phase
	if from != phaseClosed && from != phaseClosing {
		c.move(to)
	}
	return from
}

// changeState follows the states that the server reports.
func changeState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(phaseBusy)
	case http.StateIdle:
		c.releaseHeader()
		c.enter(phaseIdle)
	case http.StateClosed:
		c.releaseHeader()
	case http.StateHijacked:
		c.hijacked.Store(true)
		c.releaseHeader()
		c.enter(phaseBusy)
	}
}

// What a header takes up once it is read.
const (
	// freeHeaderBytes is what each header may have without taking up budget.
	freeHeaderBytes = 4 << 10
	// headerFactor is how many times as much memory a header of many short lines takes up.
	headerFactor = 16
	// discardedHeaderBytes is how much is read of a header that was refused.
	discardedHeaderBytes = 2 * headerBytes
)

// headerRefusal answers a request whose header has no room. The server would call it
// malformed.
var headerRefusal = fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: %d\r\n\r\n",
	http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), retryAfterMS/1000)

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.readsHeader.Load() && !c.holdHeader(n) {
		c.port.gate.count(ReasonHeader, c.port.name)
		c.refuseHeader()
		// The server closes the connection without an answer of its own.
		return 0, io.EOF
	}
	return n, err
}

// refuseHeader answers that the request was not begun, and discards what comes soon after, so
// that the answer is not lost in a reset.
func (c *conn) refuseHeader() {
	c.releaseHeader()
	_ = c.Conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c.Conn, headerRefusal); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, discardedHeaderBytes))
	}
}

// holdHeader takes budget for n more bytes of a header.
func (c *conn) holdHeader(n int) bool {
	c.headerBytes += n
	held := int64(max(c.headerBytes-freeHeaderBytes, 0)) * headerFactor
	if held > c.headerHeld {
		if !c.port.gate.reserveHeader(held - c.headerHeld) {
			return false
		}
		c.headerHeld = held
	}
	return true
}

func (c *conn) releaseHeader() {
	c.port.gate.freeHeader(c.headerHeld)
	c.headerBytes, c.headerHeld = 0, 0
}

// Write implements net.Conn. A client that does not take its answer loses the connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.hijacked.Load() {
		return c.Conn.Write(b)
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.port.gate.limits.WriteTimeout))
	before := c.enter(phaseIncomplete)
	n, err := c.Conn.Write(b)
	c.enter(before)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.port.gate.count(ReasonUnreadAnswers, c.port.name)
	}
	return n, err
}

// CloseWrite ends the answers; the server closes the connection after a pause.
func (c *conn) CloseWrite() error {
	c.enter(phaseClosing)
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.port.mu.Lock()
	c.port.remove(c)
	c.port.mu.Unlock()
	return c.Conn.Close()
}
