package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/retry"
	"wigeonwinch/dispatch/scheduler"
)

// assignment tells a waiting request its worker, or that its time ran out.
type assignment struct {
	worker  string
	expired bool
}

// place is one request's place in a pool.
type place struct {
	ticket scheduler.Ticket
	next   chan assignment
}

// pool is the queue of one pool on this node. It gives the scheduler a lock,
// a clock and timers.
type pool struct {
	name  string
	clock func() time.Time

	lock   sync.Mutex
	sched  *scheduler.Scheduler
	places map[scheduler.Ticket]*place
	// retries bounds further attempts to a share of the pool's requests.
	retries *retry.Budget
	// starved is called when a request has to wait.
	starved func()
	timer   *time.Timer
	wake    time.Time
	closed  bool
}

func (s *Server) newPool(name string) *pool {
	p := &pool{name: name, clock: s.cfg.Clock, places: make(map[scheduler.Ticket]*place), retries: retry.NewBudget(retry.Options{}), starved: s.kick}
	p.sched = scheduler.New(scheduler.Options{
		Node:        s.cfg.Node,
		MaxQueued:   s.cfg.Limits.QueuePerPool,
		MaxWait:     s.cfg.Limits.DefaultDeadline,
		OnViolation: func(v scheduler.Violation) { s.violated(&request{}, string(v.Kind)+" "+v.Worker) },
	})
	p.timer = time.AfterFunc(time.Hour, p.pumpNow)
	return p
}

// countFirst counts a first attempt towards the budget of retries.
func (p *pool) countFirst() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.retries.Request(p.clock())
}

// mayRetry takes a further attempt from the budget.
func (p *pool) mayRetry() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.retries.Spend(p.clock())
}

// submit queues a request or refuses it.
func (p *pool) submit(r *dispatch.Request) (*place, *dispatch.Refusal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	ticket, refusal := p.sched.Submit(now, r)
	if refusal != nil {
		return nil, refusal
	}
	pl := &place{ticket: ticket, next: make(chan assignment, 1)}
	p.places[ticket] = pl
	p.pump(now)
	if len(pl.next) == 0 {
		p.starved()
	}
	return pl, nil
}

// await waits for a worker. It reports false when ctx ended first; the
// request has then left the pool and was not sent.
func (p *pool) await(ctx context.Context, pl *place) (assignment, bool) {
	if ctx.Err() != nil {
		p.cancel(pl)
		return assignment{}, false
	}
	select {
	case a := <-pl.next:
		return a, true
	case <-ctx.Done():
		p.cancel(pl)
		return assignment{}, false
	}
}

func (p *pool) cancel(pl *place) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	delete(p.places, pl.ticket)
	if p.sched.Cancel(now, pl.ticket) {
		return
	}
	if a := <-pl.next; !a.expired {
		p.sched.Finish(now, pl.ticket, scheduler.Canceled)
		p.pump(now)
	}
}

// finish ends a request that had a worker.
func (p *pool) finish(pl *place, result scheduler.Result) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	delete(p.places, pl.ticket)
	p.sched.Finish(now, pl.ticket, result)
	p.pump(now)
}

// requeue puts back a request that its worker did not run. It reports false
// when there is to be no other attempt.
func (p *pool) requeue(pl *place, exclude string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	if !p.sched.Requeue(now, pl.ticket, exclude) {
		delete(p.places, pl.ticket)
		p.pump(now)
		return false
	}
	p.pump(now)
	return true
}

func (p *pool) pumpNow() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.wake = time.Time{}
	p.pump(p.clock())
}

// pump delivers what the scheduler decides. The lock is held.
func (p *pool) pump(now time.Time) {
	actions := p.sched.Next(now)
	for _, start := range actions.Starts {
		p.deliver(start.Ticket, assignment{worker: start.Worker})
	}
	for _, ticket := range actions.Expired {
		p.deliver(ticket, assignment{expired: true})
		delete(p.places, ticket)
	}
	p.arm(now)
}

func (p *pool) deliver(ticket scheduler.Ticket, a assignment) {
	if pl := p.places[ticket]; pl != nil {
		pl.next <- a
	}
}

// arm sets the timer to the scheduler's next wake-up.
func (p *pool) arm(now time.Time) {
	wake := p.sched.Wake()
	if p.closed || wake.IsZero() || wake.Equal(p.wake) {
		return
	}
	p.wake = wake
	p.timer.Reset(max(wake.Sub(now), time.Millisecond))
}

func (p *pool) close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	p.timer.Stop()
}

// pool returns a pool of the manifest, or nil.
func (s *Server) pool(name string) *pool {
	s.poolsLock.RLock()
	defer s.poolsLock.RUnlock()
	return s.pools[name]
}

// eachPool calls visit for every pool in the order of names.
func (s *Server) eachPool(visit func(*pool)) {
	s.poolsLock.RLock()
	list := slices.SortedFunc(maps.Values(s.pools), func(a, b *pool) int {
		return cmpText(a.name, b.name)
	})
	s.poolsLock.RUnlock()
	for _, p := range list {
		visit(p)
	}
}

func cmpText(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// applySigns brings the pools in line with new signs of leaving.
func (s *Server) applySigns() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	if rt := s.routes.Load(); rt != nil {
		s.setPools(rt)
	}
}

// setPools brings the pools in line with the view and the signs of leaving.
// The caller holds refreshing, so that an older view never follows a newer.
func (s *Server) setPools(rt *routes) {
	s.addPools(rt)
	workers := s.workersByPool(rt)
	teams := schedulerTeams(rt)
	floor := floors(rt.view, s.cfg.Zone)
	s.eachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		now := p.clock()
		p.sched.SetTeams(teams)
		p.sched.SetMinAvailable(floor[p.name])
		p.sched.SetWorkers(now, workers[p.name])
		p.pump(now)
	})
}

// addPools adds the view's pools and drops former ones that are empty.
func (s *Server) addPools(rt *routes) {
	s.poolsLock.Lock()
	defer s.poolsLock.Unlock()
	for name := range rt.view.Pools {
		if s.pools[name] == nil {
			s.pools[name] = s.newPool(name)
		}
	}
	for name, p := range s.pools {
		if _, ok := rt.view.Pools[name]; ok {
			continue
		}
		if p.empty() {
			p.close()
			delete(s.pools, name)
		}
	}
}

func (p *pool) empty() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.places) == 0
}

func (s *Server) closePools() {
	s.eachPool(func(p *pool) { p.close() })
}

// workersByPool returns the zone's workers with this node's share of slots.
func (s *Server) workersByPool(rt *routes) map[string][]scheduler.Worker {
	now := s.cfg.Clock()
	workers := make(map[string][]scheduler.Worker)
	weak := make(map[string][]bool)
	for _, vm := range rt.view.VMs {
		if vm.Zone != s.cfg.Zone {
			continue
		}
		open := accepting(vm)
		workers[vm.Pool] = append(workers[vm.Pool], scheduler.Worker{
			ID:           vm.ID,
			Zone:         vm.Zone,
			Rack:         vm.Rack,
			Slots:        s.lending.usable(vm.ID),
			TotalSlots:   vm.Slots,
			Cores:        vm.Cores,
			MemoryMB:     vm.MemoryMB,
			Accelerators: vm.Accelerators,
			Accepting:    open && !s.signs.leaving(now, vm.ID),
		})
		weak[vm.Pool] = append(weak[vm.Pool], open && s.signs.onlyClosed(vm.ID))
	}
	for name, list := range workers {
		keepOneOpen(list, weak[name])
	}
	return workers
}

// keepOneOpen disregards weak signs when no worker of a pool would be left.
func keepOneOpen(list []scheduler.Worker, weak []bool) {
	for _, w := range list {
		if w.Accepting {
			return
		}
	}
	for i := range list {
		list[i].Accepting = weak[i]
	}
}

func schedulerTeams(rt *routes) []scheduler.Team {
	teams := make([]scheduler.Team, 0, len(rt.view.Teams))
	for _, name := range slices.Sorted(maps.Keys(rt.view.Teams)) {
		t := rt.view.Teams[name]
		teams = append(teams, scheduler.Team{Name: name, Weight: float64(t.Weight)})
	}
	return teams
}
