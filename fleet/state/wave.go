package state

import (
	"slices"

	"wigeonwinch/fleet/structs"
)

// waveProgress holds the VMs that a wave has counted, by ID.
type waveProgress struct {
	returned map[string]struct{}
	failed   map[string]struct{}
}

func newWaveProgress() *waveProgress {
	return &waveProgress{
		returned: map[string]struct{}{},
		failed:   map[string]struct{}{},
	}
}

// covers says whether a wave concerns a pool.
func covers(w structs.Wave, pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

// checkWaveTakes checks that a wave may take a VM out.
func (s *State) checkWaveTakes(vm structs.VMStatus, name string) *Refusal {
	wave, ok := s.waves.get(name)
	if !ok {
		return refuse(structs.VoidUnknownItem, "wave %s is not declared", shown(name))
	}
	if wave.Stopped != "" {
		return refuse(structs.VoidInvalid, "wave %s was stopped (%s): publish it under another name", shown(name), wave.Stopped)
	}
	if wave.Paused {
		return refuse(structs.VoidInvalid, "wave %s is paused: publish it with paused false", shown(name))
	}
	if !covers(wave.Wave, vm.Pool) {
		return refuse(structs.VoidInvalid, "wave %s does not cover pool %s of VM %s", shown(name), shown(vm.Pool), shown(vm.ID))
	}
	return nil
}

// countProbation counts a VM that passes or fails probation for each wave
// whose image it came back on, whether a wave took it out or it was restarted
// for another reason. A failure also counts for the wave that took the VM out,
// whatever image it came back on. A VM counts once for a wave.
func (s *State) countProbation(before, after structs.VMStatus, failedProbation bool) {
	if before.State != structs.VMProbation {
		return
	}
	passed := after.State == structs.VMActive
	failed := after.State == structs.VMFailed && failedProbation
	if !passed && !failed {
		return
	}
	for _, wave := range s.waves.sorted() {
		onImage := wave.Image == after.Image && covers(wave.Wave, after.Pool)
		if onImage || (failed && wave.Name == after.Wave) {
			s.countForWave(wave, after.ID, passed)
		}
	}
}

func (s *State) countForWave(wave structs.WaveStatus, vm string, passed bool) {
	p := s.progress[wave.Name]
	if passed {
		p.returned[vm] = struct{}{}
	} else {
		p.failed[vm] = struct{}{}
	}
	s.putWaveCounts(wave)
}

// putWaveCounts stores a wave with its counts brought up to date.
func (s *State) putWaveCounts(wave structs.WaveStatus) {
	p := s.progress[wave.Name]
	wave.Returned = len(p.returned)
	wave.FailedProbation = len(p.failed)
	s.waves.put(wave.Name, wave)
}

// applyWaveStop ends a wave.
func (s *State) applyWaveStop(writer string, w *structs.WaveStop) *Refusal {
	if out := s.holds(writer, w.LeaseScope, w.LeaseEpoch); out != nil {
		return out
	}
	wave, ok := s.waves.get(w.Wave)
	if !ok {
		return refuse(structs.VoidUnknownItem, "wave %s is not declared", shown(w.Wave))
	}
	if wave.Stopped != "" {
		return refuse(structs.VoidStale, "wave %s was stopped before", shown(w.Wave))
	}
	if w.Reason == "" || len(w.Reason) > maxTextBytes {
		return refuse(structs.VoidInvalid, "give the reason for the stop in 1 to %d bytes", maxTextBytes)
	}
	wave.Stopped = w.Reason
	s.waves.put(w.Wave, wave)
	return nil
}

// forgetVM drops a VM and all that was kept for it.
func (s *State) forgetVM(id string) {
	if vm, ok := s.vms.get(id); ok {
		s.index.addresses.remove(vm.Address, id)
	}
	s.dropVM(id)
	delete(s.acks, id)
	for _, wave := range s.waves.sorted() {
		p := s.progress[wave.Name]
		_, returned := p.returned[id]
		_, failed := p.failed[id]
		if !returned && !failed {
			continue
		}
		delete(p.returned, id)
		delete(p.failed, id)
		s.putWaveCounts(wave)
	}
}
