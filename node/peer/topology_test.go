package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleet returns the nodes of a fleet with the given number of zones and of
// nodes per zone.
func newFleet(zones, perZone int) []node {
	var nodes []node
	for zone := range zones {
		for i := range perZone {
			nodes = append(nodes, node{name: fmt.Sprintf("e-%02d-%d", zone, i), zone: fmt.Sprintf("zone-%02d", zone), member: true})
		}
	}
	return nodes
}

// linkGraph returns the neighbors of each node. A link that either node wants
// connects both.
func linkGraph(nodes []node) map[string]map[string]bool {
	graph := make(map[string]map[string]bool)
	for _, n := range nodes {
		graph[n.name] = make(map[string]bool)
	}
	for _, n := range nodes {
		var others []node
		for _, other := range nodes {
			if other.name != n.name {
				others = append(others, other)
			}
		}
		for name := range wantedLinks(n, others) {
			graph[n.name][name] = true
			graph[name][n.name] = true
		}
	}
	return graph
}

// countReachable returns the number of nodes that can be reached from a node,
// including itself, without passing through lost nodes.
func countReachable(graph map[string]map[string]bool, from string, lost map[string]bool) int {
	seen := map[string]bool{from: true}
	queue := []string{from}
	for len(queue) > 0 {
		for name := range graph[queue[0]] {
			if !seen[name] && !lost[name] {
				seen[name] = true
				queue = append(queue, name)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

func TestZoneLossDoesNotPartitionOtherZones(t *testing.T) {
	for _, perZone := range []int{1, 2, 3} {
		for zones := 2; zones <= 10; zones++ {
			nodes := newFleet(zones, perZone)
			graph := linkGraph(nodes)
			for zone := range zones {
				lost := make(map[string]bool)
				for _, n := range nodes {
					lost[n.name] = n.zone == fmt.Sprintf("zone-%02d", zone)
				}
				from := nodes[((zone+1)%zones)*perZone].name
				require.Equal(t, (zones-1)*perZone, countReachable(graph, from, lost), "%d zones of %d", zones, perZone)
			}
		}
	}
}

func TestConnectionCountIsBounded(t *testing.T) {
	nodes := newFleet(10, 3)
	total, most := 0, 0
	for _, peers := range linkGraph(nodes) {
		total += len(peers)
		most = max(most, len(peers))
	}
	require.LessOrEqual(t, most, 8)
	require.LessOrEqual(t, total/2, 70, "a full mesh would have 435 connections")
}

func TestFailingZoneIsReplacedByNextZone(t *testing.T) {
	nodes := newFleet(5, 1)
	for i := range nodes {
		nodes[i].failing = i == 1 || i == 2
	}
	wanted := wantedLinks(nodes[0], nodes[1:])
	require.Equal(t, map[string]bool{"e-03-0": true, "e-04-0": true}, wanted)
}

func TestSeedsAreUsedUntilMembersAreKnown(t *testing.T) {
	self := node{name: "a", zone: "north"}
	seed := node{name: "old", zone: "south"}
	require.Equal(t, map[string]bool{"old": true}, wantedLinks(self, []node{seed}))
	member := node{name: "new", zone: "south", member: true}
	require.Equal(t, map[string]bool{"new": true}, wantedLinks(self, []node{seed, member}))
}
