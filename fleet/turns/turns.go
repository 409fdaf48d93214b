// Package turns decides which VMs change their pool as the demand shifts between
// the pools: a pool at its peak gets VMs that other pools do not need, and VMs
// that no pool needs are parked in the spare pool, where they cost nothing. It
// does no I/O and does not read a clock.
//
//	moves := turns.Plan(turns.View{Pools: pools, VMs: vms})
package turns

import "sort"

// Pool is the load of one pool.
type Pool struct {
	Name string
	// Spare marks the spare pool, whose VMs are off.
	Spare bool
	// LastingMilliCPU is the CPU in use by lasting tasks.
	LastingMilliCPU int64
	// BusyMilliCPU is the CPU in use by other tasks. QueuedWork is the work
	// that is accepted and queued, in milli-CPU milliseconds.
	BusyMilliCPU, QueuedWork int64
	// RequestedMilliCPU is the recent rate of requested work, accepted or
	// refused.
	RequestedMilliCPU int64
	// SettledMilliCPU is the part of RequestedMilliCPU that has been requested
	// for a while; the rest is growth that may go on.
	SettledMilliCPU int64
	// ExpectedPeakMilliCPU is the rate that the next peak of the pool will
	// probably reach; 0 if no peak was seen yet.
	ExpectedPeakMilliCPU int64
	// MinVMs is the minimum number of VMs of the pool.
	MinVMs int
	// RecentPeakMilliCPU is the highest load of the last seconds. The pool keeps
	// enough VMs for it when surplus VMs are parked in the spare pool.
	RecentPeakMilliCPU int64
	// LoadKnown is whether the load is recent enough to plan on.
	LoadKnown bool
}

// VM is the state of one VM.
type VM struct {
	ID, Pool string
	MilliCPU int64
	// Serving is whether the pool can place work on the VM.
	Serving bool
	// Movable is whether the VM is up, runs no lasting tasks and is not subject
	// to another action in progress.
	Movable bool
	// MovingTo is the destination pool of a move in progress; empty if there is
	// none.
	MovingTo string
	// UsedMilliCPU is the CPU in use on the VM.
	UsedMilliCPU int64
}

// Move assigns one VM to another pool.
type Move struct{ VM, To string }

// The planner's parameters.
const (
	// headroomPercent is the capacity to provide, as a percentage of the load:
	// tasks of mixed sizes do not fill VMs completely.
	headroomPercent = 120
	// growingPercent is the part of the requested rate above which growth counts
	// as the beginning of a peak.
	growingPercent = 25
	// peakStartPercent of the expected peak, of which most is recent growth, is
	// the requested rate at which a peak counts as begun. It is more than a few
	// jobs at once in a pool of ten VMs.
	peakStartPercent = 8
	// backlogTargetMS is the time within which queued work is to be done. It is
	// less than the slack of a usual job.
	backlogTargetMS = 1_000
)

// View is the input of a plan.
type View struct {
	Pools []Pool
	VMs   []VM
	// MaxMoves is the maximum number of moves that one plan starts.
	MaxMoves int
}

// Plan returns the moves to start now.
func Plan(v View) []Move {
	p := newPlanner(v)
	if p == nil {
		return nil
	}
	p.fillDeficits()
	if !v.growing() {
		p.parkSurplus()
	}
	return p.moves
}

// growing reports whether the demand of some pool is rising to a peak. Surplus
// VMs are then soon needed, and a VM that is on its way to the spare pool would
// reach the growing pool only by a second move.
func (v View) growing() bool {
	for i := range v.Pools {
		p := &v.Pools[i]
		if p.LoadKnown && p.growth() > p.RequestedMilliCPU*growingPercent/100 && p.growth() > v.largestVM() {
			return true
		}
	}
	return false
}

func (v View) largestVM() int64 {
	largest := int64(0)
	for _, vm := range v.VMs {
		largest = max(largest, vm.MilliCPU)
	}
	return largest
}

type planner struct {
	pools     map[string]*Pool
	poolNames []string
	spare     string
	// deficit is the number of VMs that a pool lacks; a negative value is a
	// surplus.
	deficit map[string]int
	// retained is the number of surplus VMs that a pool keeps because of its
	// recent peak.
	retained map[string]int
	// movable lists the VMs that can be moved, by pool.
	movable  map[string][]VM
	moves    []Move
	maxMoves int
}

func newPlanner(v View) *planner {
	p := &planner{maxMoves: v.MaxMoves, pools: map[string]*Pool{}, deficit: map[string]int{}, retained: map[string]int{}, movable: map[string][]VM{}}
	vmSize := v.largestVM()
	if vmSize == 0 {
		return nil
	}
	for i := range v.Pools {
		pool := &v.Pools[i]
		p.pools[pool.Name] = pool
		p.poolNames = append(p.poolNames, pool.Name)
		if pool.Spare {
			p.spare = pool.Name
		} else if pool.LoadKnown {
			p.deficit[pool.Name] = pool.requiredVMs(pool.Load(), vmSize)
			p.retained[pool.Name] = pool.requiredVMs(max(pool.RecentPeakMilliCPU, pool.Load()), vmSize) - p.deficit[pool.Name]
		}
	}
	sort.Strings(p.poolNames)
	for _, vm := range v.VMs {
		p.addVM(vm)
	}
	for _, list := range p.movable {
		sortByUsage(list)
	}
	return p
}

// growth is the recent rise of the requested rate, in milli-CPU.
func (p *Pool) growth() int64 { return max(p.RequestedMilliCPU-p.SettledMilliCPU, 0) }

// Load returns the CPU demand of the pool's tasks and callers without lasting
// tasks, in milli-CPU. A rate that rises is expected to rise by as much again
// while VMs are being moved: a pool's demand can reach its peak within seconds.
// At the beginning of a peak it is expected to reach the height of earlier peaks.
func (p *Pool) Load() int64 {
	load := max(p.BusyMilliCPU+p.QueuedWork/backlogTargetMS, p.RequestedMilliCPU+p.growth())
	if p.beginsPeak() {
		load = max(load, p.ExpectedPeakMilliCPU)
	}
	return load
}

func (p *Pool) beginsPeak() bool {
	return p.ExpectedPeakMilliCPU > 0 && p.growth() > p.RequestedMilliCPU/2 && p.RequestedMilliCPU*100 >= p.ExpectedPeakMilliCPU*peakStartPercent
}

// requiredVMs returns the number of VMs of the given size that the pool needs for
// a load.
func (p *Pool) requiredVMs(load, vmSize int64) int {
	load = load*headroomPercent/100 + p.LastingMilliCPU
	return max(int((load+vmSize-1)/vmSize), p.MinVMs)
}

func (p *planner) addVM(vm VM) {
	pool := vm.Pool
	if vm.MovingTo != "" {
		pool = vm.MovingTo
	}
	if _, known := p.deficit[pool]; known && (vm.Serving || vm.MovingTo != "") {
		p.deficit[pool]--
	}
	if vm.Movable && vm.MovingTo == "" {
		p.movable[vm.Pool] = append(p.movable[vm.Pool], vm)
	}
}

// sortByUsage sorts VMs by CPU in use, lowest first, because these can leave
// their pool soonest.
func sortByUsage(vms []VM) {
	sort.SliceStable(vms, func(i, j int) bool {
		if vms[i].UsedMilliCPU != vms[j].UsedMilliCPU {
			return vms[i].UsedMilliCPU < vms[j].UsedMilliCPU
		}
		return vms[i].ID < vms[j].ID
	})
}

// fillDeficits moves VMs to the pools with the largest deficits, first from the
// spare pool, then from the pools with the largest surplus.
func (p *planner) fillDeficits() {
	for len(p.moves) < p.maxMoves {
		to := p.largestDeficit()
		if to == "" {
			return
		}
		from := p.donor()
		if from == "" {
			return
		}
		p.addMove(from, to)
	}
}

func (p *planner) largestDeficit() string {
	largest := ""
	for _, name := range p.poolNames {
		if p.deficit[name] > 0 && (largest == "" || p.deficit[name] > p.deficit[largest]) {
			largest = name
		}
	}
	return largest
}

func (p *planner) donor() string {
	if len(p.movable[p.spare]) > 0 && p.spare != "" {
		return p.spare
	}
	largest := ""
	for _, name := range p.poolNames {
		if name == p.spare || p.deficit[name] >= 0 || len(p.movable[name]) == 0 {
			continue
		}
		if largest == "" || p.deficit[name] < p.deficit[largest] {
			largest = name
		}
	}
	return largest
}

func (p *planner) addMove(from, to string) {
	vm := p.movable[from][0]
	p.movable[from] = p.movable[from][1:]
	if _, known := p.deficit[from]; known {
		p.deficit[from]++
	}
	p.deficit[to]--
	p.moves = append(p.moves, Move{vm.ID, to})
}

// parkSurplus moves VMs that no pool needs to the spare pool.
func (p *planner) parkSurplus() {
	if p.spare == "" {
		return
	}
	for _, name := range p.poolNames {
		pool := p.pools[name]
		if name == p.spare || !pool.LoadKnown {
			continue
		}
		for -p.deficit[name] > p.retained[name] && len(p.movable[name]) > 0 && len(p.moves) < p.maxMoves {
			p.addMove(name, p.spare)
		}
	}
}
