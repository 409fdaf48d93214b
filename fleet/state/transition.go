package state

import (
	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// followers lists the states that a planned step may lead to. Any state may
// also become failed.
var followers = map[structs.VMState][]structs.VMState{
	structs.VMActive:    {structs.VMDraining},
	structs.VMDraining:  {structs.VMDrained, structs.VMActive},
	structs.VMDrained:   {structs.VMRebooting, structs.VMProbation, structs.VMActive},
	structs.VMRebooting: {structs.VMProbation},
	structs.VMProbation: {structs.VMActive, structs.VMDraining},
	structs.VMFailed:    {structs.VMProbation, structs.VMDraining},
}

// mayFollow says whether a VM may step from one state to another.
func mayFollow(from, to structs.VMState) bool {
	if to == structs.VMFailed {
		return from != structs.VMFailed
	}
	for _, state := range followers[from] {
		if state == to {
			return true
		}
	}
	return false
}

// applyTransition moves a VM to another state.
func (s *State) applyTransition(writer string, t *structs.Transition) *Refusal {
	vm, out := s.planned(writer, t.VM, t.Sequence, t.LeaseScope, t.LeaseEpoch)
	if out != nil {
		return out
	}
	if out := s.checkStep(vm, t); out != nil {
		return out
	}
	before := vm
	vm = stepped(vm, t)
	if out := s.checkDrainBudget(before, vm); out != nil {
		return out
	}
	s.countProbation(before, vm, t.FailedProbation)
	delete(s.acks, vm.ID)
	if vm.Removed && (vm.State == structs.VMDrained || vm.State == structs.VMFailed) {
		s.forgetVM(vm.ID)
		return nil
	}
	s.putVM(vm)
	return nil
}

// planned checks what each act on a VM needs: the lease, the VM and its
// sequence.
func (s *State) planned(writer, id string, sequence uint64, scope string, epoch structs.Epoch) (structs.VMStatus, *Refusal) {
	vm, ok := s.vms.get(id)
	if !ok {
		return vm, refuse(structs.VoidUnknownItem, "VM %s does not exist", shown(id))
	}
	if out := s.holds(writer, scope, epoch); out != nil {
		return vm, out
	}
	if vm.Sequence != sequence {
		return vm, refuse(structs.VoidStale, "VM %s is at sequence %d, the record names %d: decide again on the current state", shown(id), vm.Sequence, sequence)
	}
	return vm, nil
}

// checkStep checks that a transition may follow the VM's present state.
func (s *State) checkStep(vm structs.VMStatus, t *structs.Transition) *Refusal {
	if len(t.Image) > maxTextBytes {
		return refuse(structs.VoidInvalid, "the image is longer than %d bytes", maxTextBytes)
	}
	if t.To == structs.VMRebooting && s.unsafe.drainBeforeReboot {
		return nil
	}
	if t.To == structs.VMRebooting && vm.State != structs.VMDrained {
		return refuse(structs.VoidNotDrained, "VM %s is %s: drain it before the reboot", shown(vm.ID), vm.State)
	}
	if !mayFollow(vm.State, t.To) {
		return refuse(structs.VoidInvalid, "VM %s is %s and can't become %s next", shown(vm.ID), vm.State, t.To)
	}
	if vm.Removed && t.To == structs.VMActive {
		return refuse(structs.VoidInvalid, "VM %s was removed from the manifest: let it drain", shown(vm.ID))
	}
	if t.To == structs.VMDrained {
		return s.drained(vm)
	}
	if t.To == structs.VMDraining && t.Wave != "" {
		return s.checkWaveTakes(vm, t.Wave)
	}
	return nil
}

// stepped returns the VM after a transition.
func stepped(vm structs.VMStatus, t *structs.Transition) structs.VMStatus {
	vm.State = t.To
	vm.Sequence++
	vm.Acks = nil
	switch t.To {
	case structs.VMDraining:
		vm.Wave = t.Wave
	case structs.VMProbation:
		if t.Image != "" {
			vm.Image = t.Image
		}
	case structs.VMActive:
		vm.Wave = ""
	}
	return vm
}

// checkDrainBudget checks that a step that takes a VM out of service by plan
// leaves every budget of its pool whole.
func (s *State) checkDrainBudget(before, after structs.VMStatus) *Refusal {
	if !before.State.Available() || after.State != structs.VMDraining {
		return nil
	}
	s.repairTally(before.Pool)
	s.index.countVM(&before, -1)
	s.index.countVM(&after, 1)
	out := s.budgetsHold(before.Pool)
	s.index.countVM(&after, -1)
	s.index.countVM(&before, 1)
	return out
}

// applyMove gives a drained VM to another pool.
func (s *State) applyMove(writer string, m *structs.Move) *Refusal {
	vm, out := s.planned(writer, m.VM, m.Sequence, m.LeaseScope, m.LeaseEpoch)
	if out != nil {
		return out
	}
	if vm.State != structs.VMDrained {
		return refuse(structs.VoidNotDrained, "VM %s is %s: drain it before the move", shown(vm.ID), vm.State)
	}
	if _, ok := s.pools.get(m.To); !ok {
		return refuse(structs.VoidUnknownItem, "pool %s is not declared", shown(m.To))
	}
	if vm.Removed || vm.Pool == m.To {
		return refuse(structs.VoidInvalid, "VM %s is removed or in pool %s already: choose another", shown(vm.ID), shown(m.To))
	}
	s.repairTally(vm.Pool)
	before := vm
	missing := s.missing(m.To)
	vm.Pool = m.To
	vm.Sequence++
	s.putVM(vm)
	if out := s.moveKeepsBudgets(before.Pool, vm.Pool, missing); out != nil {
		s.putVM(before)
		return out
	}
	return nil
}

// moveKeepsBudgets checks both pools after a move. The giving pool must keep
// its budgets. The receiving pool may be short, as long as it is no shorter
// than before: it could else not be helped one VM at a time.
func (s *State) moveKeepsBudgets(from, to string, missing []availability.Missing) *Refusal {
	if out := s.budgetsHold(from); out != nil {
		return out
	}
	if out := s.budgetsPossible(from); out != nil {
		return out
	}
	for i, after := range s.missing(to) {
		if after.Exceeds(missing[i]) {
			return s.budgetsPossible(to)
		}
	}
	return nil
}
