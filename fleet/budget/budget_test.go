package budget

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// randomView returns a view with one pool, whose VMs are in random zones and
// racks.
func randomView(rng *rand.Rand, vms int, b structs.Budget) *structs.View {
	view := &structs.View{
		Pools:    map[string]structs.Pool{"p": {Name: "p"}},
		Services: map[string]structs.Service{"s": {Name: "s", Pool: "p", Budget: b}},
	}
	for i := 0; i < vms; i++ {
		zone := fmt.Sprintf("z%d", rng.Intn(3))
		view.VMs = append(view.VMs, structs.VMStatus{
			VM:   structs.VM{ID: fmt.Sprintf("w%d", i), Zone: zone, Rack: fmt.Sprintf("r%d", rng.Intn(2))},
			Pool: "p", State: structs.VMActive,
		})
	}
	return view
}

// survivors returns how many of the VMs in the set remain after the worst loss
// of a failure domain of the given kind.
func survivors(view *structs.View, set int, survive structs.FailureDomain) int {
	all, worst := 0, 0
	lost := map[string]int{}
	for i, vm := range view.VMs {
		if set>>i&1 == 0 {
			continue
		}
		all++
		switch survive {
		case structs.FailureDomainZone:
			lost[vm.Zone]++
		case structs.FailureDomainRack:
			lost[vm.Zone+vm.Rack]++
		case structs.FailureDomainVM:
			worst = 1
		}
	}
	for _, n := range lost {
		worst = max(worst, n)
	}
	return all - worst
}

func countBits(set int) int {
	n := 0
	for ; set != 0; set >>= 1 {
		n += set & 1
	}
	return n
}

// minRequired returns the size of the smallest set of VMs whose survivors,
// without the reserve, satisfy the budget, or one more than the number of VMs if
// there is none.
func minRequired(view *structs.View, b structs.Budget, reserve int) int {
	best := len(view.VMs) + 1
	for set := 0; set < 1<<len(view.VMs); set++ {
		if survivors(view, set, b.Survive)-reserve >= b.MinAvailable {
			best = min(best, countBits(set))
		}
	}
	return best
}

func TestBoundsMatchExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, survive := range []structs.FailureDomain{
		structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	} {
		for range 60 {
			b := structs.Budget{MinAvailable: rng.Intn(5), Survive: survive}
			view := randomView(rng, 4+rng.Intn(6), b)
			ledger := New(view, nil)
			minimum := minRequired(view, b, 0)
			if minimum <= len(view.VMs) {
				require.Equal(t, len(view.VMs)-minimum, ledger.MaxUnavailableByBudget("p"), "%+v %+v", b, view.VMs)
			}
			if minimum := minRequired(view, b, 1); minimum <= len(view.VMs) {
				require.Equal(t, minimum, ledger.Required("p"), "%+v %+v", b, view.VMs)
			} else {
				require.Greater(t, ledger.Required("p"), len(view.VMs))
			}
		}
	}
}

func TestCheckKeepsBudgetsAfterDomainLoss(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	for _, survive := range []structs.FailureDomain{
		structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	} {
		taken := 0
		for range 60 {
			b := structs.Budget{MinAvailable: rng.Intn(5), Survive: survive}
			view := randomView(rng, 4+rng.Intn(6), b)
			ledger := New(view, nil)
			remaining := 1<<len(view.VMs) - 1
			for i := range view.VMs {
				if ledger.Check(&view.VMs[i]) == Allowed {
					ledger.MarkUnavailable(&view.VMs[i])
					remaining &^= 1 << i
					taken++
					require.GreaterOrEqual(t, survivors(view, remaining, survive), b.MinAvailable)
				}
			}
			require.LessOrEqual(t, len(view.VMs)-countBits(remaining), ledger.MaxUnavailableByBudget("p"))
		}
		require.Positive(t, taken)
	}
}

func TestUnplannedOutagesCount(t *testing.T) {
	view := randomView(rand.New(rand.NewSource(3)), 6, structs.Budget{MinAvailable: 4})
	view.VMs[0].State = structs.VMFailed
	isGone := func(vm *structs.VMStatus) bool { return vm.ID == "w1" }
	ledger := New(view, isGone)
	require.Equal(t, 4, ledger.Available("p"))
	require.Equal(t, RefusedPool, ledger.Check(&view.VMs[2]))
	require.False(t, ledger.Violated("p"))
	ledger.MarkUnavailable(&view.VMs[2])
	require.True(t, ledger.Violated("p"))
	ledger.MarkAvailable(&view.VMs[2])
	require.False(t, ledger.Violated("p"))
}

func TestZonesKeepMinimum(t *testing.T) {
	b := structs.Budget{MinAvailablePerZone: 1}
	view := randomView(rand.New(rand.NewSource(4)), 3, b)
	for i := range view.VMs {
		view.VMs[i].Zone = []string{"z0", "z0", "z1"}[i]
	}
	ledger := New(view, nil)
	require.Equal(t, RefusedZone, ledger.Check(&view.VMs[2]))
	require.Equal(t, Allowed, ledger.Check(&view.VMs[0]), "a last VM beyond the budget can be maintained")
	ledger.MarkUnavailable(&view.VMs[0])
	require.Equal(t, RefusedZone, ledger.Check(&view.VMs[1]))
}

func TestDefaultReserveForRandomFailure(t *testing.T) {
	view := randomView(rand.New(rand.NewSource(5)), 6, structs.Budget{MinAvailable: 3})
	ledger := New(view, nil)
	ledger.MarkUnavailable(&view.VMs[0])
	ledger.MarkUnavailable(&view.VMs[1])
	require.Equal(t, RefusedSurvive, ledger.Check(&view.VMs[2]))
	require.Equal(t, 2, ledger.MaxUnavailable("p"))
}
