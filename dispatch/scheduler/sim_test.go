package scheduler

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wigeonwinch/dispatch"
)

// simRequest is one request of a simulation. Policies may read run only if
// they are an oracle.
type simRequest struct {
	arrival  time.Duration
	run      time.Duration
	long     bool
	node     int
	req      dispatch.Request
	waited   time.Duration
	started  bool
	attempts int
	end      simEnd
	endedAt  time.Duration
}

// simEnd is how a request ended.
type simEnd uint8

const (
	simPending simEnd = iota
	simAnswered
	simFailed
	simRefused
	simExpired
)

// simStart is a start that a policy decided.
type simStart struct {
	id, worker int
}

// simPolicy is what runs on one entry node.
type simPolicy interface {
	submit(now time.Time, id int, r *simRequest) bool
	next(now time.Time) (starts []simStart, expired []int)
	// finish returns whether the request is queued again.
	finish(now time.Time, id, worker int, res Result) bool
	wake() time.Time
}

// simAttempt says how long an attempt takes and how it ends.
type simAttempt func(now time.Duration, r *simRequest, worker int) (time.Duration, Result)

func simPlain(_ time.Duration, r *simRequest, _ int) (time.Duration, Result) { return r.run, OK }

// simEvent is something that happens at a time; order breaks ties.
type simEvent struct {
	at     time.Duration
	order  int
	node   int
	id     int
	worker int
	res    Result
	call   func(now time.Time)
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim runs requests against the policies of several entry nodes.
type sim struct {
	nodes    []simPolicy
	requests []*simRequest
	attempt  simAttempt
	events   simEvents
	order    int
	woken    []time.Duration
	// busy counts what is in progress on each worker over all nodes.
	busy map[int]int
	// relay returns the node in another zone that gets what a node refuses;
	// nil means that there is none.
	relay func(node int) int
	// refusals counts the attempts that a worker refused.
	refusals int
}

func (s *sim) push(e simEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// do calls f at a time.
func (s *sim) do(when time.Duration, f func(now time.Time)) {
	s.push(simEvent{at: when, node: -1, call: f})
}

// run goes on until nothing is left to happen.
func (s *sim) run() {
	s.woken = make([]time.Duration, len(s.nodes))
	s.busy = make(map[int]int)
	next := 0
	for next < len(s.requests) || len(s.events) > 0 {
		if len(s.events) == 0 || next < len(s.requests) && s.requests[next].arrival <= s.events[0].at {
			s.arrive(next)
			next++
			continue
		}
		s.happen(heap.Pop(&s.events).(simEvent))
	}
}

func (s *sim) arrive(id int) {
	r := s.requests[id]
	ok := s.nodes[r.node].submit(at(r.arrival), id, r)
	if !ok && s.relay != nil {
		r.node = s.relay(r.node)
		ok = s.nodes[r.node].submit(at(r.arrival), id, r)
	}
	if !ok {
		r.end, r.endedAt = simRefused, r.arrival
		return
	}
	s.step(r.arrival, r.node)
}

func (s *sim) happen(e simEvent) {
	if e.call != nil {
		e.call(at(e.at))
		for node := range s.nodes {
			s.step(e.at, node)
		}
		return
	}
	if e.res != 0 {
		if e.res != Refused {
			s.busy[e.worker]--
		}
		r := s.requests[e.id]
		again := s.nodes[e.node].finish(at(e.at), e.id, e.worker, e.res)
		if !again {
			r.endedAt = e.at
			r.end = simFailed
			if e.res == OK {
				r.end = simAnswered
			}
		}
	} else if s.woken[e.node] == e.at {
		s.woken[e.node] = 0
	}
	s.step(e.at, e.node)
}

// step lets a node act and notes when it wants to be woken.
func (s *sim) step(now time.Duration, node int) {
	starts, expired := s.nodes[node].next(at(now))
	for _, id := range expired {
		s.requests[id].end, s.requests[id].endedAt = simExpired, now
	}
	for _, st := range starts {
		r := s.requests[st.id]
		if !r.started {
			r.started = true
			r.waited = now - r.arrival
		}
		r.attempts++
		d, res := s.attempt(now, r, st.worker)
		if res == Refused {
			s.refusals++
		} else {
			s.busy[st.worker]++
		}
		s.push(simEvent{at: now + d, node: node, id: st.id, worker: st.worker, res: res})
	}
	wake := s.nodes[node].wake()
	if wake.IsZero() {
		return
	}
	when := max(wake.Sub(epoch), now+1)
	if s.woken[node] == 0 || when < s.woken[node] {
		s.woken[node] = when
		s.push(simEvent{at: when, node: node})
	}
}

// ours runs the Scheduler as a simPolicy.
type ours struct {
	s       *Scheduler
	tickets map[Ticket]int
	ids     map[int]Ticket
	names   []string
	index   map[string]int
}

func newOurs(s *Scheduler, names []string) *ours {
	o := &ours{s: s, names: names, tickets: make(map[Ticket]int), ids: make(map[int]Ticket), index: make(map[string]int)}
	for i, name := range names {
		o.index[name] = i
	}
	return o
}

func (o *ours) submit(now time.Time, id int, r *simRequest) bool {
	ticket, refusal := o.s.Submit(now, &r.req)
	if refusal != nil {
		return false
	}
	o.tickets[ticket] = id
	o.ids[id] = ticket
	return true
}

func (o *ours) next(now time.Time) (starts []simStart, expired []int) {
	a := o.s.Next(now)
	for _, st := range a.Starts {
		starts = append(starts, simStart{id: o.tickets[st.Ticket], worker: o.index[st.Worker]})
	}
	for _, ticket := range a.Expired {
		expired = append(expired, o.tickets[ticket])
		o.forget(ticket)
	}
	return starts, expired
}

func (o *ours) forget(ticket Ticket) {
	delete(o.ids, o.tickets[ticket])
	delete(o.tickets, ticket)
}

func (o *ours) finish(now time.Time, id, _ int, res Result) bool {
	ticket := o.ids[id]
	if res != OK && o.s.Retry(now, ticket, res) {
		return true
	}
	if res == OK {
		o.s.Finish(now, ticket, res)
	}
	o.forget(ticket)
	return false
}

func (o *ours) wake() time.Time { return o.s.Wake() }

// plain is first in first out with least-loaded choice of worker; retries go
// to the end of the queue up to attempts in all.
type plain struct {
	slots    []int
	busy     []int
	queue    []int
	attempts int
	tried    map[int]int
}

func newPlain(slots []int, attempts int) *plain {
	return &plain{slots: slots, busy: make([]int, len(slots)), attempts: attempts, tried: make(map[int]int)}
}

func (p *plain) submit(_ time.Time, id int, _ *simRequest) bool {
	p.queue = append(p.queue, id)
	return true
}

func (p *plain) next(time.Time) (starts []simStart, expired []int) {
	for len(p.queue) > 0 {
		w := leastLoaded(p.slots, p.busy)
		if w < 0 {
			return starts, nil
		}
		p.busy[w]++
		starts = append(starts, simStart{id: p.queue[0], worker: w})
		p.queue = p.queue[1:]
	}
	return starts, nil
}

// leastLoaded returns the worker with the smallest share of its slots in use.
func leastLoaded(slots, busy []int) int {
	best := -1
	for w := range slots {
		if busy[w] < slots[w] && (best < 0 || busy[w]*slots[best] < busy[best]*slots[w]) {
			best = w
		}
	}
	return best
}

func (p *plain) finish(_ time.Time, id, worker int, res Result) bool {
	p.busy[worker]--
	p.tried[id]++
	if res == OK || p.tried[id] >= p.attempts {
		delete(p.tried, id)
		return false
	}
	p.queue = append(p.queue, id)
	return true
}

func (p *plain) wake() time.Time { return time.Time{} }

// oracle knows the true run times: short work goes first, and long work never
// takes more than its limit of slots.
type oracle struct {
	slots, busy []int
	limit       int
	long        int
	shorts      []int
	longs       []int
	isLong      map[int]bool
}

func newOracle(slots []int, limit int) *oracle {
	return &oracle{slots: slots, busy: make([]int, len(slots)), limit: limit, isLong: make(map[int]bool)}
}

func (o *oracle) submit(_ time.Time, id int, r *simRequest) bool {
	if r.long {
		o.isLong[id] = true
		o.longs = append(o.longs, id)
	} else {
		o.shorts = append(o.shorts, id)
	}
	return true
}

func (o *oracle) next(time.Time) (starts []simStart, expired []int) {
	for {
		w := leastLoaded(o.slots, o.busy)
		queue := &o.shorts
		if len(*queue) == 0 && o.long < o.limit {
			queue = &o.longs
		}
		if w < 0 || len(*queue) == 0 {
			return starts, nil
		}
		id := (*queue)[0]
		*queue = (*queue)[1:]
		o.busy[w]++
		if o.isLong[id] {
			o.long++
		}
		starts = append(starts, simStart{id: id, worker: w})
	}
}

func (o *oracle) finish(_ time.Time, id, worker int, _ Result) bool {
	o.busy[worker]--
	if o.isLong[id] {
		o.long--
		delete(o.isLong, id)
	}
	return false
}

func (o *oracle) wake() time.Time { return time.Time{} }

// quantile returns a quantile of durations; it sorts them.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// misdeclared returns a run time declared wrong by up to ten times.
func misdeclared(rng *rand.Rand, run time.Duration) time.Duration {
	return time.Duration(float64(run) * math.Pow(10, 2*rng.Float64()-1))
}

// logNormal returns a run time with the given median.
func logNormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

// maxParallel bounds the simulations that run at the same time.
const maxParallel = 3

// inParallel runs independent simulations and returns their results in order.
func inParallel[T any](n int, run func(i int) T) []T {
	out := make([]T, n)
	var group sync.WaitGroup
	free := make(chan struct{}, maxParallel)
	for i := range n {
		free <- struct{}{}
		group.Go(func() {
			out[i] = run(i)
			<-free
		})
	}
	group.Wait()
	return out
}
