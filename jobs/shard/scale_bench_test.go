package shard

import (
	"fmt"
	"testing"

	"wigeonwinch/jobs/spec"
)

// BenchmarkDecisions measures placements with everything that belongs to them
// (order, choice, record, start) in a pool that is nearly full and has a
// backlog of 200 jobs. The target is 50 us per decision at 950 workers.
func BenchmarkDecisions(b *testing.B) {
	for _, workers := range []int{50, 350, 950} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			decided := 0
			for b.Loop() {
				b.StopTimer()
				c := fullPool(workers)
				b.StartTimer()
				decided += replaceRuns(c, workers)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(decided), "us/decision")
		})
	}
}

// fullPool returns a core with full workers and a backlog of jobs.
func fullPool(workers int) *Core {
	c := New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, 1_000, 1_000)
	c.SetOwnershipDeadlines(forever, forever)
	c.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 100, TargetMS: 100_000}})
	c.SetWorkers(1_000, testWorkers(workers))
	c.Advance(1_000, 1_000)
	for _, p := range c.TakeOrders().Polls {
		c.HandlePollResponse(1_000, 1_000, p.Target, PollResponse{ClockMS: 100, Incarnation: 1})
	}
	for i := range workers*4/8 + 200 {
		c.Submit(1_000, uint64(i), testJob(i, spec.Step{Count: 8, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 500}, EstimateMS: 800 + int64(i%7)}))
	}
	commitAll(c)
	return c
}

// commitAll advances and commits until nothing is left to store, and returns
// the number of starts.
func commitAll(c *Core) int {
	starts := 0
	for {
		c.Advance(c.now, c.now)
		starts += len(c.TakeOrders().Starts)
		batch, ok := c.NextBatch()
		if !ok {
			return starts
		}
		c.HandleCommit(c.now, batch)
	}
}

// replaceRuns ends the runs of up to 200 workers, eight workers per scheduling
// pass, and returns the number of starts that replaced them.
func replaceRuns(c *Core, workers int) int {
	starts := 0
	list := c.sortedWorkers()
	for i := 0; i < min(workers, 200); i += 8 {
		for _, w := range list[i:min(i+8, len(list))] {
			lists := PollResponse{ClockMS: c.now, Incarnation: 1}
			for n, r := range sortedRuns(w) {
				lists.Ended = append(lists.Ended, ListedEnd{End: w.seenEnd + n + 1, RunRef: RunRef{r.key, r.number}, Kind: EndDone})
			}
			w.pollInFlight = true
			c.HandlePollResponse(c.now, c.now, c.target(w), lists)
		}
		starts += commitAll(c)
	}
	return starts
}
