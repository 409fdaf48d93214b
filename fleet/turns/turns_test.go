package turns

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

const size = 16_000

func fleetOf(pools map[string]int) []VM {
	var vms []VM
	for _, pool := range []string{"a", "b", "spare"} {
		for i := range pools[pool] {
			vms = append(vms, VM{ID: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, MilliCPU: size, Serving: pool != "spare", Movable: true})
		}
	}
	return vms
}

func pool(name string, load int64) Pool {
	return Pool{Name: name, BusyMilliCPU: load, LeastVMs: 3, Known: true}
}

func count(moves []Move, to string) int {
	n := 0
	for _, m := range moves {
		if m.To == to {
			n++
		}
	}
	return n
}

// The load of a turn: one pool is asked for about four times what it holds
// while the other idles (recorded from a calm day's first seconds).
func TestAPeakGetsSpareVMsThenIdleOnes(t *testing.T) {
	a := pool("a", 47_000)
	a.AskedMilliCPU = 170_000
	moves := Plan(View{
		MostMoves: 16,
		Pools:     []Pool{a, pool("b", 0), {Name: "spare", Spare: true}},
		VMs:       fleetOf(map[string]int{"a": 3, "b": 11, "spare": 8}),
	})
	assert.GreaterOrEqual(t, count(moves, "a"), 12)
	fromSpare := 0
	for _, m := range moves {
		if m.VM[:1] == "s" {
			fromSpare++
		}
	}
	assert.Equal(t, 8, fromSpare, "all spare VMs go before others are taken")
}

func TestIdlePoolsParkDownToTheirLeast(t *testing.T) {
	moves := Plan(View{
		MostMoves: 16,
		Pools:     []Pool{pool("a", 0), pool("b", 0), {Name: "spare", Spare: true}},
		VMs:       fleetOf(map[string]int{"a": 8, "b": 3}),
	})
	assert.Equal(t, 5, count(moves, "spare"))
	assert.Len(t, moves, 5)
}

func TestARecentPeakHoldsVMsBack(t *testing.T) {
	a := pool("a", 0)
	a.RecentPeakMilliCPU = 8 * size
	moves := Plan(View{MostMoves: 16, Pools: []Pool{a, {Name: "spare", Spare: true}}, VMs: fleetOf(map[string]int{"a": 8})})
	assert.Empty(t, moves)
}

func TestVMsThatCannotServeDoNotCount(t *testing.T) {
	vms := fleetOf(map[string]int{"a": 3, "spare": 4})
	vms[0].Serving, vms[0].Movable = false, false
	moves := Plan(View{MostMoves: 16, Pools: []Pool{pool("a", 0), {Name: "spare", Spare: true}}, VMs: vms})
	assert.Equal(t, 1, count(moves, "a"), "a VM in maintenance is replaced")
}

func TestVMsWithLastingTasksStay(t *testing.T) {
	vms := fleetOf(map[string]int{"a": 8})
	for i := range vms {
		vms[i].Movable = false
	}
	assert.Empty(t, Plan(View{MostMoves: 16, Pools: []Pool{pool("a", 0), {Name: "spare", Spare: true}}, VMs: vms}))
}

func TestNothingIsPlannedOnUnknownLoads(t *testing.T) {
	unknown := pool("a", 0)
	unknown.Known = false
	assert.Empty(t, Plan(View{MostMoves: 16, Pools: []Pool{unknown, {Name: "spare", Spare: true}}, VMs: fleetOf(map[string]int{"a": 8})}))
}

// A pool of a fleet of 349 VMs was asked for 100 of them within two seconds and
// got 16 a plan, whatever the platform takes.
func TestAPlanMovesAsManyVMsAsThePlatformTakes(t *testing.T) {
	a := pool("a", 0)
	a.AskedMilliCPU = 100 * size
	view := View{MostMoves: 53, Pools: []Pool{a, {Name: "spare", Spare: true}}, VMs: fleetOf(map[string]int{"a": 3, "spare": 150})}
	assert.Equal(t, 53, count(Plan(view), "a"))
	view.MostMoves = 1_000
	assert.Equal(t, 150, count(Plan(view), "a"), "all spare ones")
}
