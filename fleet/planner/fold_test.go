package planner

import "wigeonwinch/fleet/structs"

// allowedSteps are the transitions that the stand-in for the fold accepts.
var allowedSteps = map[structs.VMState][]structs.VMState{
	structs.VMActive:    {structs.VMDraining, structs.VMFailed},
	structs.VMDraining:  {structs.VMDrained, structs.VMActive, structs.VMFailed},
	structs.VMDrained:   {structs.VMRebooting, structs.VMFailed},
	structs.VMRebooting: {structs.VMProbation, structs.VMFailed},
	structs.VMProbation: {structs.VMActive, structs.VMFailed},
	structs.VMFailed:    {structs.VMProbation},
}

// fold applies one record to the view as the log's fold would, and says
// whether it was valid.
func (s *sim) fold(rec structs.Record) bool {
	s.view.Offset++
	if s.keys[rec.Key] {
		return false
	}
	applied := s.apply(rec)
	s.keys[rec.Key] = applied
	return applied
}

func (s *sim) apply(rec structs.Record) bool {
	switch {
	case rec.Transition != nil:
		return rec.Transition.LeaseEpoch == s.epoch && s.foldTransition(rec.Transition)
	case rec.Move != nil:
		return rec.Move.LeaseEpoch == s.epoch && s.foldMove(rec.Move)
	case rec.WaveStop != nil:
		status := s.view.Waves[rec.WaveStop.Wave]
		status.Stopped = rec.WaveStop.Reason
		s.view.Waves[rec.WaveStop.Wave] = status
		return true
	}
	return false
}

func (s *sim) foldTransition(t *structs.Transition) bool {
	vm := &s.view.VMs[s.byID[t.VM]]
	if vm.Sequence != t.Sequence || !allowed(vm.State, t.To) {
		return false
	}
	if t.To == structs.VMDraining && !s.foldBudget(vm) {
		return false
	}
	if t.To == structs.VMDrained && len(vm.Acks) < len(s.view.Entry[vm.Zone].Members) {
		return false
	}
	s.foldWave(vm, t)
	vm.State = t.To
	vm.Sequence++
	vm.Wave = t.Wave
	vm.Acks = nil
	if t.To == structs.VMProbation {
		vm.Image = t.Image
	}
	return true
}

func (s *sim) foldWave(vm *structs.VMStatus, t *structs.Transition) {
	status, found := s.view.Waves[t.Wave]
	if !found {
		return
	}
	if t.FailedProbation {
		status.FailedProbation++
	}
	if vm.State == structs.VMProbation && t.To == structs.VMActive {
		status.Returned++
	}
	s.view.Waves[t.Wave] = status
}

func (s *sim) foldMove(m *structs.Move) bool {
	vm := &s.view.VMs[s.byID[m.VM]]
	if vm.Sequence != m.Sequence || vm.State != structs.VMDrained {
		return false
	}
	vm.Pool = m.To
	vm.Sequence++
	return true
}

func (s *sim) foldBudget(vm *structs.VMStatus) bool {
	active := 0
	for i := range s.view.VMs {
		if s.view.VMs[i].Pool == vm.Pool && s.view.VMs[i].State == structs.VMActive {
			active++
		}
	}
	for _, service := range s.view.Services {
		if service.Pool == vm.Pool && active-1 < service.Budget.MinAvailable {
			return false
		}
	}
	return true
}

func allowed(from, to structs.VMState) bool {
	for _, state := range allowedSteps[from] {
		if state == to {
			return true
		}
	}
	return false
}
