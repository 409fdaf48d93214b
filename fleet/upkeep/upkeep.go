// Package upkeep plans a fleet's maintenance waves on a platform that takes a VM
// down immediately on request: which VMs to drain now, and which drained VMs to
// take down. It does no I/O and does not read a clock; times are milliseconds of
// a monotonic clock.
//
//	plan := upkeep.NewPlan(upkeep.View{Now: now, VMs: vms, Waves: waves})
//	// drain the VMs in plan.Drain, then take down those in plan.Maintain
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
	// Drained is whether the VM is confirmed to run no tasks and to get no new
	// work.
	Drained bool
	// UsedMilliCPU is the CPU in use on the VM.
	UsedMilliCPU int
	// LastingTasks is the number of lasting tasks on the VM.
	LastingTasks int
	// ActionPending is whether the VM is subject to another action in progress.
	ActionPending bool
}

// Wave is a request to maintain VMs.
type Wave struct {
	Number int
	VMs    []string
	// MaxDown is the maximum number of VMs that may be down for the wave at
	// once.
	MaxDown int
	// StartDeadline is the deadline by which the maintenance of all VMs must
	// have started.
	StartDeadline int64
	// Started holds the VMs whose maintenance has started.
	Started map[string]bool
	// Down holds the VMs that are, or may be, down for the wave now.
	Down map[string]bool
	// DrainingSince is when the drain of each VM began.
	DrainingSince map[string]int64
}

// View is the input of a plan.
type View struct {
	Now   int64
	VMs   map[string]VM
	Waves []Wave
	// DowntimeMS is how long a VM is down for maintenance.
	DowntimeMS int64
}

// Action takes one VM down for a wave.
type Action struct {
	VM   string
	Wave int
}

// Plan lists the actions to take now.
type Plan struct {
	// Drain holds the VMs to drain: they get no new work. Evict holds those of
	// them whose tasks are stopped instead of running to completion.
	Drain, Evict map[string]bool
	Maintain     []Action
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

// NewPlan returns the plan for a view of the fleet.
func NewPlan(v View) Plan {
	p := Plan{Drain: map[string]bool{}, Evict: map[string]bool{}}
	for i := range v.Waves {
		v.planWave(&v.Waves[i], &p)
	}
	return p
}

func (v View) planWave(w *Wave, p *Plan) {
	var pending []VM
	for _, id := range w.VMs {
		vm, exists := v.VMs[id]
		if exists && !w.Started[id] {
			pending = append(pending, vm)
		}
	}
	if len(pending) == 0 {
		p.Done = append(p.Done, w.Number)
		return
	}
	sortForDraining(pending, w)
	downSlots := max(w.MaxDown, 1) - len(w.Down)
	remaining := v.concurrency(w, len(pending))
	for _, vm := range pending {
		if remaining <= 0 {
			return
		}
		if !vm.Up || vm.ActionPending || p.Drain[vm.ID] {
			continue
		}
		remaining--
		if vm.Spare || vm.Drained {
			if downSlots > 0 {
				downSlots--
				p.Maintain = append(p.Maintain, Action{vm.ID, w.Number})
			}
		}
		if !vm.Spare {
			p.Drain[vm.ID] = true
			since, draining := w.DrainingSince[vm.ID]
			if draining && v.Now-since > evictAfterMS {
				p.Evict[vm.ID] = true
			}
		}
	}
}

// concurrency returns the number of VMs to drain or take down at once: the
// wave's MaxDown, or twice that when the time left is too short for the pending
// VMs.
func (v View) concurrency(w *Wave, pending int) int {
	cap := max(w.MaxDown, 1)
	rounds := int64((pending + cap - 1) / cap)
	needed := rounds*(v.DowntimeMS+drainAllowanceMS/2) + drainAllowanceMS
	if w.StartDeadline-v.Now < needed {
		return 2 * cap
	}
	return cap
}

// sortForDraining sorts the VMs whose drain has begun first, then spare VMs, then
// VMs without lasting tasks, then by CPU in use, lowest first.
func sortForDraining(vms []VM, w *Wave) {
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		_, aDraining := w.DrainingSince[a.ID]
		_, bDraining := w.DrainingSince[b.ID]
		if aDraining != bDraining {
			return aDraining
		}
		if a.Spare != b.Spare {
			return a.Spare
		}
		if (a.LastingTasks > 0) != (b.LastingTasks > 0) {
			return a.LastingTasks == 0
		}
		if a.UsedMilliCPU != b.UsedMilliCPU {
			return a.UsedMilliCPU < b.UsedMilliCPU
		}
		return a.ID < b.ID
	})
}
