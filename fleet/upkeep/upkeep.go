// Package upkeep plans a fleet's maintenance waves on a platform that takes a
// VM down at once when told to: which VMs to empty now, and which empty ones
// to take down. It does no I/O and reads no clock; the times are steady
// milliseconds.
//
//	plan := upkeep.Make(upkeep.View{Now: now, VMs: vms, Waves: waves})
//	// empty plan.Empty, then carry out plan.Maintain
package upkeep

import "sort"

// VM is what is known of one VM.
type VM struct {
	ID   string
	Pool string
	// Up says that it takes work or could.
	Up bool
	// Spare says that it belongs to a pool that is off and runs nothing.
	Spare bool
	// Cleared says that it certainly runs nothing and gets no work.
	Cleared bool
	// UsedMilliCPU is what runs on it.
	UsedMilliCPU int
	// Lasting counts the lasting tasks on it.
	Lasting int
	// Reserved VMs are in the middle of another act.
	Reserved bool
}

// Wave is a request to maintain VMs.
type Wave struct {
	Number int
	VMs    []string
	// Cap is how many may be down for it at once.
	Cap int
	// EndsAt is when all must have begun.
	EndsAt int64
	// Begun are the VMs whose maintenance has begun.
	Begun map[string]bool
	// Down are the VMs that may be down for it now.
	Down map[string]bool
	// EmptyingSince is when the emptying of a VM began.
	EmptyingSince map[string]int64
}

// View is the input of a plan.
type View struct {
	Now   int64
	VMs   map[string]VM
	Waves []Wave
	// DownMS is how long a VM is away.
	DownMS int64
}

// Act is one VM to take down.
type Act struct {
	VM   string
	Wave int
}

// Plan is what to do now.
type Plan struct {
	// Empty are the VMs that get no work, Evict those of them whose tasks are
	// stopped rather than awaited.
	Empty, Evict map[string]bool
	Maintain     []Act
	// Done are the waves of which every VM that is still there has begun.
	Done []int
}

// The planner's times.
const (
	// evictAfterMS is how long tasks are awaited: several usual run times.
	evictAfterMS = 4_000
	// emptyingMS is what emptying and noticing take besides the maintenance.
	emptyingMS = 2_500
)

// Make returns the plan for a view.
func Make(v View) Plan {
	p := Plan{Empty: map[string]bool{}, Evict: map[string]bool{}}
	for i := range v.Waves {
		v.planWave(&v.Waves[i], &p)
	}
	return p
}

func (v View) planWave(w *Wave, p *Plan) {
	var open []VM
	for _, id := range w.VMs {
		vm, there := v.VMs[id]
		if there && !w.Begun[id] {
			open = append(open, vm)
		}
	}
	if len(open) == 0 {
		p.Done = append(p.Done, w.Number)
		return
	}
	sortForEmptying(open, w)
	free := max(w.Cap, 1) - len(w.Down)
	width := v.width(w, len(open))
	for _, vm := range open {
		if width <= 0 {
			return
		}
		if !vm.Up || vm.Reserved || p.Empty[vm.ID] {
			continue
		}
		width--
		if vm.Spare || vm.Cleared {
			if free > 0 {
				free--
				p.Maintain = append(p.Maintain, Act{vm.ID, w.Number})
			}
		}
		if !vm.Spare {
			p.Empty[vm.ID] = true
			since, began := w.EmptyingSince[vm.ID]
			if began && v.Now-since > evictAfterMS {
				p.Evict[vm.ID] = true
			}
		}
	}
}

// width is how many VMs to empty or take down at once: as many as may be
// down, and more of them when the time gets short.
func (v View) width(w *Wave, open int) int {
	cap := max(w.Cap, 1)
	rounds := int64((open + cap - 1) / cap)
	needed := rounds*(v.DownMS+emptyingMS/2) + emptyingMS
	if w.EndsAt-v.Now < needed {
		return 2 * cap
	}
	return cap
}

// sortForEmptying puts VMs first whose emptying has begun, then spare ones,
// then those with the least on them.
func sortForEmptying(vms []VM, w *Wave) {
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		_, ba := w.EmptyingSince[a.ID]
		_, bb := w.EmptyingSince[b.ID]
		if ba != bb {
			return ba
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
