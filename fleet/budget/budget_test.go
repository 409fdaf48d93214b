package budget

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// randomView is one pool of a few VMs in some zones and racks.
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

// survivors returns how many of the VMs in the set are left after the worst
// loss that the budget names.
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

func bits(set int) int {
	n := 0
	for ; set != 0; set >>= 1 {
		n += set & 1
	}
	return n
}

// fewest returns the size of the smallest set of VMs that leaves enough
// survivors, or one more than all.
func fewest(view *structs.View, b structs.Budget, spare int) int {
	best := len(view.VMs) + 1
	for set := 0; set < 1<<len(view.VMs); set++ {
		if survivors(view, set, b.Survive)-spare >= b.MinAvailable {
			best = min(best, bits(set))
		}
	}
	return best
}

func TestMaxOutAndRequiredMatchEverySubset(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, survive := range []structs.FailureDomain{
		structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	} {
		for range 60 {
			b := structs.Budget{MinAvailable: rng.Intn(5), Survive: survive}
			view := randomView(rng, 4+rng.Intn(6), b)
			ledger := New(view, nil)
			least := fewest(view, b, 0)
			if least <= len(view.VMs) {
				require.Equal(t, len(view.VMs)-least, ledger.Bound("p"), "%+v %+v", b, view.VMs)
			}
			if least := fewest(view, b, 1); least <= len(view.VMs) {
				require.Equal(t, least, ledger.Required("p"), "%+v %+v", b, view.VMs)
			} else {
				require.Greater(t, ledger.Required("p"), len(view.VMs))
			}
		}
	}
}

func TestCheckKeepsBudgetsThroughTheNamedLoss(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	for _, survive := range []structs.FailureDomain{
		structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	} {
		taken := 0
		for range 60 {
			b := structs.Budget{MinAvailable: rng.Intn(5), Survive: survive}
			view := randomView(rng, 4+rng.Intn(6), b)
			ledger := New(view, nil)
			left := 1<<len(view.VMs) - 1
			for i := range view.VMs {
				if ledger.Check(&view.VMs[i]) == Allowed {
					ledger.Take(&view.VMs[i])
					left &^= 1 << i
					taken++
					require.GreaterOrEqual(t, survivors(view, left, survive), b.MinAvailable)
				}
			}
			require.LessOrEqual(t, len(view.VMs)-bits(left), ledger.Bound("p"))
		}
		require.Positive(t, taken)
	}
}

func TestUnplannedOutagesCount(t *testing.T) {
	view := randomView(rand.New(rand.NewSource(3)), 6, structs.Budget{MinAvailable: 4})
	view.VMs[0].State = structs.VMFailed
	gone := func(vm *structs.VMStatus) bool { return vm.ID == "w1" }
	ledger := New(view, gone)
	require.Equal(t, 4, ledger.Available("p"))
	require.Equal(t, RefusedPool, ledger.Check(&view.VMs[2]))
	require.False(t, ledger.Broken("p"))
	ledger.Take(&view.VMs[2])
	require.True(t, ledger.Broken("p"))
	ledger.Release(&view.VMs[2])
	require.False(t, ledger.Broken("p"))
}

func TestZonesKeepTheirLeast(t *testing.T) {
	b := structs.Budget{MinAvailablePerZone: 1}
	view := randomView(rand.New(rand.NewSource(4)), 3, b)
	for i := range view.VMs {
		view.VMs[i].Zone = []string{"z0", "z0", "z1"}[i]
	}
	ledger := New(view, nil)
	require.Equal(t, RefusedZone, ledger.Check(&view.VMs[2]))
	require.Equal(t, Allowed, ledger.Check(&view.VMs[0]), "a last VM beyond the budget can be maintained")
	ledger.Take(&view.VMs[0])
	require.Equal(t, RefusedZone, ledger.Check(&view.VMs[1]))
}

func TestReserveForARandomFailureWhereNoneIsNamed(t *testing.T) {
	view := randomView(rand.New(rand.NewSource(5)), 6, structs.Budget{MinAvailable: 3})
	ledger := New(view, nil)
	ledger.Take(&view.VMs[0])
	ledger.Take(&view.VMs[1])
	require.Equal(t, RefusedSurvive, ledger.Check(&view.VMs[2]))
	require.Equal(t, 2, ledger.MaxOut("p"))
}
