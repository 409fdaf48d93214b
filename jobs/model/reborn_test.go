package model

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Workers lost their power for a moment and came back under their IDs. Starts that
// reached the later incarnation before its entry was read were taken for lost, and
// their tasks ran twice (review/2).
func TestRandomisedDarkRestarts(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 4))
			w := New(Options{
				Seed: seed, Workers: 4 + r.IntN(8), MilliCPU: 16_000, MemoryMB: 64_000,
				LostAnswerShare: 0.02 * r.Float64(), LostRequestShare: 0.02 * r.Float64(), FailShare: 0.02,
				DarkRestartIntervalMS: 500 + r.Int64N(1_500), TakeoverIntervalMS: 6_000 + r.Int64N(20_000), FaultsUntilMS: 40_000,
			})
			for i := range 90 {
				w.after(r.Int64N(38_000), func() { w.Submit(randomJob(r, i)) })
			}
			w.Run(120_000)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
		})
	}
}
