// Package upkeep plans a fleet's maintenance waves on a platform that takes a VM
// down immediately on request: which VMs to drain now, and which drained VMs to
// take down. It does no I/O and does not read a clock; times are milliseconds of
// a monotonic clock.
//
//	plan := upkeep.Make(upkeep.View{Now: now, VMs: vms, Waves: waves})
//	// drain the VMs in plan.Empty, then take down those in plan.Maintain
package upkeep

import "sort"

// VM is the state of one VM.
type VM struct {
	ID   string
	Pool string
	// Up is whether the VM is running and accepts work, or could accept it.
	Up bool
	// Spare is whether the VM belongs to the spare pool, whose VMs are off and
	// run no tasks.
	Spare bool
	// Cleared is whether the VM is confirmed to run no tasks and to get no new
	// work.
	Cleared bool
	// UsedMilliCPU is the CPU in use on the VM.
	UsedMilliCPU int
	// Lasting is the number of lasting tasks on the VM.
	Lasting int
	// Reserved is whether the VM is subject to another action in progress.
	Reserved bool
}

// Wave is a request to maintain VMs.
type Wave struct {
	Number int
	VMs    []string
	// Cap is the maximum number of VMs that may be down for the wave at once.
	Cap int
	// EndsAt is the deadline by which the maintenance of all VMs must have
	// begun.
	EndsAt int64
	// Begun holds the VMs whose maintenance has begun.
	Begun map[string]bool
	// Down holds the VMs that are, or may be, down for the wave now.
	Down map[string]bool
	// EmptyingSince is when the drain of each VM began.
	EmptyingSince map[string]int64
}

// View is the input of a plan.
type View struct {
	Now   int64
	VMs   map[string]VM
	Waves []Wave
	// DownMS is how long a VM is down for maintenance.
	DownMS int64
}

// Act takes one VM down for a wave.
type Act struct {
	VM   string
	Wave int
}

// Plan lists the actions to take now.
type Plan struct {
	// Empty holds the VMs to drain: they get no new work. Evict holds those of
	// them whose tasks are stopped instead of running to completion.
	Empty, Evict map[string]bool
	Maintain     []Act
	// Done lists the waves in which the maintenance of every VM that still
	// exists has begun.
	Done []int
}

// The planner's durations, in milliseconds.
const (
	// evictAfterMS is how long a drain waits for tasks to end before it stops
	// them: several usual run times.
	evictAfterMS = 4_000
	// drainAllowanceMS is the time for draining a VM and detecting that it is
	// drained, in addition to the maintenance itself.
	drainAllowanceMS = 2_500
)

// Make returns the plan for a view of the fleet.
func Make(v View) Plan {
	p := Plan{Empty: map[string]bool{}, Evict: map[string]bool{}}
	for i := range v.Waves {
		v.planWave(&v.Waves[i], &p)
	}
	return p
}

func (v View) planWave(w *Wave, p *Plan) {
	var pending []VM
	for _, id := range w.VMs {
		vm, exists := v.VMs[id]
		if exists && !w.Begun[id] {
			pending = append(pending, vm)
		}
	}
	if len(pending) == 0 {
		p.Done = append(p.Done, w.Number)
		return
	}
	sortForDraining(pending, w)
	downSlots := max(w.Cap, 1) - len(w.Down)
	remaining := v.concurrency(w, len(pending))
	for _, vm := range pending {
		if remaining <= 0 {
			return
		}
		if !vm.Up || vm.Reserved || p.Empty[vm.ID] {
			continue
		}
		remaining--
		if vm.Spare || vm.Cleared {
			if downSlots > 0 {
				downSlots--
				p.Maintain = append(p.Maintain, Act{vm.ID, w.Number})
			}
		}
		if !vm.Spare {
			p.Empty[vm.ID] = true
			since, draining := w.EmptyingSince[vm.ID]
			if draining && v.Now-since > evictAfterMS {
				p.Evict[vm.ID] = true
			}
		}
	}
}

// concurrency returns the number of VMs to drain or take down at once: the
// wave's cap, or twice that when the time left is too short for the pending VMs.
func (v View) concurrency(w *Wave, pending int) int {
	cap := max(w.Cap, 1)
	rounds := int64((pending + cap - 1) / cap)
	needed := rounds*(v.DownMS+drainAllowanceMS/2) + drainAllowanceMS
	if w.EndsAt-v.Now < needed {
		return 2 * cap
	}
	return cap
}

// sortForDraining sorts the VMs whose drain has begun first, then spare VMs, then
// VMs without lasting tasks, then by CPU in use, lowest first.
func sortForDraining(vms []VM, w *Wave) {
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		_, aDraining := w.EmptyingSince[a.ID]
		_, bDraining := w.EmptyingSince[b.ID]
		if aDraining != bDraining {
			return aDraining
		}
		if a.Spare != b.Spare {
			return a.Spare
		}
		if (a.Lasting > 0) != (b.Lasting > 0) {
			return a.Lasting == 0
		}
		if a.UsedMilliCPU != b.UsedMilliCPU {
			return a.UsedMilliCPU < b.UsedMilliCPU
		}
		return a.ID < b.ID
	})
}
