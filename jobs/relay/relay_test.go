package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func zoneFleet(zones, large, small, workers int) ([]Worker, []Node) {
	var list []Worker
	var nodes []Node
	for z := range zones {
		zone := fmt.Sprintf("zone-%d", z)
		for i := range large {
			nodes = append(nodes, Node{Name: fmt.Sprintf("%s-large-%d", zone, i), Zone: zone, Cores: 0.8})
		}
		for i := range small {
			nodes = append(nodes, Node{Name: fmt.Sprintf("%s-small-%d", zone, i), Zone: zone, Cores: 0.192})
		}
	}
	for i := range workers {
		list = append(list, Worker{ID: fmt.Sprintf("worker-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return list, nodes
}

// The owner of a small pool calls its workers itself: a relay would add a hop.
func TestSmallPoolsHaveNoRelays(t *testing.T) {
	workers, nodes := zoneFleet(4, 1, 5, MinWorkers-1)
	assert.Empty(t, Assign("jobs/1", workers, nodes))
}

// In a pool at its peak no relay gets more calls than its cores can send.
func TestLoadOfRelaysFitsTheirCores(t *testing.T) {
	for _, size := range []int{85, 268, 540} {
		workers, nodes := zoneFleet(6, 3, 20, size)
		cores, zones := map[string]float64{}, map[string]string{}
		for _, n := range nodes {
			cores[n.Name], zones[n.Name] = n.Cores, n.Zone
		}
		load := map[string]float64{}
		assigned := Assign("jobs/1", workers, nodes)
		for _, w := range workers {
			name := assigned[w.ID]
			require.Equal(t, w.Zone, zones[name], "a relay is in the zone of its workers")
			load[name] += coresPerWorker
		}
		for name, used := range load {
			assert.LessOrEqual(t, used, cores[name], "%d workers, relay %s", size, name)
		}
	}
}

// A node that leaves moves only its own workers, so that the other workers keep
// their connections.
func TestOnlyWorkersOfALostNodeMove(t *testing.T) {
	workers, nodes := zoneFleet(1, 0, 12, 100)
	before := Assign("jobs/1", workers, nodes)
	lost := before[workers[0].ID]
	var remaining []Node
	for _, n := range nodes {
		if n.Name != lost {
			remaining = append(remaining, n)
		}
	}
	moved := 0
	after := Assign("jobs/1", workers, remaining)
	for id, name := range before {
		if name != lost && after[id] != name {
			moved++
		}
	}
	assert.Less(t, moved, len(workers)/4, "at most the workers that a newly chosen node takes")
	assert.NotContains(t, after, "")
	for _, name := range after {
		assert.NotEqual(t, lost, name)
	}
}

// Workers in a zone without entry nodes are called by the owner.
func TestZonesWithoutNodesAreCalledDirectly(t *testing.T) {
	workers, nodes := zoneFleet(2, 1, 4, 100)
	for i := range workers {
		if i%2 == 0 {
			workers[i].Zone = "elsewhere"
		}
	}
	assigned := Assign("jobs/1", workers, nodes)
	assert.Empty(t, assigned["worker-0"])
	assert.NotEmpty(t, assigned["worker-1"])
}
