package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

func randomCustomers(r *rand.Rand) []customer.Customer {
	var list []customer.Customer
	for i := range 3 {
		list = append(list, customer.Customer{Name: fmt.Sprintf("c%d", i), Weight: 1 + float64(r.IntN(4)),
			Cap: spec.Resources{MilliCPU: 6_000 + r.IntN(30_000), MemoryMB: r.IntN(2) * (20_000 + r.IntN(60_000))}})
	}
	return list
}

// simulateCustomers runs jobs of customers with caps that change, against lost, late and
// repeated calls, crashing workers, replaced owners and replaced arbiters.
func simulateCustomers(seed uint64) *World {
	r := rand.New(rand.NewPCG(seed, 4))
	w := New(Options{
		Seed: seed, Workers: 4 + r.IntN(8), MilliCPU: 16_000, MemoryMB: 64_000,
		LostAnswerShare: 0.03 * r.Float64(), LostRequestShare: 0.02 * r.Float64(), DelayedShare: 0.04 * r.Float64(), FailShare: 0.02,
		CrashIntervalMS: 4_000 + r.Int64N(20_000), TakeoverIntervalMS: 4_000 + r.Int64N(20_000), ArbiterIntervalMS: 4_000 + r.Int64N(20_000),
		FaultsUntilMS: 40_000, Customers: randomCustomers(r),
	})
	for i := range 80 {
		j := randomJob(r, i)
		if c := r.IntN(4); c < 3 {
			j.Customer = fmt.Sprintf("c%d", c)
		}
		if r.IntN(6) == 0 {
			j.Steps[0].Gang, j.Steps[0].Count, j.Steps[0].MaxPerWorker = true, 2, 0
		}
		w.after(r.Int64N(35_000), func() { w.Submit(j) })
	}
	for at := int64(5_000); at < 40_000; at += 1_000 + r.Int64N(12_000) {
		list := randomCustomers(r)
		w.after(at, func() { w.SetCustomers(list) })
	}
	w.Run(160_000)
	return w
}

// TestRandomisedCustomers guards the caps and that what waits for room runs in the end.
func TestRandomisedCustomers(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := simulateCustomers(seed)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			require.Positive(t, w.StartedRuns)
		})
	}
}
