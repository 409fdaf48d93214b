package soak

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stoppedCluster returns a cluster of three nodes, one in each availability zone, and six
// workers. No process is started.
func stoppedCluster(t *testing.T) *Cluster {
	t.Helper()
	o := Options{Dir: t.TempDir(), Nodes: len(zoneNames)}
	record, err := NewRecord(o.Dir)
	require.NoError(t, err)
	calm := NewCalm()
	c := &Cluster{options: o, record: record, calm: calm, judge: NewJudge(record, calm), store: NewStore(), partitions: newPartitions()}
	c.machines = NewMachines(record, c.launchWorker)
	t.Cleanup(c.Close)
	ports, err := freePorts(4 * o.Nodes)
	require.NoError(t, err)
	for i := range o.Nodes {
		require.NoError(t, c.addNode(i, [4]int(ports[4*i:]), ""))
	}
	require.NoError(t, c.linkNodes())
	for range 2 * len(zoneNames) {
		require.NoError(t, c.machines.Add(queues[0].service))
	}
	return c
}

// cutLinks tells for each link of a node whether it is cut.
func (n *Node) cutLinks() map[string]bool {
	isCut := func(p *Proxy) bool {
		requests, _, _ := p.state(Requests)
		answers, _, _ := p.state(Answers)
		return requests && answers
	}
	links := map[string]bool{"store": isCut(n.proxy)}
	for other, link := range n.peers {
		if other != n {
			links[other.name] = isCut(link)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for worker, link := range n.links {
		links[worker] = isCut(link)
	}
	return links
}

// A partition that leaves a link open, or cuts one inside a zone, is none: nodes then
// learn of one another's orders, or lose workers that they should keep.
func TestPartitionCutsLinksAcrossTheBorder(t *testing.T) {
	c := stoppedCluster(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	over := make(chan struct{})
	go func() {
		c.cutZone(ctx, Fault{Node: 0, Duration: time.Hour})
		close(over)
	}()
	first, second := c.nodes[0], c.nodes[1]
	require.Eventually(t, func() bool { return first.cutLinks()["store"] && second.cutLinks()["i-0004"] }, 5*time.Second, time.Millisecond)
	assert.Equal(t, map[string]bool{
		"store": true, "node-2": true, "node-3": true,
		"i-0001": false, "i-0002": true, "i-0003": true, "i-0004": false, "i-0005": true, "i-0006": true,
	}, first.cutLinks())
	assert.Equal(t, map[string]bool{
		"store": false, "node-1": true, "node-3": false,
		"i-0001": true, "i-0002": false, "i-0003": false, "i-0004": true, "i-0005": false, "i-0006": false,
	}, second.cutLinks())
	assert.False(t, c.calm.For(0, second.name), "links of nodes on the other side are cut, too")
	assert.False(t, c.calm.For(0, "i-0002"))
	require.NoError(t, c.machines.Add(queues[0].service))
	assert.Eventually(t, func() bool { return second.cutLinks()["i-0007"] }, 5*time.Second, time.Millisecond, "a worker that starts in the zone is cut off")
	first.proxy.Restore()
	assert.True(t, first.cutLinks()["store"], "the end of another fault does not end the partition")
	end()
	<-over
	for _, n := range c.nodes {
		assert.NotContains(t, slices.Collect(maps.Values(n.cutLinks())), true, n.name)
	}
	assert.True(t, c.calm.For(0, second.name))
}

// The entry of a worker that does not reach the store expires and comes back.
func TestEntryExpiresWhileHeartbeatsAreHeld(t *testing.T) {
	w := newTestWorker(t)
	listed := func() bool {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		_, found := w.store.partition(topicWorkers, "0").newest[w.id]
		return found
	}
	require.True(t, w.beat())
	require.True(t, listed())
	w.HoldHeartbeats(true)
	for range missedHeartbeats {
		assert.True(t, listed())
		require.True(t, w.beat())
	}
	assert.False(t, listed())
	w.HoldHeartbeats(false)
	require.True(t, w.beat())
	assert.True(t, listed())
}
