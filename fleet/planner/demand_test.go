package planner

import (
	"math"
	"math/rand"
	"time"

	"wigeonwinch/fleet/structs"
)

const (
	slotsPerVM  = 8
	burstTimes  = 5.0  // a burst asks for this many means
	pauseTimes  = 0.05 // a pause asks for this many means
	rampTime    = 2 * time.Minute
	usageLag    = time.Minute
	usageEvery  = 3 // rounds between two reports of usage
	noiseShare  = 0.05
	noiseKeeps  = 0.95 // share of the noise that lasts to the next round
	turnJitter  = 0.25
	turnGroups  = 5
	secondsHour = 3600.0
)

// demandLine is the true demand in slots, by pool and round.
type demandLine [][]float64

// newDemand lets the pools take turns: each asks in its turn for five times
// its mean and in between for a twentieth.
func newDemand(pools int, mean float64, turn, length time.Duration, seed int64) demandLine {
	rng := rand.New(rand.NewSource(seed))
	rounds := int(length / simRound)
	line := make(demandLine, pools)
	owner := turns(rng, turn, rounds)
	for p := range line {
		line[p] = make([]float64, rounds)
		level, noise := pauseTimes*mean, 0.0
		for i := range line[p] {
			target := pauseTimes * mean
			if owner[i] == p%turnGroups {
				target = burstTimes * mean
			}
			most := (burstTimes - pauseTimes) * mean * float64(simRound) / float64(rampTime)
			level += min(max(target-level, -most), most)
			noise = noiseKeeps*noise + math.Sqrt(1-noiseKeeps*noiseKeeps)*noiseShare*rng.NormFloat64()
			line[p][i] = max(level*(1+noise), 0)
		}
	}
	return line
}

// turns says which group's turn each round is: every fifth pool, so that each
// asks for its mean on average.
func turns(rng *rand.Rand, turn time.Duration, rounds int) []int {
	owner := make([]int, 0, rounds)
	for p := 0; len(owner) < rounds; p = (p + 1) % turnGroups {
		length := float64(turn) * (1 + turnJitter*(2*rng.Float64()-1))
		for n := int(length / float64(simRound)); n > 0 && len(owner) < rounds; n-- {
			owner = append(owner, p)
		}
	}
	return owner
}

// dayResult is what a day of demand came to.
type dayResult struct {
	moves    int
	shortage float64 // slot-hours
	start    []int   // VMs in each pool when the count began
	sim      *sim
}

// learnTime is how long a day's planner has run before the day begins, unless
// the day is a cold one.
const learnTime = 6 * time.Hour

// runDay plans a time to learn and a day under the demand, and counts the day.
func runDay(view *structs.View, p policy, line demandLine, learn time.Duration, seed int64) dayResult {
	s := newSim(view, seed)
	s.longShare = 0.002
	d := &demandPolicy{inner: p, sim: s, line: line}
	result := dayResult{sim: s}
	for i := range line[0] {
		d.round = i
		d.serving()
		if i == int(learn/simRound) {
			result.shortage, d.moves = 0, 0
			result.start = startOf(s)
		}
		for pool, want := range d.line {
			short := max(want[i]-slotsPerVM*float64(d.now[pool]), 0)
			result.shortage += short * simRound.Seconds() / secondsHour
		}
		s.step(d)
	}
	result.moves = d.moves
	return result
}

// demandPolicy adds lagging usage to what the policy sees and counts moves.
type demandPolicy struct {
	inner policy
	sim   *sim
	line  demandLine
	round int
	now   []int // VMs in service by pool
	past  [][]int
	moves int
}

func (d *demandPolicy) serving() {
	d.now = make([]int, len(d.line))
	for i := range d.sim.view.VMs {
		vm := &d.sim.view.VMs[i]
		if vm.State == structs.VMActive && d.sim.workers[i].up(d.sim.now) {
			d.now[poolNumber(vm.Pool)]++
		}
	}
	d.past = append(d.past, d.now)
}

func poolNumber(name string) int { return int(name[2]-'0')*10 + int(name[3]-'0') }

func (d *demandPolicy) Round(in Input) Plan {
	lag := int(usageLag / simRound)
	if d.round >= lag && d.round%usageEvery == 0 {
		for pool, want := range d.line {
			held := slotsPerVM * float64(d.past[d.round-lag][pool])
			asked := want[d.round-lag]
			in.Demand = append(in.Demand, PoolDemand{
				Pool: poolName(pool), BusySlots: min(asked, held), QueuedSlots: max(asked-held, 0),
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
