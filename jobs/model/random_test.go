package model

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

var seeds = flag.Int("seeds", 40, "number of seeds of the randomised worlds")

// failedSeeds once broke a rule; each stays as a case. 196, 268, 384: a worker of
// two incarnations in the records lost the bound of earlier owners' leases.
var failedSeeds = []uint64{196, 268, 384}

func randomJob(r *rand.Rand, i int) spec.Job {
	j := spec.Job{ID: fmt.Sprintf("%016x", i+1), Queue: Queue}
	for s := range 1 + r.IntN(3) {
		st := spec.Step{Count: 1 + r.IntN(8), EstimateMS: 100 + r.Int64N(2_000),
			Need: spec.Resources{MilliCPU: 300 + r.IntN(3_000), MemoryMB: 500 + r.IntN(8_000)}}
		if s > 0 {
			st.After = []int{s - 1}
		}
		if r.IntN(5) == 0 {
			st.MaxPerWorker = 2
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// play runs one world of faults and then a calm time in which everything that
// was accepted has to end.
func play(seed uint64) *World {
	r := rand.New(rand.NewPCG(seed, 2))
	w := New(Options{
		Seed: seed, Workers: 4 + r.IntN(8), MilliCPU: 16_000, MemoryMB: 64_000,
		Lost: 0.03 * r.Float64(), Unsent: 0.02 * r.Float64(), Late: 0.04 * r.Float64(), FailShare: 0.02,
		CrashEvery: 4_000 + r.Int64N(20_000), TakeoverEvery: 4_000 + r.Int64N(20_000), FaultsUntil: 40_000,
	})
	for i := range 60 {
		w.after(r.Int64N(35_000), func() { w.Submit(randomJob(r, i)) })
		if i%10 == 3 {
			id := fmt.Sprintf("%016x", i+1)
			w.after(36_000, func() {
				if w.truth[id] != nil {
					w.Cancel(id)
				}
			})
		}
	}
	w.Run(120_000)
	return w
}

// TestRandomisedJobs plays the real decisions against lost, late and repeated
// calls, crashing workers and replaced owners.
func TestRandomisedJobs(t *testing.T) {
	list := append([]uint64{}, failedSeeds...)
	for i := range *seeds {
		list = append(list, uint64(i+1))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := play(seed)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			require.Positive(t, w.Starts)
		})
	}
}
