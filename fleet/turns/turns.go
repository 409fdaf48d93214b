// Package turns decides which VMs change their pool as the pools' demand takes
// turns: a pool in its peak gets VMs that others do not need, and VMs that no
// pool needs are parked in the spare pool, where they cost nothing. It does no
// I/O and reads no clock.
//
//	moves := turns.Plan(turns.View{Pools: pools, VMs: vms})
package turns

import "sort"

// Pool is the load of one pool.
type Pool struct {
	Name string
	// Spare VMs are off.
	Spare bool
	// LastingMilliCPU is taken by lasting tasks.
	LastingMilliCPU int64
	// BusyMilliCPU is taken by other tasks, WaitingWork (milli-CPU
	// milliseconds) is accepted and waits.
	BusyMilliCPU, WaitingWork int64
	// AskedMilliCPU is the rate of the work asked for lately, taken or not.
	AskedMilliCPU int64
	// LeastVMs the pool has in any case.
	LeastVMs int
	// RecentPeakMilliCPU is the highest load of the last seconds; VMs are
	// given up to the spare pool only down to it.
	RecentPeakMilliCPU int64
	// Known says that the load is recent.
	Known bool
}

// VM is one VM that could move.
type VM struct {
	ID, Pool string
	MilliCPU int64
	// Serving says that the pool can place work on it.
	Serving bool
	// Movable: up, without lasting tasks and not in the middle of another act.
	Movable bool
	// Going is the pool it is on its way to; empty if it stays.
	Going string
	// UsedMilliCPU is what runs on it.
	UsedMilliCPU int64
}

// Move sends one VM to a pool.
type Move struct{ VM, To string }

// The planner's weights.
const (
	// headroom is the room kept above the estimated need, in percent: tasks of
	// mixed sizes do not fill VMs to the brim.
	headroom = 120
	// askedHeadroom, in percent, stands for the growth of the work asked for
	// while VMs are on their way: a pool's turn begins within seconds.
	askedHeadroom = 200
	// backlogMS is the time in which work that waits is to be done: less than
	// the slack of a usual job.
	backlogMS = 1_000
)

// View is the input of a plan.
type View struct {
	Pools []Pool
	VMs   []VM
	// MostMoves bounds the moves begun by one plan.
	MostMoves int
}

// Plan returns the moves to begin now.
func Plan(v View) []Move {
	p := newPlanner(v)
	if p == nil {
		return nil
	}
	p.fillDeficits()
	p.park()
	return p.moves
}

type planner struct {
	pools map[string]*Pool
	names []string
	spare string
	// missing is how many VMs a pool lacks; negative ones are too many.
	missing map[string]int
	// keep is how many VMs too many a pool holds on to for a while.
	keep map[string]int
	// open are the VMs that can be given away, by pool.
	open  map[string][]VM
	moves []Move
	most  int
}

func newPlanner(v View) *planner {
	p := &planner{most: v.MostMoves, pools: map[string]*Pool{}, missing: map[string]int{}, keep: map[string]int{}, open: map[string][]VM{}}
	size := int64(0)
	for _, vm := range v.VMs {
		size = max(size, vm.MilliCPU)
	}
	if size == 0 {
		return nil
	}
	for i := range v.Pools {
		pool := &v.Pools[i]
		p.pools[pool.Name] = pool
		p.names = append(p.names, pool.Name)
		if pool.Spare {
			p.spare = pool.Name
		} else if pool.Known {
			p.missing[pool.Name] = pool.need(pool.Load(), size)
			p.keep[pool.Name] = pool.need(max(pool.RecentPeakMilliCPU, pool.Load()), size) - p.missing[pool.Name]
		}
	}
	sort.Strings(p.names)
	for _, vm := range v.VMs {
		p.count(vm)
	}
	for _, list := range p.open {
		sortForLeaving(list)
	}
	return p
}

// Load is what the pool's tasks and callers ask for besides lasting tasks, in
// milli-CPU.
func (p *Pool) Load() int64 {
	return max(p.BusyMilliCPU+p.WaitingWork/backlogMS, p.AskedMilliCPU*askedHeadroom/100)
}

// need is the number of VMs that a load asks for.
func (p *Pool) need(load, size int64) int {
	load = load*headroom/100 + p.LastingMilliCPU
	return max(int((load+size-1)/size), p.LeastVMs)
}

func (p *planner) count(vm VM) {
	at := vm.Pool
	if vm.Going != "" {
		at = vm.Going
	}
	if _, known := p.missing[at]; known && (vm.Serving || vm.Going != "") {
		p.missing[at]--
	}
	if vm.Movable && vm.Going == "" {
		p.open[vm.Pool] = append(p.open[vm.Pool], vm)
	}
}

// sortForLeaving puts the VMs first that can leave soonest.
func sortForLeaving(vms []VM) {
	sort.SliceStable(vms, func(i, j int) bool {
		if vms[i].UsedMilliCPU != vms[j].UsedMilliCPU {
			return vms[i].UsedMilliCPU < vms[j].UsedMilliCPU
		}
		return vms[i].ID < vms[j].ID
	})
}

// fillDeficits gives the pools that lack most VMs those of the spare pool,
// then those that other pools have too many of.
func (p *planner) fillDeficits() {
	for len(p.moves) < p.most {
		to := p.neediest()
		if to == "" {
			return
		}
		from := p.donor()
		if from == "" {
			return
		}
		p.send(from, to)
	}
}

func (p *planner) neediest() string {
	best := ""
	for _, name := range p.names {
		if p.missing[name] > 0 && (best == "" || p.missing[name] > p.missing[best]) {
			best = name
		}
	}
	return best
}

func (p *planner) donor() string {
	if len(p.open[p.spare]) > 0 && p.spare != "" {
		return p.spare
	}
	best := ""
	for _, name := range p.names {
		if name == p.spare || p.missing[name] >= 0 || len(p.open[name]) == 0 {
			continue
		}
		if best == "" || p.missing[name] < p.missing[best] {
			best = name
		}
	}
	return best
}

func (p *planner) send(from, to string) {
	vm := p.open[from][0]
	p.open[from] = p.open[from][1:]
	if _, known := p.missing[from]; known {
		p.missing[from]++
	}
	p.missing[to]--
	p.moves = append(p.moves, Move{vm.ID, to})
}

// park sends VMs that no pool needs to the spare pool.
func (p *planner) park() {
	if p.spare == "" {
		return
	}
	for _, name := range p.names {
		pool := p.pools[name]
		if name == p.spare || !pool.Known {
			continue
		}
		for -p.missing[name] > p.keep[name] && len(p.open[name]) > 0 && len(p.moves) < p.most {
			p.send(name, p.spare)
		}
	}
}
