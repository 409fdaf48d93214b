package planner

import (
	"math"
	"math/rand"
	"time"

	"wigeonwinch/fleet/structs"
)

const (
	slotsPerVM        = 8
	burstFactor       = 5.0  // demand during a burst, as a multiple of the mean
	idleFactor        = 0.05 // demand between bursts, as a multiple of the mean
	rampTime          = 2 * time.Minute
	usageLag          = time.Minute
	usageReportRounds = 3 // rounds between two usage reports
	noiseStdDev       = 0.05
	noiseCarryOver    = 0.95 // share of the noise carried over to the next round
	burstLengthJitter = 0.25
	burstGroups       = 5
	secondsPerHour    = 3600.0
)

// demandSeries is the true demand in slots, by pool and round.
type demandSeries [][]float64

// newDemand returns a demand in which the pools burst in turn: five times the
// mean during the burst of a pool, and a twentieth of the mean otherwise.
func newDemand(pools int, mean float64, burstLength, length time.Duration, seed int64) demandSeries {
	rng := rand.New(rand.NewSource(seed))
	rounds := int(length / simRound)
	demand := make(demandSeries, pools)
	owner := burstOrder(rng, burstLength, rounds)
	for p := range demand {
		demand[p] = make([]float64, rounds)
		level, noise := idleFactor*mean, 0.0
		for i := range demand[p] {
			target := idleFactor * mean
			if owner[i] == p%burstGroups {
				target = burstFactor * mean
			}
			maxChange := (burstFactor - idleFactor) * mean * float64(simRound) / float64(rampTime)
			level += min(max(target-level, -maxChange), maxChange)
			noise = noiseCarryOver*noise + math.Sqrt(1-noiseCarryOver*noiseCarryOver)*noiseStdDev*rng.NormFloat64()
			demand[p][i] = max(level*(1+noise), 0)
		}
	}
	return demand
}

// burstOrder returns the group that bursts in each round. A group is every
// fifth pool, so that the average demand of each pool is its mean.
func burstOrder(rng *rand.Rand, burstLength time.Duration, rounds int) []int {
	owner := make([]int, 0, rounds)
	for p := 0; len(owner) < rounds; p = (p + 1) % burstGroups {
		length := float64(burstLength) * (1 + burstLengthJitter*(2*rng.Float64()-1))
		for n := int(length / float64(simRound)); n > 0 && len(owner) < rounds; n-- {
			owner = append(owner, p)
		}
	}
	return owner
}

// dayResult is the outcome of a simulated day.
type dayResult struct {
	moves      int
	shortage   float64 // slot-hours
	initialVMs []int   // VMs in each pool when the measurement began
	sim        *sim
}

// learnTime is how long the planner runs before the measured day begins,
// except in the cold_day case.
const learnTime = 6 * time.Hour

// runDay runs the policy for the learning time and one day, and measures the
// day only.
func runDay(view *structs.View, p policy, demand demandSeries, learnDuration time.Duration, seed int64) dayResult {
	s := newSim(view, seed)
	s.longRequestShare = 0.002
	d := &demandPolicy{inner: p, sim: s, demand: demand}
	result := dayResult{sim: s}
	for i := range demand[0] {
		d.round = i
		d.recordServing()
		if i == int(learnDuration/simRound) {
			result.shortage, d.moves = 0, 0
			result.initialVMs = vmsPerPool(s)
		}
		for pool, want := range d.demand {
			short := max(want[i]-slotsPerVM*float64(d.servingVMs[pool]), 0)
			result.shortage += short * simRound.Seconds() / secondsPerHour
		}
		s.step(d)
	}
	result.moves = d.moves
	return result
}

// demandPolicy adds delayed usage reports to the input of a policy and counts
// its moves.
type demandPolicy struct {
	inner          policy
	sim            *sim
	demand         demandSeries
	round          int
	servingVMs     []int // VMs in service, by pool
	servingHistory [][]int
	moves          int
}

func (d *demandPolicy) recordServing() {
	d.servingVMs = make([]int, len(d.demand))
	for i := range d.sim.view.VMs {
		vm := &d.sim.view.VMs[i]
		if vm.State == structs.VMActive && d.sim.workers[i].up(d.sim.now) {
			d.servingVMs[poolNumber(vm.Pool)]++
		}
	}
	d.servingHistory = append(d.servingHistory, d.servingVMs)
}

func poolNumber(name string) int { return int(name[2]-'0')*10 + int(name[3]-'0') }

func (d *demandPolicy) Round(in Input) Plan {
	lag := int(usageLag / simRound)
	if d.round >= lag && d.round%usageReportRounds == 0 {
		for pool, want := range d.demand {
			availableSlots := slotsPerVM * float64(d.servingHistory[d.round-lag][pool])
			wantedSlots := want[d.round-lag]
			in.Demand = append(in.Demand, PoolDemand{
				Pool: poolName(pool), BusySlots: min(wantedSlots, availableSlots), QueuedSlots: max(wantedSlots-availableSlots, 0),
				LagSeconds: usageLag.Seconds(), At: in.Now,
			})
		}
	}
	plan := d.inner.Round(in)
	for _, rec := range plan.Records {
		if rec.Move != nil {
			d.moves++
		}
	}
	return plan
}
