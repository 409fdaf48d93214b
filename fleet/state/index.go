package state

import (
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// index holds what can be worked out from the rest of the state and is kept
// to make checks cheap.
type index struct {
	// tallies counts the VMs of each pool.
	tallies map[string]*availability.Tally
	// services lists the services of each pool, by name.
	services map[string]map[string]struct{}
	// addresses and routes name the VMs and services that use them.
	addresses owners
	routes    owners
	// zoneVMs and poolVMs count the VMs that name a zone or, as declared, a
	// pool.
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

// tally returns the counts of a pool.
func (x *index) tally(pool string) *availability.Tally {
	t, ok := x.tallies[pool]
	if !ok {
		t = availability.NewTally()
		x.tallies[pool] = t
	}
	return t
}

// countVM adds a VM to the counts (by is 1) or takes it out (by is -1).
func (x *index) countVM(vm *structs.VMStatus, by int) {
	diff := countOf(vm)
	diff.Declared *= by
	diff.Available *= by
	t := x.tally(vm.Pool)
	t.Change(vm.Zone, vm.Rack, diff)
	if t.Empty() {
		delete(x.tallies, vm.Pool)
	}
	addCount(x.zoneVMs, vm.Zone, by)
	addCount(x.poolVMs, vm.VM.Pool, by)
	if vm.VM.Pool != vm.Pool {
		addCount(x.poolVMs, vm.Pool, by)
	}
}

// countOf returns what one VM adds to the counts of its pool. A VM that the
// manifest no longer lists is not declared but serves until it is drained.
func countOf(vm *structs.VMStatus) availability.Count {
	c := availability.Count{}
	if !vm.Removed {
		c.Declared = 1
	}
	if vm.State.Available() {
		c.Available = 1
	}
	return c
}

func addCount(counts map[string]int, name string, by int) {
	counts[name] += by
	if counts[name] == 0 {
		delete(counts, name)
	}
}

// putVM stores a VM and keeps the counts.
func (s *State) putVM(vm structs.VMStatus) {
	if old, ok := s.vms.get(vm.ID); ok {
		s.index.countVM(&old, -1)
	}
	s.index.countVM(&vm, 1)
	s.vms.put(vm)
}

// dropVM removes a VM and keeps the counts.
func (s *State) dropVM(id string) {
	old, ok := s.vms.get(id)
	if !ok {
		return
	}
	s.index.countVM(&old, -1)
	s.vms.remove(id)
}

// owners lists, for a value that one item may use, the items that use it.
// During a publish a value may have two owners for a while.
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

// other returns another item that uses a value, or nothing.
func (o owners) other(value, owner string) string {
	for _, name := range o[value] {
		if name != owner {
			return name
		}
	}
	return ""
}

// addService notes a service's pool and routes.
func (x *index) addService(svc structs.Service) {
	if x.services[svc.Pool] == nil {
		x.services[svc.Pool] = map[string]struct{}{}
	}
	x.services[svc.Pool][svc.Name] = struct{}{}
	for _, route := range svc.Routes {
		x.routes.add(route, svc.Name)
	}
}

// removeService forgets a service's pool and routes.
func (x *index) removeService(svc structs.Service) {
	delete(x.services[svc.Pool], svc.Name)
	if len(x.services[svc.Pool]) == 0 {
		delete(x.services, svc.Pool)
	}
	for _, route := range svc.Routes {
		x.routes.remove(route, svc.Name)
	}
}
