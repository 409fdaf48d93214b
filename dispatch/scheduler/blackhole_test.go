package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonwinch/dispatch"
)

// The load of BenchmarkBlackHole: from blackHoleFaultStart on, a tenth of the fleet's
// workers fail every request after blackHoleFailureTime.
const (
	blackHoleFaultStart   = 10 * time.Second
	blackHoleEnd          = 40 * time.Second
	blackHoleMedian       = 500 * time.Millisecond
	blackHoleLoad         = 0.5
	blackHoleFailingEvery = 10
	blackHoleFailureTime  = 5 * time.Millisecond
	blackHoleDeadline     = 10 * time.Second
	// blackHoleForwardDelay is how long a request waits before its entry node
	// forwards it to another zone, once.
	blackHoleForwardDelay = 2 * time.Second
)

func blackHoleDemand(nodes []*fleetNode) []*simRequest {
	rng := rand.New(rand.NewPCG(9, 9))
	total := 0
	for _, n := range nodes {
		total += n.total
	}
	rate := blackHoleLoad * float64(total) / (blackHoleMedian.Seconds() * 1.0833)
	var out []*simRequest
	for now := time.Duration(0); now < blackHoleEnd; {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := &simRequest{arrival: now, run: logNormal(rng, blackHoleMedian, 0.4), node: nodeBySlots(rng, nodes, total)}
		r.req = dispatch.Request{
			Team: fmt.Sprintf("team-%03d", rng.IntN(fleetTeams)), Service: fmt.Sprintf("service-%d", rng.IntN(3)),
			Route: "/", Repeatable: true, Deadline: at(now + blackHoleDeadline), DeclaredRunTime: misdeclared(rng, r.run),
		}
		out = append(out, r)
	}
	return out
}

// nodeBySlots returns a random node, weighted by slots.
func nodeBySlots(rng *rand.Rand, nodes []*fleetNode, total int) int {
	place := rng.IntN(total)
	node := 0
	for place >= nodes[node].total {
		place -= nodes[node].total
		node++
	}
	return node
}

// blackHoleResult holds the shares of the requests after the fault that ended without
// an answer, and that ended with a failure.
type blackHoleResult struct {
	unanswered, failed float64
}

func blackHoleShares(requests []*simRequest) blackHoleResult {
	var out blackHoleResult
	all := 0.0
	for _, r := range requests {
		if r.arrival < blackHoleFaultStart {
			continue
		}
		all++
		if r.end != simAnswered {
			out.unanswered++
		}
		if r.end == simFailed {
			out.failed++
		}
	}
	out.unanswered /= all
	out.failed /= all
	return out
}

// blackHoleFailingWorkers returns a random set of workers that fail.
func blackHoleFailingWorkers() map[int]bool {
	rng := rand.New(rand.NewPCG(10, 10))
	failing := make(map[int]bool)
	for _, w := range rng.Perm(fleetWorkers)[:fleetWorkers/blackHoleFailingEvery] {
		failing[w] = true
	}
	return failing
}

func blackHoleAttempt(failing map[int]bool) simAttempt {
	return func(now time.Duration, r *simRequest, w int) (time.Duration, Result) {
		if now >= blackHoleFaultStart && failing[w] {
			return blackHoleFailureTime, Failed
		}
		return r.run, OK
	}
}

// runBlackHoleSchedulers runs the scheduler on all nodes. It returns the shares of
// failed requests, the times from the fault until each node ejected each of its
// failing workers, and the number of failing workers that were not ejected.
func runBlackHoleSchedulers(tb testing.TB) (result blackHoleResult, detected []time.Duration, missed int) {
	nodes, names := fleetLayout()
	failing := blackHoleFailingWorkers()
	policies := fleetSchedulerPolicies(tb, nodes, names, Options{})
	s := &sim{nodes: policies, requests: blackHoleDemand(nodes), attempt: blackHoleAttempt(failing)}
	s.relay = fleetRelay(nodes)
	ejected := make(map[[2]int]time.Duration)
	const step = 20 * time.Millisecond
	for after := step; after <= blackHoleEnd-blackHoleFaultStart; after += step {
		s.schedule(blackHoleFaultStart+after, func(time.Time) {
			for node, p := range policies {
				recordEjections(p.(*schedulerPolicy), node, after, failing, ejected)
			}
		})
	}
	forwardWaiting(s, nodes)
	s.run()
	for node := range policies {
		for _, w := range nodes[node].workers {
			index := policies[node].(*schedulerPolicy).index[w.ID]
			if !failing[index] || w.Slots == 0 {
				continue
			}
			if after, ok := ejected[[2]int{node, index}]; ok {
				detected = append(detected, after)
			} else {
				missed++
			}
		}
	}
	return blackHoleShares(s.requests), detected, missed
}

// forwardWaiting schedules the forwarding of requests that have waited for
// blackHoleForwardDelay to another zone.
func forwardWaiting(s *sim, nodes []*fleetNode) {
	relay := fleetRelay(nodes)
	sent := make(map[int]bool)
	for now := blackHoleFaultStart; now < blackHoleEnd; now += blackHoleForwardDelay / 4 {
		s.schedule(now, func(now time.Time) {
			for node, p := range s.nodes {
				for _, id := range p.(*schedulerPolicy).queuedBefore(now.Add(-blackHoleForwardDelay), s.requests) {
					if sent[id] || !p.(*schedulerPolicy).cancel(now, id) {
						continue
					}
					sent[id] = true
					r := s.requests[id]
					r.node = relay(node)
					if !s.nodes[r.node].submit(now, id, r) {
						r.end, r.endedAt = simRefused, now.Sub(epoch)
					}
				}
			}
		})
	}
}

// queuedBefore returns the queued requests that arrived before the given time.
func (p *schedulerPolicy) queuedBefore(before time.Time, requests []*simRequest) []int {
	if p.s.queued() == 0 {
		return nil
	}
	var ids []int
	for ticket, id := range p.tickets {
		if p.s.jobs[ticket].worker == nil && at(requests[id].arrival).Before(before) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *schedulerPolicy) cancel(now time.Time, id int) bool {
	ticket := p.ids[id]
	if !p.s.Cancel(now, ticket) {
		return false
	}
	p.forget(ticket)
	return true
}

// recordEjections records, in ejected, the failing workers that a node has
// ejected for the first time.
func recordEjections(p *schedulerPolicy, node int, after time.Duration, failing map[int]bool, ejected map[[2]int]time.Duration) {
	for id, w := range p.s.workers.byID {
		key := [2]int{node, p.index[id]}
		if _, done := ejected[key]; !done && failing[key[1]] && w.limit == 0 {
			ejected[key] = after
		}
	}
}

// runBlackHoleFIFO runs least-loaded scheduling with the same number of attempts, but
// without ejection.
func runBlackHoleFIFO() blackHoleResult {
	nodes, names := fleetLayout()
	index := make(map[string]int)
	for i, name := range names {
		index[name] = i
	}
	var policies []simPolicy
	for _, n := range nodes {
		shares := make([]int, len(n.workers))
		global := make([]int, len(n.workers))
		for i, w := range n.workers {
			shares[i], global[i] = w.Slots, index[w.ID]
		}
		policies = append(policies, &urgentFirstPolicy{urgent: newFIFOPolicy(shares, maxAttempts), global: global})
	}
	s := &sim{nodes: policies, requests: blackHoleDemand(nodes), attempt: blackHoleAttempt(blackHoleFailingWorkers()), relay: fleetRelay(nodes)}
	s.run()
	return blackHoleShares(s.requests)
}

// BenchmarkBlackHole measures the share of failed requests when a tenth of the
// workers start to fail every request at the same time.
func BenchmarkBlackHole(b *testing.B) {
	for b.Loop() {
		result, detected, missed := runBlackHoleSchedulers(b)
		b.ReportMetric(result.unanswered, "failed_share")
		b.ReportMetric(result.failed, "told_failed_share")
		b.ReportMetric(quantile(detected, 0.99).Seconds(), "detect_s")
		b.ReportMetric(quantile(detected, 0.5).Seconds(), "detect_p50_s")
		b.ReportMetric(float64(missed), "not_detected")
		b.ReportMetric(float64(len(detected)), "detected")
		b.ReportMetric(runBlackHoleFIFO().unanswered, "no_ejection_failed_share")
	}
}
