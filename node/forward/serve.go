package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is the progress of a request towards a worker.
type phase struct{ value atomic.Int32 }

// The phases of a request.
const (
	phaseWaiting int32 = iota
	phaseSent
	phaseAbandoned
)

// markSent changes the phase from waiting to sent. It reports false when the
// request was abandoned.
func (p *phase) markSent() bool { return p.value.CompareAndSwap(phaseWaiting, phaseSent) }

// unmarkSent reverts markSent.
func (p *phase) unmarkSent() { p.value.CompareAndSwap(phaseSent, phaseWaiting) }

// abandon prevents the request from being sent. It reports false when the
// request was already sent.
func (p *phase) abandon() bool { return p.value.CompareAndSwap(phaseWaiting, phaseAbandoned) }

// serve handles one request from its arrival to its response.
func (s *Server) serve(w http.ResponseWriter, httpReq *http.Request, relayed bool) {
	s.counts.arrived.Add(1)
	s.setBodyReadDeadline(w, httpReq)
	rt := s.refresh()
	if rt == nil || (s.stopping.Load() && !relayed) {
		s.respondNotReady(w, httpReq, relayed)
		return
	}
	r, res := s.parse(httpReq, rt, relayed)
	r.answers = s.cfg.Gate.HoldAnswer()
	defer r.answers.Release()
	if res != nil {
		s.respondEarly(w, r, *res)
		return
	}
	if res := s.admit(r); res != nil {
		s.respondEarly(w, r, *res)
		return
	}
	if res := s.readBody(w, r); res != nil {
		s.finishRequest(r)
		s.respondEarly(w, r, *res)
		return
	}
	ctx, cancel := context.WithDeadline(httpReq.Context(), r.Deadline)
	defer cancel()
	s.respond(w, r, s.process(ctx, rt, r))
}

// respondEarly responds to a request that is rejected before its claim.
// Unless the request is malformed, an earlier copy with the same ID may have
// run.
func (s *Server) respondEarly(w http.ResponseWriter, r *request, res result) {
	if r.ID != "" && r.needsClaim() && res.reason != ReasonMalformed {
		res = res.asUnknown()
	}
	s.respond(w, r, res)
}

func (s *Server) respondNotReady(w http.ResponseWriter, httpReq *http.Request, relayed bool) {
	r := &request{http: httpReq, relayed: relayed}
	res := s.parseID(r)
	if res == nil {
		res = parseClassAndRepeatable(r, nil)
	}
	if res == nil {
		notReady := notRunResult(http.StatusServiceUnavailable, ReasonNotReady, "this entry node takes no requests now; use another").withRetryAfter(time.Second)
		res = &notReady
	}
	s.respondEarly(w, r, *res)
}

// admit counts a request as in flight, or rejects it.
func (s *Server) admit(r *request) *result {
	if int(s.inFlight.Add(1)) > s.cfg.Limits.InProgress {
		s.inFlight.Add(-1)
		res := notRunResult(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node has its full number of requests; send again later").withRetryAfter(time.Second)
		return &res
	}
	if r.relayed {
		return nil
	}
	if res := s.teams.admit(s.cfg.Clock(), r); res != nil {
		s.inFlight.Add(-1)
		return res
	}
	return nil
}

// finishRequest reverts admit. It must be called exactly once per admitted
// request.
func (s *Server) finishRequest(r *request) {
	if r.held != nil {
		r.held.Release()
	}
	if !r.relayed {
		s.teams.finishRequest(r.Team)
	}
	s.inFlight.Add(-1)
}

// process runs an admitted request and ensures that finishRequest is called.
func (s *Server) process(ctx context.Context, rt *routes, r *request) result {
	if r.needsClaim() {
		return s.processClaimed(ctx, rt, r)
	}
	if r.Repeatable {
		defer s.finishRequest(r)
		return s.execute(ctx, ctx, rt, r)
	}
	return s.detach(ctx, r, func(runCtx context.Context) result {
		return s.execute(ctx, runCtx, rt, r)
	})
}

// handoff passes the result from a detached execution to its handler.
type handoff struct {
	lock      sync.Mutex
	abandoned bool
	done      chan result
}

// deliver passes the result to the handler. It reports false when the handler
// has already returned.
func (h *handoff) deliver(res result) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.abandoned {
		return false
	}
	h.done <- res
	return true
}

// abandon returns the result if it has been delivered; otherwise it marks the
// handler as returned.
func (h *handoff) abandon() (result, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	select {
	case res := <-h.done:
		return res, true
	default:
		h.abandoned = true
		return result{}, false
	}
}

// detach runs work that must not be interrupted when its caller disconnects
// or its deadline passes. At the first of these two events, the handler
// stops waiting for a request that was already sent, and abandons a request
// that was not.
func (s *Server) detach(ctx context.Context, r *request, work func(context.Context) result) result {
	h := &handoff{done: make(chan result, 1)}
	s.detached.Add(1)
	r.answers.Keep()
	go func() {
		defer s.detached.Done()
		defer r.answers.Release()
		defer s.finishRequest(r)
		runDeadline := r.Deadline.Add(s.cfg.Limits.MaxOverrun)
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), runDeadline)
		defer cancel()
		res := work(runCtx)
		if !h.deliver(res) && res.stream != nil {
			res.stream.discard()
		}
		if res.stream != nil {
			<-res.stream.closed
		}
	}()
	return s.awaitDetached(ctx, r, h)
}

func (s *Server) awaitDetached(ctx context.Context, r *request, h *handoff) result {
	select {
	case res := <-h.done:
		return res
	case <-ctx.Done():
	}
	if r.phase.abandon() {
		return <-h.done
	}
	if res, ok := h.abandon(); ok {
		return res
	}
	return unknownResult(http.StatusGatewayTimeout, ReasonDeadline, "the work is still in progress; send again with the same id to get its answer")
}
