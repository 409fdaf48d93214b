package state

import (
	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// nextStates lists, for each state, the states that a transition may lead to,
// in addition to failed, which may follow any other state.
var nextStates = map[structs.VMState][]structs.VMState{
	structs.VMActive:    {structs.VMDraining},
	structs.VMDraining:  {structs.VMDrained, structs.VMActive},
	structs.VMDrained:   {structs.VMRebooting, structs.VMProbation, structs.VMActive},
	structs.VMRebooting: {structs.VMProbation},
	structs.VMProbation: {structs.VMActive, structs.VMDraining},
	structs.VMFailed:    {structs.VMProbation, structs.VMDraining},
}

// canTransition reports whether a VM may change from one state to another.
func canTransition(from, to structs.VMState) bool {
	if to == structs.VMFailed {
		return from != structs.VMFailed
	}
	for _, state := range nextStates[from] {
		if state == to {
			return true
		}
	}
	return false
}

// applyTransition changes the state of a VM.
func (s *State) applyTransition(writer string, t *structs.Transition) *Refusal {
	vm, refusal := s.authorizeAction(writer, t.VM, t.Sequence, t.LeaseScope, t.LeaseEpoch)
	if refusal != nil {
		return refusal
	}
	if refusal := s.checkTransition(vm, t); refusal != nil {
		return refusal
	}
	before := vm
	vm = afterTransition(vm, t)
	if refusal := s.checkDrainBudget(before, vm); refusal != nil {
		return refusal
	}
	s.countProbation(before, vm, t.FailedProbation)
	delete(s.acks, vm.ID)
	if vm.Removed && (vm.State == structs.VMDrained || vm.State == structs.VMFailed) {
		s.purgeVM(vm.ID)
		return nil
	}
	s.putVM(vm)
	return nil
}

// authorizeAction checks the preconditions of every action on a VM and returns
// the VM: the VM exists, the writer holds the lease, and the sequence is
// current.
func (s *State) authorizeAction(writer, id string, sequence uint64, scope string, epoch structs.Epoch) (structs.VMStatus, *Refusal) {
	vm, ok := s.vms.get(id)
	if !ok {
		return vm, refuse(structs.VoidUnknownItem, "VM %s does not exist", quoteText(id))
	}
	if refusal := s.checkHolder(writer, scope, epoch); refusal != nil {
		return vm, refusal
	}
	if vm.Sequence != sequence {
		return vm, refuse(structs.VoidStale, "VM %s is at sequence %d, but the record names sequence %d: decide again based on the current state", quoteText(id), vm.Sequence, sequence)
	}
	return vm, nil
}

// checkTransition checks that a transition is valid in the VM's current state.
func (s *State) checkTransition(vm structs.VMStatus, t *structs.Transition) *Refusal {
	if len(t.Image) > maxTextBytes {
		return refuse(structs.VoidInvalid, "image name is longer than %d bytes", maxTextBytes)
	}
	if t.To == structs.VMRebooting && s.skip.drainBeforeReboot {
		return nil
	}
	if t.To == structs.VMRebooting && vm.State != structs.VMDrained {
		return refuse(structs.VoidNotDrained, "VM %s is %s: drain it before rebooting it", quoteText(vm.ID), vm.State)
	}
	if !canTransition(vm.State, t.To) {
		return refuse(structs.VoidInvalid, "VM %s is %s and can't become %s", quoteText(vm.ID), vm.State, t.To)
	}
	if vm.Removed && t.To == structs.VMActive {
		return refuse(structs.VoidInvalid, "VM %s was removed from the manifest and can't return to service: drain it", quoteText(vm.ID))
	}
	if t.To == structs.VMDrained {
		return s.checkDrainAcks(vm)
	}
	if t.To == structs.VMDraining && t.Wave != "" {
		return s.checkWaveDrain(vm, t.Wave)
	}
	return nil
}

// afterTransition returns the VM after a transition.
func afterTransition(vm structs.VMStatus, t *structs.Transition) structs.VMStatus {
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

// checkDrainBudget checks that a transition that drains an available VM keeps
// all budgets of its pool.
func (s *State) checkDrainBudget(before, after structs.VMStatus) *Refusal {
	if !before.State.Available() || after.State != structs.VMDraining {
		return nil
	}
	s.repairTally(before.Pool)
	s.index.countVM(&before, -1)
	s.index.countVM(&after, 1)
	refusal := s.checkAvailableBudgets(before.Pool)
	s.index.countVM(&after, -1)
	s.index.countVM(&before, 1)
	return refusal
}

// applyMove assigns a drained VM to another pool.
func (s *State) applyMove(writer string, m *structs.Move) *Refusal {
	vm, refusal := s.authorizeAction(writer, m.VM, m.Sequence, m.LeaseScope, m.LeaseEpoch)
	if refusal != nil {
		return refusal
	}
	if vm.State != structs.VMDrained {
		return refuse(structs.VoidNotDrained, "VM %s is %s: drain it before moving it", quoteText(vm.ID), vm.State)
	}
	if _, ok := s.pools.get(m.To); !ok {
		return refuse(structs.VoidUnknownItem, "pool %s is not declared", quoteText(m.To))
	}
	if vm.Removed || vm.Pool == m.To {
		return refuse(structs.VoidInvalid, "VM %s was removed or is already in pool %s: choose another VM", quoteText(vm.ID), quoteText(m.To))
	}
	s.repairTally(vm.Pool)
	before := vm
	missing := s.declaredMissing(m.To)
	vm.Pool = m.To
	vm.Sequence++
	s.putVM(vm)
	if refusal := s.checkMoveBudgets(before.Pool, vm.Pool, missing); refusal != nil {
		s.putVM(before)
		return refusal
	}
	return nil
}

// checkMoveBudgets checks the budgets of both pools after a move. The source
// pool must keep its budgets. The destination pool may be below its budgets,
// but not further than before the move: otherwise a pool that lacks several VMs
// could not receive them one at a time.
func (s *State) checkMoveBudgets(from, to string, missing []availability.Missing) *Refusal {
	if refusal := s.checkAvailableBudgets(from); refusal != nil {
		return refusal
	}
	if refusal := s.checkDeclaredBudgets(from); refusal != nil {
		return refusal
	}
	for i, after := range s.declaredMissing(to) {
		if after.WorseThan(missing[i]) {
			return s.checkDeclaredBudgets(to)
		}
	}
	return nil
}
