package peer

import "sort"

// node is what the choice of connections needs to know of a node.
type node struct {
	name    string
	zone    string
	member  bool
	failing bool
}

// wantedLinks returns the nodes that self keeps a connection to: all nodes of
// its zone, and its share of the zone's connections to other zones. The zones
// form a ring in name order; a zone dials the zones 1, 2, 4, ... places on,
// and its nodes divide these among themselves by rank. So the connections of
// one zone grow with the logarithm of the number of zones, and no loss of one
// zone parts the others. A zone that can't be reached is replaced by the next
// one on the ring that can.
func wantedLinks(self node, others []node) map[string]bool {
	wanted := make(map[string]bool)
	zones := groupByZone(self, others)
	for _, other := range zones[self.zone] {
		if other.name != self.name {
			wanted[other.name] = true
		}
	}
	names := sortedZones(zones)
	place := sort.SearchStrings(names, self.zone)
	own := zones[self.zone]
	rank := rankOf(self, own)
	for i, step := 0, 1; step < len(names); i, step = i+1, step*2 {
		if i%len(own) != rank {
			continue
		}
		wanted[target(zones, names, place, step, rank+i)] = true
	}
	return wanted
}

// target returns a node of the first zone that can be reached, from the given
// number of places on.
func target(zones map[string][]node, names []string, place, step, turn int) string {
	first := zones[names[(place+step)%len(names)]]
	for i := range len(names) {
		next := (place + step + i) % len(names)
		if next == place {
			continue
		}
		if name, ok := pick(zones[names[next]], turn); ok {
			return name
		}
	}
	return first[turn%len(first)].name
}

// groupByZone sorts the nodes by zone and name. Seeds of other zones count
// only as long as a zone has no known members.
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

func rankOf(self node, zone []node) int {
	for i, other := range zone {
		if other.name == self.name {
			return i
		}
	}
	return 0
}

// pick returns a node of a zone that is not failing, beginning at the given
// place.
func pick(zone []node, place int) (string, bool) {
	for i := range zone {
		candidate := zone[(place+i)%len(zone)]
		if !candidate.failing {
			return candidate.name, true
		}
	}
	return "", false
}
