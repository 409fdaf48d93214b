package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"wigeonwinch/jobs/spec"
)

// crowdedPool returns a core with full workers and a backlog of jobs of mixed sizes, as at
// several times the mean demand.
func crowdedPool(workers, backlog int) *Core {
	c := New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000, Policy: Policy{AdmitAll: true}}, 1_000, 1_000)
	c.SetOwnershipDeadlines(forever, forever)
	c.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 100, TargetMS: 100_000}})
	list := testWorkers(workers)
	for i := range list {
		list[i].Capacity = spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}
	}
	c.SetWorkers(1_000, list)
	c.Advance(1_000, 1_000)
	for _, p := range c.TakeOrders().Polls {
		c.HandlePollResponse(1_000, 1_000, p.Target, PollResponse{ClockMS: 100, Incarnation: 1})
	}
	r := rand.New(rand.NewPCG(1, 1))
	mixed := func(mean, spread float64) int { return int(mean * math.Exp(spread*r.NormFloat64())) }
	step := func(after ...int) spec.Step {
		return spec.Step{Count: min(max(mixed(8, 0.6), 1), 32), After: after, EstimateMS: int64(mixed(640, 0.5)), Need: spec.Resources{MilliCPU: min(mixed(1_500, 0.45), 4_600), MemoryMB: min(mixed(5_700, 0.6), 17_000)}}
	}
	for i := range workers*10/10 + backlog {
		c.Submit(1_000, uint64(i), testJob(i, step(), step(0)))
	}
	commitAll(c)
	return c
}

// BenchmarkCrowdedPass measures a pass of the scheduler after eight runs have ended in a
// full pool with a backlog. Passes take up to half of an owner's time.
func BenchmarkCrowdedPass(b *testing.B) {
	for _, backlog := range []int{100, 700} {
		b.Run(fmt.Sprint(backlog), func(b *testing.B) {
			c := crowdedPool(250, backlog)
			list := c.sortedWorkers()
			next := 0
			for b.Loop() {
				for range 8 {
					w := list[next%len(list)]
					next++
					for _, r := range sortedRuns(w) {
						w.pollInFlight = true
						c.HandlePollResponse(c.now, c.now, c.target(w), PollResponse{ClockMS: c.now, Incarnation: 1, Running: listedOthers(w, r), Ended: []ListedEnd{{End: w.seenEnd + 1, RunRef: RunRef{r.key, r.number}, Kind: EndFailed}}})
						break
					}
				}
				c.Advance(c.now, c.now)
				c.TakeOrders()
				batch, _ := c.NextBatch()
				c.HandleCommit(c.now, batch)
				c.now += 10
			}
		})
	}
}

func listedOthers(w *worker, ended *run) []ListedRun {
	var rows []ListedRun
	for _, r := range sortedRuns(w) {
		if r != ended {
			rows = append(rows, ListedRun{RunRef: RunRef{r.key, r.number}, Percent: 100})
		}
	}
	return rows
}

// BenchmarkCrowdedRefusal measures the refusal of a job by a full pool with a backlog.
func BenchmarkCrowdedRefusal(b *testing.B) {
	c := crowdedPool(250, 700)
	c.cfg.Policy.AdmitAll = false
	job := testJob(99_999, spec.Step{Count: 8, EstimateMS: 900, Need: spec.Resources{MilliCPU: 1_000}})
	q := c.queues["q"]
	q.TargetMS, q.Stretch = 1, 1
	c.queues["q"] = q
	for b.Loop() {
		c.Submit(c.now, 1, job)
		c.TakeOrders()
	}
}
