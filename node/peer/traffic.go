package peer

import (
	"sort"
	"sync"
)

// MethodTraffic counts the messages of one method and the bytes of their
// encoding. Messages without a method are counted under method 0.
type MethodTraffic struct {
	Method      uint16
	MessagesIn  uint64
	MessagesOut uint64
	BytesIn     uint64
	BytesOut    uint64
}

// Traffic counts the messages of a mesh since it was created.
type Traffic struct {
	// Methods is sorted by method.
	Methods []MethodTraffic
	// CastsDropped counts casts that were dropped because a queue was full or
	// the peer was not connected.
	CastsDropped uint64
	// Links is the number of open connections.
	Links int
}

type trafficCounters struct {
	mu           sync.Mutex
	methods      map[uint16]*MethodTraffic
	droppedCasts uint64
}

func newTrafficCounters() *trafficCounters {
	return &trafficCounters{methods: make(map[uint16]*MethodTraffic)}
}

func (c *trafficCounters) forMethod(method uint16) *MethodTraffic {
	m, ok := c.methods[method]
	if !ok {
		m = &MethodTraffic{Method: method}
		c.methods[method] = m
	}
	return m
}

func (c *trafficCounters) addReceived(method uint16, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.forMethod(method)
	m.MessagesIn++
	m.BytesIn += uint64(bytes)
}

func (c *trafficCounters) addSent(method uint16, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.forMethod(method)
	m.MessagesOut++
	m.BytesOut += uint64(bytes)
}

func (c *trafficCounters) addDroppedCast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.droppedCasts++
}

func (c *trafficCounters) snapshot() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Traffic{CastsDropped: c.droppedCasts}
	for _, m := range c.methods {
		t.Methods = append(t.Methods, *m)
	}
	sort.Slice(t.Methods, func(i, j int) bool { return t.Methods[i].Method < t.Methods[j].Method })
	return t
}
