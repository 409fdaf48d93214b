package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// permittedJob draws a job that some worker may hold: each of its steps has few tasks.
func permittedJob(r *rand.Rand, i int) spec.Job {
	j := randomJob(r, i)
	for s := range j.Steps {
		j.Steps[s].Count, j.Steps[s].MaxPerWorker = 1+r.IntN(3), 0
	}
	return j
}

// maxUnpermittedStarts is how many starts of a world's jobs may reach a worker without a valid
// permit: one a job, as a delayed order may outlive its permit.
const maxUnpermittedStarts = advisedJobs

const advisedJobs = 30

// Jobs end whose queue needs permits, also after the queue has moved to another service or has
// left the configuration, while owners are replaced and requests for permits get lost. Their
// starts were sent without permits, and rejected, without end.
func TestRandomisedAdviceOfMovedQueues(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 5))
			w := New(Options{
				Seed: seed, Workers: 4 + r.IntN(6), MilliCPU: 16_000, MemoryMB: 64_000,
				LostAnswerShare: 0.03 * r.Float64(), LostRequestShare: 0.02 * r.Float64(), DelayedShare: 0.02 * r.Float64(), FailShare: 0.01,
				TakeoverIntervalMS: 4_000 + r.Int64N(20_000), CrashIntervalMS: 8_000 + r.Int64N(20_000), FaultsUntilMS: 40_000,
				Advice: &Advice{Timing: shard.AdviceTiming{DecideMS: 20 + r.Int64N(60), EachMS: 1 + r.Int64N(4), ValidMS: 1_000 + r.Int64N(3_000)},
					PermittedShare: 0.5 + 0.5*r.Float64(), MovesAtMS: 6_000 + r.Int64N(6_000), Removed: r.IntN(2) == 0},
			})
			for i := range advisedJobs {
				w.after(r.Int64N(5_000), func() { w.Submit(permittedJob(r, i)) })
			}
			w.Run(150_000)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			require.Positive(t, w.StartedRuns)
			require.LessOrEqual(t, w.UnpermittedStarts, maxUnpermittedStarts)
		})
	}
}
