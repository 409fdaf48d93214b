package scheduler

import (
	"testing"
	"time"

	"wigeonwinch/dispatch/slots"
)

// peerDelay is the time of a message between entry nodes, one way.
const peerDelay = 1500 * time.Microsecond

// refusalDelay is the time of a request that a worker refuses, both ways.
const refusalDelay = 3 * time.Millisecond

// lender is a node that borrows and lends slots.
type lender struct {
	*ours
	name   string
	ledger *slots.Ledger
	send   func(from string, sends []slots.Send)
}

func newLender(tb testing.TB, n waitNode, names, members []string) *lender {
	l := &lender{name: n.name, ledger: slots.New(n.name, slots.Options{})}
	l.ledger.SetEpoch(1, members)
	var sizes []slots.Size
	for _, name := range names {
		sizes = append(sizes, slots.Size{Worker: name, Slots: waitSlots, Pool: "pool"})
	}
	l.ledger.SetWorkers(sizes)
	s := newTest(tb, Options{Node: n.name, MaxWait: time.Hour})
	l.ours = newOurs(s, names)
	l.apply(epoch)
	return l
}

// apply gives the scheduler the slots that the ledger allows.
func (l *lender) apply(now time.Time) {
	var workers []Worker
	for _, name := range l.names {
		w := worker(name, l.ledger.Usable(name))
		w.TotalSlots = waitSlots
		workers = append(workers, w)
	}
	l.s.SetWorkers(now, workers)
}

// next exchanges slots and then schedules.
func (l *lender) next(now time.Time) ([]simStart, []int) {
	starts, expired := l.ours.next(now)
	l.tick(now)
	return starts, expired
}

func (l *lender) tick(now time.Time) {
	var usage []slots.Usage
	for _, name := range l.names {
		usage = append(usage, slots.Usage{
			Worker: name, InProgress: l.s.InProgress(name), Waiting: l.s.Backlog(),
		})
	}
	l.send(l.name, l.ledger.Tick(now, usage))
	l.apply(now)
}

func (l *lender) receive(now time.Time, from string, m slots.Message) {
	l.send(l.name, l.ledger.Receive(now, from, m))
	l.apply(now)
}

// sharingResult are the figures of one way to share workers.
type sharingResult struct {
	waitResult
	refusals, messages, requests, unanswered int
}

// runLending runs all pools with shares and borrowing between the nodes.
func runLending(tb testing.TB, members []string) *sharingResult {
	var out sharingResult
	for pool, workers := range waitWorkers {
		nodes, names := waitLayout(workers, members)
		s := &sim{requests: waitDemand(1, pool, nodes), attempt: simPlain}
		byName := make(map[string]*lender)
		current := epoch
		send := func(from string, sends []slots.Send) {
			out.messages += len(sends)
			for _, m := range sends {
				s.do(current.Add(peerDelay).Sub(epoch), func(now time.Time) {
					current = now
					byName[m.To].receive(now, from, m.Message)
				})
			}
		}
		for _, n := range nodes {
			l := newLender(tb, n, names, members)
			l.send = send
			byName[n.name] = l
			s.nodes = append(s.nodes, &clocked{lender: l, current: &current})
		}
		tick := 100 * time.Millisecond
		var again func(time.Time)
		again = func(now time.Time) {
			if current = now; now.Sub(epoch) < waitRounds*waitPools*waitTurn {
				s.do(now.Add(tick).Sub(epoch), again)
			}
		}
		s.do(tick, again)
		s.run()
		out.add(s.requests)
		out.requests += len(s.requests)
	}
	out.slowdown /= float64(out.longs)
	return &out
}

// clocked notes the time for messages sent within a step.
type clocked struct {
	*lender
	current *time.Time
}

func (c *clocked) next(now time.Time) ([]simStart, []int) {
	*c.current = now
	return c.lender.next(now)
}

// runOptimistic lets each node use all slots of all workers; a worker that is
// full refuses.
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
			s.nodes = append(s.nodes, newOurs(sched, names))
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

// BenchmarkSharing compares ways for six entry nodes to share the workers:
// shares only, shares with borrowing, and optimistic sending with refusals.
func BenchmarkSharing(b *testing.B) {
	for b.Loop() {
		fifo := runWait(sixNodes, waitFIFO)
		shares := runWait(sixNodes, waitOurs(b))
		lending := runLending(b, sixNodes)
		optimistic := runOptimistic(b, sixNodes)
		one := runWait(onePoolView, waitOurs(b))
		b.ReportMetric(fifo.p99().Seconds(), "fifo_shares_p99_wait_s")
		b.ReportMetric(shares.p99().Seconds(), "shares_p99_wait_s")
		b.ReportMetric(lending.p99().Seconds(), "borrowing_p99_wait_s")
		b.ReportMetric(optimistic.p99().Seconds(), "optimistic_p99_wait_s")
		b.ReportMetric(one.p99().Seconds(), "one_view_p99_wait_s")
		b.ReportMetric(float64(lending.messages)/float64(lending.requests), "borrowing_messages_per_request")
		b.ReportMetric(float64(optimistic.refusals)/float64(optimistic.requests), "optimistic_refusals_per_request")
		b.ReportMetric(float64(optimistic.unanswered)/float64(optimistic.requests), "optimistic_unanswered_share")
		b.ReportMetric(shares.slowdown/fifo.slowdown, "shares_long_slowdown_vs_fifo")
		b.ReportMetric(lending.slowdown/fifo.slowdown, "borrowing_long_slowdown_vs_fifo")
		b.ReportMetric(optimistic.slowdown/fifo.slowdown, "optimistic_long_slowdown_vs_fifo")
	}
}
