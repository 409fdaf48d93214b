package state

import (
	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

// checkCounts checks that no kind has too many items.
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
			tx.fail(structs.VoidInvalid, "there would be %d %s: use at most %d", c.have, c.what, limit)
		}
	}
}

// checkZones checks that a deleted zone has no VMs.
func (tx *transaction) checkZones() {
	for _, name := range names(tx.zones) {
		_, exists := tx.s.zones.get(name)
		if vms := tx.s.index.zoneVMs[name]; !exists && vms > 0 {
			tx.fail(structs.VoidInvalid, "zone %s still has %d VMs: remove and drain them first", shown(name), vms)
		}
	}
}

// checkPools checks that a deleted pool is not used any more.
func (tx *transaction) checkPools() {
	s := tx.s
	for _, name := range names(tx.pools) {
		if _, exists := s.pools.get(name); exists {
			continue
		}
		if vms := s.index.poolVMs[name]; vms > 0 {
			tx.fail(structs.VoidInvalid, "pool %s is not declared but %d VMs name it: add it, or remove them and wait until they are drained", shown(name), vms)
		}
		if services := len(s.index.services[name]); services > 0 {
			tx.fail(structs.VoidInvalid, "pool %s is not declared but %d services name it: add it, or give them another pool", shown(name), services)
		}
		if wave := tx.waveOf(name); wave != "" {
			tx.fail(structs.VoidInvalid, "pool %s is not declared but wave %s names it: add it, or change the wave", shown(name), shown(wave))
		}
	}
}

// waveOf returns the first wave that names a pool.
func (tx *transaction) waveOf(pool string) string {
	for _, wave := range tx.s.waves.sorted() {
		for _, name := range wave.Pools {
			if name == pool {
				return wave.Name
			}
		}
	}
	return ""
}

// checkVMs checks the pool, zone and address of each VM that was put.
func (tx *transaction) checkVMs() {
	s := tx.s
	for _, id := range names(tx.vms) {
		vm, _ := s.vms.get(id)
		if _, ok := s.zones.get(vm.Zone); !ok {
			tx.fail(structs.VoidInvalid, "VM %s names zone %s, which is not declared: add it or correct the name", shown(id), shown(vm.Zone))
		}
		if _, ok := s.pools.get(vm.VM.Pool); !ok {
			tx.fail(structs.VoidInvalid, "VM %s names pool %s, which is not declared: add it or correct the name", shown(id), shown(vm.VM.Pool))
		}
		if other := s.index.addresses.other(vm.Address, id); other != "" {
			tx.fail(structs.VoidInvalid, "VM %s has the address %s of VM %s: give each VM its own, or wait until that VM is drained", shown(id), vm.Address, shown(other))
		}
	}
}

// checkServices checks the pool and routes of each service that was put.
func (tx *transaction) checkServices() {
	s := tx.s
	for _, name := range names(tx.services) {
		svc, _ := s.services.get(name)
		if _, ok := s.pools.get(svc.Pool); !ok {
			tx.fail(structs.VoidInvalid, "service %s names pool %s, which is not declared: add it or correct the name", shown(name), shown(svc.Pool))
		}
		for _, route := range svc.Routes {
			if other := s.index.routes.other(route, name); other != "" {
				tx.fail(structs.VoidInvalid, "service %s lists the route %s of service %s: a path prefix belongs to one service", shown(name), shown(route), shown(other))
			}
		}
	}
}

// checkWaves checks the pools and windows of waves. There are few waves, so
// all are checked when a wave or a window changed.
func (tx *transaction) checkWaves() {
	if len(tx.waves) == 0 && len(tx.windows) == 0 {
		return
	}
	s := tx.s
	for _, wave := range s.waves.sorted() {
		if _, ok := s.windows.get(wave.Window); !ok && wave.Window != "" {
			tx.fail(structs.VoidInvalid, "wave %s names window %s, which is not declared: add it or correct the name", shown(wave.Name), shown(wave.Window))
		}
		for _, pool := range wave.Pools {
			if _, ok := s.pools.get(pool); !ok {
				tx.fail(structs.VoidInvalid, "wave %s names pool %s, which is not declared: add it or correct the name", shown(wave.Name), shown(pool))
			}
		}
	}
}

// checkBudgets checks that each pool whose VMs or services changed can keep
// its budgets with all its declared VMs up.
func (tx *transaction) checkBudgets() {
	for _, pool := range names(tx.budgets) {
		if out := tx.s.budgetsPossible(pool); out != nil {
			tx.refusals = append(tx.refusals, out)
		}
	}
}
