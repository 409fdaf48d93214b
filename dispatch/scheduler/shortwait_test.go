package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/slots"
)

// The demand of BenchmarkShortWait: five pools take turns of waitTurnLength. A
// pool gets five times its mean load during its turn, which is a fifth of the
// time, and a twentieth of its mean load otherwise. During its turn the load
// exceeds the pool's capacity by a tenth.
const (
	waitPools      = 5
	waitMedian     = 250 * time.Millisecond
	waitTurnLength = 20 * time.Second
	waitRounds     = 20
	waitTurnLoad   = 1.1
	waitTurnFactor = 5.0
	waitIdleFactor = 1.0 / 20
	waitLongShare  = 0.01
	waitLongFactor = 50
	waitSigma      = 0.4
	waitTeams      = 12
	waitSlots      = 8
)

// waitWorkers is the number of workers of each pool.
var waitWorkers = [waitPools]int{8, 9, 10, 11, 12}

// singleNode gives one node all slots, so that policies are compared without the
// effect of splitting the slots.
var singleNode = []string{"n0"}

// sixNodes are six entry nodes that share the slots of each worker.
var sixNodes = []string{"n0", "n1", "n2", "n3", "n4", "n5"}

// waitNode is one entry node's share of one pool: its slots of each worker and
// their sum.
type waitNode struct {
	name  string
	slots []int
	total int
}

// waitLayout divides the slots of a pool's workers between the entry nodes.
func waitLayout(workers int, members []string) (nodes []waitNode, names []string) {
	for w := range workers {
		names = append(names, fmt.Sprintf("w%02d", w))
	}
	for _, member := range members {
		n := waitNode{name: member, slots: make([]int, workers)}
		for w := range workers {
			n.slots[w] = slots.Share(names[w], waitSlots, members, member)
			n.total += n.slots[w]
		}
		nodes = append(nodes, n)
	}
	return nodes, names
}

// waitDemand generates the requests of one pool.
func waitDemand(seed uint64, pool int, nodes []waitNode) []*simRequest {
	rng := rand.New(rand.NewPCG(seed, uint64(pool)))
	capacity := 0
	for _, n := range nodes {
		capacity += n.total
	}
	meanRun := (1-waitLongShare)*waitMedian.Seconds()*1.0833 + waitLongShare*waitLongFactor*waitMedian.Seconds()
	peakRate := waitTurnLoad * float64(capacity) / meanRun
	meanRate := peakRate / waitTurnFactor
	end := waitRounds * waitPools * waitTurnLength
	var out []*simRequest
	for now := time.Duration(0); now < end; {
		rate := meanRate * waitIdleFactor
		if int(now/waitTurnLength)%waitPools == pool {
			rate = peakRate
		}
		step := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if boundary := now - now%waitTurnLength + waitTurnLength; now+step > boundary {
			now = boundary
			continue
		}
		now += step
		out = append(out, waitRequest(rng, now, nodes, capacity))
	}
	return out
}

func waitRequest(rng *rand.Rand, now time.Duration, nodes []waitNode, capacity int) *simRequest {
	r := &simRequest{arrival: now, run: logNormal(rng, waitMedian, waitSigma)}
	if rng.Float64() < waitLongShare {
		r.run = waitLongFactor * waitMedian
		r.long = true
	}
	place := rng.IntN(capacity)
	for place >= nodes[r.node].total {
		place -= nodes[r.node].total
		r.node++
	}
	r.req = dispatch.Request{
		Team: fmt.Sprintf("t%d", rng.IntN(waitTeams)), Service: "review", Route: "/",
		Repeatable: true, DeclaredRunTime: misdeclared(rng, r.run),
	}
	return r
}

// waitResult holds the results of one policy over all pools: the waits of the
// short requests, and the slowdown and number of the long ones. slowdown is a sum
// until the caller divides it by longs.
type waitResult struct {
	shorts   []time.Duration
	slowdown float64
	longs    int
}

func (w *waitResult) p99() time.Duration { return quantile(w.shorts, 0.99) }

func (w *waitResult) add(requests []*simRequest) {
	for _, r := range requests {
		if r.arrival < waitPools*waitTurnLength {
			continue
		}
		if !r.long {
			w.shorts = append(w.shorts, r.waited)
			continue
		}
		w.longs++
		w.slowdown += float64(r.waited+r.run) / float64(r.run)
	}
}

// waitPolicy returns the policy of one node.
type waitPolicy func(n waitNode, names []string) simPolicy

// runWait runs all pools with one policy. The results leave out the first round,
// in which the policy learns the run times.
func runWait(members []string, policy waitPolicy) *waitResult {
	var out waitResult
	for _, requests := range inParallel(len(waitWorkers), func(pool int) []*simRequest {
		nodes, names := waitLayout(waitWorkers[pool], members)
		s := &sim{requests: waitDemand(1, pool, nodes), attempt: simSucceed}
		for _, n := range nodes {
			s.nodes = append(s.nodes, policy(n, names))
		}
		s.run()
		return s.requests
	}) {
		out.add(requests)
	}
	out.slowdown /= float64(out.longs)
	return &out
}

func waitScheduler(tb testing.TB) waitPolicy { return waitSchedulerWithLongShare(tb, 0) }

// waitSchedulerWithLongShare is the scheduler with the given LongShare; zero
// means the default.
func waitSchedulerWithLongShare(tb testing.TB, longShare float64) waitPolicy {
	return func(n waitNode, names []string) simPolicy {
		var workers []Worker
		for w, share := range n.slots {
			if share > 0 {
				workers = append(workers, worker(names[w], share))
			}
		}
		s := newTest(tb, Options{Node: n.name, MaxWait: time.Hour, LongShare: longShare}, workers...)
		return newSchedulerPolicy(s, names)
	}
}

// waitOracle is oraclePolicy with the given share of the slots for long requests.
func waitOracle(share float64) waitPolicy {
	return func(n waitNode, _ []string) simPolicy {
		return newOraclePolicy(n.slots, max(1, int(share*float64(n.total)+0.5)))
	}
}

// waitWithTrueTimes is the scheduler behind a trueTimesPolicy.
func waitWithTrueTimes(tb testing.TB, longShare float64, hideBelow time.Duration) waitPolicy {
	newPolicy := waitSchedulerWithLongShare(tb, longShare)
	return func(n waitNode, names []string) simPolicy {
		return &trueTimesPolicy{simPolicy: newPolicy(n, names), hideBelow: hideBelow}
	}
}

// trueTimesPolicy declares the true run time of each request to another policy,
// except that a long request that declared less than hideBelow declares the run
// time of a short one.
type trueTimesPolicy struct {
	simPolicy
	hideBelow time.Duration
}

func (p *trueTimesPolicy) submit(now time.Time, id int, r *simRequest) bool {
	declared := r.req.DeclaredRunTime
	r.req.DeclaredRunTime = r.run
	if r.long && declared < p.hideBelow {
		r.req.DeclaredRunTime = waitMedian
	}
	return p.simPolicy.submit(now, id, r)
}

// hiddenLongBelow is the declared run time below which most requests are short. A
// policy that knows only declared run times cannot detect the long requests
// among them.
const hiddenLongBelow = 16 * waitMedian

// oracleLongShares are the limits for long requests among which the best oracle
// is chosen, as shares of the slots.
var oracleLongShares = []float64{0.1, 0.15, 0.2, 0.21, 0.22, 0.23, 0.25, 0.3, 0.5}

// trueTimesLongShares are the values of LongShare among which the best scheduler
// with true run times is chosen.
var trueTimesLongShares = []float64{0.04, 0.08, 0.14, 0.17, 0.2}

// shortestP99 returns the result with the shortest p99 wait among the policies
// that keep the slowdown of long requests within maxLongSlowdown, the bound that
// the scheduler has to keep as well.
func shortestP99(fifo *waitResult, policies []waitPolicy) *waitResult {
	var best *waitResult
	for _, policy := range policies {
		r := runWait(singleNode, policy)
		if r.slowdown <= maxLongSlowdown*fifo.slowdown && (best == nil || r.p99() < best.p99()) {
			best = r
		}
	}
	return best
}

// fixedLimitOracles returns oracles that know the true run times and limit the
// slots of long requests.
func fixedLimitOracles() []waitPolicy {
	var out []waitPolicy
	for _, share := range oracleLongShares {
		out = append(out, waitOracle(share))
	}
	return out
}

// trueTimesPolicies returns schedulers that know the true run times, except of
// the long requests that declare less than hideBelow.
func trueTimesPolicies(tb testing.TB, hideBelow time.Duration) []waitPolicy {
	var out []waitPolicy
	for _, share := range trueTimesLongShares {
		out = append(out, waitWithTrueTimes(tb, share, hideBelow))
	}
	return out
}

// maxLongSlowdown is the bound on the slowdown of long requests relative to FIFO.
const maxLongSlowdown = 1.3

// BenchmarkShortWait measures how long short requests wait behind long ones. All
// policies use all slots of the pool; BenchmarkSharing divides them.
func BenchmarkShortWait(b *testing.B) {
	for b.Loop() {
		fifo := runWait(singleNode, waitFIFO)
		fixedLimit := shortestP99(fifo, fixedLimitOracles())
		best := shortestP99(fifo, trueTimesPolicies(b, 0))
		if fixedLimit.p99() < best.p99() {
			best = fixedLimit
		}
		hidden := shortestP99(fifo, trueTimesPolicies(b, hiddenLongBelow))
		scheduler := runWait(singleNode, waitScheduler(b))
		b.ReportMetric(float64(scheduler.p99())/float64(fifo.p99()), "p99_wait_vs_fifo")
		b.ReportMetric(float64(scheduler.p99())/float64(best.p99()), "p99_wait_vs_oracle")
		b.ReportMetric(float64(scheduler.p99())/float64(fixedLimit.p99()), "p99_wait_vs_fixed_limit_oracle")
		b.ReportMetric(float64(scheduler.p99())/float64(hidden.p99()), "p99_wait_vs_oracle_without_hidden_long")
		b.ReportMetric(scheduler.slowdown/fifo.slowdown, "long_slowdown_vs_fifo")
		b.ReportMetric(scheduler.p99().Seconds(), "p99_wait_s")
		b.ReportMetric(fifo.p99().Seconds(), "fifo_p99_wait_s")
		b.ReportMetric(best.p99().Seconds(), "oracle_p99_wait_s")
		b.ReportMetric(best.slowdown/fifo.slowdown, "oracle_long_slowdown_vs_fifo")
	}
}

func waitFIFO(n waitNode, _ []string) simPolicy { return newFIFOPolicy(n.slots, 1) }
