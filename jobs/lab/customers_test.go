package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// overload is a load at five times the capacity of the pool; the first customer asks for
// flood times as much as the others for its weight.
func overload(weights []float64, flood float64) CustomerLoad {
	l := CustomerLoad{Workers: 20, Seed: 1, Seconds: 8, Weights: weights}
	for range weights {
		l.Demand = append(l.Demand, 5)
	}
	l.Demand[0] *= flood
	return l
}

// Every customer gets its weighted share of a full pool, whatever another one asks for.
func TestCustomersGetTheirShares(t *testing.T) {
	for _, weights := range [][]float64{{1, 1, 2, 4}, {1, 1, 1, 1, 2, 2, 4, 8}} {
		for _, flood := range []float64{1, 6.4} {
			r := RunCustomers(overload(weights, flood), Production, true)
			t.Logf("flood %v of %v: worst windows %.2f, used %.2f", flood, weights, r.Worst, r.UsedShare)
			assert.Zero(t, r.Violations)
			for i, share := range r.Worst {
				assert.GreaterOrEqual(t, share, 0.9, "customer %d", i)
			}
		}
	}
}

// First come, first served, gives a customer that floods what the others are entitled to.
func TestFirstComeGivesAFloodTheSharesOfOthers(t *testing.T) {
	r := RunCustomers(overload([]float64{1, 1, 2, 4}, 6.4), FirstComeWithRefusals, false)
	t.Logf("worst windows %.2f, mean %.2f", r.Worst, r.Mean)
	assert.Greater(t, r.Mean[0], 2.0)
	for _, share := range r.Mean[1:] {
		assert.Less(t, share, 0.8)
	}
}
