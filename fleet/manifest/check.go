package manifest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"wigeonwinch/fleet/structs"
)

// Check lists every value of a manifest that is out of range or contradicts
// another.
func Check(m *structs.Manifest) []Problem {
	p := &problems{}
	p.values(m)
	names := p.names(m)
	p.references(m, names)
	p.uniqueAddresses(m.VMs)
	p.uniqueRoutes(m.Services)
	p.capacities(m)
	return nameItems(m, p.list)
}

// values checks each value by itself.
func (p *problems) values(m *structs.Manifest) {
	if m.Format != structs.ManifestFormat {
		p.add("format", strconv.Itoa(m.Format), "use %d, the only format this version reads", structs.ManifestFormat)
	}
	p.counts(m)
	p.items(m)
}

// counts checks that no kind has too many items.
func (p *problems) counts(m *structs.Manifest) {
	p.count("zones", len(m.Zones), MaxZones)
	p.count("teams", len(m.Teams), MaxTeams)
	p.count("pools", len(m.Pools), MaxPools)
	p.count("vms", len(m.VMs), MaxVMs)
	p.count("services", len(m.Services), MaxServices)
	p.count("windows", len(m.Windows), MaxWindows)
	p.count("waves", len(m.Waves), MaxWaves)
}

func (p *problems) count(field string, got, limit int) {
	if got > limit {
		p.add(field, strconv.Itoa(got), "has too many items: use at most %d", limit)
	}
}

// items checks each item by itself.
func (p *problems) items(m *structs.Manifest) {
	for i, z := range m.Zones {
		p.zone(at("zones", i), z)
	}
	for i, t := range m.Teams {
		p.team(at("teams", i), t)
	}
	for i, pool := range m.Pools {
		p.pool(at("pools", i), pool)
	}
	for i, vm := range m.VMs {
		p.vm(at("vms", i), vm)
	}
	for i, svc := range m.Services {
		p.service(at("services", i), svc)
	}
	for i, w := range m.Windows {
		p.window(at("windows", i), w)
	}
	for i, w := range m.Waves {
		p.wave(at("waves", i), w)
	}
}

func at(kind string, i int) string {
	return fmt.Sprintf("%s[%d]", kind, i)
}

// nameSet maps the names of one kind to the position of their first use.
type nameSet map[string]int

// declared holds the names of the kinds that others refer to.
type declared struct {
	zones, pools, windows nameSet
}

// names checks that names are unique within their kind.
func (p *problems) names(m *structs.Manifest) declared {
	return declared{
		zones:   uniqueNames(p, "zones", "name", m.Zones, func(z structs.Zone) string { return z.Name }),
		pools:   uniqueNames(p, "pools", "name", m.Pools, func(pool structs.Pool) string { return pool.Name }),
		windows: p.otherNames(m),
	}
}

// otherNames checks the kinds that nothing refers to and returns the windows.
func (p *problems) otherNames(m *structs.Manifest) nameSet {
	uniqueNames(p, "teams", "name", m.Teams, func(t structs.Team) string { return t.Name })
	uniqueNames(p, "vms", "id", m.VMs, func(vm structs.VM) string { return vm.ID })
	uniqueNames(p, "services", "name", m.Services, func(svc structs.Service) string { return svc.Name })
	uniqueNames(p, "waves", "name", m.Waves, func(w structs.Wave) string { return w.Name })
	return uniqueNames(p, "windows", "name", m.Windows, func(w structs.Window) string { return w.Name })
}

func uniqueNames[T any](p *problems, kind, key string, items []T, name func(T) string) nameSet {
	seen := nameSet{}
	for i, item := range items {
		first, dup := seen[name(item)]
		if dup {
			p.add(at(kind, i)+"."+key, name(item), "is already used by %s: choose another", at(kind, first))
			continue
		}
		seen[name(item)] = i
	}
	return seen
}

// references checks that every name an item refers to is declared.
func (p *problems) references(m *structs.Manifest, names declared) {
	for i, vm := range m.VMs {
		p.refers(at("vms", i)+".pool", vm.Pool, "pools", names.pools)
		p.refers(at("vms", i)+".zone", vm.Zone, "zones", names.zones)
	}
	for i, svc := range m.Services {
		p.refers(at("services", i)+".pool", svc.Pool, "pools", names.pools)
	}
	for i, w := range m.Waves {
		if w.Window != "" {
			p.refers(at("waves", i)+".window", w.Window, "windows", names.windows)
		}
		for j, pool := range w.Pools {
			p.refers(fmt.Sprintf("%s.pools[%d]", at("waves", i), j), pool, "pools", names.pools)
		}
	}
}

func (p *problems) refers(field, name, kind string, known nameSet) {
	if _, ok := known[name]; ok {
		return
	}
	if near := nearestKey(name, slices.Sorted(maps.Keys(known))); near != "" {
		p.add(field, name, "is not declared: did you mean %q? Otherwise add it to %s", near, kind)
		return
	}
	p.add(field, name, "is not declared: add it to %s or correct the name", kind)
}

func (p *problems) uniqueAddresses(vms []structs.VM) {
	seen := nameSet{}
	for i, vm := range vms {
		if first, dup := seen[vm.Address]; dup {
			p.add(at("vms", i)+".address", vm.Address, "is already used by vms[%d]: give each VM its own", first)
			continue
		}
		seen[vm.Address] = i
	}
}

func (p *problems) uniqueRoutes(services []structs.Service) {
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
