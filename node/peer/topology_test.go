package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetOf returns the nodes of a fleet with the given nodes in each zone.
func fleetOf(zones, perZone int) []node {
	var nodes []node
	for zone := range zones {
		for i := range perZone {
			nodes = append(nodes, node{name: fmt.Sprintf("e-%02d-%d", zone, i), zone: fmt.Sprintf("zone-%02d", zone), member: true})
		}
	}
	return nodes
}

// links returns who is connected to whom, in both directions.
func links(nodes []node) map[string]map[string]bool {
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

// reached counts the nodes that a node reaches without those of a lost zone.
func reached(graph map[string]map[string]bool, from string, lost map[string]bool) int {
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

func TestLossOfAZonePartsNoOthers(t *testing.T) {
	for _, perZone := range []int{1, 2, 3} {
		for zones := 2; zones <= 10; zones++ {
			nodes := fleetOf(zones, perZone)
			graph := links(nodes)
			for zone := range zones {
				lost := make(map[string]bool)
				for _, n := range nodes {
					lost[n.name] = n.zone == fmt.Sprintf("zone-%02d", zone)
				}
				from := nodes[((zone+1)%zones)*perZone].name
				require.Equal(t, (zones-1)*perZone, reached(graph, from, lost), "%d zones of %d", zones, perZone)
			}
		}
	}
}

func TestConnectionsAreFew(t *testing.T) {
	nodes := fleetOf(10, 3)
	total, most := 0, 0
	for _, peers := range links(nodes) {
		total += len(peers)
		most = max(most, len(peers))
	}
	require.LessOrEqual(t, most, 8)
	require.LessOrEqual(t, total/2, 70, "a full mesh has 435 connections")
}

func TestFailingZoneIsReplacedByTheNext(t *testing.T) {
	nodes := fleetOf(5, 1)
	for i := range nodes {
		nodes[i].failing = i == 1 || i == 2
	}
	wanted := wantedLinks(nodes[0], nodes[1:])
	require.Equal(t, map[string]bool{"e-03-0": true, "e-04-0": true}, wanted)
}

func TestSeedsServeUntilMembersAreKnown(t *testing.T) {
	self := node{name: "a", zone: "north"}
	seed := node{name: "old", zone: "south"}
	require.Equal(t, map[string]bool{"old": true}, wantedLinks(self, []node{seed}))
	member := node{name: "new", zone: "south", member: true}
	require.Equal(t, map[string]bool{"new": true}, wantedLinks(self, []node{seed, member}))
}
