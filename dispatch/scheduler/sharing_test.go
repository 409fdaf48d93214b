package scheduler

import (
	"testing"
	"time"

	"wigeonwinch/dispatch/slots"
)

// peerDelay is the one-way delay of a message between entry nodes.
const peerDelay = 1500 * time.Microsecond

// refusalDelay is the round-trip time of a request that a worker refuses.
const refusalDelay = 3 * time.Millisecond

// lendingPolicy is a schedulerPolicy that borrows slots from and lends slots to
// other nodes.
type lendingPolicy struct {
	*schedulerPolicy
	name   string
	ledger *slots.Ledger
	send   func(from string, sends []slots.OutgoingMessage)
}

func newLendingPolicy(tb testing.TB, n waitNode, names, members []string) *lendingPolicy {
	l := &lendingPolicy{name: n.name, ledger: slots.New(n.name, slots.Options{})}
	l.ledger.SetEpoch(1, members)
	var workers []slots.WorkerSlots
	for _, name := range names {
		workers = append(workers, slots.WorkerSlots{Worker: name, Slots: waitSlots, Pool: "pool"})
	}
	l.ledger.SetWorkers(workers)
	s := newTest(tb, Options{Node: n.name, MaxWait: time.Hour})
	l.schedulerPolicy = newSchedulerPolicy(s, names)
	l.apply(epoch)
	return l
}

// apply sets the scheduler's slots to those that the ledger allows the node.
func (l *lendingPolicy) apply(now time.Time) {
	var workers []Worker
	for _, name := range l.names {
		w := worker(name, l.ledger.Usable(name))
		w.TotalSlots = waitSlots
		workers = append(workers, w)
	}
	l.s.SetWorkers(now, workers)
}

// next schedules requests and then exchanges slots with the other nodes.
func (l *lendingPolicy) next(now time.Time) ([]simStart, []int) {
	starts, expired := l.schedulerPolicy.next(now)
	l.tick(now)
	return starts, expired
}

func (l *lendingPolicy) tick(now time.Time) {
	var usage []slots.Usage
	for _, name := range l.names {
		usage = append(usage, slots.Usage{
			Worker: name, InProgress: l.s.InProgress(name), Waiting: l.s.Backlog(),
		})
	}
	l.send(l.name, l.ledger.Tick(now, usage))
	l.apply(now)
}

func (l *lendingPolicy) receive(now time.Time, from string, m slots.Message) {
	l.send(l.name, l.ledger.Receive(now, from, m))
	l.apply(now)
}

// sharingResult holds the results of one way to share workers.
type sharingResult struct {
	waitResult
	refusals, messages, requests, unanswered int
}

// runLending runs all pools with slots divided between the nodes and borrowing.
func runLending(tb testing.TB, members []string) *sharingResult {
	var out sharingResult
	for pool, workers := range waitWorkers {
		nodes, names := waitLayout(workers, members)
		s := &sim{requests: waitDemand(1, pool, nodes), attempt: simSucceed}
		byName := make(map[string]*lendingPolicy)
		current := epoch
		send := func(from string, sends []slots.OutgoingMessage) {
			out.messages += len(sends)
			for _, m := range sends {
				s.schedule(current.Add(peerDelay).Sub(epoch), func(now time.Time) {
					current = now
					byName[m.To].receive(now, from, m.Message)
				})
			}
		}
		for _, n := range nodes {
			l := newLendingPolicy(tb, n, names, members)
			l.send = send
			byName[n.name] = l
			s.nodes = append(s.nodes, &clockedPolicy{lendingPolicy: l, current: &current})
		}
		tick := 100 * time.Millisecond
		var tickAgain func(time.Time)
		tickAgain = func(now time.Time) {
			if current = now; now.Sub(epoch) < waitRounds*waitPools*waitTurnLength {
				s.schedule(now.Add(tick).Sub(epoch), tickAgain)
			}
		}
		s.schedule(tick, tickAgain)
		s.run()
		out.add(s.requests)
		out.requests += len(s.requests)
	}
	out.slowdown /= float64(out.longs)
	return &out
}

// clockedPolicy records the current time, which the sending of messages needs.
type clockedPolicy struct {
	*lendingPolicy
	current *time.Time
}

func (c *clockedPolicy) next(now time.Time) ([]simStart, []int) {
	*c.current = now
	return c.lendingPolicy.next(now)
}

// runOptimistic runs all pools with each node using all slots of all workers. A
// full worker refuses the request.
func runOptimistic(tb testing.TB, members []string) *sharingResult {
	var out sharingResult
	for pool, workers := range waitWorkers {
		nodes, names := waitLayout(workers, members)
		s := &sim{requests: waitDemand(1, pool, nodes)}
		s.attempt = func(_ time.Duration, r *simRequest, w int) (time.Duration, Result) {
			if s.busy[w] >= waitSlots {
				return refusalDelay, Refused
			}
			return r.run, OK
		}
		for _, n := range nodes {
			var all []Worker
			for _, name := range names {
				all = append(all, worker(name, waitSlots))
			}
			sched := newTest(tb, Options{Node: n.name, MaxWait: time.Hour}, all...)
			s.nodes = append(s.nodes, newSchedulerPolicy(sched, names))
		}
		s.run()
		out.add(s.requests)
		out.refusals += s.refusals
		out.requests += len(s.requests)
		for _, r := range s.requests {
			if r.end != simAnswered {
				out.unanswered++
			}
		}
	}
	out.slowdown /= float64(out.longs)
	return &out
}

// BenchmarkSharing compares three ways for six entry nodes to share the workers:
// divided slots, divided slots with borrowing, and optimistic sending with
// refusals by full workers.
func BenchmarkSharing(b *testing.B) {
	for b.Loop() {
		fifo := runWait(sixNodes, waitFIFO)
		shares := runWait(sixNodes, waitScheduler(b))
		lending := runLending(b, sixNodes)
		optimistic := runOptimistic(b, sixNodes)
		singleView := runWait(singleNode, waitScheduler(b))
		b.ReportMetric(fifo.p99().Seconds(), "fifo_shares_p99_wait_s")
		b.ReportMetric(shares.p99().Seconds(), "shares_p99_wait_s")
		b.ReportMetric(lending.p99().Seconds(), "borrowing_p99_wait_s")
		b.ReportMetric(optimistic.p99().Seconds(), "optimistic_p99_wait_s")
		b.ReportMetric(singleView.p99().Seconds(), "one_view_p99_wait_s")
		b.ReportMetric(float64(lending.messages)/float64(lending.requests), "borrowing_messages_per_request")
		b.ReportMetric(float64(optimistic.refusals)/float64(optimistic.requests), "optimistic_refusals_per_request")
		b.ReportMetric(float64(optimistic.unanswered)/float64(optimistic.requests), "optimistic_unanswered_share")
		b.ReportMetric(shares.slowdown/fifo.slowdown, "shares_long_slowdown_vs_fifo")
		b.ReportMetric(lending.slowdown/fifo.slowdown, "borrowing_long_slowdown_vs_fifo")
		b.ReportMetric(optimistic.slowdown/fifo.slowdown, "optimistic_long_slowdown_vs_fifo")
	}
}
