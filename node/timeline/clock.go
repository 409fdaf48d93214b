// Package timeline keeps the latest events of a node in a ring buffer. Events
// are stamped by a hybrid logical clock, so that the events of several nodes can
// be merged in causal order.
//
//	clock := timeline.NewClock(time.Now)
//	ring := timeline.NewRing(10_000)
//	ring.Add(timeline.Entry{Stamp: clock.Now(), Node: "entry-1", Name: "node_ready"})
package timeline

import (
	"sync"
	"time"
)

// Stamp is a time of the hybrid logical clock. If one event causes another, its
// stamp is ordered before that of the other, even if the events are on nodes
// whose wall clocks differ.
type Stamp struct {
	// Wall is the wall time in nanoseconds since 1970.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical orders stamps with the same wall time.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// maxClockAhead is how far ahead of the local wall clock a stamp of another node
// may be to advance the clock.
const maxClockAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads the wall time from the given function.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp later than all stamps returned or accepted before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a stamp received from another node. A stamp more
// than a minute ahead of the wall clock is ignored, so that a node with a wrong
// clock does not advance the clocks of all other nodes.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > c.wall().Add(maxClockAhead).UnixNano() {
		return
	}
	if c.last.Before(s) {
		c.last = s
	}
}
