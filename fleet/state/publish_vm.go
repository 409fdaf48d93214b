package state

import (
	"maps"
	"slices"

	"wigeonwinch/fleet/structs"
)

// setVM puts or deletes a VM.
func (tx *transaction) setVM(c *structs.Change) {
	if c.VM == nil {
		tx.deleteVM(c.Name)
		return
	}
	s := tx.s
	tx.vms[c.Name] = true
	old, had := s.vms.get(c.Name)
	tx.setAddress(old.Address, c.VM.Address, c.Name)
	if !had {
		tx.budgets[c.VM.Pool] = true
		s.putVM(structs.VMStatus{VM: *c.VM, Pool: c.VM.Pool, State: structs.VMActive})
		tx.later(func() { s.dropVM(c.Name) })
		return
	}
	tx.budgets[old.Pool] = true
	if (old.Zone != c.VM.Zone || old.Rack != c.VM.Rack) && old.State.MayHaveWork() {
		tx.fail(structs.VoidInvalid, "VM %s is %s and can't change its zone or rack: drain it first, or declare it under another ID", shown(c.Name), old.State)
	}
	changed := old
	changed.VM = *c.VM
	changed.Removed = false
	s.putVM(changed)
	tx.later(func() { s.putVM(old) })
}

// deleteVM drops a VM that has nothing in progress and marks any other as
// removed, so that it is drained first.
func (tx *transaction) deleteVM(id string) {
	s := tx.s
	old, had := s.vms.get(id)
	if !had || old.Removed {
		tx.fail(structs.VoidUnknownItem, "VM %s can't be deleted: it does not exist", shown(id))
		return
	}
	tx.budgets[old.Pool] = true
	if old.State.MayHaveWork() {
		marked := old
		marked.Removed = true
		s.putVM(marked)
		tx.later(func() { s.putVM(old) })
		return
	}
	tx.setAddress(old.Address, "", id)
	tx.keepProgress(id)
	acks, hadAcks := s.acks[id]
	s.forgetVM(id)
	tx.later(func() {
		s.putVM(old)
		if hadAcks {
			s.acks[id] = acks
		}
	})
}

// keepProgress remembers which waves have counted a VM.
func (tx *transaction) keepProgress(id string) {
	s := tx.s
	for _, wave := range s.waves.sorted() {
		p := s.progress[wave.Name]
		_, returned := p.returned[id]
		_, failed := p.failed[id]
		tx.later(func() {
			if returned {
				p.returned[id] = struct{}{}
			}
			if failed {
				p.failed[id] = struct{}{}
			}
			if returned || failed {
				s.waves.put(wave.Name, wave)
			}
		})
	}
}

// setAddress moves a VM's address in the index. Whether an address is used
// twice is known only when all changes are in.
func (tx *transaction) setAddress(old, address, id string) {
	if old == address {
		return
	}
	tx.s.index.addresses.remove(old, id)
	tx.s.index.addresses.add(address, id)
	tx.later(func() {
		tx.s.index.addresses.remove(address, id)
		tx.s.index.addresses.add(old, id)
	})
}

// check checks everything that the changes may have broken.
func (tx *transaction) check() {
	tx.checkCounts()
	tx.checkZones()
	tx.checkPools()
	tx.checkVMs()
	tx.checkServices()
	tx.checkWaves()
	tx.checkBudgets()
}

// names returns a set's names in order.
func names(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
