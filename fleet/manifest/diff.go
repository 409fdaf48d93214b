package manifest

import (
	"reflect"
	"sort"

	"wigeonwinch/fleet/structs"
)

// FromView returns the manifest that is in force in a view, with the items
// sorted by name. It leaves out VMs that are to be removed.
func FromView(view *structs.View) *structs.Manifest {
	m := &structs.Manifest{
		Format:         structs.ManifestFormat,
		BaseGeneration: uint64(view.Generation),
		Zones:          sortedByName(view.Zones),
		Teams:          sortedByName(view.Teams),
		Pools:          sortedByName(view.Pools),
		Services:       sortedByName(view.Services),
		Windows:        sortedByName(view.Windows),
	}
	m.VMs = make([]structs.VM, 0, len(view.VMs))
	for _, vm := range view.VMs {
		if !vm.Removed {
			m.VMs = append(m.VMs, vm.VM)
		}
	}
	for _, status := range sortedByName(view.Waves) {
		m.Waves = append(m.Waves, status.Wave)
	}
	return m
}

func sortedByName[T any](items map[string]T) []T {
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
// manifest. Puts of items come before the puts of items that reference them,
// and deletions come last in reverse order, so that the list can be split at
// any point. Diff doesn't delete a pool or zone that VMs use until they are
// drained: a later publish deletes it. A publish is based on the manifest's
// BaseGeneration.
func Diff(view *structs.View, m *structs.Manifest) []structs.Change {
	current := FromView(view)
	d := &differ{}
	diffKind(d, structs.ItemZone, current.Zones, m.Zones, func(z *structs.Zone) structs.Change {
		return structs.Change{Name: z.Name, Zone: z}
	})
	diffKind(d, structs.ItemTeam, current.Teams, m.Teams, func(t *structs.Team) structs.Change {
		return structs.Change{Name: t.Name, Team: t}
	})
	diffKind(d, structs.ItemPool, current.Pools, m.Pools, func(p *structs.Pool) structs.Change {
		return structs.Change{Name: p.Name, Pool: p}
	})
	diffKind(d, structs.ItemVM, current.VMs, m.VMs, func(vm *structs.VM) structs.Change {
		return structs.Change{Name: vm.ID, VM: vm}
	})
	diffKind(d, structs.ItemService, current.Services, m.Services, func(s *structs.Service) structs.Change {
		return structs.Change{Name: s.Name, Service: s}
	})
	diffKind(d, structs.ItemWindow, current.Windows, m.Windows, func(w *structs.Window) structs.Change {
		return structs.Change{Name: w.Name, Window: w}
	})
	diffKind(d, structs.ItemWave, current.Waves, m.Waves, func(w *structs.Wave) structs.Change {
		return structs.Change{Name: w.Name, Wave: w}
	})
	return d.changes(referencesAfter(view, m))
}

// references holds the pools and zones that VMs use.
type references struct {
	pools map[string]bool
	zones map[string]bool
}

// referencesAfter returns the pools and zones that VMs use after the manifest
// has been published. A VM that is not in the manifest but may have work in
// progress stays until it is drained.
func referencesAfter(view *structs.View, m *structs.Manifest) references {
	listed := make(map[string]bool, len(m.VMs))
	for _, vm := range m.VMs {
		listed[vm.ID] = true
	}
	refs := references{pools: map[string]bool{}, zones: map[string]bool{}}
	for _, vm := range view.VMs {
		if !listed[vm.ID] && !vm.State.MayHaveRequests() {
			continue
		}
		refs.pools[vm.Pool] = true
		refs.zones[vm.Zone] = true
		if !listed[vm.ID] {
			refs.pools[vm.VM.Pool] = true
		}
	}
	return refs
}

// includes reports whether VMs use the item that a change deletes.
func (r references) includes(c structs.Change) bool {
	return c.Kind == structs.ItemPool && r.pools[c.Name] || c.Kind == structs.ItemZone && r.zones[c.Name]
}

// differ collects the changes of all kinds of items.
type differ struct {
	puts    []structs.Change
	deletes []structs.Change
}

// changes returns the puts, followed by the deletions in reverse order. It
// leaves out deletions of items that are still referenced.
func (d *differ) changes(refs references) []structs.Change {
	all := d.puts
	for i := len(d.deletes) - 1; i >= 0; i-- {
		if !refs.includes(d.deletes[i]) {
			all = append(all, d.deletes[i])
		}
	}
	return all
}

// diffKind adds the changes of one kind of item.
func diffKind[T any](d *differ, kind structs.ItemKind, current, desired []T, newPut func(*T) structs.Change) {
	currentByName := make(map[string]T, len(current))
	for i := range current {
		currentByName[newPut(&current[i]).Name] = current[i]
	}
	desiredNames := make(map[string]bool, len(desired))
	for i := range desired {
		change := newPut(&desired[i])
		change.Kind = kind
		desiredNames[change.Name] = true
		if item, ok := currentByName[change.Name]; !ok || !reflect.DeepEqual(item, desired[i]) {
			d.puts = append(d.puts, change)
		}
	}
	for i := range current {
		if name := newPut(&current[i]).Name; !desiredNames[name] {
			d.deletes = append(d.deletes, structs.Change{Kind: kind, Name: name, Delete: true})
		}
	}
}
