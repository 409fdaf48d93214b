// Package timeline keeps a bounded ring of events, stamped by a hybrid
// logical clock, and merges the rings of several nodes into causal order.
//
//	clock := timeline.NewClock(time.Now)
//	ring := timeline.NewRing(10_000)
//	ring.Add(timeline.Entry{Stamp: clock.Now(), Node: "entry-1", Name: "node_ready"})
package timeline

import (
	"sync"
	"time"
)

// Stamp is a time of the hybrid logical clock. Stamps of causally ordered
// events are ordered, also between nodes whose wall clocks differ.
type Stamp struct {
	// Wall is the wall part in nanoseconds since 1970.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical orders stamps with the same wall part.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before says whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// maxAhead bounds how far a stamp from another node can push the clock.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over a wall clock.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp later than every stamp returned or observed before.
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

// Observe takes a stamp from another node into account. A stamp more than a
// minute ahead of the wall clock is ignored, so that one node with a wrong
// clock does not carry all others along.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > c.wall().Add(maxAhead).UnixNano() {
		return
	}
	if c.last.Before(s) {
		c.last = s
	}
}
