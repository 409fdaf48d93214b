package manifest

import (
	"reflect"
	"sort"

	"wigeonwinch/fleet/structs"
)

// FromView returns the manifest that is in force in a view, with items sorted
// by name. VMs that wait for their removal are left out.
func FromView(view *structs.View) *structs.Manifest {
	m := &structs.Manifest{
		Format:         structs.ManifestFormat,
		BaseGeneration: uint64(view.Generation),
		Zones:          sorted(view.Zones),
		Teams:          sorted(view.Teams),
		Pools:          sorted(view.Pools),
		Services:       sorted(view.Services),
		Windows:        sorted(view.Windows),
	}
	m.VMs = make([]structs.VM, 0, len(view.VMs))
	for _, vm := range view.VMs {
		if !vm.Removed {
			m.VMs = append(m.VMs, vm.VM)
		}
	}
	for _, status := range sorted(view.Waves) {
		m.Waves = append(m.Waves, status.Wave)
	}
	return m
}

func sorted[T any](items map[string]T) []T {
	names := make([]string, 0, len(items))
	for name := range items {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]T, 0, len(items))
	for _, name := range names {
		list = append(list, items[name])
	}
	return list
}

// Diff returns the changes that turn the configuration in force into the
// manifest. Items come before those that refer to them and deletions come
// last in reverse, so that the changes can be split at any place. A pool or
// zone that VMs still use until they are drained is left for a later publish to
// delete. A publish is based on the manifest's BaseGeneration.
func Diff(view *structs.View, m *structs.Manifest) []structs.Change {
	have := FromView(view)
	d := &differ{}
	diffKind(d, structs.ItemZone, have.Zones, m.Zones, func(z *structs.Zone) structs.Change {
		return structs.Change{Name: z.Name, Zone: z}
	})
	diffKind(d, structs.ItemTeam, have.Teams, m.Teams, func(t *structs.Team) structs.Change {
		return structs.Change{Name: t.Name, Team: t}
	})
	diffKind(d, structs.ItemPool, have.Pools, m.Pools, func(p *structs.Pool) structs.Change {
		return structs.Change{Name: p.Name, Pool: p}
	})
	diffKind(d, structs.ItemVM, have.VMs, m.VMs, func(vm *structs.VM) structs.Change {
		return structs.Change{Name: vm.ID, VM: vm}
	})
	diffKind(d, structs.ItemService, have.Services, m.Services, func(s *structs.Service) structs.Change {
		return structs.Change{Name: s.Name, Service: s}
	})
	diffKind(d, structs.ItemWindow, have.Windows, m.Windows, func(w *structs.Window) structs.Change {
		return structs.Change{Name: w.Name, Window: w}
	})
	diffKind(d, structs.ItemWave, have.Waves, m.Waves, func(w *structs.Wave) structs.Change {
		return structs.Change{Name: w.Name, Wave: w}
	})
	return d.changes(inUse(view, m))
}

// usage holds the pools and zones that VMs use.
type usage struct {
	pools map[string]bool
	zones map[string]bool
}

// inUse returns the pools and zones that VMs will use after a publish of the
// manifest. A VM that it drops and that may have work in progress stays until
// it is drained.
func inUse(view *structs.View, m *structs.Manifest) usage {
	listed := make(map[string]bool, len(m.VMs))
	for _, vm := range m.VMs {
		listed[vm.ID] = true
	}
	used := usage{pools: map[string]bool{}, zones: map[string]bool{}}
	for _, vm := range view.VMs {
		if !listed[vm.ID] && !vm.State.MayHaveWork() {
			continue
		}
		used.pools[vm.Pool] = true
		used.zones[vm.Zone] = true
		if !listed[vm.ID] {
			used.pools[vm.VM.Pool] = true
		}
	}
	return used
}

// holds says whether VMs use the item that a change deletes.
func (u usage) holds(c structs.Change) bool {
	return c.Kind == structs.ItemPool && u.pools[c.Name] || c.Kind == structs.ItemZone && u.zones[c.Name]
}

// differ collects the changes of all kinds.
type differ struct {
	puts    []structs.Change
	deletes []structs.Change
}

// changes returns the puts and, in reverse, the deletions of items that are not
// in use.
func (d *differ) changes(used usage) []structs.Change {
	all := d.puts
	for i := len(d.deletes) - 1; i >= 0; i-- {
		if !used.holds(d.deletes[i]) {
			all = append(all, d.deletes[i])
		}
	}
	return all
}

// diffKind compares the items of one kind.
func diffKind[T any](d *differ, kind structs.ItemKind, have, want []T, put func(*T) structs.Change) {
	old := make(map[string]T, len(have))
	for i := range have {
		old[put(&have[i]).Name] = have[i]
	}
	kept := make(map[string]bool, len(want))
	for i := range want {
		change := put(&want[i])
		change.Kind = kind
		kept[change.Name] = true
		if before, ok := old[change.Name]; !ok || !reflect.DeepEqual(before, want[i]) {
			d.puts = append(d.puts, change)
		}
	}
	for i := range have {
		if name := put(&have[i]).Name; !kept[name] {
			d.deletes = append(d.deletes, structs.Change{Kind: kind, Name: name, Delete: true})
		}
	}
}
