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

// fleetBudget returns each kind of budget for a quarter of the pools.
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

// waveLoad is the load and the repair time of one case of the benchmark.
type waveLoad struct {
	prefix           string // of the metric names
	longRequestShare float64
	longRequestMean  time.Duration
	maxShortRequest  time.Duration
	repairTime       time.Duration // zero means never
	maxPlans         int           // maximum number of rounds planned in one step
	warmUpSteps      int           // steps before the wave in which long requests accumulate
}

var (
	moderateLoad = waveLoad{
		longRequestShare: 0.01, longRequestMean: 10 * time.Minute, maxShortRequest: maxShortRequest,
		repairTime: repairTime, maxPlans: maxPlansPerStep, warmUpSteps: 120,
	}
	// hardLoad is the workload that the planner was first measured with: more
	// and longer requests, no repairs and one planning round per step.
	hardLoad = waveLoad{
		prefix:           "hard_",
		longRequestShare: 0.02, longRequestMean: 30 * time.Minute, maxShortRequest: 30 * time.Second,
		maxPlans: 1, warmUpSteps: 540,
	}
)

func (l waveLoad) apply(s *sim) {
	s.longRequestShare, s.longRequestMean, s.maxShortRequest = l.longRequestShare, l.longRequestMean, l.maxShortRequest
	s.repairTime, s.maxPlans = l.repairTime, l.maxPlans
}

// newWaveSim returns the wave of the benchmark, with long requests, unplanned
// restarts and failures at daily rates proportional to the fleet size, and a
// few VMs that are broken after their reboot.
func newWaveSim(load waveLoad, vms int, seed int64) *sim {
	s := newSim(newView(fullShape(vms)), seed)
	s.addWave()
	load.apply(s)
	s.brokenShare = 0.002
	s.restartsPerDay = 110 * float64(vms) / 950
	s.failuresPerDay = 12 * float64(vms) / 950
	for i := 0; i < load.warmUpSteps; i++ {
		s.step(nil)
	}
	s.start = s.now
	return s
}

// capacity is the number of VMs that any plan within the budgets could have
// out of service at once, by pool and round, given the unplanned outages of
// that round.
type capacity struct {
	pools     map[string][]int
	poolZones map[[2]string][]int
}

func (c *capacity) record(s *sim) {
	ledger := budget.New(s.initialView, func(vm *structs.VMStatus) bool {
		return s.now.Before(s.workers[s.byID[vm.ID]].outageUntil)
	})
	for pool := range s.view.Pools {
		c.pools[pool] = append(c.pools[pool], ledger.MaxUnavailableByBudget(pool))
		for zone := range s.view.Zones {
			poolZone := [2]string{pool, zone}
			c.poolZones[poolZone] = append(c.poolZones[poolZone], ledger.MaxUnavailableInZoneByBudget(pool, zone))
		}
	}
}

// runWithBound runs a wave and returns its duration and the lower bound.
func runWithBound(s *sim, p policy, limit time.Duration) (took, bound time.Duration) {
	ends := longRequestEnds(s)
	c := &capacity{pools: map[string][]int{}, poolZones: map[[2]string][]int{}}
	for s.now.Sub(s.start) < limit && !s.finished() {
		s.step(p)
		c.record(s)
	}
	return s.now.Sub(s.start), lowerBound(s, ends, c)
}

// lowerBound returns a duration that no plan within the budgets can beat, even
// with advance knowledge of every outage and long request. Each VM without an
// unplanned outage is out of service for at least its reboot and probation; a
// pool can never have more VMs out of service at once than its budgets allow;
// and a long request that runs at the start must end before its VM can reboot.
func lowerBound(s *sim, longEnds []time.Time, c *capacity) time.Duration {
	probation := time.Minute
	pools := map[string][]time.Duration{}
	poolZones := map[[2]string][]time.Duration{}
	var longest time.Duration
	for i, w := range s.workers {
		vm := &s.initialView.VMs[i]
		if w.hadOutage {
			continue
		}
		out := w.rebootTime + probation
		poolZone := [2]string{vm.Pool, vm.Zone}
		pools[vm.Pool] = append(pools[vm.Pool], out)
		poolZones[poolZone] = append(poolZones[poolZone], out)
		wait := max(longEnds[i].Sub(s.start), 0)
		longest = max(longest, wait+out)
	}
	for pool, outs := range pools {
		longest = max(longest, poolBound(outs, c.pools[pool]))
	}
	for poolZone, outs := range poolZones {
		longest = max(longest, poolBound(outs, c.poolZones[poolZone]))
	}
	return longest
}

// poolBound returns the minimum duration of the given outages within the
// capacity of each round. It is the larger of the time until the capacity
// covers all of the outage time, and the sum of the shortest outages that one
// of the parallel slots must process in sequence.
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

func longRequestEnds(s *sim) []time.Time {
	ends := make([]time.Time, len(s.workers))
	for i, w := range s.workers {
		ends[i] = w.longEnd
	}
	return ends
}

// rackPolicy is the baseline: it drains the VMs of one rack that the budgets
// allow, waits until all of them have returned, and continues with the next
// rack. With perZone it processes one rack of every zone at the same time.
type rackPolicy struct {
	perZone bool
	tracker *wave.Tracker
}

func (b *rackPolicy) Round(in Input) Plan {
	r := newRound(New(Options{}), in)
	r.p.tracker = b.tracker
	b.tracker.Observe(in.View, r.observations, in.Now)
	r.advanceVMs()
	for _, rack := range b.currentRacks(r) {
		for _, vm := range rack {
			if r.available(vm) && !r.changed[vm.ID] && r.ledger.Check(vm) == budget.Allowed {
				r.planDrain(vm, "march", "")
			}
		}
	}
	return r.plan
}

// currentRacks returns the racks in progress: the first unfinished rack of the
// fleet or of each zone.
func (b *rackPolicy) currentRacks(r *round) [][]*structs.VMStatus {
	racks := map[[2]string][]*structs.VMStatus{}
	busy := map[string][2]string{}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State == structs.VMFailed || (vm.State == structs.VMActive && (r.runsImage(vm, imageNew) || r.unavailable(vm))) {
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
	// rolloutTarget is the target for rollout_vs_bound.
	rolloutTarget = 1.2
)

// waveResult is the outcome of one seed of the benchmark.
type waveResult struct {
	took  time.Duration
	ratio float64
	sim   *sim
}

func BenchmarkWave(b *testing.B) {
	for b.Loop() {
		moderate := make([]waveResult, waveSeeds)
		hard := make([]waveResult, waveSeeds)
		var rack, zoneRack time.Duration
		var wg sync.WaitGroup
		wg.Go(func() { rack = runRackBaseline(false) })
		wg.Go(func() { zoneRack = runRackBaseline(true) })
		for i := range waveSeeds {
			wg.Go(func() { moderate[i] = runWave(moderateLoad, int64(i+1)) })
			wg.Go(func() { hard[i] = runWave(hardLoad, int64(i+1)) })
		}
		wg.Wait()
		reportWaves(b, moderateLoad, moderate)
		reportWaves(b, hardLoad, hard)
		rollout := float64(moderate[0].took)
		b.ReportMetric(rollout/float64(rack), "rollout_vs_one_rack_at_a_time")
		b.ReportMetric(rollout/float64(zoneRack), "rollout_vs_one_rack_per_zone")
	}
}

func runWave(load waveLoad, seed int64) waveResult {
	s := newWaveSim(load, 950, seed)
	took, bound := runWithBound(s, New(Options{}), 24*time.Hour)
	return waveResult{took: took, ratio: float64(took) / float64(bound), sim: s}
}

func reportWaves(b *testing.B, load waveLoad, results []waveResult) {
	var sum, worst float64
	var breaches, interrupted, undrained, voids, overTarget int
	for _, r := range results {
		require.True(b, r.sim.finished())
		sum += r.ratio
		worst = max(worst, r.ratio)
		breaches += r.sim.budgetBreaches
		interrupted += r.sim.interruptedRequests
		undrained += r.sim.undrainedReboots
		voids += r.sim.voidRecords
		if r.ratio > rolloutTarget {
			overTarget++
		}
	}
	b.ReportMetric(sum/float64(len(results)), load.prefix+"rollout_vs_bound")
	b.ReportMetric(worst, load.prefix+"rollout_vs_bound_worst_seed")
	b.ReportMetric(float64(overTarget), load.prefix+"seeds_over_target")
	b.ReportMetric(float64(breaches), load.prefix+"budget_breaches")
	b.ReportMetric(float64(interrupted), load.prefix+"cut")
	b.ReportMetric(float64(undrained), load.prefix+"undrained_reboots")
	b.ReportMetric(float64(voids), load.prefix+"void_records")
	b.ReportMetric(results[0].took.Minutes(), load.prefix+"rollout_min")
}

// runRackBaseline runs the first seed with a baseline policy.
func runRackBaseline(perZone bool) time.Duration {
	s := newWaveSim(moderateLoad, 950, 1)
	s.skipBudgetCheck = true
	return s.runUntilFinished(&rackPolicy{perZone: perZone, tracker: wave.NewTracker(wave.Options{})}, 10*24*time.Hour)
}
