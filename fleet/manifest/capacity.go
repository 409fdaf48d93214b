package manifest

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// poolTallies returns a tally of each pool that counts all of its VMs as up.
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

// checkCapacities checks that each pool, with all of its VMs up, meets the
// availability budgets of its services and has a VM that is large enough for
// one request of each service.
func (p *problemList) checkCapacities(m *structs.Manifest) {
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
		if shortfall := t.Shortfall(svc.Budget, availability.Declared); shortfall != nil {
			p.add(itemPath("services", i)+".budget", "", "can't be kept by pool %q with all its VMs up (%v): add VMs or lower the budget", svc.Pool, shortfall)
		}
		p.checkRequestSize(itemPath("services", i), svc, vms[svc.Pool])
	}
}

// Warnings returns problems of a valid manifest that are probably not intended:
// availability budgets that leave no room to take a VM out of service, so that
// rollout waves never reach it. The manifest must have passed Check.
func Warnings(m *structs.Manifest) []Problem {
	p := &problemList{}
	tallies := poolTallies(m)
	for i, svc := range m.Services {
		if zones := blockedZones(tallies[svc.Pool], svc.Budget); len(zones) > 0 {
			p.add(itemPath("services", i)+".budget", strings.Join(zones, ", "), "leaves no room to take a VM of pool %q out of service in these zones, so that waves never reach them: add VMs or lower the budget", svc.Pool)
		}
	}
	return setItemNames(m, p.list)
}

// blockedZones returns the zones with a VM that can't be taken out of service
// without violating the budget.
func blockedZones(t *availability.Tally, b structs.Budget) []string {
	blocked := map[string]bool{}
	for _, rack := range slices.Collect(maps.Keys(t.Racks)) {
		t.Adjust(rack.Zone, rack.Name, availability.Count{Available: -1})
		if t.Shortfall(b, availability.Available) != nil {
			blocked[rack.Zone] = true
		}
		t.Adjust(rack.Zone, rack.Name, availability.Count{Available: 1})
	}
	return slices.Sorted(maps.Keys(blocked))
}

// checkRequestSize checks that at least one VM is large enough for one request
// of the service.
func (p *problemList) checkRequestSize(field string, svc structs.Service, vms []structs.VM) {
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
	p.checkFits(field+".cores", svc.Cores, largest.Cores, svc.Pool)
	p.checkFits(field+".memory_mb", svc.MemoryMB, largest.MemoryMB, svc.Pool)
	p.checkFits(field+".accelerators", svc.Accelerators, largest.Accelerators, svc.Pool)
	if len(p.list) == before {
		p.add(field+".cores", strconv.Itoa(svc.Cores), "no single VM of pool %q has the cores, memory and accelerators together: lower one or add larger VMs", svc.Pool)
	}
}

func (p *problemList) checkFits(field string, value, largest int, pool string) {
	if value > largest {
		p.add(field, strconv.Itoa(value), "is more than any VM of pool %q has: lower it or add larger VMs", pool)
	}
}
