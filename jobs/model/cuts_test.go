package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// Workers that were cut off again and again with closed connections counted as crashed, and
// the jobs that ran on them were given up (review/14).
func TestRandomisedCuts(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 5))
			o := Options{Seed: seed, Workers: 2 + r.IntN(6), MilliCPU: 16_000, MemoryMB: 64_000, CutIntervalMS: 400 + r.Int64N(800), FaultsUntilMS: 120_000}
			if r.IntN(2) == 0 {
				o.TakeoverIntervalMS = 5_000 + r.Int64N(20_000)
			}
			w := New(o)
			for i := range 6 {
				j := spec.Job{ID: fmt.Sprintf("%016x", i+1), Queue: Queue, Steps: []spec.Step{
					{Count: 1 + r.IntN(4), EstimateMS: 15_000, Need: spec.Resources{MilliCPU: 900, MemoryMB: 500}},
				}}
				w.after(r.Int64N(20_000), func() { w.Submit(j) })
			}
			w.Run(400_000)
			require.Empty(t, w.Violations)
			for _, res := range w.Results() {
				if res.Accepted {
					require.Equal(t, spec.Completed, w.JobStatus(res.Job.ID).State, res.Job.ID)
				}
			}
		})
	}
}
