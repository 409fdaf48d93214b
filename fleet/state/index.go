package state

import (
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// index holds data derived from the rest of the state. It is maintained
// incrementally to make checks cheap.
type index struct {
	// tallies holds the VM counts of each pool.
	tallies map[string]*availability.Tally
	// services holds the names of the services of each pool.
	services map[string]map[string]struct{}
	// addresses holds the VMs that use an address, and routes the services that
	// use a route.
	addresses owners
	routes    owners
	// zoneVMs counts the VMs of each zone. poolVMs counts the VMs of each pool,
	// as declared or as currently assigned.
	zoneVMs map[string]int
	poolVMs map[string]int
}

func newIndex() index {
	return index{
		tallies:   map[string]*availability.Tally{},
		services:  map[string]map[string]struct{}{},
		addresses: owners{},
		routes:    owners{},
		zoneVMs:   map[string]int{},
		poolVMs:   map[string]int{},
	}
}

// tally returns the VM counts of a pool and creates them if necessary.
func (x *index) tally(pool string) *availability.Tally {
	t, ok := x.tallies[pool]
	if !ok {
		t = availability.NewTally()
		x.tallies[pool] = t
	}
	return t
}

// countVM adds a VM to the counts if delta is 1, and removes it if delta is -1.
func (x *index) countVM(vm *structs.VMStatus, delta int) {
	diff := vmCount(vm)
	diff.Declared *= delta
	diff.Available *= delta
	t := x.tally(vm.Pool)
	t.Adjust(vm.Zone, vm.Rack, diff)
	if t.Empty() {
		delete(x.tallies, vm.Pool)
	}
	addCount(x.zoneVMs, vm.Zone, delta)
	addCount(x.poolVMs, vm.VM.Pool, delta)
	if vm.VM.Pool != vm.Pool {
		addCount(x.poolVMs, vm.Pool, delta)
	}
}

// vmCount returns the contribution of one VM to the counts of its pool. A VM
// that the manifest no longer lists does not count as declared, but it still
// serves until it is drained.
func vmCount(vm *structs.VMStatus) availability.Count {
	c := availability.Count{}
	if !vm.Removed {
		c.Declared = 1
	}
	if vm.State.Available() {
		c.Available = 1
	}
	return c
}

func addCount(counts map[string]int, name string, delta int) {
	counts[name] += delta
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// putVM stores a VM and updates the counts.
func (s *State) putVM(vm structs.VMStatus) {
	if old, ok := s.vms.get(vm.ID); ok {
		s.index.countVM(&old, -1)
	}
	s.index.countVM(&vm, 1)
	s.vms.put(vm)
}

// removeVM removes a VM, if it exists, and updates the counts.
func (s *State) removeVM(id string) {
	old, ok := s.vms.get(id)
	if !ok {
		return
	}
	s.index.countVM(&old, -1)
	s.vms.remove(id)
}

// owners maps a value that at most one item may use to the items that use it.
// While a publish is being applied, a value may temporarily have two owners.
type owners map[string][]string

func (o owners) add(value, owner string) {
	if value == "" || slices.Contains(o[value], owner) {
		return
	}
	o[value] = append(slices.Clone(o[value]), owner)
}

func (o owners) remove(value, owner string) {
	left := slices.DeleteFunc(slices.Clone(o[value]), func(name string) bool { return name == owner })
	if len(left) == 0 {
		delete(o, value)
		return
	}
	o[value] = left
}

// otherOwner returns an item other than owner that uses a value, or "" if there
// is none.
func (o owners) otherOwner(value, owner string) string {
	for _, name := range o[value] {
		if name != owner {
			return name
		}
	}
	return ""
}

// addService adds the pool and the routes of a service to the index.
func (x *index) addService(svc structs.Service) {
	if x.services[svc.Pool] == nil {
		x.services[svc.Pool] = map[string]struct{}{}
	}
	x.services[svc.Pool][svc.Name] = struct{}{}
	for _, route := range svc.Routes {
		x.routes.add(route, svc.Name)
	}
}

// removeService removes the pool and the routes of a service from the index.
func (x *index) removeService(svc structs.Service) {
	delete(x.services[svc.Pool], svc.Name)
	if len(x.services[svc.Pool]) == 0 {
		delete(x.services, svc.Pool)
	}
	for _, route := range svc.Routes {
		x.routes.remove(route, svc.Name)
	}
}
