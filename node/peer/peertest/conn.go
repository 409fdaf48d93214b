package peertest

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	changed  *sync.Cond
	data     []byte
	closed   bool
	silent   bool
	deadline time.Time
	timer    *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.changed = sync.NewCond(&s.mu)
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
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	if !s.silent {
		s.data = append(s.data, p...)
		s.changed.Broadcast()
	}
	return len(p), nil
}

func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// close ends the stream. The end of a silent stream is not seen by the other
// side; force ends it for the own side.
func (s *stream) close(force bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !force {
		return
	}
	s.closed = true
	s.changed.Broadcast()
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
	s.changed.Broadcast()
}

func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
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

// Read reads what the other end wrote.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write hands data to the other end, or to nobody on a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	c.network.count(c.local, c.remote, n)
	return n, err
}

// Close closes both directions.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.in.close(true)
		c.out.close(false)
		c.in.setDeadline(time.Time{})
		c.network.remove(c)
	})
	return nil
}

// LocalAddr returns the own host.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr returns the other host.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline sets the read deadline; writes never wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets when reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing; writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
