package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// The phases of a world with cancels. The last one is long enough for every job to
// end.
const (
	cancelFaultsMS = 60_000
	cancelWorldMS  = 200_000
)

// randomCancelOptions draws bursts of faults with calm times between them that are
// longer than the bounds on cancelled jobs.
func randomCancelOptions(seed uint64) Options {
	r := rand.New(rand.NewPCG(seed, 5))
	o := Options{Seed: seed, Workers: 4 + r.IntN(8), MilliCPU: 16_000, MemoryMB: 64_000, FailShare: 0.02,
		FaultsUntilMS: cancelFaultsMS, BurstMS: 1_000 + r.Int64N(5_000), CalmMS: 4_000 + r.Int64N(3_000),
		TakeoverIntervalMS: 1_000 + r.Int64N(4_000), DeposedShare: 0.5 * r.Float64(), LostReplyShare: 0.3 * r.Float64(), CutOffShare: r.Float64(), OpenWindowShare: 0.5}
	o.RunTime = func(_ shard.Key, st *spec.Step) int64 { return st.EstimateMS/2 + r.Int64N(st.EstimateMS) }
	if r.IntN(2) == 0 {
		o.LostAnswerShare, o.LostRequestShare, o.DelayedShare = 0.1*r.Float64(), 0.1*r.Float64(), 0.1*r.Float64()
	}
	if r.IntN(2) == 0 {
		o.CrashIntervalMS, o.NewIDs = 1_000+r.Int64N(5_000), r.IntN(2) == 0
	}
	if !o.NewIDs && r.IntN(2) == 0 {
		o.DarkRestartIntervalMS = 300 + r.Int64N(1_500)
	}
	if r.IntN(2) == 0 {
		o.UnlistIntervalMS = 500 + r.Int64N(3_000)
	}
	return o
}

// randomCancelJob draws a job of one to three steps with gangs, lasting tasks and
// occurrences, some of them long.
func randomCancelJob(r *rand.Rand, i int) spec.Job {
	j := randomJob(r, i)
	for s := range j.Steps {
		st := &j.Steps[s]
		st.EstimateMS *= 1 + r.Int64N(8)
		switch r.IntN(6) {
		case 0:
			st.Gang, st.MaxPerWorker, st.Count = true, 0, 2+r.IntN(2)
		case 1:
			if s == len(j.Steps)-1 && i%4 == 0 {
				st.Lasting, st.HasMaxUnavailable, st.MaxUnavailable = true, true, 1
			}
		}
	}
	if r.IntN(6) == 0 && !j.HasLastingStep() {
		j.Repeat, j.IntervalMS = 2+r.IntN(2), 2_000
	}
	return j
}

// simulateCancels runs one world in which callers cancel jobs during the faults and
// read their status.
func simulateCancels(seed uint64) *World {
	r := rand.New(rand.NewPCG(seed, 6))
	w := New(randomCancelOptions(seed))
	w.afterAcceptance = func(id string) {
		for range 3 {
			w.after(r.Int64N(5_000), func() { w.Show(id) })
		}
		lasting := w.groundTruth[id].job.HasLastingStep()
		switch roll := r.IntN(10); {
		case roll < 3:
			w.after(r.Int64N(400), func() { w.Cancel(id) })
		case roll < 6 || lasting:
			w.after(r.Int64N(12_000), func() { w.Cancel(id) })
		}
	}
	for i := range 100 {
		j := randomCancelJob(r, i)
		w.after(r.Int64N(cancelFaultsMS), func() {
			if j.Repeat > 0 {
				j.FirstRunMS = wallStartMS + w.now + r.Int64N(3_000)
			}
			w.Submit(j)
		})
	}
	w.Run(cancelWorldMS)
	return w
}

func (w *World) ackedCancels() int {
	n := 0
	for _, t := range w.groundTruth {
		if t.cancelledAt != 0 {
			n++
		}
	}
	return n
}

// A job was cancelled, the cancel was acknowledged, and its tasks ran on or were
// started afterwards: a deposed owner had replied that the job was unknown.
func TestRandomisedCancels(t *testing.T) {
	for i := range *seeds {
		t.Run(fmt.Sprint(i+1), func(t *testing.T) {
			w := simulateCancels(uint64(i + 1))
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			require.Zero(t, w.RunsOfCancelledJobs())
			require.Positive(t, w.StartedRuns)
			require.Positive(t, w.ackedCancels())
		})
	}
}
