package state

import (
	"maps"
	"slices"
	"sort"

	"wigeonwinch/fleet/structs"
)

// table is a copy-on-write map by name: after it has been shared with a view,
// it is cloned before the next change.
type table[T any] struct {
	items  map[string]T
	shared bool
}

func newTable[T any]() table[T] {
	return table[T]{items: map[string]T{}}
}

// share returns the map for a view and marks it as shared. The returned map
// must not be modified.
func (t *table[T]) share() map[string]T {
	t.shared = true
	return t.items
}

func (t *table[T]) cloneIfShared() {
	if t.shared {
		t.items = maps.Clone(t.items)
		t.shared = false
	}
}

func (t *table[T]) get(name string) (T, bool) {
	item, ok := t.items[name]
	return item, ok
}

func (t *table[T]) put(name string, item T) {
	t.cloneIfShared()
	t.items[name] = item
}

func (t *table[T]) remove(name string) {
	t.cloneIfShared()
	delete(t.items, name)
}

// sorted returns the items in order of their names.
func (t *table[T]) sorted() []T {
	names := slices.Sorted(maps.Keys(t.items))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, t.items[name])
	}
	return list
}

// vmTable is the list of VMs in order of their IDs. It is copied on write like
// table.
type vmTable struct {
	list   []structs.VMStatus
	shared bool
}

func (t *vmTable) share() []structs.VMStatus {
	t.shared = true
	return t.list
}

func (t *vmTable) cloneIfShared(extra int) {
	if !t.shared {
		return
	}
	list := make([]structs.VMStatus, len(t.list), len(t.list)+extra)
	copy(list, t.list)
	t.list = list
	t.shared = false
}

// find returns the index of a VM and whether it exists. If it does not, the
// index is where it would be inserted.
func (t *vmTable) find(id string) (int, bool) {
	i := sort.Search(len(t.list), func(i int) bool { return t.list[i].ID >= id })
	return i, i < len(t.list) && t.list[i].ID == id
}

func (t *vmTable) get(id string) (structs.VMStatus, bool) {
	i, ok := t.find(id)
	if !ok {
		return structs.VMStatus{}, false
	}
	return t.list[i], true
}

func (t *vmTable) put(vm structs.VMStatus) {
	i, ok := t.find(vm.ID)
	if ok {
		t.cloneIfShared(0)
		t.list[i] = vm
		return
	}
	t.cloneIfShared(1)
	t.list = slices.Insert(t.list, i, vm)
}

func (t *vmTable) remove(id string) {
	i, ok := t.find(id)
	if !ok {
		return
	}
	t.cloneIfShared(0)
	t.list = slices.Delete(t.list, i, i+1)
}
