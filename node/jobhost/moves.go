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

// The time limits and bounds of moves.
const (
	// moveTimeout is how long a VM may take to drain before a move. Once the
	// platform has accepted the move, twice that time is allowed for it.
	moveTimeout = 6 * time.Second
	// reportMaxAge is the maximum age of a pool's report for planning.
	reportMaxAge = 2 * time.Second
	// arrivalRateWindow is the time over which the rate of arriving work is
	// measured.
	arrivalRateWindow = 800 * time.Millisecond
	// expectedPlanPeriod is the usual time between the actions of two
	// successive plans.
	expectedPlanPeriod = 250 * time.Millisecond
	// defaultActionsPerSecond replaces an unknown action rate of the platform.
	// It is the rate for fleets of 50 VMs.
	defaultActionsPerSecond = 64
	// minVMsPerPool VMs stay in every pool, so that the first jobs can start
	// when the pool's demand rises.
	minVMsPerPool = 3
	// settleWindow is how long a rate of arriving work must last to count as
	// settled: about the time from the order of a move until the VM takes work.
	settleWindow = 2 * time.Second
	// peakLoadWindow is how long a pool keeps its VMs after its load has
	// fallen. Moving a VM away and back costs as much as about two seconds of a
	// VM in a pool.
	peakLoadWindow = 2 * time.Second
)

// movePlan lists what the fleet controller does about moves now.
type movePlan struct {
	// draining holds the VMs that get no work because they are to move.
	draining map[string]bool
	ready    []vmMove
}

// vmMove moves one VM to a pool.
type vmMove struct{ VM, Pool string }

// moveTracker tracks the moves in progress and the pool loads that they are
// planned from.
type moveTracker struct {
	inProgress  map[string]*movingVM
	arrivedWork map[string][]sample
	// loads holds the recent loads of each pool, rates the rates of arriving
	// work.
	loads, rates map[string][]sample
	// peakRates holds the highest settled rate of each pool so far.
	peakRates map[string]int64
}

type movingVM struct {
	to    string
	since int64
	// acceptedAt is when the platform accepted the move, or 0 if it has not
	// yet.
	acceptedAt int64
}

// sample is a value at a point in time.
type sample struct{ at, value int64 }

func newMoveTracker() *moveTracker {
	return &moveTracker{inProgress: map[string]*movingVM{}, arrivedWork: map[string][]sample{}, loads: map[string][]sample{}, rates: map[string][]sample{}, peakRates: map[string]int64{}}
}

func (m *moveTracker) active() bool { return len(m.inProgress) > 0 }

// reserved reports whether a move of the VM is in progress.
func (m *moveTracker) reserved(vm string) bool {
	moving := m.inProgress[vm]
	return moving != nil
}

// plan begins new moves and continues those in progress.
func (m *moveTracker) plan(c *fleetController, now int64, up upkeep.Plan) movePlan {
	m.recordLoads(c, now)
	m.endMoves(c, now)
	for _, mv := range turns.Plan(m.plannerView(c, now, up)) {
		m.inProgress[mv.VM] = &movingVM{to: mv.To, since: now}
	}
	p := movePlan{draining: map[string]bool{}}
	for _, id := range slices.Sorted(maps.Keys(m.inProgress)) {
		moving := m.inProgress[id]
		if moving.acceptedAt != 0 {
			continue
		}
		vm := c.vms[id]
		if c.isSparePool(vm.Pool) || c.drained(vm, now) {
			if now-c.lastActionAt[id] >= actionRetryDelay.Milliseconds() {
				p.ready = append(p.ready, vmMove{id, moving.to})
			}
		}
		p.draining[id] = true
	}
	return p
}

// drained reports whether the VM's worker certainly runs nothing and gets no
// work.
func (c *fleetController) drained(vm deps.VM, now int64) bool {
	r, ok := c.workerReports[vm.Worker]
	return ok && r.Drained && now-r.at < cordonTTL.Milliseconds()/2
}

// recordLoads records the current load of each pool.
func (m *moveTracker) recordLoads(c *fleetController, now int64) {
	for name, p := range c.poolReports {
		samples := m.arrivedWork[name]
		if n := len(samples); n > 0 && p.SubmittedWork < samples[n-1].value {
			samples = nil
		}
		if n := len(samples); n == 0 || samples[n-1].at < p.at {
			samples = append(samples, sample{p.at, p.SubmittedWork})
		}
		for len(samples) > 2 && now-samples[1].at > arrivalRateWindow.Milliseconds() {
			samples = samples[1:]
		}
		m.arrivedWork[name] = samples
		m.rates[name] = appendWithin(m.rates[name], sample{now, m.arrivalRate(name)}, settleWindow)
		m.peakRates[name] = max(m.peakRates[name], m.settledRate(name))
		pool := m.poolLoad(name, p)
		m.loads[name] = appendWithin(m.loads[name], sample{now, pool.Load()}, peakLoadWindow)
	}
}

// appendWithin adds a sample and drops those that are older than the window.
func appendWithin(samples []sample, s sample, window time.Duration) []sample {
	samples = append(samples, s)
	for s.at-samples[0].at > window.Milliseconds() {
		samples = samples[1:]
	}
	return samples
}

// expectedPeak returns the rate that a peak of the pool will probably reach: that
// of its own earlier peaks, or before its first one the lowest peak of the other
// pools that had work.
func (m *moveTracker) expectedPeak(pool string) int64 {
	own, highest, lowest := m.peakRates[pool], int64(0), int64(0)
	for _, rate := range m.peakRates {
		highest = max(highest, rate)
	}
	for _, rate := range m.peakRates {
		if rate > highest/minPeakDivisor && (lowest == 0 || rate < lowest) {
			lowest = rate
		}
	}
	if own > highest/minPeakDivisor {
		return own
	}
	return lowest
}

// minPeakDivisor divides the highest rate of all pools to get the rate above
// which a pool counts as having had a peak.
const minPeakDivisor = 4

// settledRate returns the rate of arriving work that a pool had at least
// throughout the last settleWindow.
func (m *moveTracker) settledRate(pool string) int64 {
	samples := m.rates[pool]
	if len(samples) == 0 {
		return 0
	}
	lowest := samples[0].value
	for _, s := range samples {
		lowest = min(lowest, s.value)
	}
	return lowest
}

// poolLoad returns the planner's view of the load of a pool.
func (m *moveTracker) poolLoad(name string, r poolReport) turns.Pool {
	p := turns.Pool{Name: name, MinVMs: max(minVMsPerPool, r.MinWorkers), LastingMilliCPU: r.LastingMilliCPU,
		BusyMilliCPU: r.UsedMilliCPU - r.LastingMilliCPU, QueuedWork: r.WaitingWork, RequestedMilliCPU: m.arrivalRate(name), SettledMilliCPU: m.settledRate(name), ExpectedPeakMilliCPU: m.expectedPeak(name)}
	if r.UnplacedLasting > 0 {
		p.MinVMs = max(p.MinVMs, r.Workers+1)
	}
	for _, l := range m.loads[name] {
		p.RecentPeakMilliCPU = max(p.RecentPeakMilliCPU, l.value)
	}
	return p
}

// arrivalRate returns the recent rate of arriving work in milli-CPU.
func (m *moveTracker) arrivalRate(pool string) int64 {
	s := m.arrivedWork[pool]
	if len(s) < 2 || s[len(s)-1].at <= s[0].at {
		return 0
	}
	return (s[len(s)-1].value - s[0].value) / (s[len(s)-1].at - s[0].at)
}

// endMoves ends the moves that are completed, impossible or too slow.
func (m *moveTracker) endMoves(c *fleetController, now int64) {
	for id, moving := range m.inProgress {
		vm, known := c.vms[id]
		switch {
		case !known:
			delete(m.inProgress, id)
		case vm.Pool == moving.to && vm.State == deps.VMUp:
			delete(m.inProgress, id)
		case moving.acceptedAt == 0 && (vm.State != deps.VMUp || now-moving.since > moveTimeout.Milliseconds()):
			delete(m.inProgress, id)
		case moving.acceptedAt != 0 && now-moving.acceptedAt > 2*moveTimeout.Milliseconds():
			delete(m.inProgress, id)
		}
	}
}

func (m *moveTracker) plannerView(c *fleetController, now int64, up upkeep.Plan) turns.View {
	v := turns.View{MaxMoves: maxMovesPerPlan(c.host.cfg.ActionsPerSecond)}
	cfg := c.host.config.Load()
	if cfg == nil {
		return v
	}
	for _, p := range cfg.Pools {
		r, known := c.poolReports[p.Service]
		pool := m.poolLoad(p.Service, r)
		pool.Spare, pool.LoadKnown = p.Spare, known && now-r.at < reportMaxAge.Milliseconds()
		v.Pools = append(v.Pools, pool)
	}
	for _, id := range slices.Sorted(maps.Keys(c.vms)) {
		v.VMs = append(v.VMs, m.plannerVM(c, now, c.vms[id], up))
	}
	return v
}

// maxMovesPerPlan returns how many moves one plan may begin. Plans follow each
// other at fleetPlanInterval plus the time that their calls take.
func maxMovesPerPlan(actionsPerSecond float64) int {
	if actionsPerSecond <= 0 {
		actionsPerSecond = defaultActionsPerSecond
	}
	return max(int(actionsPerSecond*expectedPlanPeriod.Seconds()), 1)
}

func (m *moveTracker) plannerVM(c *fleetController, now int64, vm deps.VM, up upkeep.Plan) turns.VM {
	r, known := c.workerReports[vm.Worker]
	out := turns.VM{ID: vm.ID, Pool: vm.Pool, MilliCPU: int64(vm.Capacity.MilliCPU), UsedMilliCPU: int64(r.UsedMilliCPU)}
	if moving := m.inProgress[vm.ID]; moving != nil {
		out.MovingTo = moving.to
	}
	out.Serving = vm.State == deps.VMUp && !up.Drain[vm.ID] && known && r.Schedulable
	free := c.isSparePool(vm.Pool) || known && r.Lasting == 0 && now-r.at < reportMaxAge.Milliseconds()
	out.Movable = vm.State == deps.VMUp && free && !c.vmInTakeoverGap(vm.ID, now) && !up.Drain[vm.ID] && !maintenancePlanned(up, vm.ID)
	return out
}

func maintenancePlanned(up upkeep.Plan, vm string) bool {
	for _, a := range up.Maintain {
		if a.VM == vm {
			return true
		}
	}
	return false
}

// startMoves asks the platform to move drained VMs, several at a time.
func (c *fleetController) startMoves(ctx context.Context, moves []vmMove) {
	now := monotonicMS()
	moves = slices.DeleteFunc(moves, func(m vmMove) bool { return !c.mayActOn(m.VM) })
	if len(moves) == 0 || !c.mayAct() {
		return
	}
	for _, mv := range moves {
		c.lastActionAt[mv.VM] = now
	}
	errs := c.callConcurrently(ctx, now, len(moves), func(ctx context.Context, i int) error {
		return c.host.cfg.VMs.Move(ctx, c.fencedHolder(), moves[i].VM, moves[i].Pool)
	})
	for i, mv := range moves {
		c.handleMoveResult(now, mv, errs[i])
	}
}

func (c *fleetController) handleMoveResult(now int64, mv vmMove, err error) {
	c.recordAction("move", mv.VM, "to="+mv.Pool, err)
	moving := c.moves.inProgress[mv.VM]
	switch {
	case moving == nil:
	case err == nil:
		moving.acceptedAt = now
		delete(c.workerReports, c.vms[mv.VM].Worker)
	case deps.KindOf(err) == deps.KindConflict || deps.KindOf(err) == deps.KindInvalid:
		delete(c.moves.inProgress, mv.VM)
	}
}
