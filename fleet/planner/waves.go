package planner

import (
	"fmt"
	"sort"
	"time"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// assignWaves determines the wave that applies to each pool. If several waves
// do, the one with the image declared by the pool wins, then the last by name.
func (r *round) assignWaves() {
	r.waveByPool = make(map[string]string)
	for name := range r.view.Waves {
		r.waves = append(r.waves, name)
	}
	sort.Strings(r.waves)
	for _, name := range r.waves {
		status := r.view.Waves[name]
		if status.Stopped != "" {
			continue
		}
		for _, pool := range r.poolsOfWave(status) {
			r.assignWave(pool, name)
		}
	}
}

func (r *round) assignWave(pool, name string) {
	current, assigned := r.waveByPool[pool]
	declared := r.view.Pools[pool].Image
	if assigned && r.view.Waves[current].Image == declared && r.view.Waves[name].Image != declared {
		return
	}
	r.waveByPool[pool] = name
}

// poolsOfWave returns the pools that a wave applies to, sorted.
func (r *round) poolsOfWave(status structs.WaveStatus) []string {
	var pools []string
	if len(status.Pools) > 0 {
		pools = append(pools, status.Pools...)
	} else {
		for pool := range r.view.Pools {
			pools = append(pools, pool)
		}
	}
	sort.Strings(pools)
	return pools
}

// stopWaves stops the waves for which too many VMs fail probation after their
// reboot, and cancels the drains of stopped waves.
func (r *round) stopWaves() {
	for _, name := range r.waves {
		status := r.view.Waves[name]
		if status.Stopped == "" && r.p.options.Wave.MustStop(status) {
			r.stopWave(status)
		}
	}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.Wave != "" && r.waveStopped(vm.Wave) && r.drainCancelable(vm) {
			r.cancelDrain(vm)
		}
	}
}

func (r *round) stopWave(status structs.WaveStatus) {
	finished := status.Returned + status.FailedProbation
	reason := fmt.Sprintf("%d of %d returning VMs failed probation on image %q; publish a wave with a mended image",
		status.FailedProbation, finished, status.Image)
	for pool, name := range r.waveByPool {
		if name == status.Name {
			delete(r.waveByPool, pool)
		}
	}
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:    r.recordKey(status.Name, 0, "wave-stop"),
		Writer: r.in.Writer,
		WaveStop: &structs.WaveStop{
			Wave:       status.Name,
			Reason:     reason,
			LeaseScope: r.in.Scope,
			LeaseEpoch: r.in.Epoch,
		},
	})
}

// waveStopped reports whether the wave was stopped, must stop or no longer
// exists.
func (r *round) waveStopped(name string) bool {
	status, found := r.view.Waves[name]
	return !found || status.Stopped != "" || r.p.options.Wave.MustStop(status)
}

// waveMayDrain reports whether the wave may drain further VMs now.
func (r *round) waveMayDrain(status structs.WaveStatus) bool {
	if status.Paused || status.Stopped != "" {
		return false
	}
	window, found := r.view.Windows[status.Window]
	return status.Window == "" || (found && wave.WindowOpen(window, r.now))
}

// runsImage reports whether the VM runs the image. This includes a VM that
// booted the image during an unplanned restart or replacement.
func (r *round) runsImage(vm *structs.VMStatus, image string) bool {
	if vm.Image == image {
		return true
	}
	observation := r.observations[vm.ID]
	return observation != nil && observation.Image == image
}

// drainForWaves drains as many VMs of each pool as the budgets allow.
func (r *round) drainForWaves() {
	byPool := r.candidates()
	pools := make([]string, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	sort.Strings(pools)
	for _, pool := range pools {
		r.drainFromPool(r.waveByPool[pool], byPool[pool])
	}
}

// candidates returns, by pool, the VMs that a wave still has to drain.
func (r *round) candidates() map[string][]wave.Candidate {
	byPool := make(map[string][]wave.Candidate)
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		name := r.waveByPool[vm.Pool]
		if name == "" || vm.Removed || !r.drainable(vm) {
			continue
		}
		status := r.view.Waves[name]
		if r.runsImage(vm, status.Image) || !r.waveMayDrain(status) {
			continue
		}
		candidate := wave.Candidate{VM: vm, CanceledDrains: r.p.tracker.CanceledDrains(vm.ID)}
		if observation := r.observations[vm.ID]; observation != nil {
			candidate.InProgress = observation.InProgress
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], candidate)
	}
	return byPool
}

func (r *round) drainFromPool(name string, candidates []wave.Candidate) {
	wave.Order(r.ledger, candidates)
	for _, c := range candidates {
		if r.full() {
			return
		}
		if r.ledger.Check(c.VM) == budget.Allowed {
			r.planDrain(c.VM, name, "")
			continue
		}
		r.recordRefusal(c)
	}
}

// recordRefusal records that the budgets refused to drain a candidate.
func (r *round) recordRefusal(c wave.Candidate) {
	minCancels, found := r.minRefusedCancels[c.VM.Pool]
	if !found || c.CanceledDrains < minCancels {
		r.minRefusedCancels[c.VM.Pool] = c.CanceledDrains
	}
}

// cancelStragglingDrains cancels drains that take too long while other VMs of
// the pool wait to be drained. If no VM is waiting, the drain continues.
func (r *round) cancelStragglingDrains() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State != structs.VMDraining || !r.p.tracker.Straggling(vm.ID, r.now) {
			continue
		}
		minCancels, refused := r.minRefusedCancels[vm.Pool]
		if refused && minCancels <= r.p.tracker.CanceledDrains(vm.ID) && r.drainCancelable(vm) {
			r.cancelDrain(vm)
		}
	}
}

// WaveForecast is the progress and the expected end of a wave.
type WaveForecast struct {
	Wave string `json:"wave"`
	// Pending, OutOfService, Done and Failed count VMs; their sum is the number
	// of VMs that the wave applies to. OutOfService does not include failed
	// VMs.
	Pending      int `json:"pending"`
	OutOfService int `json:"out"`
	Done         int `json:"done"`
	Failed       int `json:"failed"`
	// Blocked lists the pools whose budgets allow no VM to be out of service,
	// sorted.
	Blocked []string `json:"blocked"`
	// Stopped is the reason why the wave was stopped, or empty.
	Stopped string `json:"stopped"`
	// Paused reports whether the wave drains no further VMs until it is
	// resumed.
	Paused bool `json:"paused"`
	// ExpectedEnd is the expected end, or zero if it cannot be estimated.
	ExpectedEnd time.Time `json:"end"`
}
