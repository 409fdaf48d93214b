package manifest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"wigeonwinch/fleet/structs"
)

// Check returns a problem for every value of a manifest that is out of range or
// contradicts another value.
func Check(m *structs.Manifest) []Problem {
	p := &problemList{}
	p.checkValues(m)
	names := p.checkNames(m)
	p.checkReferences(m, names)
	p.checkUniqueAddresses(m.VMs)
	p.checkUniqueRoutes(m.Services)
	p.checkCapacities(m)
	return setItemNames(m, p.list)
}

// checkValues checks each value on its own.
func (p *problemList) checkValues(m *structs.Manifest) {
	if m.Format != structs.ManifestFormat {
		p.add("format", strconv.Itoa(m.Format), "use %d, the only format this version reads", structs.ManifestFormat)
	}
	p.checkCounts(m)
	p.checkItems(m)
}

// checkCounts checks the number of items of each kind against its limit.
func (p *problemList) checkCounts(m *structs.Manifest) {
	p.checkCount("zones", len(m.Zones), MaxZones)
	p.checkCount("teams", len(m.Teams), MaxTeams)
	p.checkCount("pools", len(m.Pools), MaxPools)
	p.checkCount("vms", len(m.VMs), MaxVMs)
	p.checkCount("services", len(m.Services), MaxServices)
	p.checkCount("windows", len(m.Windows), MaxWindows)
	p.checkCount("waves", len(m.Waves), MaxWaves)
}

func (p *problemList) checkCount(field string, got, limit int) {
	if got > limit {
		p.add(field, strconv.Itoa(got), "has too many items: use at most %d", limit)
	}
}

// checkItems checks the values of each item.
func (p *problemList) checkItems(m *structs.Manifest) {
	for i, z := range m.Zones {
		p.checkZone(itemPath("zones", i), z)
	}
	for i, t := range m.Teams {
		p.checkTeam(itemPath("teams", i), t)
	}
	for i, pool := range m.Pools {
		p.checkPool(itemPath("pools", i), pool)
	}
	for i, vm := range m.VMs {
		p.checkVM(itemPath("vms", i), vm)
	}
	for i, svc := range m.Services {
		p.checkService(itemPath("services", i), svc)
	}
	for i, w := range m.Windows {
		p.checkWindow(itemPath("windows", i), w)
	}
	for i, w := range m.Waves {
		p.checkWave(itemPath("waves", i), w)
	}
}

// itemPath returns the field path of an item, such as vms[3].
func itemPath(kind string, i int) string {
	return fmt.Sprintf("%s[%d]", kind, i)
}

// nameSet maps the names of one kind of item to the position of their first
// use.
type nameSet map[string]int

// declaredNames holds the names of the kinds of items that other items
// reference.
type declaredNames struct {
	zones, pools, windows nameSet
}

// checkNames checks that names are unique within their kind, and returns the
// names that other items can reference.
func (p *problemList) checkNames(m *structs.Manifest) declaredNames {
	return declaredNames{
		zones:   checkUniqueNames(p, "zones", "name", m.Zones, func(z structs.Zone) string { return z.Name }),
		pools:   checkUniqueNames(p, "pools", "name", m.Pools, func(pool structs.Pool) string { return pool.Name }),
		windows: p.checkOtherNames(m),
	}
}

// checkOtherNames checks the names of teams, VMs, services, waves and windows.
// Of these, other items can reference only windows, whose names it returns.
func (p *problemList) checkOtherNames(m *structs.Manifest) nameSet {
	checkUniqueNames(p, "teams", "name", m.Teams, func(t structs.Team) string { return t.Name })
	checkUniqueNames(p, "vms", "id", m.VMs, func(vm structs.VM) string { return vm.ID })
	checkUniqueNames(p, "services", "name", m.Services, func(svc structs.Service) string { return svc.Name })
	checkUniqueNames(p, "waves", "name", m.Waves, func(w structs.Wave) string { return w.Name })
	return checkUniqueNames(p, "windows", "name", m.Windows, func(w structs.Window) string { return w.Name })
}

func checkUniqueNames[T any](p *problemList, kind, key string, items []T, name func(T) string) nameSet {
	seen := nameSet{}
	for i, item := range items {
		first, dup := seen[name(item)]
		if dup {
			p.add(itemPath(kind, i)+"."+key, name(item), "is already used by %s: choose another", itemPath(kind, first))
			continue
		}
		seen[name(item)] = i
	}
	return seen
}

// checkReferences checks that every name that an item references is declared.
func (p *problemList) checkReferences(m *structs.Manifest, names declaredNames) {
	for i, vm := range m.VMs {
		p.checkReference(itemPath("vms", i)+".pool", vm.Pool, "pools", names.pools)
		p.checkReference(itemPath("vms", i)+".zone", vm.Zone, "zones", names.zones)
	}
	for i, svc := range m.Services {
		p.checkReference(itemPath("services", i)+".pool", svc.Pool, "pools", names.pools)
	}
	for i, w := range m.Waves {
		if w.Window != "" {
			p.checkReference(itemPath("waves", i)+".window", w.Window, "windows", names.windows)
		}
		for j, pool := range w.Pools {
			p.checkReference(fmt.Sprintf("%s.pools[%d]", itemPath("waves", i), j), pool, "pools", names.pools)
		}
	}
}

func (p *problemList) checkReference(field, name, kind string, known nameSet) {
	if _, ok := known[name]; ok {
		return
	}
	if near := nearestKey(name, slices.Sorted(maps.Keys(known))); near != "" {
		p.add(field, name, "is not declared: did you mean %q? Otherwise add it to %s", near, kind)
		return
	}
	p.add(field, name, "is not declared: add it to %s or correct the name", kind)
}

func (p *problemList) checkUniqueAddresses(vms []structs.VM) {
	seen := nameSet{}
	for i, vm := range vms {
		if first, dup := seen[vm.Address]; dup {
			p.add(itemPath("vms", i)+".address", vm.Address, "is already used by vms[%d]: give each VM its own", first)
			continue
		}
		seen[vm.Address] = i
	}
}

func (p *problemList) checkUniqueRoutes(services []structs.Service) {
	seen := nameSet{}
	for i, svc := range services {
		for j, route := range svc.Routes {
			if first, dup := seen[route]; dup {
				p.add(fmt.Sprintf("services[%d].routes[%d]", i, j), route, "is already used by services[%d]: a path prefix belongs to one service", first)
				continue
			}
			seen[route] = i
		}
	}
}
