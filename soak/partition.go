package soak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// partitionInterval is how soon a partition applies to workers that start in its time.
const partitionInterval = 50 * time.Millisecond

// partitions are the availability zones that are cut off, with the number of faults that
// do so. The workers of unlisted zones do not reach the store either.
type partitions struct {
	mu               sync.Mutex
	cutOff, unlisted map[string]int
}

func newPartitions() partitions {
	return partitions{cutOff: map[string]int{}, unlisted: map[string]int{}}
}

// apart reports whether a partition is between two zones. The caller holds the lock.
func (p *partitions) apart(a, b string) bool { return a != b && p.cutOff[a]+p.cutOff[b] > 0 }

// cutZone cuts the availability zone of the fault's node off. All nodes count as
// disturbed, since each has links to the other side.
func (c *Cluster) cutZone(ctx context.Context, f Fault) {
	zone := zoneOf(f.Node)
	subjects := []string{everything}
	for i, n := range c.nodes {
		if zoneOf(i) == zone {
			subjects = append(subjects, n.name)
		}
	}
	defer c.calm.Begin(subjects...)()
	c.partition(zone, f.Unlisted, 1)
	for deadline := time.Now().Add(f.Duration); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, partitionInterval) {
		c.partition(zone, f.Unlisted, 0)
	}
	c.partition(zone, f.Unlisted, -1)
}

// partition changes the number of faults that cut a zone off, and separates all nodes and
// workers accordingly. Clients and the VM service stay in reach of all nodes.
func (c *Cluster) partition(zone string, unlisted bool, change int) {
	p := &c.partitions
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff[zone] += change
	if unlisted {
		p.unlisted[zone] += change
	}
	zones := map[string]string{}
	for _, w := range c.machines.Workers() {
		zones[w.id] = w.zone
		w.HoldHeartbeats(p.unlisted[w.zone] > 0)
	}
	for i, n := range c.nodes {
		n.proxy.Isolate(p.cutOff[zoneOf(i)] > 0)
		for j, other := range c.nodes {
			n.peers[other].Isolate(p.apart(zoneOf(i), zoneOf(j)))
		}
		n.mu.Lock()
		for id, link := range n.links {
			link.Isolate(p.apart(zoneOf(i), zones[id]))
		}
		n.mu.Unlock()
	}
}

// killSuccessor disturbs the owner of a service for the fault's duration, and restarts
// the first node that gives the orders in its place.
func (c *Cluster) killSuccessor(ctx context.Context, owner *Node, f Fault) {
	first := f
	first.Kind, first.Node = f.First, slices.Index(c.nodes, owner)
	var disturbance sync.WaitGroup
	defer disturbance.Wait()
	disturbance.Go(func() { c.inject(ctx, first) })
	for deadline := time.Now().Add(f.Duration); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, partitionInterval) {
		if next := c.node(c.judge.Owner(f.Service)); next != nil && next != owner {
			c.restart(ctx, next, Fault{Kind: FaultKill})
			return
		}
	}
}
