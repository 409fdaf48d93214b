package planner

import (
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// advanceVMs takes each VM that is out of service one step further, and marks
// the VMs that failed.
func (r *round) advanceVMs() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if r.cut[vm.Zone] || r.changed[vm.ID] {
			continue
		}
		r.advance(vm)
	}
}

func (r *round) advance(vm *structs.VMStatus) {
	seen := r.seen[vm.ID]
	image := r.targetImage(vm)
	if vm.State == structs.VMDrained {
		r.advanceDrained(vm)
		return
	}
	if vm.State == structs.VMProbation && vm.Removed {
		r.transition(vm, structs.Transition{To: structs.VMDraining})
		return
	}
	step := r.p.tracker.Next(vm, seen, wave.Context{
		Now:     r.now,
		Members: r.view.Entry[vm.Zone].Members,
		Image:   image,
		// A wave takes only VMs that run another image than its own.
		NewImage: vm.Wave != "" && image == r.view.Waves[vm.Wave].Image,
	})
	if step.Drain {
		r.act(ActionDrain, vm, "")
	}
	if step.Reboot {
		r.act(ActionReboot, vm, image)
	}
	if step.To == 0 {
		return
	}
	t := structs.Transition{To: step.To, Wave: vm.Wave, FailedProbation: step.FailedProbation}
	if step.To == structs.VMProbation {
		t.Image = cameBackOn(seen, image)
	}
	r.transition(vm, t)
	if step.To == structs.VMDrained {
		drained := *vm
		drained.Sequence++
		r.advanceDrained(&drained)
	}
}

// cameBackOn returns the image a VM came back on.
func cameBackOn(seen *Observation, wanted string) string {
	if seen.Image != "" {
		return seen.Image
	}
	return wanted
}

// advanceDrained reboots a drained VM. A removed VM needs no reboot: the
// control state drops it.
func (r *round) advanceDrained(vm *structs.VMStatus) {
	if vm.Removed {
		return
	}
	if r.moveDrained(vm) {
		vm = r.movedCopy(vm)
	}
	r.transition(vm, structs.Transition{To: structs.VMRebooting, Wave: vm.Wave})
}

// movedCopy returns the VM as it will be once the move has been folded.
func (r *round) movedCopy(vm *structs.VMStatus) *structs.VMStatus {
	moved := *vm
	moved.Pool = r.destination(vm)
	moved.Sequence++
	return &moved
}

// targetImage returns the image the VM is to come back on. A VM taken out by
// a wave that was stopped keeps its image.
func (r *round) targetImage(vm *structs.VMStatus) string {
	if status, found := r.view.Waves[vm.Wave]; found && vm.Wave != "" {
		if status.Stopped != "" {
			return vm.Image
		}
		return status.Image
	}
	if name := r.byPool[vm.Pool]; name != "" {
		return r.view.Waves[name].Image
	}
	return r.view.Pools[vm.Pool].Image
}

// drainRemoved drains the VMs that the manifest no longer lists.
func (r *round) drainRemoved() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if !vm.Removed || !r.takeable(vm) || r.full() {
			continue
		}
		if r.ledger.Check(vm) == "" {
			r.take(vm, "", "")
		}
	}
}

// relieveStrain calls back drains in pools that a failure has left without
// the reserve their budgets name.
func (r *round) relieveStrain() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if !r.recallable(vm) || !r.ledger.Strained(vm.Pool) {
			continue
		}
		r.recall(vm)
	}
}

// recallable says that a drain can be called back and the VM then serves.
func (r *round) recallable(vm *structs.VMStatus) bool {
	if vm.State != structs.VMDraining || vm.Removed || r.changed[vm.ID] || r.cut[vm.Zone] {
		return false
	}
	seen := r.seen[vm.ID]
	return seen != nil && seen.Present == wave.PresenceLive && seen.ProbeOK
}

// recall returns a draining VM to service. No work in progress is cut.
func (r *round) recall(vm *structs.VMStatus) {
	r.ledger.Release(vm)
	r.p.tracker.Recall(vm.ID, r.now)
	r.transition(vm, structs.Transition{To: structs.VMActive})
}
