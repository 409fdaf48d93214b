package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// flood is a load at five times the capacity of the pool in which the first customer
// asks for 6.4 times as much as its weight would.
func flood(seed uint64) CustomerLoad {
	return CustomerLoad{Workers: 20, Seed: seed, Seconds: 8, Weights: []float64{1, 1, 2, 4}, Demand: []float64{32, 5, 5, 5}}
}

// A customer that asks for many times its share takes from the others if jobs are served
// first come, first served.
func TestFloodTakesFromNobody(t *testing.T) {
	shared, first := RunCustomers(flood(1), Production, true), RunCustomers(flood(1), FirstComeWithRefusals, false)
	assert.Zero(t, shared.Violations)
	t.Logf("shares: %+v", shared)
	t.Logf("first come: %+v", first)
	assert.Greater(t, first.Mean[0], 2.0)
	assert.Less(t, shared.Mean[0], 1.5)
	for i := 1; i < 4; i++ {
		assert.Greater(t, shared.Mean[i], 0.8)
		assert.Less(t, first.Mean[i], 0.8)
	}
}
