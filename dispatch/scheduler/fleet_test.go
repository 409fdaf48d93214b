package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/slots"
)

// The fleet of the benchmarks, at the design size.
const (
	fleetWorkers = 950
	fleetPools   = 27
	fleetZones   = 10
	fleetTeams   = 250
	fleetSlots   = 8
	// fleetNodes is the number of entry nodes in each zone.
	fleetNodes = 2
)

// fleetNode is one entry node's part of one pool in its zone. total is the sum of
// its slots.
type fleetNode struct {
	name    string
	pool    int
	workers []Worker
	total   int
}

// fleetLayout distributes the workers over pools and zones. Worker indexes are
// unique in the fleet.
func fleetLayout() (nodes []*fleetNode, names []string) {
	members := make([]string, fleetNodes)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}
	byPlace := make(map[int]*fleetNode)
	for w := range fleetWorkers {
		names = append(names, fmt.Sprintf("worker-%03d", w))
		pool := w % fleetPools
		zone := w / fleetPools % fleetZones
		for m, member := range members {
			place := (pool*fleetZones+zone)*fleetNodes + m
			n := byPlace[place]
			if n == nil {
				n = &fleetNode{name: member, pool: pool}
				byPlace[place] = n
				nodes = append(nodes, n)
			}
			share := slots.Share(names[w], fleetSlots, members, member)
			n.workers = append(n.workers, worker(names[w], share))
			n.total += share
		}
	}
	return nodes, names
}

// fleetTeamList returns the teams with their weights.
func fleetTeamList() []Team {
	teams := make([]Team, fleetTeams)
	for i := range teams {
		teams[i] = Team{Name: fmt.Sprintf("team-%03d", i), Weight: float64(1 + i%4)}
	}
	return teams
}

// fleetSchedulerPolicies returns one scheduler for each node and pool.
func fleetSchedulerPolicies(tb testing.TB, nodes []*fleetNode, names []string, opts Options) []simPolicy {
	teams := fleetTeamList()
	var out []simPolicy
	for _, n := range nodes {
		opts.Node = n.name
		s := newTest(tb, opts, n.workers...)
		s.SetTeams(teams)
		out = append(out, newSchedulerPolicy(s, names))
	}
	return out
}

// fleetFIFO returns one urgentFirstPolicy for each node and pool.
func fleetFIFO(nodes []*fleetNode, names []string) []simPolicy {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	var out []simPolicy
	for _, n := range nodes {
		shares := make([]int, len(n.workers))
		global := make([]int, len(n.workers))
		for i, w := range n.workers {
			shares[i] = w.Slots
			global[i] = index[w.ID]
		}
		out = append(out, &urgentFirstPolicy{urgent: newFIFOPolicy(shares, 1), global: global})
	}
	return out
}

// urgentFirstPolicy starts urgent requests before the others in order of arrival,
// without a reserve. It maps between the indexes of the node's workers and those
// of the fleet.
type urgentFirstPolicy struct {
	urgent *fifoPolicy
	normal []int
	global []int
	local  map[int]int
}

func (u *urgentFirstPolicy) submit(now time.Time, id int, r *simRequest) bool {
	if r.req.Class == dispatch.ClassUrgent {
		return u.urgent.submit(now, id, r)
	}
	u.normal = append(u.normal, id)
	return true
}

func (u *urgentFirstPolicy) next(now time.Time) (starts []simStart, expired []int) {
	starts, _ = u.urgent.next(now)
	if len(u.urgent.queue) == 0 {
		u.urgent.queue, u.normal = u.normal, nil
		more, _ := u.urgent.next(now)
		starts = append(starts, more...)
		u.normal, u.urgent.queue = u.urgent.queue, nil
	}
	if u.local == nil {
		u.local = make(map[int]int)
	}
	for i, st := range starts {
		u.local[st.id] = st.worker
		starts[i].worker = u.global[st.worker]
	}
	return starts, nil
}

func (u *urgentFirstPolicy) finish(now time.Time, id, _ int, res Result) bool {
	worker := u.local[id]
	delete(u.local, id)
	return u.urgent.finish(now, id, worker, res)
}

func (u *urgentFirstPolicy) wake() time.Time { return time.Time{} }

// The load of BenchmarkUrgentStart.
const (
	urgentFillTime     = 60 * time.Second
	urgentEnd          = 300 * time.Second
	urgentRate         = 100.0
	urgentMedian       = 300 * time.Millisecond
	urgentNormalLoad   = 0.1
	urgentStragglerRun = 20 * time.Minute
	// urgentNetworkDelay is the network delay from the router to the entry node
	// and on to the worker.
	urgentNetworkDelay = 6 * time.Millisecond
)

// urgentDemand generates short and urgent requests at a constant rate. At
// urgentFillTime it adds enough stragglers to fill each node's slots three times
// over. The stragglers declare no run time and look like short requests, so they
// take every slot that short requests may take. longUrgent is the share of the
// urgent requests that are long themselves.
func urgentDemand(nodes []*fleetNode, longUrgent float64) []*simRequest {
	rng := rand.New(rand.NewPCG(3, 3))
	total := 0
	for _, n := range nodes {
		total += n.total
	}
	normalRate := urgentNormalLoad * float64(total) / urgentMedian.Seconds()
	var out []*simRequest
	add := func(now time.Duration, node int, class dispatch.Class, run time.Duration) {
		r := &simRequest{arrival: now, run: run, node: node}
		r.req = dispatch.Request{
			Team: fmt.Sprintf("team-%03d", rng.IntN(fleetTeams)), Service: "review", Route: "/",
			Class: class, Repeatable: true, DeclaredRunTime: misdeclared(rng, run),
		}
		out = append(out, r)
	}
	full := false
	for now := time.Duration(0); now < urgentEnd; {
		rate := urgentRate + normalRate
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if now >= urgentFillTime && !full {
			full = true
			for node, n := range nodes {
				for range 3 * n.total {
					add(urgentFillTime, node, dispatch.ClassNormal, urgentStragglerRun)
					out[len(out)-1].req.DeclaredRunTime = 0
				}
			}
		}
		run := logNormal(rng, urgentMedian, 0.5)
		if rng.Float64()*rate >= urgentRate {
			add(now, rng.IntN(len(nodes)), dispatch.ClassNormal, run)
			continue
		}
		if rng.Float64() < longUrgent {
			run *= waitLongFactor
		}
		add(now, rng.IntN(len(nodes)), dispatch.ClassUrgent, run)
	}
	return out
}

// urgentStarts returns the times from the router to the start of the urgent
// requests that arrive while the pools are full. A request that never started
// counts with the time until its end or the end of the demand.
func urgentStarts(requests []*simRequest) []time.Duration {
	var out []time.Duration
	for _, r := range requests {
		if r.req.Class != dispatch.ClassUrgent || r.arrival < urgentFillTime {
			continue
		}
		wait := r.waited
		if !r.started {
			wait = max(urgentEnd-r.arrival, r.endedAt-r.arrival)
		}
		out = append(out, wait+urgentNetworkDelay)
	}
	return out
}

// BenchmarkUrgentStart measures how soon urgent requests start at the design size
// while stragglers fill all pools. No worker supports preemption.
func BenchmarkUrgentStart(b *testing.B) {
	for b.Loop() {
		nodes, names := fleetLayout()
		fullShare := 0.0
		run := func(policies []simPolicy, longUrgent float64) []time.Duration {
			s := &sim{nodes: policies, requests: urgentDemand(nodes, longUrgent), attempt: simSucceed}
			s.schedule(urgentFillTime+10*time.Second, func(time.Time) { fullShare = max(fullShare, busyShare(s.busy)) })
			s.run()
			return urgentStarts(s.requests)
		}
		scheduler := run(fleetSchedulerPolicies(b, nodes, names, Options{}), 0)
		schedulerFull := fullShare
		oneInHundred := run(fleetSchedulerPolicies(b, nodes, names, Options{}), 0.01)
		reserveTwo := run(fleetSchedulerPolicies(b, nodes, names, Options{UrgentReserve: 2}), 0.01)
		urgentFirst := run(fleetFIFO(nodes, names), 0)
		b.ReportMetric(quantile(scheduler, 0.99).Seconds(), "p99_start_s")
		b.ReportMetric(quantile(scheduler, 1).Seconds(), "max_start_s")
		b.ReportMetric(float64(len(scheduler)), "urgent_requests")
		b.ReportMetric(quantile(oneInHundred, 0.99).Seconds(), "one_in_100_urgent_long_p99_start_s")
		b.ReportMetric(quantile(reserveTwo, 0.99).Seconds(), "one_in_100_urgent_long_reserve_2_p99_start_s")
		b.ReportMetric(quantile(urgentFirst, 0.99).Seconds(), "urgent_first_no_reserve_p99_start_s")
		b.ReportMetric(fleetReserve(nodes), "reserve_share")
		b.ReportMetric(schedulerFull, "slots_in_use_share")
	}
}

// fleetReserve returns the minimum share of all slots that is kept free for
// urgent requests.
func fleetReserve(nodes []*fleetNode) float64 {
	held, total := 0, 0
	for _, n := range nodes {
		total += n.total
		if n.total >= minSlotsForReserve {
			held++
		}
	}
	return float64(held) / float64(total)
}

// busyShare returns the share of the fleet's slots with a request in progress.
func busyShare(busy map[int]int) float64 {
	n := 0
	for _, count := range busy {
		n += count
	}
	return float64(n) / (fleetWorkers * fleetSlots)
}

// fleetRelay returns a function that maps a node to the node of the same name in
// the pool's next zone.
func fleetRelay(nodes []*fleetNode) func(node int) int {
	next := make([]int, len(nodes))
	first := make(map[fleetScheduler]int)
	last := make(map[fleetScheduler]int)
	for i, n := range nodes {
		place := fleetScheduler{name: n.name, pool: n.pool}
		if previous, ok := last[place]; ok {
			next[previous] = i
		} else {
			first[place] = i
		}
		last[place] = i
		next[i] = first[place]
	}
	return func(node int) int { return next[node] }
}

// fleetScheduler identifies the schedulers of one pool on the entry nodes of the
// same name in all zones.
type fleetScheduler struct {
	name string
	pool int
}
