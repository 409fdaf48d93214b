package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonwinch/dispatch"
)

// The load of BenchmarkOverload: a pool at its capacity, then at five times
// its capacity, then at half of it. Callers that are refused come again.
const (
	overWarm       = 60 * time.Second
	overOnce       = 180 * time.Second
	overFive       = 300 * time.Second
	overEnd        = 420 * time.Second
	overMedian     = 100 * time.Millisecond
	overLongFactor = 50
	overLongShare  = 0.01
	overWorkers    = 10
	overNodes      = 2
	overDeadline   = 2 * time.Second
	overLongWait   = 30 * time.Second
	overResends    = 3
	overResendMin  = 200 * time.Millisecond
	overCalm       = 0.5
)

// overDemand makes the requests of the benchmark.
func overDemand() []*simRequest {
	rng := rand.New(rand.NewPCG(5, 5))
	meanRun := (1-overLongShare)*overMedian.Seconds()*1.1331 + overLongShare*overLongFactor*overMedian.Seconds()
	capacity := overWorkers * waitSlots / meanRun
	var out []*simRequest
	for now := time.Duration(0); now < overEnd; {
		rate := capacity
		switch {
		case now >= overOnce && now < overFive:
			rate *= 5
		case now < overWarm, now >= overFive:
			rate *= overCalm
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := &simRequest{arrival: now, run: logNormal(rng, overMedian, 0.5), node: rng.IntN(overNodes)}
		deadline := overDeadline
		if rng.Float64() < overLongShare {
			r.run, r.long = overLongFactor*overMedian, true
			deadline = overLongWait
		}
		r.req = dispatch.Request{
			Team: fmt.Sprintf("team-%02d", rng.IntN(20)), Service: "review", Route: "/",
			Repeatable: true, Deadline: at(now + deadline), Declared: misdeclared(rng, r.run),
		}
		out = append(out, r)
	}
	return out
}

// resending sends refused requests again, as callers do, until their
// deadline or for overResends times.
type resending struct {
	simPolicy
	s     *sim
	node  int
	again map[int]int
}

func (r *resending) submit(now time.Time, id int, req *simRequest) bool {
	if r.simPolicy.submit(now, id, req) {
		return true
	}
	r.again[id]++
	pause := overResendMin << r.again[id]
	if r.again[id] > overResends || !now.Add(pause).Before(req.req.Deadline) {
		return false
	}
	r.s.do(now.Add(pause).Sub(epoch), func(later time.Time) {
		if !r.submit(later, id, req) {
			req.end, req.endedAt = simRefused, later.Sub(epoch)
		}
	})
	return true
}

// overResult are the figures of one policy.
type overResult struct {
	// atOnce and atFive are answers in time a second, and the work in them in
	// slots.
	atOnce, atFive         float64
	workAtOnce, workAtFive float64
	recovery               time.Duration
}

func runOverload(policies func() []simPolicy) overResult {
	s := &sim{requests: overDemand(), attempt: simPlain}
	for node, p := range policies() {
		s.nodes = append(s.nodes, &resending{simPolicy: p, s: s, node: node, again: make(map[int]int)})
	}
	s.run()
	var out overResult
	windows := make([]overWindow, (overEnd-overFive)/time.Second)
	for _, r := range s.requests {
		inTime := r.end == simAnswered && !at(r.endedAt).After(r.req.Deadline)
		if inTime && r.endedAt >= overWarm && r.endedAt < overOnce {
			out.atOnce += 1 / (overOnce - overWarm).Seconds()
			out.workAtOnce += r.run.Seconds() / (overOnce - overWarm).Seconds()
		}
		if inTime && r.endedAt >= overOnce && r.endedAt < overFive {
			out.atFive += 1 / (overFive - overOnce).Seconds()
			out.workAtFive += r.run.Seconds() / (overFive - overOnce).Seconds()
		}
		if r.arrival >= overFive && r.arrival < overEnd && !r.long {
			windows[(r.arrival-overFive)/time.Second].add(inTime, r.endedAt-r.arrival-r.run)
		}
	}
	out.recovery = recovery(windows)
	return out
}

// overWindow is one second of arrivals.
type overWindow struct {
	good, all int
	waits     []time.Duration
}

func (w *overWindow) add(inTime bool, wait time.Duration) {
	w.all++
	if inTime {
		w.good++
	}
	w.waits = append(w.waits, wait)
}

// recovered says whether 99 of 100 were answered in time and waited no longer
// than a run.
func (w *overWindow) recovered() bool {
	return w.all == 0 || float64(w.good) >= 0.99*float64(w.all) && quantile(slices.Clone(w.waits), 0.99) <= overMedian
}

// recovery is the time until five seconds in a row have recovered.
func recovery(windows []overWindow) time.Duration {
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

func overOurs(tb testing.TB) []simPolicy {
	var out []simPolicy
	for node := range overNodes {
		s, names := overScheduler(tb, fmt.Sprintf("n%d", node))
		out = append(out, newOurs(s, names))
	}
	return out
}

// overScheduler has half of the slots of each worker.
func overScheduler(tb testing.TB, node string) (*Scheduler, []string) {
	var workers []Worker
	var names []string
	for w := range overWorkers {
		name := fmt.Sprintf("w%02d", w)
		names = append(names, name)
		workers = append(workers, worker(name, waitSlots/overNodes))
	}
	return newTest(tb, Options{Node: node}, workers...), names
}

// overFIFO is first in first out; what is past its deadline isn't started.
func overFIFO() []simPolicy {
	var out []simPolicy
	for range overNodes {
		shares := make([]int, overWorkers)
		for w := range shares {
			shares[w] = waitSlots / overNodes
		}
		out = append(out, &dropping{plain: newPlain(shares, 1), deadlines: make(map[int]time.Time)})
	}
	return out
}

// dropping is first in first out that drops what is past its deadline.
type dropping struct {
	*plain
	deadlines map[int]time.Time
}

func (d *dropping) submit(now time.Time, id int, r *simRequest) bool {
	d.deadlines[id] = r.req.Deadline
	return d.plain.submit(now, id, r)
}

func (d *dropping) next(now time.Time) (starts []simStart, expired []int) {
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

// BenchmarkOverload measures the answers in time at capacity and at five times
// capacity, and how long it takes to recover.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		mine := runOverload(func() []simPolicy { return overOurs(b) })
		fifo := runOverload(overFIFO)
		b.ReportMetric(mine.atFive/mine.atOnce, "goodput_5x_vs_1x")
		b.ReportMetric(mine.workAtFive/mine.workAtOnce, "work_5x_vs_1x")
		b.ReportMetric(mine.recovery.Seconds(), "recovery_s")
		b.ReportMetric(mine.atOnce, "goodput_1x_per_s")
		b.ReportMetric(fifo.atFive/fifo.atOnce, "fifo_goodput_5x_vs_1x")
		b.ReportMetric(fifo.atOnce, "fifo_goodput_1x_per_s")
		b.ReportMetric(fifo.recovery.Seconds(), "fifo_recovery_s")
	}
}
