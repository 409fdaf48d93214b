package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/retry"
	"wigeonwinch/dispatch/scheduler"
	"wigeonwinch/node/pause"
)

// execute runs a request in this zone, or passes it on to another. While it
// waits it heeds wait; once it is sent it heeds run.
func (s *Server) execute(wait, run context.Context, rt *routes, r *request) ending {
	e := s.executeHere(wait, run, rt, r)
	if r.relayed || !relayable(e) {
		return e
	}
	return s.executeElsewhere(wait, run, rt, r, e)
}

// relayable says whether another zone may do better.
func relayable(e ending) bool {
	if e.outcome != dispatch.OutcomeNotRun {
		return false
	}
	switch e.reason {
	case Reason(dispatch.RefusedNoWorker), Reason(dispatch.RefusedQueueFull), ReasonNoConnection, ReasonWorkerRefused:
		return true
	}
	return false
}

// executeHere runs a request on a worker of this node's zone.
func (s *Server) executeHere(wait, run context.Context, rt *routes, r *request) ending {
	p := s.pool(r.Pool)
	if p == nil {
		return notRun(http.StatusServiceUnavailable, Reason(dispatch.RefusedUnknown), "the service's pool does not exist; check the manifest")
	}
	if !slices.Contains(rt.reach[r.Pool], s.cfg.Zone) {
		return noWorker()
	}
	if r.Repeatable {
		p.countFirst()
	}
	e, again := s.attempt(wait, run, p, r)
	for n := 1; again && n < s.cfg.Limits.Attempts && p.mayRetry(); n++ {
		if !pause.For(wait, retry.Delay(n, rand.Uint64())) {
			return e
		}
		s.counts.retried.Add(1)
		var next ending
		next, again = s.attempt(wait, run, p, r)
		e = truest(e, next)
	}
	return e
}

// truest returns the end of a request after a further attempt: an attempt
// that has not run doesn't undo what an earlier one did.
func truest(former, next ending) ending {
	if next.outcome == dispatch.OutcomeNotRun {
		return former
	}
	if next.outcome == dispatch.OutcomeUnknown && former.outcome == dispatch.OutcomeAnswered {
		return former
	}
	return next
}

func noWorker() ending {
	return notRun(http.StatusServiceUnavailable, Reason(dispatch.RefusedNoWorker), "no worker of the pool is in reach; send again later").after(time.Second)
}

// attempt queues a request once and sends it. Again says that the work is
// repeatable and another attempt may do better.
func (s *Server) attempt(wait, run context.Context, p *pool, r *request) (e ending, again bool) {
	pl, refusal := p.submit(&r.Request)
	if refusal != nil {
		return refused(refusal), false
	}
	if pl.startsAtOnce() {
		return s.attemptAt(wait, run, p, pl, r)
	}
	if r.atOnce {
		p.cancel(pl)
		return busy(), false
	}
	peer, ok := s.takeSpare(r)
	if !ok {
		return s.attemptAt(wait, run, p, pl, r)
	}
	p.cancel(pl)
	if x := s.sendSpare(run, r, peer); x.kind != exchangeNotRun {
		return x.end, x.kind == exchangeLost && r.Repeatable && !x.canceled
	}
	pl, refusal = p.submit(&r.Request)
	if refusal != nil {
		return refused(refusal), false
	}
	return s.attemptAt(wait, run, p, pl, r)
}

// attemptAt waits at a place and sends the request from there.
func (s *Server) attemptAt(wait, run context.Context, p *pool, pl *place, r *request) (e ending, again bool) {
	for {
		a, ok := p.await(wait, pl)
		if !ok {
			return s.gaveUp(wait), false
		}
		if a.expired {
			return notRun(http.StatusGatewayTimeout, ReasonDeadline, "no worker was free before the deadline; send again later").after(time.Second), false
		}
		x := s.sendTo(run, r, a.worker)
		if x.kind != exchangeNotRun {
			return s.settle(p, pl, r, x)
		}
		if x.end.reason == ReasonCanceled {
			p.finish(pl, scheduler.Canceled)
			return x.end, false
		}
		if !p.requeue(pl, a.worker) {
			return x.end, false
		}
	}
}

// gaveUp is the end of a request whose caller left, or whose time ran out,
// while it waited.
func (s *Server) gaveUp(wait context.Context) ending {
	if wait.Err() == context.DeadlineExceeded {
		return notRun(http.StatusGatewayTimeout, ReasonDeadline, "no worker was free before the deadline; send again later").after(time.Second)
	}
	return notRun(statusClientClosed, ReasonCanceled, "the caller went away before the work was sent")
}

// statusClientClosed is the status of an end that nobody reads.
const statusClientClosed = 499

// settle ends the ticket of a request that may have run.
func (s *Server) settle(p *pool, pl *place, r *request, x exchange) (ending, bool) {
	switch x.kind {
	case exchangeStream:
		x.end.stream.onEnd = func(whole bool) {
			if whole {
				p.finish(pl, scheduler.OK)
				return
			}
			p.finish(pl, scheduler.Failed)
		}
		return x.end, false
	case exchangeAnswer:
		failed := x.end.answer.status >= http.StatusInternalServerError
		p.finish(pl, resultOf(failed))
		return x.end, failed && r.Repeatable
	}
	if x.canceled {
		p.finish(pl, scheduler.Canceled)
		return x.end, false
	}
	p.finish(pl, scheduler.Lost)
	return x.end, r.Repeatable
}

func resultOf(failed bool) scheduler.Result {
	if failed {
		return scheduler.Failed
	}
	return scheduler.OK
}

// sendTo sends a request to a worker and reads its answer.
func (s *Server) sendTo(run context.Context, r *request, worker string) exchange {
	vm, ok := s.latest.Load().VMByID(worker)
	if !ok {
		return exchange{kind: exchangeNotRun, end: noWorker()}
	}
	t := target{worker: worker, address: vm.Address, fresh: s.signs.suspect(s.cfg.Clock(), worker)}
	return s.exchange(run, r, t)
}
