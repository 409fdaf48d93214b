package peer

import (
	"sort"
	"sync"
)

// MethodTraffic counts the messages of one method. Method 0 stands for
// messages that belong to no method. Bytes are those of the encoded messages.
type MethodTraffic struct {
	Method      uint16
	MessagesIn  uint64
	MessagesOut uint64
	BytesIn     uint64
	BytesOut    uint64
}

// Traffic is what the mesh has moved since it started.
type Traffic struct {
	// Methods is sorted by method.
	Methods []MethodTraffic
	// CastsDropped counts casts that a full queue dropped.
	CastsDropped uint64
	// Links is the number of open connections.
	Links int
}

type counters struct {
	mu      sync.Mutex
	methods map[uint16]*MethodTraffic
	dropped uint64
}

func newCounters() *counters {
	return &counters{methods: make(map[uint16]*MethodTraffic)}
}

func (c *counters) method(method uint16) *MethodTraffic {
	m, ok := c.methods[method]
	if !ok {
		m = &MethodTraffic{Method: method}
		c.methods[method] = m
	}
	return m
}

func (c *counters) received(method uint16, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.method(method)
	m.MessagesIn++
	m.BytesIn += uint64(bytes)
}

func (c *counters) sent(method uint16, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.method(method)
	m.MessagesOut++
	m.BytesOut += uint64(bytes)
}

func (c *counters) castDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped++
}

func (c *counters) snapshot() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Traffic{CastsDropped: c.dropped}
	for _, m := range c.methods {
		t.Methods = append(t.Methods, *m)
	}
	sort.Slice(t.Methods, func(i, j int) bool { return t.Methods[i].Method < t.Methods[j].Method })
	return t
}
