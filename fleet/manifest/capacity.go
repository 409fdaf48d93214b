package manifest

import (
	"strconv"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// capacities checks that each pool, with all its VMs up, can keep the budgets
// of its services and hold one request of each.
func (p *problems) capacities(m *structs.Manifest) {
	tallies := map[string]*availability.Tally{}
	fits := map[string][]structs.VM{}
	for _, vm := range m.VMs {
		t, ok := tallies[vm.Pool]
		if !ok {
			t = availability.NewTally()
			tallies[vm.Pool] = t
		}
		t.Add(vm.Zone, vm.Rack, true)
		fits[vm.Pool] = append(fits[vm.Pool], vm)
	}
	for i, svc := range m.Services {
		t := tallies[svc.Pool]
		if t == nil {
			t = availability.NewTally()
		}
		if short := t.Shortfall(svc.Budget, availability.Declared); short != nil {
			p.add(at("services", i)+".budget", short.Domain, "can't be kept by pool %q with all its VMs up (%v): add VMs or lower the budget", svc.Pool, short)
		}
		p.requestSize(at("services", i), svc, fits[svc.Pool])
	}
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
