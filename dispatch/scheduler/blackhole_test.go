package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonwinch/dispatch"
)

// The load of BenchmarkBlackHole: a tenth of the fleet's workers fail all that
// they start, at once and fast.
const (
	holeFault  = 10 * time.Second
	holeEnd    = 40 * time.Second
	holeMedian = 500 * time.Millisecond
	holeLoad   = 0.5
	holeEvery  = 10
	holeFails  = 5 * time.Millisecond
	holeWaits  = 10 * time.Second
	// holePatience is how long a request waits before its entry node sends it
	// on to another zone, once.
	holePatience = 2 * time.Second
)

func holeDemand(nodes []*fleetNode) []*simRequest {
	rng := rand.New(rand.NewPCG(9, 9))
	total := 0
	for _, n := range nodes {
		total += n.total
	}
	rate := holeLoad * float64(total) / (holeMedian.Seconds() * 1.0833)
	var out []*simRequest
	for now := time.Duration(0); now < holeEnd; {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := &simRequest{arrival: now, run: logNormal(rng, holeMedian, 0.4), node: nodeBySlots(rng, nodes, total)}
		r.req = dispatch.Request{
			Team: fmt.Sprintf("team-%03d", rng.IntN(fleetTeams)), Service: fmt.Sprintf("service-%d", rng.IntN(3)),
			Route: "/", Repeatable: true, Deadline: at(now + holeWaits), Declared: misdeclared(rng, r.run),
		}
		out = append(out, r)
	}
	return out
}

// nodeBySlots picks a node in proportion to its slots.
func nodeBySlots(rng *rand.Rand, nodes []*fleetNode, total int) int {
	place := rng.IntN(total)
	node := 0
	for place >= nodes[node].total {
		place -= nodes[node].total
		node++
	}
	return node
}

// holeResult are the shares of the requests after the fault that ended
// without an answer, and of those that were told a failure.
type holeResult struct {
	unanswered, failed float64
}

func holeShares(requests []*simRequest) holeResult {
	var out holeResult
	all := 0.0
	for _, r := range requests {
		if r.arrival < holeFault {
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

// holeBad are the workers that fail, spread at random.
func holeBad() map[int]bool {
	rng := rand.New(rand.NewPCG(10, 10))
	bad := make(map[int]bool)
	for _, w := range rng.Perm(fleetWorkers)[:fleetWorkers/holeEvery] {
		bad[w] = true
	}
	return bad
}

func holeAttempt(bad map[int]bool) simAttempt {
	return func(now time.Duration, r *simRequest, w int) (time.Duration, Result) {
		if now >= holeFault && bad[w] {
			return holeFails, Failed
		}
		return r.run, OK
	}
}

// holeRun runs the scheduler on all nodes and returns, besides the share of
// failed requests, when each node had ejected each bad worker.
func holeRun(tb testing.TB) (result holeResult, detected []time.Duration, missed int) {
	nodes, names := fleetLayout()
	bad := holeBad()
	policies := fleetOurs(tb, nodes, names, Options{})
	s := &sim{nodes: policies, requests: holeDemand(nodes), attempt: holeAttempt(bad)}
	s.relay = fleetRelay(nodes)
	seen := make(map[[2]int]time.Duration)
	const step = 20 * time.Millisecond
	for after := step; after <= holeEnd-holeFault; after += step {
		s.do(holeFault+after, func(time.Time) {
			for node, p := range policies {
				noteEjected(p.(*ours), node, after, bad, seen)
			}
		})
	}
	sendOn(s, nodes)
	s.run()
	for node := range policies {
		for _, w := range nodes[node].workers {
			index := policies[node].(*ours).index[w.ID]
			if !bad[index] || w.Slots == 0 {
				continue
			}
			if after, ok := seen[[2]int{node, index}]; ok {
				detected = append(detected, after)
			} else {
				missed++
			}
		}
	}
	return holeShares(s.requests), detected, missed
}

// sendOn sends what has waited for long to another zone.
func sendOn(s *sim, nodes []*fleetNode) {
	relay := fleetRelay(nodes)
	sent := make(map[int]bool)
	for now := holeFault; now < holeEnd; now += holePatience / 4 {
		s.do(now, func(now time.Time) {
			for node, p := range s.nodes {
				for _, id := range p.(*ours).waitingSince(now.Add(-holePatience), s.requests) {
					if sent[id] || !p.(*ours).cancel(now, id) {
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

// waitingSince lists the queued requests that arrived before a time.
func (o *ours) waitingSince(before time.Time, requests []*simRequest) []int {
	if o.s.queued() == 0 {
		return nil
	}
	var ids []int
	for ticket, id := range o.tickets {
		if o.s.jobs[ticket].worker == nil && at(requests[id].arrival).Before(before) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (o *ours) cancel(now time.Time, id int) bool {
	ticket := o.ids[id]
	if !o.s.Cancel(now, ticket) {
		return false
	}
	o.forget(ticket)
	return true
}

// noteEjected notes the bad workers that a node has ejected for the first
// time.
func noteEjected(o *ours, node int, after time.Duration, bad map[int]bool, seen map[[2]int]time.Duration) {
	for id, w := range o.s.workers.byID {
		key := [2]int{node, o.index[id]}
		if _, done := seen[key]; !done && bad[key[1]] && w.limit == 0 {
			seen[key] = after
		}
	}
}

// holeFIFO is least-loaded choice with the same number of attempts, but
// without ejection.
func holeFIFO() holeResult {
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
		policies = append(policies, &urgentFirst{urgent: newPlain(shares, maxAttempts), global: global})
	}
	s := &sim{nodes: policies, requests: holeDemand(nodes), attempt: holeAttempt(holeBad()), relay: fleetRelay(nodes)}
	s.run()
	return holeShares(s.requests)
}

// BenchmarkBlackHole measures what is lost when a tenth of the workers fail
// everything at once.
func BenchmarkBlackHole(b *testing.B) {
	for b.Loop() {
		result, detected, missed := holeRun(b)
		b.ReportMetric(result.unanswered, "failed_share")
		b.ReportMetric(result.failed, "told_failed_share")
		b.ReportMetric(quantile(detected, 0.99).Seconds(), "detect_s")
		b.ReportMetric(quantile(detected, 0.5).Seconds(), "detect_p50_s")
		b.ReportMetric(float64(missed), "not_detected")
		b.ReportMetric(float64(len(detected)), "detected")
		b.ReportMetric(holeFIFO().unanswered, "no_ejection_failed_share")
	}
}
