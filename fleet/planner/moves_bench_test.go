package planner

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
)

// greedyMover is the baseline: whenever a pool's last report shows more
// demand than its VMs hold, it takes as many VMs as are missing from the pools
// with the largest surplus.
type greedyMover struct{}

func (greedyMover) Decide(pools []moves.Pool, _ time.Time, _ time.Duration) []moves.Shift {
	var shifts []moves.Shift
	lent := make([]int, len(pools))
	for i := range pools {
		missing := int(math.Ceil(pools[i].Demand.Now/pools[i].Slots)) - pools[i].Serving - pools[i].Coming
		for ; missing > 0; missing-- {
			best, most := -1, 0
			for j := range pools {
				surplus := pools[j].Serving - lent[j] - int(math.Ceil(pools[j].Demand.Now/pools[j].Slots))
				if j != i && lent[j] < pools[j].Lendable && surplus > most {
					best, most = j, surplus
				}
			}
			if best < 0 {
				break
			}
			lent[best]++
			shifts = append(shifts, moves.Shift{From: pools[best].Name, To: pools[i].Name, Count: 1})
		}
	}
	return shifts
}

// stayMover never moves a VM.
type stayMover struct{}

func (stayMover) Decide([]moves.Pool, time.Time, time.Duration) []moves.Shift { return nil }

func moversShape() fleetShape {
	return fleetShape{zones: 4, pools: 5, vms: 50, rackSize: 4, budget: func(_, size int) structs.Budget {
		return structs.Budget{MinAvailable: size / 2, Survive: structs.FailureDomainRack}
	}}
}

func plannerWith(m mover) *Planner {
	p := New(Options{})
	p.mover = m
	return p
}

// startOf returns the number of VMs in each pool now.
func startOf(s *sim) []int {
	start := make([]int, len(s.view.Pools))
	for i := range s.view.VMs {
		start[poolNumber(s.view.VMs[i].Pool)]++
	}
	return start
}

// keptBy returns the VMs that the budgets keep in each pool: the least number
// and one more, because the loss of a rack takes at least one.
func keptBy(s *sim) []int {
	kept := make([]int, len(s.pristine.Pools))
	for _, service := range s.pristine.Services {
		kept[poolNumber(service.Pool)] = service.Budget.MinAvailable + 1
	}
	return kept
}

const meanSlots = 20.0 // five times this is more than a pool of ten holds

// moversResult is what one seed of the benchmark came to.
type moversResult struct {
	ours, greedy, stay dayResult
	bound              float64
}

// moversCase is one kind of day: how long the pools' turns last and how long
// the planner has learned before.
type moversCase struct {
	suffix string // of the metrics
	turn   time.Duration
	learn  time.Duration
	seeds  int
}

var moversCases = []moversCase{
	{"", time.Hour, learnTime, 3},
	{"_15min", 15 * time.Minute, learnTime, 2},
	{"_4h", 4 * time.Hour, learnTime, 2},
	{"_cold_day", time.Hour, 0, 2},
}

func (c moversCase) run(seed int64) moversResult {
	line := newDemand(5, meanSlots, c.turn, c.learn+24*time.Hour, seed)
	day := func(p *Planner) dayResult { return runDay(newView(moversShape()), p, line, c.learn, seed) }
	r := moversResult{ours: day(New(Options{})), greedy: day(plannerWith(greedyMover{})), stay: day(plannerWith(stayMover{}))}
	r.bound = movesBound(line.from(c.learn), r.ours.start, keptBy(r.ours.sim), r.ours.shortage)
	return r
}

// from returns the demand after a time.
func (l demandLine) from(after time.Duration) demandLine {
	rest := make(demandLine, len(l))
	for pool := range l {
		rest[pool] = l[pool][int(after/simRound):]
	}
	return rest
}

func BenchmarkMoves(b *testing.B) {
	for b.Loop() {
		results := make([][]moversResult, len(moversCases))
		var wg sync.WaitGroup
		for i, c := range moversCases {
			results[i] = make([]moversResult, c.seeds)
			for j := range results[i] {
				wg.Go(func() { results[i][j] = c.run(int64(j + 1)) })
			}
		}
		wg.Wait()
		for i, c := range moversCases {
			c.report(b, results[i])
		}
	}
}

func (c moversCase) report(b *testing.B, results []moversResult) {
	var all moversResult
	for _, r := range results {
		require.Zero(b, r.ours.sim.breaches)
		require.Zero(b, r.ours.sim.cutWork)
		all.ours.add(r.ours)
		all.greedy.add(r.greedy)
		all.stay.add(r.stay)
		all.bound += r.bound
	}
	moved := float64(all.ours.moves)
	b.ReportMetric(moved/float64(len(results)), "moves_per_day"+c.suffix)
	b.ReportMetric(float64(all.greedy.moves)/float64(len(results)), "greedy_moves_per_day"+c.suffix)
	b.ReportMetric(all.bound/float64(len(results)), "bound_per_day"+c.suffix)
	b.ReportMetric(moved/all.bound, "moves_vs_bound"+c.suffix)
	b.ReportMetric(moved/float64(all.greedy.moves), "moves_vs_greedy"+c.suffix)
	b.ReportMetric(all.ours.shortage/all.greedy.shortage, "shortage_vs_greedy"+c.suffix)
	b.ReportMetric(all.ours.shortage/all.stay.shortage, "shortage_vs_no_move"+c.suffix)
	b.ReportMetric(all.ours.shortage/float64(len(results)), "shortage_slot_h"+c.suffix)
	b.ReportMetric(all.greedy.shortage/float64(len(results)), "greedy_shortage_slot_h"+c.suffix)
}

func (d *dayResult) add(other dayResult) {
	d.moves += other.moves
	d.shortage += other.shortage
}
