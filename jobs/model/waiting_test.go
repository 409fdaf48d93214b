package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers are told how many accepted jobs wait, also while workers that seem healthy refuse
// starts and owners are replaced. Jobs counted as begun once a worker was chosen for them.
func TestRandomisedWaitingCounts(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			w := New(Options{
				Seed: seed, Workers: 2 + r.IntN(4), MilliCPU: 16_000, MemoryMB: 64_000,
				LostAnswerShare: 0.03 * r.Float64(), LostRequestShare: 0.02 * r.Float64(), DelayedShare: 0.02 * r.Float64(),
				RefusedStartShare: 0.2 + 0.7*r.Float64(), TakeoverIntervalMS: 4_000 + r.Int64N(20_000), FaultsUntilMS: 30_000,
			})
			for i := range 40 {
				w.after(r.Int64N(25_000), func() { w.Submit(randomJob(r, i)) })
			}
			w.Run(120_000)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			require.Zero(t, w.owner.core.WaitingJobs(Queue))
			require.Positive(t, w.StartedRuns)
		})
	}
}
