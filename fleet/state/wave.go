package state

import (
	"slices"

	"wigeonwinch/fleet/structs"
)

// waveProgress holds the IDs of the VMs that a wave has counted.
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

// waveCoversPool reports whether a wave covers a pool.
func waveCoversPool(w structs.Wave, pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

// checkWaveDrain checks that a VM may be drained for a wave.
func (s *State) checkWaveDrain(vm structs.VMStatus, name string) *Refusal {
	wave, ok := s.waves.get(name)
	if !ok {
		return refuse(structs.VoidUnknownItem, "wave %s is not declared", quoteText(name))
	}
	if wave.Stopped != "" {
		return refuse(structs.VoidInvalid, "wave %s was stopped (%s): publish it with another name", quoteText(name), wave.Stopped)
	}
	if wave.Paused {
		return refuse(structs.VoidInvalid, "wave %s is paused: publish it with paused set to false", quoteText(name))
	}
	if !waveCoversPool(wave.Wave, vm.Pool) {
		return refuse(structs.VoidInvalid, "wave %s does not cover pool %s of VM %s", quoteText(name), quoteText(vm.Pool), quoteText(vm.ID))
	}
	return nil
}

// countProbation counts a VM that passes or fails probation for each wave whose
// image it runs, whether it was drained for the wave or restarted for another
// reason. A failure also counts for the wave for which the VM was drained,
// whatever image the VM runs. Each wave counts a VM once.
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
		onImage := wave.Image == after.Image && waveCoversPool(wave.Wave, after.Pool)
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
	s.updateWaveCounts(wave)
}

// updateWaveCounts stores a wave with its current counts.
func (s *State) updateWaveCounts(wave structs.WaveStatus) {
	p := s.progress[wave.Name]
	wave.Returned = len(p.returned)
	wave.FailedProbation = len(p.failed)
	s.waves.put(wave.Name, wave)
}

// applyWaveStop stops a wave.
func (s *State) applyWaveStop(writer string, w *structs.WaveStop) *Refusal {
	if refusal := s.checkHolder(writer, w.LeaseScope, w.LeaseEpoch); refusal != nil {
		return refusal
	}
	wave, ok := s.waves.get(w.Wave)
	if !ok {
		return refuse(structs.VoidUnknownItem, "wave %s is not declared", quoteText(w.Wave))
	}
	if wave.Stopped != "" {
		return refuse(structs.VoidStale, "wave %s is already stopped", quoteText(w.Wave))
	}
	if w.Reason == "" || len(w.Reason) > maxTextBytes {
		return refuse(structs.VoidInvalid, "specify a reason of 1 to %d bytes for stopping the wave", maxTextBytes)
	}
	wave.Stopped = w.Reason
	s.waves.put(w.Wave, wave)
	return nil
}

// purgeVM deletes a VM with its address, acknowledgements and wave counts.
func (s *State) purgeVM(id string) {
	if vm, ok := s.vms.get(id); ok {
		s.index.addresses.remove(vm.Address, id)
	}
	s.removeVM(id)
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
		s.updateWaveCounts(wave)
	}
}
