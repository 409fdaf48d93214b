package model

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var large = flag.Bool("large", false, "also simulate 950 workers (takes half a minute)")

// maxRecoveryMS is the users' bound on the time from the moment all nodes are
// back until jobs run again.
const maxRecoveryMS = 12_000

// nodeRecoveryMS is the time from the start of the nodes until one of them
// owns the shard: discovery of the other nodes, a claim and its answer.
const nodeRecoveryMS = 1_000

// powerOff stops the owner at once; the next one starts after downMS.
func (w *World) powerOff(downMS int64) {
	w.owner.stopped = true
	w.after(downMS, w.takeover)
}

// TestRecoveryAtScale powers all nodes off under load. It checks when the
// first task starts after the nodes are back, and that all jobs accepted
// before end.
func TestRecoveryAtScale(t *testing.T) {
	sizes := []int{50, 350}
	if *large {
		sizes = append(sizes, 950)
	}
	for _, workers := range sizes {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(workers), 3))
			w := New(Options{Seed: uint64(workers), Workers: workers, MilliCPU: 16_000, MemoryMB: 64_000})
			jobs := workers * 2
			for i := range jobs {
				w.after(1_000+r.Int64N(9_000), func() { w.Submit(randomJob(r, i)) })
			}
			const off, down = 8_000, 800
			w.after(off, func() { w.powerOff(down + nodeRecoveryMS) })
			w.Run(off + down + nodeRecoveryMS)
			before, restored := w.StartedRuns, len(w.store)
			first := int64(0)
			for first == 0 && w.Now() < off+down+maxRecoveryMS {
				w.Run(w.Now() + tickMS)
				if w.StartedRuns > before {
					first = w.Now() - off - down
				}
			}
			require.NotZero(t, first, "no task started within the bound")
			require.Less(t, first, int64(maxRecoveryMS))
			w.Run(45_000)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
			bytes := 0
			for _, v := range w.store {
				bytes += len(v)
			}
			t.Logf("%d workers, %d records restored: first start %.1f s after the nodes are back; %d bytes per record at the end", workers, restored, float64(first)/1000, bytes/max(len(w.store), 1))
		})
	}
}
