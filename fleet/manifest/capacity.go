package manifest

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// poolTallies counts the VMs of each pool, all of them up.
func poolTallies(m *structs.Manifest) map[string]*availability.Tally {
	tallies := map[string]*availability.Tally{}
	for _, pool := range m.Pools {
		tallies[pool.Name] = availability.NewTally()
	}
	for _, vm := range m.VMs {
		if t, ok := tallies[vm.Pool]; ok {
			t.Add(vm.Zone, vm.Rack, true)
		}
	}
	return tallies
}

// capacities checks that each pool, with all its VMs up, can keep the budgets
// of its services and hold one request of each.
func (p *problems) capacities(m *structs.Manifest) {
	tallies := poolTallies(m)
	vms := map[string][]structs.VM{}
	for _, vm := range m.VMs {
		vms[vm.Pool] = append(vms[vm.Pool], vm)
	}
	for i, svc := range m.Services {
		t, ok := tallies[svc.Pool]
		if !ok {
			continue
		}
		if short := t.Shortfall(svc.Budget, availability.Declared); short != nil {
			p.add(at("services", i)+".budget", "", "can't be kept by pool %q with all its VMs up (%v): add VMs or lower the budget", svc.Pool, short)
		}
		p.requestSize(at("services", i), svc, vms[svc.Pool])
	}
}

// Warnings lists what a manifest may hold but operators will hardly want: a
// budget that leaves no room to take a VM out of service, so that waves never
// reach it. The manifest must have passed Check.
func Warnings(m *structs.Manifest) []Problem {
	p := &problems{}
	tallies := poolTallies(m)
	for i, svc := range m.Services {
		if zones := stuckZones(tallies[svc.Pool], svc.Budget); len(zones) > 0 {
			p.add(at("services", i)+".budget", strings.Join(zones, ", "), "leaves no room to take a VM of pool %q out of service in these zones, so that waves never reach them: add VMs or lower the budget", svc.Pool)
		}
	}
	return nameItems(m, p.list)
}

// stuckZones returns the zones with a VM that a budget never lets go.
func stuckZones(t *availability.Tally, b structs.Budget) []string {
	stuck := map[string]bool{}
	for _, rack := range slices.Collect(maps.Keys(t.Racks)) {
		t.Change(rack.Zone, rack.Name, availability.Count{Available: -1})
		if t.Shortfall(b, availability.Available) != nil {
			stuck[rack.Zone] = true
		}
		t.Change(rack.Zone, rack.Name, availability.Count{Available: 1})
	}
	return slices.Sorted(maps.Keys(stuck))
}

// requestSize checks that at least one VM can hold one request of a service.
func (p *problems) requestSize(field string, svc structs.Service, vms []structs.VM) {
	if len(vms) == 0 {
		return
	}
	var largest structs.VM
	for _, vm := range vms {
		if svc.Cores <= vm.Cores && svc.MemoryMB <= vm.MemoryMB && svc.Accelerators <= vm.Accelerators {
			return
		}
		largest.Cores = max(largest.Cores, vm.Cores)
		largest.MemoryMB = max(largest.MemoryMB, vm.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, vm.Accelerators)
	}
	before := len(p.list)
	p.atMost(field+".cores", svc.Cores, largest.Cores, svc.Pool)
	p.atMost(field+".memory_mb", svc.MemoryMB, largest.MemoryMB, svc.Pool)
	p.atMost(field+".accelerators", svc.Accelerators, largest.Accelerators, svc.Pool)
	if len(p.list) == before {
		p.add(field+".cores", strconv.Itoa(svc.Cores), "no single VM of pool %q has the cores, memory and accelerators together: lower one or add larger VMs", svc.Pool)
	}
}

func (p *problems) atMost(field string, value, largest int, pool string) {
	if value > largest {
		p.add(field, strconv.Itoa(value), "is more than any VM of pool %q has: lower it or add larger VMs", pool)
	}
}
