package planner

import (
	"fmt"
	"sort"
	"time"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// chooseWaves finds the wave that concerns each pool. Where several do, the
// one whose image the pool declares wins, then the last by name.
func (r *round) chooseWaves() {
	r.byPool = make(map[string]string)
	for name := range r.view.Waves {
		r.waves = append(r.waves, name)
	}
	sort.Strings(r.waves)
	for _, name := range r.waves {
		status := r.view.Waves[name]
		if status.Stopped != "" {
			continue
		}
		for _, pool := range r.poolsOf(status) {
			r.offerWave(pool, name)
		}
	}
}

func (r *round) offerWave(pool, name string) {
	current, taken := r.byPool[pool]
	declared := r.view.Pools[pool].Image
	if taken && r.view.Waves[current].Image == declared && r.view.Waves[name].Image != declared {
		return
	}
	r.byPool[pool] = name
}

// poolsOf returns the pools a wave concerns, sorted.
func (r *round) poolsOf(status structs.WaveStatus) []string {
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

// stopWaves ends the waves whose returning VMs fail and calls their drains
// back.
func (r *round) stopWaves() {
	for _, name := range r.waves {
		status := r.view.Waves[name]
		if status.Stopped == "" && r.p.options.Wave.MustStop(status) {
			r.stopWave(status)
		}
	}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.Wave != "" && r.stopped(vm.Wave) && r.recallable(vm) {
			r.recall(vm)
		}
	}
}

func (r *round) stopWave(status structs.WaveStatus) {
	tried := status.Returned + status.FailedProbation
	reason := fmt.Sprintf("%d of %d returning VMs failed probation on image %q; publish a wave with a mended image",
		status.FailedProbation, tried, status.Image)
	for pool, name := range r.byPool {
		if name == status.Name {
			delete(r.byPool, pool)
		}
	}
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:    r.key(status.Name, 0, "wave-stop"),
		Writer: r.in.Writer,
		WaveStop: &structs.WaveStop{
			Wave:       status.Name,
			Reason:     reason,
			LeaseScope: r.in.Scope,
			LeaseEpoch: r.in.Epoch,
		},
	})
}

// stopped says that the wave was ended early or no longer exists.
func (r *round) stopped(name string) bool {
	status, found := r.view.Waves[name]
	return !found || status.Stopped != "" || r.p.options.Wave.MustStop(status)
}

// takesVMs says that the wave may take further VMs now.
func (r *round) takesVMs(status structs.WaveStatus) bool {
	if status.Paused || status.Stopped != "" {
		return false
	}
	window, found := r.view.Windows[status.Window]
	return status.Window == "" || (found && wave.Open(window, r.now))
}

// done says that the VM runs the image. A VM that was restarted or replaced
// and came back on the image counts.
func (r *round) done(vm *structs.VMStatus, image string) bool {
	if vm.Image == image {
		return true
	}
	seen := r.seen[vm.ID]
	return seen != nil && seen.Image == image
}

// takeForWaves drains, in every pool, as many VMs as the budgets allow.
func (r *round) takeForWaves() {
	byPool := r.candidates()
	pools := make([]string, 0, len(byPool))
	for pool := range byPool {
		pools = append(pools, pool)
	}
	sort.Strings(pools)
	for _, pool := range pools {
		r.takeFromPool(r.byPool[pool], byPool[pool])
	}
}

// candidates returns the VMs that a wave has yet to take, by pool.
func (r *round) candidates() map[string][]wave.Candidate {
	byPool := make(map[string][]wave.Candidate)
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		name := r.byPool[vm.Pool]
		if name == "" || vm.Removed || !r.takeable(vm) {
			continue
		}
		status := r.view.Waves[name]
		if r.done(vm, status.Image) || !r.takesVMs(status) {
			continue
		}
		candidate := wave.Candidate{VM: vm, Recalls: r.p.tracker.Recalls(vm.ID)}
		if seen := r.seen[vm.ID]; seen != nil {
			candidate.InProgress = seen.InProgress
		}
		byPool[vm.Pool] = append(byPool[vm.Pool], candidate)
	}
	return byPool
}

func (r *round) takeFromPool(name string, candidates []wave.Candidate) {
	wave.Order(r.ledger, candidates)
	for _, c := range candidates {
		if r.full() {
			return
		}
		if r.ledger.Check(c.VM) == budget.Allowed {
			r.take(c.VM, name, "")
			continue
		}
		r.noteWaiting(c)
	}
}

// noteWaiting remembers that a pool had to refuse a candidate.
func (r *round) noteWaiting(c wave.Candidate) {
	least, found := r.waiting[c.VM.Pool]
	if !found || c.Recalls < least {
		r.waiting[c.VM.Pool] = c.Recalls
	}
}

// recallStragglers calls back drains that last long while other VMs of the
// pool wait for their turn. Where none waits, the drain goes on.
func (r *round) recallStragglers() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State != structs.VMDraining || !r.p.tracker.Straggling(vm.ID, r.now) {
			continue
		}
		least, contended := r.waiting[vm.Pool]
		if contended && least <= r.p.tracker.Recalls(vm.ID) && r.recallable(vm) {
			r.recall(vm)
		}
	}
}

// WaveForecast is a wave's progress and the expected time of its end.
type WaveForecast struct {
	Wave string `json:"wave"`
	// Pending, Out, Done and Failed count VMs; together they are all the VMs
	// that the wave concerns.
	Pending int `json:"pending"`
	Out     int `json:"out"`
	Done    int `json:"done"`
	Failed  int `json:"failed"`
	// Blocked are the pools whose budgets let no VM be taken out, sorted.
	Blocked []string `json:"blocked"`
	// Stopped is the reason the wave was ended early, or empty.
	Stopped string `json:"stopped"`
	// Paused says that the wave takes no further VMs until resumed.
	Paused bool `json:"paused"`
	// End is the expected end; zero when none can be given.
	End time.Time `json:"end"`
}
