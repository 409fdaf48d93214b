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

// greedyMover is the baseline: if the last report of a pool shows more demand
// than its VMs can serve, it moves the missing VMs from the pools with the
// largest surplus.
type greedyMover struct{}

func (greedyMover) Decide(pools []moves.Pool, _ time.Time, _ time.Duration) []moves.Shift {
	var shifts []moves.Shift
	lent := make([]int, len(pools))
	for i := range pools {
		missing := int(math.Ceil(pools[i].Demand.Current/pools[i].Slots)) - pools[i].Serving - pools[i].Incoming
		for ; missing > 0; missing-- {
			best, most := -1, 0
			for j := range pools {
				surplus := pools[j].Serving - lent[j] - int(math.Ceil(pools[j].Demand.Current/pools[j].Slots))
				if j != i && lent[j] < pools[j].Removable && surplus > most {
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

// noMover never moves a VM.
type noMover struct{}

func (noMover) Decide([]moves.Pool, time.Time, time.Duration) []moves.Shift { return nil }

func movesShape() fleetShape {
	return fleetShape{zones: 4, pools: 5, vms: 50, rackSize: 4, budget: func(_, size int) structs.Budget {
		return structs.Budget{MinAvailable: size / 2, Survive: structs.FailureDomainRack}
	}}
}

func newPlannerWithMover(m mover) *Planner {
	p := New(Options{})
	p.mover = m
	return p
}

// vmsPerPool returns the current number of VMs in each pool.
func vmsPerPool(s *sim) []int {
	start := make([]int, len(s.view.Pools))
	for i := range s.view.VMs {
		start[poolNumber(s.view.VMs[i].Pool)]++
	}
	return start
}

// minVMsPerPool returns the number of VMs that must stay in each pool: the
// minimum availability and one more, because the loss of a rack takes at least
// one VM.
func minVMsPerPool(s *sim) []int {
	kept := make([]int, len(s.initialView.Pools))
	for _, service := range s.initialView.Services {
		kept[poolNumber(service.Pool)] = service.Budget.MinAvailable + 1
	}
	return kept
}

const meanSlots = 20.0 // a burst of five times this exceeds the slots of a pool of ten VMs

// movesResult is the outcome of one seed of the benchmark.
type movesResult struct {
	ours, greedy, none dayResult
	bound              float64
}

// movesCase is a kind of day: the length of the pools' bursts and the
// learning time of the planner before the day.
type movesCase struct {
	suffix      string // of the metric names
	burstLength time.Duration
	learnTime   time.Duration
	seeds       int
}

var movesCases = []movesCase{
	{"", time.Hour, learnTime, 3},
	{"_15min", 15 * time.Minute, learnTime, 2},
	{"_4h", 4 * time.Hour, learnTime, 2},
	{"_cold_day", time.Hour, 0, 2},
}

func (c movesCase) run(seed int64) movesResult {
	demand := newDemand(5, meanSlots, c.burstLength, c.learnTime+24*time.Hour, seed)
	day := func(p *Planner) dayResult { return runDay(newView(movesShape()), p, demand, c.learnTime, seed) }
	r := movesResult{ours: day(New(Options{})), greedy: day(newPlannerWithMover(greedyMover{})), none: day(newPlannerWithMover(noMover{}))}
	r.bound = movesBound(demand.after(c.learnTime), r.ours.initialVMs, minVMsPerPool(r.ours.sim), r.ours.shortage)
	return r
}

// after returns the demand after the given time.
func (d demandSeries) after(offset time.Duration) demandSeries {
	rest := make(demandSeries, len(d))
	for pool := range d {
		rest[pool] = d[pool][int(offset/simRound):]
	}
	return rest
}

func BenchmarkMoves(b *testing.B) {
	for b.Loop() {
		results := make([][]movesResult, len(movesCases))
		var wg sync.WaitGroup
		for i, c := range movesCases {
			results[i] = make([]movesResult, c.seeds)
			for j := range results[i] {
				wg.Go(func() { results[i][j] = c.run(int64(j + 1)) })
			}
		}
		wg.Wait()
		for i, c := range movesCases {
			c.report(b, results[i])
		}
	}
}

func (c movesCase) report(b *testing.B, results []movesResult) {
	var all movesResult
	for _, r := range results {
		require.Zero(b, r.ours.sim.budgetBreaches)
		require.Zero(b, r.ours.sim.interruptedRequests)
		all.ours.add(r.ours)
		all.greedy.add(r.greedy)
		all.none.add(r.none)
		all.bound += r.bound
	}
	moved := float64(all.ours.moves)
	b.ReportMetric(moved/float64(len(results)), "moves_per_day"+c.suffix)
	b.ReportMetric(float64(all.greedy.moves)/float64(len(results)), "greedy_moves_per_day"+c.suffix)
	b.ReportMetric(all.bound/float64(len(results)), "bound_per_day"+c.suffix)
	b.ReportMetric(moved/all.bound, "moves_vs_bound"+c.suffix)
	b.ReportMetric(moved/float64(all.greedy.moves), "moves_vs_greedy"+c.suffix)
	b.ReportMetric(all.ours.shortage/all.greedy.shortage, "shortage_vs_greedy"+c.suffix)
	b.ReportMetric(all.ours.shortage/all.none.shortage, "shortage_vs_no_move"+c.suffix)
	b.ReportMetric(all.ours.shortage/float64(len(results)), "shortage_slot_h"+c.suffix)
	b.ReportMetric(all.greedy.shortage/float64(len(results)), "greedy_shortage_slot_h"+c.suffix)
}

func (d *dayResult) add(other dayResult) {
	d.moves += other.moves
	d.shortage += other.shortage
}
