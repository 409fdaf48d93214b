package planner

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/buffer"
	"wigeonwinch/fleet/structs"
)

// userBudget returns the strictest budget for pool 0, whose requests are least
// able to wait: it must survive the loss of a zone, the others that of a rack.
func userBudget(pool, size int) structs.Budget {
	survive := structs.FailureDomainRack
	if pool == 0 {
		survive = structs.FailureDomainZone
	}
	return structs.Budget{MinAvailable: size * 6 / 10, Survive: survive}
}

func userShape() fleetShape {
	return fleetShape{zones: 4, pools: 5, vms: 50, rackSize: 4, budget: userBudget}
}

// bufferSizes holds the VMs beyond the sum of the minimum availability of all
// budgets.
type bufferSizes struct{ ours, bound, static float64 }

// measureBuffer feeds the planner half a day of demand and compares its buffer
// with the lower bound and with a fixed share per pool.
func measureBuffer(b *testing.B, shape fleetShape) bufferSizes {
	view := newSim(newView(shape), 1).view
	mean := 2.0 * float64(shape.vms) / float64(shape.pools)
	demand := newDemand(shape.pools, mean, time.Hour, 12*time.Hour, 1)
	reports := feedDemand(view, demand)
	requireSurvives(b, view, reports)
	least := minAvailableSum(view)
	return bufferSizes{
		ours:   float64(reports[0].Required - least),
		bound:  float64(boundTotal(view, mean) - least),
		static: float64(staticTotal(view, mean) - least),
	}
}

// feedDemand feeds the planner delayed usage reports and returns the buffer
// reports of its last round.
func feedDemand(view *structs.View, demand demandSeries) []BufferReport {
	p := newPlannerWithMover(noMover{})
	now := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	lag := int(usageLag / simRound)
	var plan Plan
	for i := lag; i < len(demand[0]); i += usageReportRounds {
		in := Input{View: view, Now: now.Add(time.Duration(i) * simRound), Scope: simScope, Epoch: 1}
		for pool := range demand {
			in.Demand = append(in.Demand, PoolDemand{
				Pool: poolName(pool), BusySlots: demand[pool][i-lag], LagSeconds: usageLag.Seconds(), At: in.Now,
			})
		}
		plan = p.Round(in)
	}
	return plan.Buffers
}

func minAvailableSum(view *structs.View) int {
	sum := 0
	for _, service := range view.Services {
		sum += service.Budget.MinAvailable
	}
	return sum
}

// boundTotal returns a lower bound on the required VMs, given the true demand
// and free placement of VMs: each pool's own need, the failed VMs, and the
// largest joint need of the bursts of a group.
func boundTotal(view *structs.View, mean float64) int {
	ledger := budget.New(view, nil)
	total := 0
	joint := make([]int, burstGroups)
	burst := int(math.Ceil(burstFactor * mean / slotsPerVM))
	for name := range view.Pools {
		own := ledger.RequiredLowerBound(name, len(view.Zones))
		total += own
		joint[poolNumber(name)%burstGroups] += max(burst-own, 0)
	}
	most := 0
	for _, excess := range joint {
		most = max(most, excess)
	}
	return total + most + buffer.Options{}.MaxFailed(len(view.VMs))
}

// staticTotal returns the required VMs if every pool has the same share on top
// of its minimum. The share is the smallest with which each pool alone covers
// the loss named by its budget and one more failure, its own random failures,
// one VM in maintenance and its own bursts.
func staticTotal(view *structs.View, mean float64) int {
	ledger := budget.New(view, nil)
	share := 0.0
	for _, service := range view.Services {
		own := ledger.Required(service.Pool)
		failed := buffer.Options{}.MaxFailed(ledger.Total(service.Pool))
		burst := int(math.Ceil(burstFactor * mean / slotsPerVM))
		need := max(own+max(failed-1, 0)+1, burst)
		least := float64(service.Budget.MinAvailable)
		share = max(share, (float64(need)-least)/least)
	}
	total := 0
	for _, service := range view.Services {
		total += int(math.Ceil(float64(service.Budget.MinAvailable)*(1+share) - 1e-9))
	}
	return total
}

// requireSurvives reduces each pool to the number of VMs that its report
// requires and checks that the pool still meets its budgets after the worst
// loss named by them together with one more VM.
func requireSurvives(b testing.TB, view *structs.View, reports []BufferReport) {
	for _, report := range reports[1:] {
		kept := keepVMs(view, report.Pool, report.Required)
		require.Len(b, kept, report.Required, report.Pool)
		for _, service := range view.Services {
			if service.Pool == report.Pool {
				require.GreaterOrEqual(b, worstRemaining(kept, service.Budget.Survive), service.Budget.MinAvailable, report.Pool)
			}
		}
	}
}

// keepVMs removes VMs from the fullest zones or racks until the given number
// is left.
func keepVMs(view *structs.View, pool string, number int) []structs.VMStatus {
	var kept []structs.VMStatus
	byZone := false
	for _, vm := range view.VMs {
		if vm.Pool == pool {
			kept = append(kept, vm)
		}
	}
	for _, service := range view.Services {
		byZone = byZone || (service.Pool == pool && service.Budget.Survive == structs.FailureDomainZone)
	}
	for len(kept) > number {
		count := map[[2]string]int{}
		for _, vm := range kept {
			count[domainOf(vm, byZone)]++
		}
		fullest := 0
		for i, vm := range kept {
			if count[domainOf(vm, byZone)] > count[domainOf(kept[fullest], byZone)] {
				fullest = i
			}
		}
		kept = append(kept[:fullest], kept[fullest+1:]...)
	}
	return kept
}

func domainOf(vm structs.VMStatus, byZone bool) [2]string {
	if byZone {
		return [2]string{vm.Zone}
	}
	return [2]string{vm.Zone, vm.Rack}
}

// worstRemaining returns the number of VMs left after the worst loss named by
// the budget and the loss of one more VM.
func worstRemaining(kept []structs.VMStatus, survive structs.FailureDomain) int {
	worst := 0
	lost := map[[2]string]int{}
	for _, vm := range kept {
		switch survive {
		case structs.FailureDomainZone, structs.FailureDomainRack:
			domain := domainOf(vm, survive == structs.FailureDomainZone)
			lost[domain]++
			worst = max(worst, lost[domain])
		case structs.FailureDomainVM:
			worst = 1
		}
	}
	return len(kept) - worst - 1
}

func BenchmarkBuffer(b *testing.B) {
	for b.Loop() {
		worst := 0.0
		for _, fleet := range []struct {
			name  string
			shape fleetShape
		}{{"gothalo", userShape()}, {"tuulekoda", userShape()}, {"950", fullShape(950)}} {
			s := measureBuffer(b, fleet.shape)
			worst = max(worst, s.ours/s.bound)
			b.ReportMetric(s.ours, fleet.name+"_buffer_vms")
			b.ReportMetric(s.ours/s.bound, fleet.name+"_buffer_vs_bound")
			b.ReportMetric(s.ours/s.static, fleet.name+"_buffer_vs_static")
			if fleet.name == "950" {
				b.ReportMetric(s.ours/s.static, "buffer_vs_static")
			}
		}
		b.ReportMetric(worst, "buffer_vs_bound")
	}
}
