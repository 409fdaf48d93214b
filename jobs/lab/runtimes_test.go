package lab

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// demandsLoad is a load like those of the users' sites, on which the tasks of a step
// share the error of their declared run time.
func demandsLoad(seed uint64) Load {
	return Load{Workers: 30, Seed: seed, Seconds: 60, Peak: 5, EstimateDeviation: 0.55}
}

// BenchmarkRunTimes reports the share of the bound that is earned with declared,
// learned and true run times, without and with stragglers.
func BenchmarkRunTimes(b *testing.B) {
	const seeds = 6
	for b.Loop() {
		for _, stragglers := range []float64{0, stragglerShare} {
			for _, name := range []string{"declared", "learned", "true"} {
				share, worst := 0.0, 1.0
				for seed := range uint64(seeds) {
					l := demandsLoad(seed + 1)
					l.Stragglers = stragglers
					r := Run(l, map[string]Policy{"declared": Declared, "learned": Learned, "true": True(l)}[name])
					share += r.Earned / r.UpperBound / seeds
					worst = min(worst, r.Earned/r.UpperBound)
				}
				b.ReportMetric(share, fmt.Sprintf("%s_of_bound_%g", name, stragglers))
				b.ReportMetric(worst, fmt.Sprintf("%s_worst_%g", name, stragglers))
			}
		}
	}
}

// Where declared run times are off, learned ones earn more than declared ones, and
// first come, first served earns less than either.
func TestLearnedRunTimesEarnMoreThanDeclaredOnes(t *testing.T) {
	load := demandsLoad(1)
	learned, declared, first := Run(load, Learned), Run(load, Declared), Run(load, FirstCome)
	assert.Zero(t, learned.Violations)
	assert.Greater(t, learned.Earned, declared.Earned)
	assert.Greater(t, declared.Earned, first.Earned)
}
