package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// longTaskMS is how long the tasks of long jobs run.
const longTaskMS = 15_000

// troubledOwners draws takeovers and the troubles of workers beside them.
func troubledOwners(seed uint64) Options {
	r := rand.New(rand.NewPCG(seed, 6))
	half := func(v int64) int64 { return int64(r.IntN(2)) * v }
	share := func(v float64) float64 { return float64(r.IntN(2)) * v * r.Float64() }
	o := Options{
		Seed: seed, Workers: 3 + r.IntN(8), MilliCPU: 16_000, MemoryMB: 64_000, SlowClocks: r.IntN(2) == 0,
		TakeoverIntervalMS: 3_000 + r.Int64N(15_000), FaultsUntilMS: 60_000, LongPolls: r.IntN(2) == 0,
		DeadOwnerShare: share(1), SecondTakeoverShare: share(1), SplitShare: share(1), CutOffShare: share(1), OpenWindowShare: share(0.5),
		LostAnswerShare: share(0.05), LostRequestShare: share(0.05), DelayedShare: share(0.1),
		CrashIntervalMS: half(2_000 + r.Int64N(20_000)), DarkRestartIntervalMS: half(1_000 + r.Int64N(6_000)),
		CutIntervalMS: half(1_000 + r.Int64N(8_000)), OneOwnerCutShare: share(1), UnlistIntervalMS: half(2_000 + r.Int64N(8_000)),
		DrainIntervalMS: half(5_000 + r.Int64N(20_000)),
		HandoverShare:   share(0.5), StaleListShare: share(0.5),
	}
	o.RunTime = func(k shard.Key, st *spec.Step) int64 {
		if st.EstimateMS == longTaskMS {
			return longTaskMS
		}
		return st.EstimateMS/2 + 1 + r.Int64N(st.EstimateMS)
	}
	return o
}

// longTasks returns a world with the options in which half of the jobs have long tasks.
func longTasks(o Options) *World {
	r := rand.New(rand.NewPCG(o.Seed, 7))
	w := New(o)
	for i := range 40 {
		j := randomJob(r, i)
		if i%2 == 0 {
			j.Steps = []spec.Step{{Count: 1 + r.IntN(6), EstimateMS: longTaskMS, Need: spec.Resources{MilliCPU: 900, MemoryMB: 500}}}
		}
		w.after(r.Int64N(50_000), func() { w.Submit(j) })
	}
	w.Run(200_000)
	return w
}

// Successors freed tasks whose runs still held leases of earlier owners.
func TestRandomisedTakeovers(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := troubledOwners(seed)
			w := longTasks(o)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
		})
	}
}

// An owner that is proved dead seconds after its takeover left a successor that did not know
// of the leases of the owner before it, and tasks ran twice.
func TestLeasesOfTheOwnerBeforeTheLast(t *testing.T) {
	for _, seed := range []uint64{95, 144} {
		require.Empty(t, longTasks(troubledOwners(seed)).Violations, seed)
	}
}

// A poll that was sent after a slow append acknowledged ends of a life of the worker that had
// begun meanwhile, and tasks ran again after their end.
func TestPollForEarlierLifeAcknowledgesLaterEnds(t *testing.T) {
	for _, seed := range []uint64{38, 46} {
		o := troubledOwners(seed)
		o.SlowCommitShare, o.DarkRestartIntervalMS, o.TakeoverIntervalMS, o.StaleListShare = 0.3, 1_000, 0, 0
		require.Empty(t, longTasks(o).Violations, seed)
	}
}
