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

// simRequest is one request of a simulation. Only an oracle policy may read run
// and long.
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

// simEnd is the outcome of a request.
type simEnd uint8

const (
	simPending simEnd = iota
	simAnswered
	simFailed
	simRefused
	simExpired
)

// simStart is a start that a policy decided: a request and a worker by index.
type simStart struct {
	id, worker int
}

// simPolicy is the scheduling policy of one entry node.
type simPolicy interface {
	submit(now time.Time, id int, r *simRequest) bool
	next(now time.Time) (starts []simStart, expired []int)
	// finish ends an attempt and reports whether the request was requeued.
	finish(now time.Time, id, worker int, res Result) bool
	wake() time.Time
}

// simAttempt returns the duration and result of an attempt.
type simAttempt func(now time.Duration, r *simRequest, worker int) (time.Duration, Result)

func simSucceed(_ time.Duration, r *simRequest, _ int) (time.Duration, Result) { return r.run, OK }

// simEvent is a callback, the end of an attempt (res is set) or the wake-up of a
// node. order breaks ties between events of the same time.
type simEvent struct {
	at       time.Duration
	order    int
	node     int
	id       int
	worker   int
	res      Result
	callback func(now time.Time)
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

// sim is a discrete-event simulation of requests to several entry nodes.
type sim struct {
	nodes     []simPolicy
	requests  []*simRequest
	attempt   simAttempt
	events    simEvents
	order     int
	wakeTimes []time.Duration
	// busy counts the requests of all nodes in progress on each worker.
	busy map[int]int
	// relay returns the node in another zone to which a node forwards the
	// requests that it refuses; nil means that there is none.
	relay func(node int) int
	// refusals counts the attempts that a worker refused.
	refusals int
}

func (s *sim) push(e simEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// schedule schedules a call of f.
func (s *sim) schedule(when time.Duration, f func(now time.Time)) {
	s.push(simEvent{at: when, node: -1, callback: f})
}

// run processes all arrivals and events in order of time.
func (s *sim) run() {
	s.wakeTimes = make([]time.Duration, len(s.nodes))
	s.busy = make(map[int]int)
	next := 0
	for next < len(s.requests) || len(s.events) > 0 {
		if len(s.events) == 0 || next < len(s.requests) && s.requests[next].arrival <= s.events[0].at {
			s.arrive(next)
			next++
			continue
		}
		s.handle(heap.Pop(&s.events).(simEvent))
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

func (s *sim) handle(e simEvent) {
	if e.callback != nil {
		e.callback(at(e.at))
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
	} else if s.wakeTimes[e.node] == e.at {
		s.wakeTimes[e.node] = 0
	}
	s.step(e.at, e.node)
}

// step runs a node's policy, starts the attempts that it decided and schedules
// its next wake-up.
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
	if s.wakeTimes[node] == 0 || when < s.wakeTimes[node] {
		s.wakeTimes[node] = when
		s.push(simEvent{at: when, node: node})
	}
}

// schedulerPolicy adapts a Scheduler to simPolicy.
type schedulerPolicy struct {
	s       *Scheduler
	tickets map[Ticket]int
	ids     map[int]Ticket
	names   []string
	index   map[string]int
}

func newSchedulerPolicy(s *Scheduler, names []string) *schedulerPolicy {
	p := &schedulerPolicy{s: s, names: names, tickets: make(map[Ticket]int), ids: make(map[int]Ticket), index: make(map[string]int)}
	for i, name := range names {
		p.index[name] = i
	}
	return p
}

func (p *schedulerPolicy) submit(now time.Time, id int, r *simRequest) bool {
	ticket, refusal := p.s.Submit(now, &r.req)
	if refusal != nil {
		return false
	}
	p.tickets[ticket] = id
	p.ids[id] = ticket
	return true
}

func (p *schedulerPolicy) next(now time.Time) (starts []simStart, expired []int) {
	a := p.s.Next(now)
	for _, st := range a.Starts {
		starts = append(starts, simStart{id: p.tickets[st.Ticket], worker: p.index[st.Worker]})
	}
	for _, ticket := range a.Expired {
		expired = append(expired, p.tickets[ticket])
		p.forget(ticket)
	}
	return starts, expired
}

func (p *schedulerPolicy) forget(ticket Ticket) {
	delete(p.ids, p.tickets[ticket])
	delete(p.tickets, ticket)
}

func (p *schedulerPolicy) finish(now time.Time, id, _ int, res Result) bool {
	ticket := p.ids[id]
	if res != OK && p.s.Retry(now, ticket, res) {
		return true
	}
	if res == OK {
		p.s.Finish(now, ticket, res)
	}
	p.forget(ticket)
	return false
}

func (p *schedulerPolicy) wake() time.Time { return p.s.NextWake() }

// fifoPolicy starts requests in order of arrival on the least loaded worker. It
// requeues failed requests at the end of the queue, up to the given number of
// attempts.
type fifoPolicy struct {
	slots    []int
	busy     []int
	queue    []int
	attempts int
	tried    map[int]int
}

func newFIFOPolicy(slots []int, attempts int) *fifoPolicy {
	return &fifoPolicy{slots: slots, busy: make([]int, len(slots)), attempts: attempts, tried: make(map[int]int)}
}

func (p *fifoPolicy) submit(_ time.Time, id int, _ *simRequest) bool {
	p.queue = append(p.queue, id)
	return true
}

func (p *fifoPolicy) next(time.Time) (starts []simStart, expired []int) {
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

// leastLoaded returns the worker with the smallest share of its slots in use, or
// -1 if no slot is free.
func leastLoaded(slots, busy []int) int {
	best := -1
	for w := range slots {
		if busy[w] < slots[w] && (best < 0 || busy[w]*slots[best] < busy[best]*slots[w]) {
			best = w
		}
	}
	return best
}

func (p *fifoPolicy) finish(_ time.Time, id, worker int, res Result) bool {
	p.busy[worker]--
	p.tried[id]++
	if res == OK || p.tried[id] >= p.attempts {
		delete(p.tried, id)
		return false
	}
	p.queue = append(p.queue, id)
	return true
}

func (p *fifoPolicy) wake() time.Time { return time.Time{} }

// oraclePolicy knows the true run times. It starts short requests first and
// limits the number of slots with long ones.
type oraclePolicy struct {
	slots, busy []int
	limit       int
	longRunning int
	shorts      []int
	longs       []int
	isLong      map[int]bool
}

func newOraclePolicy(slots []int, limit int) *oraclePolicy {
	return &oraclePolicy{slots: slots, busy: make([]int, len(slots)), limit: limit, isLong: make(map[int]bool)}
}

func (o *oraclePolicy) submit(_ time.Time, id int, r *simRequest) bool {
	if r.long {
		o.isLong[id] = true
		o.longs = append(o.longs, id)
	} else {
		o.shorts = append(o.shorts, id)
	}
	return true
}

func (o *oraclePolicy) next(time.Time) (starts []simStart, expired []int) {
	for {
		w := leastLoaded(o.slots, o.busy)
		queue := &o.shorts
		if len(*queue) == 0 && o.longRunning < o.limit {
			queue = &o.longs
		}
		if w < 0 || len(*queue) == 0 {
			return starts, nil
		}
		id := (*queue)[0]
		*queue = (*queue)[1:]
		o.busy[w]++
		if o.isLong[id] {
			o.longRunning++
		}
		starts = append(starts, simStart{id: id, worker: w})
	}
}

func (o *oraclePolicy) finish(_ time.Time, id, worker int, _ Result) bool {
	o.busy[worker]--
	if o.isLong[id] {
		o.longRunning--
		delete(o.isLong, id)
	}
	return false
}

func (o *oraclePolicy) wake() time.Time { return time.Time{} }

// quantile returns the given quantile of durations. It sorts the slice.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// misdeclared returns a declared run time that is wrong by a factor of up to ten
// in either direction.
func misdeclared(rng *rand.Rand, run time.Duration) time.Duration {
	return time.Duration(float64(run) * math.Pow(10, 2*rng.Float64()-1))
}

// logNormal returns a log-normal run time with the given median.
func logNormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

// maxParallel limits the simulations that run at the same time.
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
