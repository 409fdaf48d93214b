package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is how far a request has come towards a worker.
type phase struct{ value atomic.Int32 }

// The phases of a request.
const (
	phaseWaiting int32 = iota
	phaseSent
	phaseAbandoned
)

// send moves from waiting to sent. It reports false when the caller left.
func (p *phase) send() bool { return p.value.CompareAndSwap(phaseWaiting, phaseSent) }

// unsent takes a send back.
func (p *phase) unsent() { p.value.CompareAndSwap(phaseSent, phaseWaiting) }

// abandon keeps the request from being sent. It reports false when it was.
func (p *phase) abandon() bool { return p.value.CompareAndSwap(phaseWaiting, phaseAbandoned) }

// serve takes one request from its arrival to its end.
func (s *Server) serve(w http.ResponseWriter, h *http.Request, relayed bool) {
	s.counts.arrived.Add(1)
	s.limitBody(w, h)
	rt := s.refresh()
	if rt == nil || (s.stopping.Load() && !relayed) {
		s.respondNotReady(w, h, relayed)
		return
	}
	r, e := s.parse(h, rt, relayed)
	if e != nil {
		s.respondEarly(w, r, *e)
		return
	}
	if e := s.enter(r); e != nil {
		s.respondEarly(w, r, *e)
		return
	}
	if e := s.readBody(w, r); e != nil {
		s.leave(r)
		s.respondEarly(w, r, *e)
		return
	}
	ctx, cancel := context.WithDeadline(h.Context(), r.Deadline)
	defer cancel()
	s.respond(w, r, s.process(ctx, rt, r))
}

// respondEarly ends a request before its claim. An earlier copy of the same
// id may have run, unless the request is malformed.
func (s *Server) respondEarly(w http.ResponseWriter, r *request, e ending) {
	if r.ID != "" && r.claimed() && e.reason != ReasonMalformed {
		e = e.asUnknown()
	}
	s.respond(w, r, e)
}

func (s *Server) respondNotReady(w http.ResponseWriter, h *http.Request, relayed bool) {
	r := &request{http: h, relayed: relayed}
	e := s.parseID(r)
	if e == nil {
		e = parseMarks(r, nil)
	}
	if e == nil {
		busy := notRun(http.StatusServiceUnavailable, ReasonNotReady, "this entry node takes no requests now; use another").after(time.Second)
		e = &busy
	}
	s.respondEarly(w, r, *e)
}

// enter counts a request in, or refuses it.
func (s *Server) enter(r *request) *ending {
	if int(s.inFlight.Add(1)) > s.cfg.Limits.InProgress {
		s.inFlight.Add(-1)
		e := notRun(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node has its full number of requests; send again later").after(time.Second)
		return &e
	}
	if r.relayed {
		return nil
	}
	if e := s.teams.enter(s.cfg.Clock(), r); e != nil {
		s.inFlight.Add(-1)
		return e
	}
	return nil
}

// leave counts a request out, once.
func (s *Server) leave(r *request) {
	s.bodyBytes.Add(-int64(len(r.body)))
	if !r.relayed {
		s.teams.leave(r.Team)
	}
	s.inFlight.Add(-1)
}

// process runs an admitted request. It sees to it that leave is called.
func (s *Server) process(ctx context.Context, rt *routes, r *request) ending {
	if r.claimed() {
		return s.processClaimed(ctx, rt, r)
	}
	if r.Repeatable {
		defer s.leave(r)
		return s.execute(ctx, ctx, rt, r)
	}
	return s.detach(ctx, r, func(run context.Context) ending {
		return s.execute(ctx, run, rt, r)
	})
}

// handoff passes an end from a detached work to its handler.
type handoff struct {
	lock sync.Mutex
	left bool
	done chan ending
}

// deliver reports false when the handler has left.
func (h *handoff) deliver(e ending) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.left {
		return false
	}
	h.done <- e
	return true
}

// abandon takes the end if it is there, and leaves otherwise.
func (h *handoff) abandon() (ending, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	select {
	case e := <-h.done:
		return e, true
	default:
		h.left = true
		return ending{}, false
	}
}

// detach runs work that must not be cut when its caller goes away or its
// deadline passes. The handler waits only until then.
func (s *Server) detach(ctx context.Context, r *request, work func(context.Context) ending) ending {
	h := &handoff{done: make(chan ending, 1)}
	s.detached.Add(1)
	go func() {
		defer s.detached.Done()
		defer s.leave(r)
		latest := r.Deadline.Add(s.cfg.Limits.OverrunTime)
		run, cancel := context.WithDeadline(context.WithoutCancel(ctx), latest)
		defer cancel()
		e := work(run)
		if !h.deliver(e) && e.stream != nil {
			e.stream.discard()
		}
		if e.stream != nil {
			<-e.stream.closed
		}
	}()
	return s.awaitDetached(ctx, r, h)
}

func (s *Server) awaitDetached(ctx context.Context, r *request, h *handoff) ending {
	select {
	case e := <-h.done:
		return e
	case <-ctx.Done():
	}
	if r.phase.abandon() {
		return <-h.done
	}
	if e, ok := h.abandon(); ok {
		return e
	}
	return unknown(http.StatusGatewayTimeout, ReasonDeadline, "the work is still in progress; send again with the same id to get its answer")
}
