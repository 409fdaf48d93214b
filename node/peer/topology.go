package peer

import "sort"

// node holds the properties of an entry node by which wantedLinks selects it.
type node struct {
	name    string
	zone    string
	member  bool
	failing bool
}

// wantedLinks returns the names of the nodes that self keeps a connection to:
// all nodes of its own zone, and its share of the zone's connections to other
// zones.
//
// The zones form a ring, ordered by name. Each zone connects to the zones at
// distance 1, 2, 4, ... on the ring, and the nodes of the zone divide these
// connections among themselves by rank. The number of connections of a zone
// therefore grows with the logarithm of the number of zones, and the loss of
// one zone does not partition the others. A zone without a reachable node is
// replaced by the next zone on the ring that has one.
func wantedLinks(self node, others []node) map[string]bool {
	wanted := make(map[string]bool)
	zones := groupByZone(self, others)
	for _, other := range zones[self.zone] {
		if other.name != self.name {
			wanted[other.name] = true
		}
	}
	names := sortedZones(zones)
	position := sort.SearchStrings(names, self.zone)
	ownZone := zones[self.zone]
	rank := rankInZone(self, ownZone)
	for i, distance := 0, 1; distance < len(names); i, distance = i+1, distance*2 {
		if i%len(ownZone) != rank {
			continue
		}
		wanted[pickTarget(zones, names, position, distance, rank+i)] = true
	}
	return wanted
}

// pickTarget returns a node of the first zone with a reachable node, starting
// at the given distance from position on the ring. If no zone has one, it
// returns a node of the zone at that distance.
func pickTarget(zones map[string][]node, names []string, position, distance, index int) string {
	first := zones[names[(position+distance)%len(names)]]
	for i := range len(names) {
		next := (position + distance + i) % len(names)
		if next == position {
			continue
		}
		if name, ok := pickReachable(zones[names[next]], index); ok {
			return name
		}
	}
	return first[index%len(first)].name
}

// groupByZone returns the nodes of each zone, sorted by name. Seeds of other
// zones are included only while no members of their zone are known.
func groupByZone(self node, others []node) map[string][]node {
	hasMembers := make(map[string]bool)
	for _, other := range others {
		if other.member {
			hasMembers[other.zone] = true
		}
	}
	zones := map[string][]node{self.zone: {self}}
	for _, other := range others {
		if other.member || other.zone == self.zone || !hasMembers[other.zone] {
			zones[other.zone] = append(zones[other.zone], other)
		}
	}
	for _, nodes := range zones {
		sort.Slice(nodes, func(i, j int) bool { return nodes[i].name < nodes[j].name })
	}
	return zones
}

func sortedZones(zones map[string][]node) []string {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func rankInZone(self node, zone []node) int {
	for i, other := range zone {
		if other.name == self.name {
			return i
		}
	}
	return 0
}

// pickReachable returns the first node of a zone that is not failing, starting
// at the given index and wrapping around.
func pickReachable(zone []node, start int) (string, bool) {
	for i := range zone {
		candidate := zone[(start+i)%len(zone)]
		if !candidate.failing {
			return candidate.name, true
		}
	}
	return "", false
}
