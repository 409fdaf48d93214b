package jobhost

import (
	"context"
	"maps"
	"slices"
	"time"

	"wigeonwinch/fleet/turns"
	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/node/deps"
)

// The times of moves.
const (
	// moveGiveUp is how long a VM may take to be emptied for a move.
	moveGiveUp = 6 * time.Second
	// reportLife is how old a pool's report may be to plan on it.
	reportLife = 2 * time.Second
	// askedSpan is the time over which the rate of asked work is taken.
	askedSpan = 800 * time.Millisecond
	// planPeriod is the usual time from one plan's acts to the next one's.
	planPeriod = 250 * time.Millisecond
	// usualActsPerSecond stands for an unknown rate of the platform's: that of
	// fleets of 50 VMs.
	usualActsPerSecond = 64
	// leastVMs stay in every pool, so that the first jobs of its turn start.
	leastVMs = 3
	// peakSpan is how long a pool holds on to VMs after its load has fallen: a
	// move there and back costs as much as about two seconds of a VM in a pool.
	peakSpan = 2 * time.Second
)

// movePlan is what the fleet duty does about pools now.
type movePlan struct {
	// emptying are the VMs that get no work because they are to move.
	emptying map[string]bool
	ready    []vmMove
}

// vmMove is one VM to move to a pool.
type vmMove struct{ VM, Pool string }

// moveDuty is the state of the moves that are under way.
type moveDuty struct {
	going map[string]*goingVM
	asked map[string][]askedSample
	// loads are the pools' recent loads.
	loads map[string][]askedSample
}

type goingVM struct {
	to    string
	since int64
	// calledAt is when the platform took the move; 0 means not yet.
	calledAt int64
}

// askedSample is a figure at a moment.
type askedSample struct{ at, work int64 }

func newMoveDuty() *moveDuty {
	return &moveDuty{going: map[string]*goingVM{}, asked: map[string][]askedSample{}, loads: map[string][]askedSample{}}
}

func (m *moveDuty) active() bool { return len(m.going) > 0 }

// reserved says whether a VM is to move.
func (m *moveDuty) reserved(vm string) bool {
	g := m.going[vm]
	return g != nil
}

// plan begins and continues moves.
func (m *moveDuty) plan(d *fleetDuty, now int64, up upkeep.Plan) movePlan {
	m.observe(d, now)
	m.review(d, now)
	for _, mv := range turns.Plan(m.view(d, now, up)) {
		m.going[mv.VM] = &goingVM{to: mv.To, since: now}
	}
	p := movePlan{emptying: map[string]bool{}}
	for _, id := range slices.Sorted(maps.Keys(m.going)) {
		g := m.going[id]
		if g.calledAt != 0 {
			continue
		}
		vm := d.vms[id]
		if d.spare(vm.Pool) || d.cleared(vm, now) {
			if now-d.actAt[id] >= actRetry.Milliseconds() {
				p.ready = append(p.ready, vmMove{id, g.to})
			}
		}
		p.emptying[id] = true
	}
	return p
}

// cleared says whether a VM's worker certainly runs nothing and gets nothing.
func (d *fleetDuty) cleared(vm deps.VM, now int64) bool {
	r, ok := d.reports[vm.Worker]
	return ok && r.Empty && now-r.at < cordonLife.Milliseconds()/2
}

// observe notes the pools' loads over time.
func (m *moveDuty) observe(d *fleetDuty, now int64) {
	for name, p := range d.pools {
		samples := m.asked[name]
		if n := len(samples); n > 0 && p.ArrivedWork < samples[n-1].work {
			samples = nil
		}
		if n := len(samples); n == 0 || samples[n-1].at < p.at {
			samples = append(samples, askedSample{p.at, p.ArrivedWork})
		}
		for len(samples) > 2 && now-samples[1].at > askedSpan.Milliseconds() {
			samples = samples[1:]
		}
		m.asked[name] = samples
		pool := m.poolOf(name, p)
		loads := append(m.loads[name], askedSample{now, pool.Load()})
		for now-loads[0].at > peakSpan.Milliseconds() {
			loads = loads[1:]
		}
		m.loads[name] = loads
	}
}

// poolOf is the planner's view of a pool's load.
func (m *moveDuty) poolOf(name string, r poolReport) turns.Pool {
	p := turns.Pool{Name: name, LeastVMs: max(leastVMs, r.LeastWorkers), LastingMilliCPU: r.LastingMilliCPU,
		BusyMilliCPU: r.UsedMilliCPU - r.LastingMilliCPU, WaitingWork: r.WaitingWork, AskedMilliCPU: m.rate(name)}
	if r.LastingWaiting > 0 {
		p.LeastVMs = max(p.LeastVMs, r.Workers+1)
	}
	for _, l := range m.loads[name] {
		p.RecentPeakMilliCPU = max(p.RecentPeakMilliCPU, l.work)
	}
	return p
}

// rate is the work asked for lately, in milli-CPU.
func (m *moveDuty) rate(pool string) int64 {
	s := m.asked[pool]
	if len(s) < 2 || s[len(s)-1].at <= s[0].at {
		return 0
	}
	return (s[len(s)-1].work - s[0].work) / (s[len(s)-1].at - s[0].at)
}

// review ends the moves that are done, impossible or too slow.
func (m *moveDuty) review(d *fleetDuty, now int64) {
	for id, g := range m.going {
		vm, there := d.vms[id]
		switch {
		case !there:
			delete(m.going, id)
		case vm.Pool == g.to && vm.State == deps.VMUp:
			delete(m.going, id)
		case g.calledAt == 0 && (vm.State != deps.VMUp || now-g.since > moveGiveUp.Milliseconds()):
			delete(m.going, id)
		case g.calledAt != 0 && now-g.calledAt > 2*moveGiveUp.Milliseconds():
			delete(m.going, id)
		}
	}
}

func (m *moveDuty) view(d *fleetDuty, now int64, up upkeep.Plan) turns.View {
	v := turns.View{MostMoves: mostMoves(d.host.cfg.ActsPerSecond)}
	cfg := d.host.config.Load()
	if cfg == nil {
		return v
	}
	for _, p := range cfg.Pools {
		r, known := d.pools[p.Service]
		pool := m.poolOf(p.Service, r)
		pool.Spare, pool.Known = p.Spare, known && now-r.at < reportLife.Milliseconds()
		v.Pools = append(v.Pools, pool)
	}
	for _, id := range slices.Sorted(maps.Keys(d.vms)) {
		v.VMs = append(v.VMs, m.viewVM(d, now, d.vms[id], up))
	}
	return v
}

// mostMoves is how many moves one plan may begin: plans come each fleetTick,
// and a little later for their calls.
func mostMoves(actsPerSecond float64) int {
	if actsPerSecond <= 0 {
		actsPerSecond = usualActsPerSecond
	}
	return max(int(actsPerSecond*planPeriod.Seconds()), 1)
}

func (m *moveDuty) viewVM(d *fleetDuty, now int64, vm deps.VM, up upkeep.Plan) turns.VM {
	r, known := d.reports[vm.Worker]
	out := turns.VM{ID: vm.ID, Pool: vm.Pool, MilliCPU: int64(vm.Capacity.MilliCPU), UsedMilliCPU: int64(r.UsedMilliCPU)}
	if g := m.going[vm.ID]; g != nil {
		out.Going = g.to
	}
	out.Serving = vm.State == deps.VMUp && !up.Empty[vm.ID] && known && r.Open
	free := d.spare(vm.Pool) || known && r.Lasting == 0 && now-r.at < reportLife.Milliseconds()
	out.Movable = vm.State == deps.VMUp && free && !d.held(vm.ID, now) && !up.Empty[vm.ID] && !maintaining(up, vm.ID)
	return out
}

func maintaining(up upkeep.Plan, vm string) bool {
	for _, a := range up.Maintain {
		if a.VM == vm {
			return true
		}
	}
	return false
}

// moveAll has the platform move empty VMs, several at a time.
func (d *fleetDuty) moveAll(ctx context.Context, moves []vmMove) {
	now := steadyMS()
	moves = slices.DeleteFunc(moves, func(m vmMove) bool { return !d.announced.covers(m.VM) })
	if len(moves) == 0 || !d.mayAct() {
		return
	}
	for _, mv := range moves {
		d.actAt[mv.VM] = now
	}
	errs := d.callAll(ctx, now, len(moves), func(ctx context.Context, i int) error {
		return d.host.cfg.VMs.Move(ctx, d.holder(), moves[i].VM, moves[i].Pool)
	})
	for i, mv := range moves {
		d.moved(now, mv, errs[i])
	}
}

func (d *fleetDuty) moved(now int64, mv vmMove, err error) {
	d.note("move", mv.VM, "to="+mv.Pool, err)
	g := d.moves.going[mv.VM]
	switch {
	case g == nil:
	case err == nil:
		g.calledAt = now
		delete(d.reports, d.vms[mv.VM].Worker)
	case deps.KindOf(err) == deps.KindConflict || deps.KindOf(err) == deps.KindInvalid:
		delete(d.moves.going, mv.VM)
	}
}
