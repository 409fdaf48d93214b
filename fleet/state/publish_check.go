package state

import (
	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// checkCounts checks that the number of items of each kind is within its limit.
func (tx *transaction) checkCounts() {
	s := tx.s
	counts := []struct {
		kind structs.ItemKind
		what string
		have int
	}{
		{structs.ItemZone, "zones", len(s.zones.items)},
		{structs.ItemTeam, "teams", len(s.teams.items)},
		{structs.ItemPool, "pools", len(s.pools.items)},
		{structs.ItemVM, "VMs", len(s.vms.list)},
		{structs.ItemService, "services", len(s.services.items)},
		{structs.ItemWindow, "windows", len(s.windows.items)},
		{structs.ItemWave, "waves", len(s.waves.items)},
	}
	for _, c := range counts {
		if limit := manifest.Limit(c.kind); c.have > limit {
			tx.refuse(structs.VoidInvalid, "there would be %d %s: use at most %d", c.have, c.what, limit)
		}
	}
}

// checkZones checks that deleted zones have no VMs.
func (tx *transaction) checkZones() {
	for _, name := range sortedNames(tx.zones) {
		_, exists := tx.s.zones.get(name)
		if vms := tx.s.index.zoneVMs[name]; !exists && vms > 0 {
			tx.refuse(structs.VoidInvalid, "zone %s still has %d VMs: remove and drain them first", quoteText(name), vms)
		}
	}
}

// checkPools checks that deleted pools are no longer referenced.
func (tx *transaction) checkPools() {
	s := tx.s
	for _, name := range sortedNames(tx.pools) {
		if _, exists := s.pools.get(name); exists {
			continue
		}
		if vms := s.index.poolVMs[name]; vms > 0 {
			tx.refuse(structs.VoidInvalid, "pool %s is not declared but %d VMs reference it: add it, or remove the VMs and wait until they are drained", quoteText(name), vms)
		}
		if services := len(s.index.services[name]); services > 0 {
			tx.refuse(structs.VoidInvalid, "pool %s is not declared but %d services reference it: add it, or assign the services to another pool", quoteText(name), services)
		}
		if wave := tx.firstWaveWithPool(name); wave != "" {
			tx.refuse(structs.VoidInvalid, "pool %s is not declared but wave %s references it: add it, or change the wave", quoteText(name), quoteText(wave))
		}
	}
}

// firstWaveWithPool returns the name of the first wave, in order of names, that
// lists a pool, or "" if there is none.
func (tx *transaction) firstWaveWithPool(pool string) string {
	for _, wave := range tx.s.waves.sorted() {
		for _, name := range wave.Pools {
			if name == pool {
				return wave.Name
			}
		}
	}
	return ""
}

// checkVMs checks the pool, zone and address of each VM that the publish puts.
func (tx *transaction) checkVMs() {
	s := tx.s
	for _, id := range sortedNames(tx.vms) {
		vm, _ := s.vms.get(id)
		if _, ok := s.zones.get(vm.Zone); !ok {
			tx.refuse(structs.VoidInvalid, "VM %s references zone %s, which is not declared: add it or correct the name", quoteText(id), quoteText(vm.Zone))
		}
		if _, ok := s.pools.get(vm.VM.Pool); !ok {
			tx.refuse(structs.VoidInvalid, "VM %s references pool %s, which is not declared: add it or correct the name", quoteText(id), quoteText(vm.VM.Pool))
		}
		if other := s.index.addresses.otherOwner(vm.Address, id); other != "" {
			tx.refuse(structs.VoidInvalid, "VM %s has address %s, which VM %s already uses: assign each VM its own address, or wait until that VM is drained", quoteText(id), vm.Address, quoteText(other))
		}
	}
}

// checkServices checks the pool and routes of each service that the publish
// puts.
func (tx *transaction) checkServices() {
	s := tx.s
	for _, name := range sortedNames(tx.services) {
		svc, _ := s.services.get(name)
		if _, ok := s.pools.get(svc.Pool); !ok {
			tx.refuse(structs.VoidInvalid, "service %s references pool %s, which is not declared: add it or correct the name", quoteText(name), quoteText(svc.Pool))
		}
		for _, route := range svc.Routes {
			if other := s.index.routes.otherOwner(route, name); other != "" {
				tx.refuse(structs.VoidInvalid, "service %s lists route %s, which service %s already uses: a path prefix can belong to only one service", quoteText(name), quoteText(route), quoteText(other))
			}
		}
	}
}

// checkWaves checks the pools and windows of all waves if any wave or window
// has changed. There are few waves, so checking all of them is cheap.
func (tx *transaction) checkWaves() {
	if len(tx.waves) == 0 && len(tx.windows) == 0 {
		return
	}
	s := tx.s
	for _, wave := range s.waves.sorted() {
		if _, ok := s.windows.get(wave.Window); !ok && wave.Window != "" {
			tx.refuse(structs.VoidInvalid, "wave %s references window %s, which is not declared: add it or correct the name", quoteText(wave.Name), quoteText(wave.Window))
		}
		for _, pool := range wave.Pools {
			if _, ok := s.pools.get(pool); !ok {
				tx.refuse(structs.VoidInvalid, "wave %s references pool %s, which is not declared: add it or correct the name", quoteText(wave.Name), quoteText(pool))
			}
		}
	}
}

// checkBudgets checks that each pool whose VMs or services have changed can
// meet its budgets with all of its declared VMs available.
func (tx *transaction) checkBudgets() {
	for _, pool := range sortedNames(tx.budgetPools) {
		if refusal := tx.s.checkDeclaredBudgets(pool); refusal != nil {
			tx.refusals = append(tx.refusals, refusal)
		}
	}
}
