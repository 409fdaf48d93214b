package planner

import (
	"slices"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// fleetBudget gives a quarter of the pools each kind of budget.
func fleetBudget(pool, size int) structs.Budget {
	kinds := []structs.FailureDomain{
		structs.FailureDomainZone, structs.FailureDomainRack,
		structs.FailureDomainVM, structs.FailureDomainNone,
	}
	b := structs.Budget{MinAvailable: size * 7 / 10, Survive: kinds[pool%len(kinds)]}
	if pool%3 == 0 {
		b.MinAvailablePerZone = 1
	}
	return b
}

func fullShape(vms int) fleetShape {
	return fleetShape{zones: 10, pools: 27, vms: vms, rackSize: 4, budget: fleetBudget}
}

// waveLoad is the work and the repairs of one case of the benchmark.
type waveLoad struct {
	prefix    string // of the metrics
	longShare float64
	longMean  time.Duration
	shortMost time.Duration
	repair    time.Duration // zero for never
	passes    int           // plans in one round at most
	buildUp   int           // rounds before the wave, for long requests
}

var (
	mildLoad = waveLoad{
		longShare: 0.01, longMean: 10 * time.Minute, shortMost: shortAtMost,
		repair: repairTime, passes: passesPerRound, buildUp: 120,
	}
	// hardLoad is the workload that the planner was first measured with: more
	// and longer requests, no repairs and one plan a round.
	hardLoad = waveLoad{
		prefix:    "hard_",
		longShare: 0.02, longMean: 30 * time.Minute, shortMost: 30 * time.Second,
		passes: 1, buildUp: 540,
	}
)

func (l waveLoad) set(s *sim) {
	s.longShare, s.longMean, s.shortMost = l.longShare, l.longMean, l.shortMost
	s.repair, s.passes = l.repair, l.passes
}

// newWaveSim is the wave of the benchmark: long requests, unplanned restarts
// and failures at the fleet's daily rates, and a few VMs that return broken.
func newWaveSim(load waveLoad, vms int, seed int64) *sim {
	s := newSim(newView(fullShape(vms)), seed)
	s.addWave()
	load.set(s)
	s.breakShare = 0.002
	s.restartsADay = 110 * float64(vms) / 950
	s.failuresADay = 12 * float64(vms) / 950
	for i := 0; i < load.buildUp; i++ {
		s.step(nil)
	}
	s.start = s.now
	return s
}

// capacity is how many VMs any plan that keeps the budgets could have out at
// once, by pool and round, given the unplanned outages of that round.
type capacity struct {
	pools map[string][]int
	cells map[[2]string][]int
}

func (c *capacity) note(s *sim) {
	ledger := budget.New(s.pristine, func(vm *structs.VMStatus) bool {
		return s.now.Before(s.workers[s.byID[vm.ID]].outageUntil)
	})
	for pool := range s.view.Pools {
		c.pools[pool] = append(c.pools[pool], ledger.Bound(pool))
		for zone := range s.view.Zones {
			cell := [2]string{pool, zone}
			c.cells[cell] = append(c.cells[cell], ledger.ZoneBound(pool, zone))
		}
	}
}

// runNoting runs a wave and returns its time and the lower bound.
func runNoting(s *sim, p policy, limit time.Duration) (took, bound time.Duration) {
	ends := longEndsOf(s)
	c := &capacity{pools: map[string][]int{}, cells: map[[2]string][]int{}}
	for s.now.Sub(s.start) < limit && !s.finished() {
		s.step(p)
		c.note(s)
	}
	return s.now.Sub(s.start), lowerBound(s, ends, c)
}

// lowerBound is a time that no plan that keeps the budgets can beat, even one
// that knows every outage and long request beforehand. Each VM that had no
// outage of its own is out for at least its reboot and probation; a pool can
// never have more out at once than its budgets allow; and a long request that
// runs at the start must end before its VM can reboot.
func lowerBound(s *sim, longEnds []time.Time, c *capacity) time.Duration {
	probation := time.Minute
	pools := map[string][]time.Duration{}
	cells := map[[2]string][]time.Duration{}
	var longest time.Duration
	for i, w := range s.workers {
		vm := &s.pristine.VMs[i]
		if w.restarted {
			continue
		}
		out := w.reboot + probation
		cell := [2]string{vm.Pool, vm.Zone}
		pools[vm.Pool] = append(pools[vm.Pool], out)
		cells[cell] = append(cells[cell], out)
		wait := max(longEnds[i].Sub(s.start), 0)
		longest = max(longest, wait+out)
	}
	for pool, outs := range pools {
		longest = max(longest, poolBound(outs, c.pools[pool]))
	}
	for cell, outs := range cells {
		longest = max(longest, poolBound(outs, c.cells[cell]))
	}
	return longest
}

// poolBound is the least time in which VMs can be out in turn within the
// capacity of each round: the rounds until the capacity covers all the work,
// or the shortest outages of the place that has the most VMs to serve.
func poolBound(outs []time.Duration, most []int) time.Duration {
	slices.Sort(outs)
	var all, done, covered, shortest time.Duration
	for _, out := range outs {
		all += out
	}
	for _, n := range most {
		if done >= all {
			break
		}
		done += time.Duration(n) * simRound
		covered += simRound
	}
	widest := max(slices.Max(most), 1)
	for _, out := range outs[:(len(outs)+widest-1)/widest] {
		shortest += out
	}
	return max(covered, shortest)
}

func longEndsOf(s *sim) []time.Time {
	ends := make([]time.Time, len(s.workers))
	for i, w := range s.workers {
		ends[i] = w.longEnd
	}
	return ends
}

// rackPolicy is the baseline: it drains the VMs of one rack that the budgets
// allow, waits until all have returned, and goes on to the next rack. With
// perZone it works on one rack in every zone at the same time.
type rackPolicy struct {
	perZone bool
	tracker *wave.Tracker
}

func (b *rackPolicy) Round(in Input) Plan {
	r := newRound(New(Options{}), in)
	r.p.tracker = b.tracker
	b.tracker.Observe(in.View, r.seen, in.Now)
	r.advanceVMs()
	for _, rack := range b.current(r) {
		for _, vm := range rack {
			if r.usable(vm) && !r.changed[vm.ID] && r.ledger.Check(vm) == budget.Allowed {
				r.take(vm, "march", "")
			}
		}
	}
	return r.plan
}

// current returns the racks being worked on: the first that is not done, of
// the fleet or of each zone.
func (b *rackPolicy) current(r *round) [][]*structs.VMStatus {
	racks := map[[2]string][]*structs.VMStatus{}
	busy := map[string][2]string{}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State == structs.VMFailed || (vm.State == structs.VMActive && (r.done(vm, imageNew) || r.out(vm))) {
			continue
		}
		scope := ""
		if b.perZone {
			scope = vm.Zone
		}
		rack := [2]string{vm.Zone, vm.Rack}
		racks[rack] = append(racks[rack], vm)
		if vm.State != structs.VMActive || busy[scope][0] == "" {
			busy[scope] = rack
		}
	}
	scopes := make([]string, 0, len(busy))
	for scope := range busy {
		scopes = append(scopes, scope)
	}
	sort.Strings(scopes)
	current := make([][]*structs.VMStatus, 0, len(scopes))
	for _, scope := range scopes {
		current = append(current, racks[busy[scope]])
	}
	return current
}

const (
	waveSeeds = 12
	// rolloutTarget is the target of rollout_vs_bound.
	rolloutTarget = 1.2
)

// waveResult is what one seed of the benchmark came to.
type waveResult struct {
	took  time.Duration
	ratio float64
	sim   *sim
}

func BenchmarkWave(b *testing.B) {
	for b.Loop() {
		mild := make([]waveResult, waveSeeds)
		hard := make([]waveResult, waveSeeds)
		var rack, zoneRack time.Duration
		var wg sync.WaitGroup
		wg.Go(func() { rack = runRackBaseline(false) })
		wg.Go(func() { zoneRack = runRackBaseline(true) })
		for i := range waveSeeds {
			wg.Go(func() { mild[i] = runWave(mildLoad, int64(i+1)) })
			wg.Go(func() { hard[i] = runWave(hardLoad, int64(i+1)) })
		}
		wg.Wait()
		reportWaves(b, mildLoad, mild)
		reportWaves(b, hardLoad, hard)
		rollout := float64(mild[0].took)
		b.ReportMetric(rollout/float64(rack), "rollout_vs_one_rack_at_a_time")
		b.ReportMetric(rollout/float64(zoneRack), "rollout_vs_one_rack_per_zone")
	}
}

func runWave(load waveLoad, seed int64) waveResult {
	s := newWaveSim(load, 950, seed)
	took, bound := runNoting(s, New(Options{}), 24*time.Hour)
	return waveResult{took: took, ratio: float64(took) / float64(bound), sim: s}
}

func reportWaves(b *testing.B, load waveLoad, results []waveResult) {
	var sum, worst float64
	var breaches, cutWork, early, voids, over int
	for _, r := range results {
		require.True(b, r.sim.finished())
		sum += r.ratio
		worst = max(worst, r.ratio)
		breaches += r.sim.breaches
		cutWork += r.sim.cutWork
		early += r.sim.early
		voids += r.sim.voids
		if r.ratio > rolloutTarget {
			over++
		}
	}
	b.ReportMetric(sum/float64(len(results)), load.prefix+"rollout_vs_bound")
	b.ReportMetric(worst, load.prefix+"rollout_vs_bound_worst_seed")
	b.ReportMetric(float64(over), load.prefix+"seeds_over_target")
	b.ReportMetric(float64(breaches), load.prefix+"budget_breaches")
	b.ReportMetric(float64(cutWork), load.prefix+"cut")
	b.ReportMetric(float64(early), load.prefix+"undrained_reboots")
	b.ReportMetric(float64(voids), load.prefix+"void_records")
	b.ReportMetric(results[0].took.Minutes(), load.prefix+"rollout_min")
}

// runRackBaseline runs the first seed under a baseline.
func runRackBaseline(perZone bool) time.Duration {
	s := newWaveSim(mildLoad, 950, 1)
	s.unchecked = true
	return s.run(&rackPolicy{perZone: perZone, tracker: wave.NewTracker(wave.Options{})}, 10*24*time.Hour)
}
