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

// assignment is the scheduler's decision on a waiting request: the worker that
// runs it, or that its deadline passed.
type assignment struct {
	worker  string
	expired bool
}

// waiter is a request that was submitted to a pool.
type waiter struct {
	ticket   scheduler.Ticket
	assigned chan assignment
}

// pool is the queue of one pool on this node. It adds a lock, a clock and a
// timer to the scheduler.
type pool struct {
	name  string
	clock func() time.Time

	lock    sync.Mutex
	sched   *scheduler.Scheduler
	waiters map[scheduler.Ticket]*waiter
	// retries limits retries to a share of the pool's requests.
	retries *retry.Budget
	// onWait is called when a request cannot start immediately.
	onWait func()
	timer  *time.Timer
	wakeAt time.Time
	closed bool
}

func (s *Server) newPool(name string) *pool {
	p := &pool{name: name, clock: s.cfg.Clock, waiters: make(map[scheduler.Ticket]*waiter), retries: retry.NewBudget(retry.Options{}), onWait: s.wakeRun}
	p.sched = scheduler.New(scheduler.Options{
		Node:        s.cfg.Node,
		MaxQueued:   s.cfg.Limits.QueuePerPool,
		MaxWait:     s.cfg.Limits.DefaultDeadline,
		OnViolation: func(v scheduler.Violation) { s.recordViolation(&request{}, string(v.Kind)+" "+v.Worker) },
	})
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	return p
}

// countRequest counts a request towards the retry budget.
func (p *pool) countRequest() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.retries.RecordRequest(p.clock())
}

// takeRetry spends one retry from the budget. It reports whether the budget
// allows the retry.
func (p *pool) takeRetry() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.retries.TrySpend(p.clock())
}

// submit queues a request or refuses it.
func (p *pool) submit(r *dispatch.Request) (*waiter, *dispatch.Refusal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	ticket, refusal := p.sched.Submit(now, r)
	if refusal != nil {
		return nil, refusal
	}
	wt := &waiter{ticket: ticket, assigned: make(chan assignment, 1)}
	p.waiters[ticket] = wt
	p.applyDecisions(now)
	if len(wt.assigned) == 0 {
		p.onWait()
	}
	return wt, nil
}

// await waits for an assignment. It reports false when ctx ended first; the
// request has then been removed from the pool and was not sent.
func (p *pool) await(ctx context.Context, wt *waiter) (assignment, bool) {
	if ctx.Err() != nil {
		p.cancel(wt)
		return assignment{}, false
	}
	select {
	case a := <-wt.assigned:
		return a, true
	case <-ctx.Done():
		p.cancel(wt)
		return assignment{}, false
	}
}

func (p *pool) cancel(wt *waiter) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	delete(p.waiters, wt.ticket)
	if p.sched.Cancel(now, wt.ticket) {
		return
	}
	if a := <-wt.assigned; !a.expired {
		p.sched.Finish(now, wt.ticket, scheduler.Canceled)
		p.applyDecisions(now)
	}
}

// finish finishes a request that was assigned to a worker.
func (p *pool) finish(wt *waiter, outcome scheduler.Result) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	delete(p.waiters, wt.ticket)
	p.sched.Finish(now, wt.ticket, outcome)
	p.applyDecisions(now)
}

// requeue queues a request again after its worker did not run it. It reports
// false when there is no further attempt.
func (p *pool) requeue(wt *waiter, avoid string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock()
	if !p.sched.Requeue(now, wt.ticket, avoid) {
		delete(p.waiters, wt.ticket)
		p.applyDecisions(now)
		return false
	}
	p.applyDecisions(now)
	return true
}

func (p *pool) onTimer() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.wakeAt = time.Time{}
	p.applyDecisions(p.clock())
}

// applyDecisions delivers the scheduler's decisions to the waiters. The
// caller must hold the lock.
func (p *pool) applyDecisions(now time.Time) {
	actions := p.sched.Next(now)
	for _, start := range actions.Starts {
		p.deliver(start.Ticket, assignment{worker: start.Worker})
	}
	for _, ticket := range actions.Expired {
		p.deliver(ticket, assignment{expired: true})
		delete(p.waiters, ticket)
	}
	p.resetTimer(now)
}

func (p *pool) deliver(ticket scheduler.Ticket, a assignment) {
	if wt := p.waiters[ticket]; wt != nil {
		wt.assigned <- a
	}
}

// resetTimer sets the timer to the scheduler's next wake-up time.
func (p *pool) resetTimer(now time.Time) {
	wake := p.sched.NextWake()
	if p.closed || wake.IsZero() || wake.Equal(p.wakeAt) {
		return
	}
	p.wakeAt = wake
	p.timer.Reset(max(wake.Sub(now), time.Millisecond))
}

func (p *pool) close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	p.timer.Stop()
}

// pool returns the pool with a name, or nil.
func (s *Server) pool(name string) *pool {
	s.poolsLock.RLock()
	defer s.poolsLock.RUnlock()
	return s.pools[name]
}

// forEachPool calls visit for every pool, ordered by name.
func (s *Server) forEachPool(visit func(*pool)) {
	s.poolsLock.RLock()
	list := slices.SortedFunc(maps.Values(s.pools), func(a, b *pool) int {
		return compareStrings(a.name, b.name)
	})
	s.poolsLock.RUnlock()
	for _, p := range list {
		visit(p)
	}
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// applySignals updates the pools after the workers' signals changed.
func (s *Server) applySignals() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	if rt := s.routes.Load(); rt != nil {
		s.updatePools(rt)
	}
}

// updatePools updates the pools from the view and the workers' signals. The
// caller must hold refreshing, so that an older view never overwrites a newer
// one.
func (s *Server) updatePools(rt *routes) {
	s.syncPools(rt)
	workers := s.workersByPool(rt)
	teams := schedulerTeams(rt)
	minAvailable := minAvailableByPool(rt.view, s.cfg.Zone)
	s.forEachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		now := p.clock()
		p.sched.SetTeams(teams)
		p.sched.SetMinAvailable(minAvailable[p.name])
		p.sched.SetWorkers(now, workers[p.name])
		p.applyDecisions(now)
	})
}

// syncPools adds the pools of the view, and removes pools that are no longer
// in it once they are empty.
func (s *Server) syncPools(rt *routes) {
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
	return len(p.waiters) == 0
}

func (s *Server) closePools() {
	s.forEachPool(func(p *pool) { p.close() })
}

// workersByPool returns the zone's workers by pool, each with the slots that
// this node may use.
func (s *Server) workersByPool(rt *routes) map[string][]scheduler.Worker {
	now := s.cfg.Clock()
	workers := make(map[string][]scheduler.Worker)
	closedOnly := make(map[string][]bool)
	for _, vm := range rt.view.VMs {
		if vm.Zone != s.cfg.Zone {
			continue
		}
		active := acceptsWork(vm)
		workers[vm.Pool] = append(workers[vm.Pool], scheduler.Worker{
			ID:           vm.ID,
			Zone:         vm.Zone,
			Rack:         vm.Rack,
			Slots:        s.lending.usable(vm.ID),
			TotalSlots:   vm.Slots,
			Cores:        vm.Cores,
			MemoryMB:     vm.MemoryMB,
			Accelerators: vm.Accelerators,
			Accepting:    active && !s.signals.leaving(now, vm.ID),
		})
		closedOnly[vm.Pool] = append(closedOnly[vm.Pool], active && s.signals.closedOnly(vm.ID))
	}
	for name, list := range workers {
		ignoreClosedSignals(list, closedOnly[name])
	}
	return workers
}

// ignoreClosedSignals makes workers whose only signal is a closed connection
// accept requests again when no other worker of the pool accepts any.
func ignoreClosedSignals(list []scheduler.Worker, closedOnly []bool) {
	for _, w := range list {
		if w.Accepting {
			return
		}
	}
	for i := range list {
		list[i].Accepting = closedOnly[i]
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
