package planner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// planInput returns the input for a fleet in the middle of a wave: a tenth of
// the VMs are done and a twentieth are draining.
func planInput(vms, pools, zones int) Input {
	view := newView(fleetShape{zones: zones, pools: pools, vms: vms, rackSize: 4, budget: fleetBudget})
	view.Waves["march"] = structs.WaveStatus{Wave: structs.Wave{Name: "march", Image: imageNew}}
	in := Input{View: view, Now: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC), Scope: simScope, Epoch: 1}
	for i := range view.VMs {
		vm := &view.VMs[i]
		switch i % 20 {
		case 0, 1:
			vm.Image = imageNew
		case 2:
			vm.State, vm.Wave = structs.VMDraining, "march"
		}
		in.Observations = append(in.Observations, Observation{
			VM: vm.ID, Presence: wave.PresenceLive, BootCount: 1, Image: vm.Image, ProbeOK: true, InProgress: i % 7,
		})
	}
	for p := 0; p < pools; p++ {
		in.Demand = append(in.Demand, PoolDemand{Pool: poolName(p), BusySlots: float64(20 + p), At: in.Now})
	}
	return in
}

const planRounds = 100

// roundCost is the time and the number of allocations of one round.
type roundCost struct {
	micros, allocs float64
}

func measureRound(b *testing.B, in Input) roundCost {
	p := New(Options{})
	p.Round(in)
	best := math.Inf(1)
	allocs := testing.AllocsPerRun(planRounds, func() {
		start := time.Now()
		plan := p.Round(in)
		best = min(best, float64(time.Since(start).Microseconds()))
		require.NotEmpty(b, plan.Forecasts)
		in.Now = in.Now.Add(simRound)
	})
	return roundCost{micros: best, allocs: allocs}
}

func BenchmarkPlan(b *testing.B) {
	for b.Loop() {
		costs := map[int]roundCost{}
		for _, size := range [][3]int{{50, 5, 4}, {950, 27, 10}, {9500, 99, 10}} {
			cost := measureRound(b, planInput(size[0], size[1], size[2]))
			costs[size[0]] = cost
			b.ReportMetric(cost.micros, fmt.Sprintf("round_us_%d", size[0]))
			b.ReportMetric(cost.allocs, fmt.Sprintf("round_allocs_%d", size[0]))
		}
		b.ReportMetric(growth(costs, 50, 950), "growth_vs_nlogn_50_950")
		b.ReportMetric(growth(costs, 950, 9500), "growth_vs_nlogn_950_9500")
	}
}

// growth returns the growth of the time relative to that of n log n; at most 1
// means that the time grows no faster.
func growth(costs map[int]roundCost, from, to int) float64 {
	nlogn := float64(to) * math.Log(float64(to)) / (float64(from) * math.Log(float64(from)))
	return costs[to].micros / costs[from].micros / nlogn
}
