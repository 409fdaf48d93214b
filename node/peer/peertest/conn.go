package peertest

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// stream is one direction of a connection. Writes to a discarding stream
// succeed, but the data is dropped.
type stream struct {
	mu         sync.Mutex
	cond       *sync.Cond
	data       []byte
	closed     bool
	discarding bool
	deadline   time.Time
	timer      *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.data) > 0:
			n := copy(p, s.data)
			s.data = s.data[n:]
			return n, nil
		case s.closed:
			return 0, io.EOF
		}
		s.cond.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	if !s.discarding {
		s.data = append(s.data, p...)
		s.cond.Broadcast()
	}
	return len(p), nil
}

func (s *stream) discardWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
}

// close ends the stream. A discarding stream is closed only with force, since
// its reader must not see that the writer has closed it. The reader itself
// closes its own end with force.
func (s *stream) close(force bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discarding && !force {
		return
	}
	s.closed = true
	s.cond.Broadcast()
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		s.timer = time.AfterFunc(wait, s.wake)
	}
	s.cond.Broadcast()
}

func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	network *Network
	local   string
	remote  string
	in      *stream
	out     *stream
	once    sync.Once
}

// Read reads data that the other end wrote.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write passes data to the other end. On a silenced connection the data is
// dropped.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	c.network.countWrite(c.local, c.remote, n)
	return n, err
}

// Close closes both directions.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.in.close(true)
		c.out.close(false)
		c.in.setDeadline(time.Time{})
		c.network.removeConn(c)
	})
	return nil
}

// LocalAddr returns the host of this end.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr returns the host of the other end.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline sets the read deadline. Writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
