package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonwinch/dispatch"
)

// The load of BenchmarkOverload: a pool at half of its capacity for warm-up, at
// its capacity, at five times its capacity, then at half of it again. Refused
// callers send their requests again.
const (
	overloadWarmupEnd    = 60 * time.Second
	overloadFullLoadEnd  = 180 * time.Second
	overloadFiveTimesEnd = 300 * time.Second
	overloadEnd          = 420 * time.Second
	overloadMedian       = 100 * time.Millisecond
	overloadLongFactor   = 50
	overloadLongShare    = 0.01
	overloadWorkers      = 10
	overloadNodes        = 2
	overloadDeadline     = 2 * time.Second
	overloadLongDeadline = 30 * time.Second
	overloadResends      = 3
	overloadResendMin    = 200 * time.Millisecond
	overloadLowLoad      = 0.5
)

// overloadDemand generates the requests of the benchmark.
func overloadDemand() []*simRequest {
	rng := rand.New(rand.NewPCG(5, 5))
	meanRun := (1-overloadLongShare)*overloadMedian.Seconds()*1.1331 + overloadLongShare*overloadLongFactor*overloadMedian.Seconds()
	capacity := overloadWorkers * waitSlots / meanRun
	var out []*simRequest
	for now := time.Duration(0); now < overloadEnd; {
		rate := capacity
		switch {
		case now >= overloadFullLoadEnd && now < overloadFiveTimesEnd:
			rate *= 5
		case now < overloadWarmupEnd, now >= overloadFiveTimesEnd:
			rate *= overloadLowLoad
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := &simRequest{arrival: now, run: logNormal(rng, overloadMedian, 0.5), node: rng.IntN(overloadNodes)}
		deadline := overloadDeadline
		if rng.Float64() < overloadLongShare {
			r.run, r.long = overloadLongFactor*overloadMedian, true
			deadline = overloadLongDeadline
		}
		r.req = dispatch.Request{
			Team: fmt.Sprintf("team-%02d", rng.IntN(20)), Service: "review", Route: "/",
			Repeatable: true, Deadline: at(now + deadline), DeclaredRunTime: misdeclared(rng, r.run),
		}
		out = append(out, r)
	}
	return out
}

// resendingPolicy submits refused requests again with exponential backoff, as
// callers do, until their deadlines or overloadResends times.
type resendingPolicy struct {
	simPolicy
	s       *sim
	node    int
	resends map[int]int
}

func (r *resendingPolicy) submit(now time.Time, id int, req *simRequest) bool {
	if r.simPolicy.submit(now, id, req) {
		return true
	}
	r.resends[id]++
	pause := overloadResendMin << r.resends[id]
	if r.resends[id] > overloadResends || !now.Add(pause).Before(req.req.Deadline) {
		return false
	}
	r.s.schedule(now.Add(pause).Sub(epoch), func(later time.Time) {
		if !r.submit(later, id, req) {
			req.end, req.endedAt = simRefused, later.Sub(epoch)
		}
	})
	return true
}

// overloadResult holds the results of one policy.
type overloadResult struct {
	// fullLoadGoodput and fiveTimesGoodput are the answers within the deadline,
	// per second, at capacity and at five times capacity. fullLoadWork and
	// fiveTimesWork are their run times per second, which is a number of slots.
	fullLoadGoodput, fiveTimesGoodput float64
	fullLoadWork, fiveTimesWork       float64
	recovery                          time.Duration
}

func runOverload(policies func() []simPolicy) overloadResult {
	s := &sim{requests: overloadDemand(), attempt: simSucceed}
	for node, p := range policies() {
		s.nodes = append(s.nodes, &resendingPolicy{simPolicy: p, s: s, node: node, resends: make(map[int]int)})
	}
	s.run()
	var out overloadResult
	windows := make([]overloadWindow, (overloadEnd-overloadFiveTimesEnd)/time.Second)
	for _, r := range s.requests {
		inTime := r.end == simAnswered && !at(r.endedAt).After(r.req.Deadline)
		if inTime && r.endedAt >= overloadWarmupEnd && r.endedAt < overloadFullLoadEnd {
			out.fullLoadGoodput += 1 / (overloadFullLoadEnd - overloadWarmupEnd).Seconds()
			out.fullLoadWork += r.run.Seconds() / (overloadFullLoadEnd - overloadWarmupEnd).Seconds()
		}
		if inTime && r.endedAt >= overloadFullLoadEnd && r.endedAt < overloadFiveTimesEnd {
			out.fiveTimesGoodput += 1 / (overloadFiveTimesEnd - overloadFullLoadEnd).Seconds()
			out.fiveTimesWork += r.run.Seconds() / (overloadFiveTimesEnd - overloadFullLoadEnd).Seconds()
		}
		if r.arrival >= overloadFiveTimesEnd && r.arrival < overloadEnd && !r.long {
			windows[(r.arrival-overloadFiveTimesEnd)/time.Second].add(inTime, r.endedAt-r.arrival-r.run)
		}
	}
	out.recovery = recovery(windows)
	return out
}

// overloadWindow counts the short requests that arrive in one second.
type overloadWindow struct {
	good, all int
	waits     []time.Duration
}

func (w *overloadWindow) add(inTime bool, wait time.Duration) {
	w.all++
	if inTime {
		w.good++
	}
	w.waits = append(w.waits, wait)
}

// recovered reports whether 99 of 100 requests were answered within their
// deadlines and waited no longer than the median run time.
func (w *overloadWindow) recovered() bool {
	return w.all == 0 || float64(w.good) >= 0.99*float64(w.all) && quantile(slices.Clone(w.waits), 0.99) <= overloadMedian
}

// recovery returns the time until the first of five consecutive recovered
// seconds.
func recovery(windows []overloadWindow) time.Duration {
	const inARow = 5
	run := 0
	for i := range windows {
		if !windows[i].recovered() {
			run = 0
			continue
		}
		if run++; run == inARow {
			return time.Duration(i+1-inARow) * time.Second
		}
	}
	return time.Duration(len(windows)) * time.Second
}

func overloadSchedulerPolicies(tb testing.TB) []simPolicy {
	var out []simPolicy
	for node := range overloadNodes {
		s, names := overloadScheduler(tb, fmt.Sprintf("n%d", node))
		out = append(out, newSchedulerPolicy(s, names))
	}
	return out
}

// overloadScheduler returns a scheduler with half of the slots of each worker.
func overloadScheduler(tb testing.TB, node string) (*Scheduler, []string) {
	var workers []Worker
	var names []string
	for w := range overloadWorkers {
		name := fmt.Sprintf("w%02d", w)
		names = append(names, name)
		workers = append(workers, worker(name, waitSlots/overloadNodes))
	}
	return newTest(tb, Options{Node: node}, workers...), names
}

// overloadFIFO returns one deadlineFIFOPolicy for each node.
func overloadFIFO() []simPolicy {
	var out []simPolicy
	for range overloadNodes {
		shares := make([]int, overloadWorkers)
		for w := range shares {
			shares[w] = waitSlots / overloadNodes
		}
		out = append(out, &deadlineFIFOPolicy{fifoPolicy: newFIFOPolicy(shares, 1), deadlines: make(map[int]time.Time)})
	}
	return out
}

// deadlineFIFOPolicy starts requests in order of arrival and drops those whose
// deadlines have passed.
type deadlineFIFOPolicy struct {
	*fifoPolicy
	deadlines map[int]time.Time
}

func (d *deadlineFIFOPolicy) submit(now time.Time, id int, r *simRequest) bool {
	d.deadlines[id] = r.req.Deadline
	return d.fifoPolicy.submit(now, id, r)
}

func (d *deadlineFIFOPolicy) next(now time.Time) (starts []simStart, expired []int) {
	for len(d.queue) > 0 {
		id := d.queue[0]
		if !now.Before(d.deadlines[id]) {
			d.queue = d.queue[1:]
			expired = append(expired, id)
			delete(d.deadlines, id)
			continue
		}
		w := leastLoaded(d.slots, d.busy)
		if w < 0 {
			return starts, expired
		}
		d.queue = d.queue[1:]
		d.busy[w]++
		starts = append(starts, simStart{id: id, worker: w})
	}
	return starts, expired
}

// BenchmarkOverload measures the goodput at capacity and at five times capacity,
// and the time to recover from the overload.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		scheduler := runOverload(func() []simPolicy { return overloadSchedulerPolicies(b) })
		fifo := runOverload(overloadFIFO)
		b.ReportMetric(scheduler.fiveTimesGoodput/scheduler.fullLoadGoodput, "goodput_5x_vs_1x")
		b.ReportMetric(scheduler.fiveTimesWork/scheduler.fullLoadWork, "work_5x_vs_1x")
		b.ReportMetric(scheduler.recovery.Seconds(), "recovery_s")
		b.ReportMetric(scheduler.fullLoadGoodput, "goodput_1x_per_s")
		b.ReportMetric(fifo.fiveTimesGoodput/fifo.fullLoadGoodput, "fifo_goodput_5x_vs_1x")
		b.ReportMetric(fifo.fullLoadGoodput, "fifo_goodput_1x_per_s")
		b.ReportMetric(fifo.recovery.Seconds(), "fifo_recovery_s")
	}
}
