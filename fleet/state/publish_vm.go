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
	old, existed := s.vms.get(c.Name)
	tx.setAddress(old.Address, c.VM.Address, c.Name)
	if !existed {
		tx.budgetPools[c.VM.Pool] = true
		s.putVM(structs.VMStatus{VM: *c.VM, Pool: c.VM.Pool, State: structs.VMActive})
		tx.onRollBack(func() { s.removeVM(c.Name) })
		return
	}
	tx.budgetPools[old.Pool] = true
	if (old.Zone != c.VM.Zone || old.Rack != c.VM.Rack) && old.State.MayHaveRequests() {
		tx.refuse(structs.VoidInvalid, "VM %s is %s, so its zone or rack can't change: drain it first, or declare it with another ID", quoteText(c.Name), old.State)
	}
	changed := old
	changed.VM = *c.VM
	changed.Removed = false
	s.putVM(changed)
	tx.onRollBack(func() { s.putVM(old) })
}

// deleteVM deletes a VM that can't have requests in progress. It marks any
// other VM as removed, so that the VM is drained before it is deleted.
func (tx *transaction) deleteVM(id string) {
	s := tx.s
	old, existed := s.vms.get(id)
	if !existed || old.Removed {
		tx.refuse(structs.VoidUnknownItem, "VM %s does not exist and can't be deleted", quoteText(id))
		return
	}
	tx.budgetPools[old.Pool] = true
	if old.State.MayHaveRequests() {
		marked := old
		marked.Removed = true
		s.putVM(marked)
		tx.onRollBack(func() { s.putVM(old) })
		return
	}
	tx.setAddress(old.Address, "", id)
	tx.restoreProgressOnRollBack(id)
	acks, hadAcks := s.acks[id]
	s.purgeVM(id)
	tx.onRollBack(func() {
		s.putVM(old)
		if hadAcks {
			s.acks[id] = acks
		}
	})
}

// restoreProgressOnRollBack makes a rollback restore the wave counts of a VM
// that is about to be deleted.
func (tx *transaction) restoreProgressOnRollBack(id string) {
	s := tx.s
	for _, wave := range s.waves.sorted() {
		p := s.progress[wave.Name]
		_, returned := p.returned[id]
		_, failed := p.failed[id]
		tx.onRollBack(func() {
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

// setAddress replaces a VM's address in the index. Duplicate addresses are
// checked after all changes have been applied.
func (tx *transaction) setAddress(old, address, id string) {
	if old == address {
		return
	}
	tx.s.index.addresses.remove(old, id)
	tx.s.index.addresses.add(address, id)
	tx.onRollBack(func() {
		tx.s.index.addresses.remove(address, id)
		tx.s.index.addresses.add(old, id)
	})
}

// check checks all rules that the changes may have violated.
func (tx *transaction) check() {
	tx.checkCounts()
	tx.checkZones()
	tx.checkPools()
	tx.checkVMs()
	tx.checkServices()
	tx.checkWaves()
	tx.checkBudgets()
}

// sortedNames returns the names in a set in sorted order.
func sortedNames(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
