package soak

import (
	"sync"
	"time"
)

// everything is the subject of faults that concern all nodes.
const everything = "all nodes"

// Calm knows which faults are in force, and since when there are none.
type Calm struct {
	mu       sync.Mutex
	subjects map[string]*disturbance
}

type disturbance struct {
	active int
	// last is when the last fault ended.
	last time.Time
}

// NewCalm returns a Calm without faults.
func NewCalm() *Calm { return &Calm{subjects: map[string]*disturbance{}} }

// Begin notes the begin of a fault of the given subjects: names of nodes or of
// workers, or everything. The caller calls end once.
func (c *Calm) Begin(subjects ...string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range subjects {
		d := c.subjects[name]
		if d == nil {
			d = &disturbance{}
			c.subjects[name] = d
		}
		d.active++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, name := range subjects {
			c.subjects[name].active--
			c.subjects[name].last = time.Now()
		}
	}
}

// For reports whether the given subjects, and everything, have been without a fault
// for the given time.
func (c *Calm) For(d time.Duration, subjects ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range append(subjects, everything) {
		if s := c.subjects[name]; s != nil && !s.calmFor(d) {
			return false
		}
	}
	return true
}

// AllFor reports whether there has been no fault at all for the given time.
func (c *Calm) AllFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subjects {
		if !s.calmFor(d) {
			return false
		}
	}
	return true
}

// Active returns the subjects with a fault in force.
func (c *Calm) Active() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, s := range c.subjects {
		if s.active > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (d *disturbance) calmFor(span time.Duration) bool {
	return d.active == 0 && time.Since(d.last) >= span
}
