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

// execute runs a request in this zone, or relays it to another one. waitCtx
// applies while the request waits, runCtx once it is sent.
func (s *Server) execute(waitCtx, runCtx context.Context, rt *routes, r *request) result {
	res := s.executeInZone(waitCtx, runCtx, rt, r)
	if r.relayed || !relayable(res) {
		return res
	}
	return s.executeInOtherZones(waitCtx, runCtx, rt, r, res)
}

// relayable reports whether another zone may succeed after this result.
func relayable(res result) bool {
	if res.outcome != dispatch.OutcomeNotRun {
		return false
	}
	switch res.reason {
	case Reason(dispatch.RefusedNoWorker), Reason(dispatch.RefusedQueueFull), ReasonNoConnection, ReasonWorkerRefused:
		return true
	}
	return false
}

// executeInZone runs a request on a worker of this node's zone.
func (s *Server) executeInZone(waitCtx, runCtx context.Context, rt *routes, r *request) result {
	p := s.pool(r.Pool)
	if p == nil {
		return notRunResult(http.StatusServiceUnavailable, Reason(dispatch.RefusedUnknownPool), "the service's pool does not exist; check the manifest")
	}
	if !slices.Contains(rt.activeZones[r.Pool], s.cfg.Zone) {
		return noWorkerResult()
	}
	if r.Repeatable {
		p.countRequest()
	}
	res, retryable := s.attempt(waitCtx, runCtx, p, r)
	for n := 1; retryable && n < s.cfg.Limits.Attempts && p.takeRetry(); n++ {
		if !pause.For(waitCtx, retry.Backoff(n, rand.Uint64())) {
			return res
		}
		s.counts.retried.Add(1)
		var next result
		next, retryable = s.attempt(waitCtx, runCtx, p, r)
		res = mergeResults(res, next)
	}
	return res
}

// mergeResults returns the result of a request after another attempt. An
// attempt that did not run does not replace the result of an earlier one that
// did.
func mergeResults(earlier, latest result) result {
	if latest.outcome == dispatch.OutcomeNotRun {
		return earlier
	}
	if latest.outcome == dispatch.OutcomeUnknown && earlier.outcome == dispatch.OutcomeAnswered {
		return earlier
	}
	return latest
}

func noWorkerResult() result {
	return notRunResult(http.StatusServiceUnavailable, Reason(dispatch.RefusedNoWorker), "no worker of the pool is in reach; send again later").withRetryAfter(time.Second)
}

// attempt queues a request once and sends it. It returns retryable when the
// request is repeatable and another attempt may succeed.
func (s *Server) attempt(waitCtx, runCtx context.Context, p *pool, r *request) (res result, retryable bool) {
	wt, refusal := p.submit(&r.Request)
	if refusal != nil {
		return refusedResult(refusal), false
	}
	if wt.isAssigned() {
		return s.awaitAndSend(waitCtx, runCtx, p, wt, r)
	}
	if r.immediate {
		p.cancel(wt)
		return busyResult(), false
	}
	peer, ok := s.takeRemoteSlot(r)
	if !ok {
		return s.awaitAndSend(waitCtx, runCtx, p, wt, r)
	}
	p.cancel(wt)
	if x := s.sendImmediate(runCtx, r, peer); x.kind != exchangeNotRun {
		res := r.countLost(x)
		return res, x.kind == exchangeLost && r.Repeatable && !x.canceled && r.workersLost < maxWorkersLost
	}
	wt, refusal = p.submit(&r.Request)
	if refusal != nil {
		return refusedResult(refusal), false
	}
	return s.awaitAndSend(waitCtx, runCtx, p, wt, r)
}

// awaitAndSend waits until the scheduler assigns a worker, and sends the
// request to it.
func (s *Server) awaitAndSend(waitCtx, runCtx context.Context, p *pool, wt *waiter, r *request) (res result, retryable bool) {
	for {
		a, ok := p.await(waitCtx, wt)
		if !ok {
			return s.interruptedResult(waitCtx), false
		}
		if a.expired {
			return notRunResult(http.StatusGatewayTimeout, ReasonDeadline, "no worker was free before the deadline; send again later").withRetryAfter(time.Second), false
		}
		x := s.sendToWorker(runCtx, r, a.worker)
		if x.kind != exchangeNotRun {
			return s.finishExchange(p, wt, r, x)
		}
		if x.result.reason == ReasonCanceled {
			p.finish(wt, scheduler.Canceled)
			return x.result, false
		}
		if !p.requeue(wt, a.worker) {
			return x.result, false
		}
	}
}

// interruptedResult returns the result of a request whose caller
// disconnected, or whose deadline passed, while it waited.
func (s *Server) interruptedResult(waitCtx context.Context) result {
	if waitCtx.Err() == context.DeadlineExceeded {
		return notRunResult(http.StatusGatewayTimeout, ReasonDeadline, "no worker was free before the deadline; send again later").withRetryAfter(time.Second)
	}
	return notRunResult(statusClientClosedRequest, ReasonCanceled, "the caller went away before the work was sent")
}

// statusClientClosedRequest is the status for a caller that has disconnected
// and does not read it.
const statusClientClosedRequest = 499

// finishExchange reports the outcome of a request that may have run to the
// scheduler. For a stream it does so when the stream ends.
func (s *Server) finishExchange(p *pool, wt *waiter, r *request, x exchange) (result, bool) {
	switch x.kind {
	case exchangeStreaming:
		x.result.stream.onEnd = func(complete bool) {
			if complete {
				p.finish(wt, scheduler.OK)
				return
			}
			p.finish(wt, scheduler.Failed)
		}
		return x.result, false
	case exchangeAnswered:
		failed := x.result.answer.status >= http.StatusInternalServerError
		p.finish(wt, schedulerResult(failed))
		return x.result, failed && r.Repeatable
	}
	if x.canceled {
		p.finish(wt, scheduler.Canceled)
		return x.result, false
	}
	p.finish(wt, scheduler.Lost)
	res := r.countLost(x)
	return res, r.Repeatable && r.workersLost < maxWorkersLost
}

// countLost counts the worker that was lost in an exchange, if one was, and
// returns the result for the caller.
func (r *request) countLost(x exchange) result {
	if x.kind != exchangeLost || x.canceled {
		return x.result
	}
	switch x.result.reason {
	case ReasonAnswerLost:
		r.workersLost++
	case ReasonWorkersLost:
		r.workersLost = maxWorkersLost
	}
	if r.workersLost >= maxWorkersLost {
		return workersLostResult()
	}
	return x.result
}

func schedulerResult(failed bool) scheduler.Result {
	if failed {
		return scheduler.Failed
	}
	return scheduler.OK
}

// sendToWorker sends a request to a worker and reads its answer.
func (s *Server) sendToWorker(runCtx context.Context, r *request, worker string) exchange {
	vm, ok := s.latestView.Load().VMByID(worker)
	if !ok {
		return exchange{kind: exchangeNotRun, result: noWorkerResult()}
	}
	t := target{worker: worker, address: vm.Address, fresh: s.signals.suspect(s.cfg.Clock(), worker)}
	return s.exchange(runCtx, r, t)
}
