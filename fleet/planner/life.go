package planner

import (
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// advanceVMs moves each VM that is out of service to its next state when it is
// ready, and marks failed VMs. It skips VMs in unreachable zones and VMs that
// this plan already changes.
func (r *round) advanceVMs() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if r.unreachableZones[vm.Zone] || r.changed[vm.ID] {
			continue
		}
		r.advanceVM(vm)
	}
}

func (r *round) advanceVM(vm *structs.VMStatus) {
	observation := r.observations[vm.ID]
	image := r.targetImage(vm)
	if vm.State == structs.VMDrained {
		r.advanceDrained(vm)
		return
	}
	if vm.State == structs.VMProbation && vm.Removed {
		r.addTransition(vm, structs.Transition{To: structs.VMDraining})
		return
	}
	step := r.p.tracker.Next(vm, observation, wave.Context{
		Now:     r.now,
		Members: r.view.EntryEpochs[vm.Zone].Members,
		Image:   image,
		// A wave drains only VMs that run an image other than its own.
		NewImage: vm.Wave != "" && image == r.view.Waves[vm.Wave].Image,
	})
	if step.Drain {
		r.requestAction(ActionDrain, vm, "")
	}
	if step.Reboot {
		r.requestAction(ActionReboot, vm, image)
	}
	if step.To == 0 {
		return
	}
	t := structs.Transition{To: step.To, Wave: vm.Wave, FailedProbation: step.FailedProbation}
	if step.To == structs.VMProbation {
		t.Image = bootedImage(observation, image)
	}
	r.addTransition(vm, t)
	if step.To == structs.VMDrained {
		drained := *vm
		drained.Sequence++
		r.advanceDrained(&drained)
	}
}

// bootedImage returns the image that a VM booted, or the target image if the
// booted one is not known.
func bootedImage(observation *Observation, target string) string {
	if observation.Image != "" {
		return observation.Image
	}
	return target
}

// advanceDrained moves a drained VM to its destination pool, if it has one,
// and reboots it. A removed VM needs no reboot: the control state drops it.
func (r *round) advanceDrained(vm *structs.VMStatus) {
	if vm.Removed {
		return
	}
	if r.proposeMove(vm) {
		vm = r.afterMove(vm)
	}
	r.addTransition(vm, structs.Transition{To: structs.VMRebooting, Wave: vm.Wave})
}

// afterMove returns a copy of the VM as it will be after the move has been
// applied.
func (r *round) afterMove(vm *structs.VMStatus) *structs.VMStatus {
	moved := *vm
	moved.Pool = r.destination(vm)
	moved.Sequence++
	return &moved
}

// targetImage returns the image that the VM must boot next. A VM drained by a
// wave that was stopped keeps its image.
func (r *round) targetImage(vm *structs.VMStatus) string {
	if status, found := r.view.Waves[vm.Wave]; found && vm.Wave != "" {
		if status.Stopped != "" {
			return vm.Image
		}
		return status.Image
	}
	if name := r.waveByPool[vm.Pool]; name != "" {
		return r.view.Waves[name].Image
	}
	return r.view.Pools[vm.Pool].Image
}

// drainRemoved drains the VMs that are no longer in the manifest.
func (r *round) drainRemoved() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if !vm.Removed || !r.drainable(vm) || r.full() {
			continue
		}
		if r.ledger.Check(vm) == "" {
			r.planDrain(vm, "", "")
		}
	}
}

// cancelDrainsInStrainedPools cancels drains in pools that a failure has left
// without the reserve required by their budgets.
func (r *round) cancelDrainsInStrainedPools() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if !r.drainCancelable(vm) || !r.ledger.Strained(vm.Pool) {
			continue
		}
		r.cancelDrain(vm)
	}
}

// drainCancelable reports whether the VM is draining and would serve again
// immediately if the drain were canceled.
func (r *round) drainCancelable(vm *structs.VMStatus) bool {
	if vm.State != structs.VMDraining || vm.Removed || r.changed[vm.ID] || r.unreachableZones[vm.Zone] {
		return false
	}
	observation := r.observations[vm.ID]
	return observation != nil && observation.Presence == wave.PresenceLive && observation.ProbeOK
}

// cancelDrain returns a draining VM to service. Requests in progress on it are
// not interrupted.
func (r *round) cancelDrain(vm *structs.VMStatus) {
	r.ledger.MarkAvailable(vm)
	r.p.tracker.RecordCanceledDrain(vm.ID, r.now)
	r.addTransition(vm, structs.Transition{To: structs.VMActive})
}
