package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/claims"
	"wigeonwinch/node/pause"
)

// claim is a request's claim at its home.
type claim struct {
	key         claims.Key
	fingerprint uint64
	token       uint64
}

// The pauses between two tries at a home, and between two looks at the
// first copy of a duplicate.
const (
	minClaimPause = 10 * time.Millisecond
	maxClaimPause = 250 * time.Millisecond
)

// claimRounds bounds how often a duplicate whose first copy is gone claims
// the id anew.
const claimRounds = 3

// processClaimed claims a request that is not repeatable, runs it when the
// claim is granted, and else gives it the end of the earlier copy.
func (s *Server) processClaimed(ctx context.Context, rt *routes, r *request) ending {
	r.claim.key = claims.KeyOf(r.Team, r.ID)
	r.claim.fingerprint = claims.FingerprintOf(r.http.Method, r.uri, r.body)
	var last holder
	for range claimRounds {
		first, e := s.tryClaim(ctx, rt, r)
		if e != nil {
			s.leave(r)
			return *e
		}
		if first == (holder{}) {
			return s.runClaimed(ctx, rt, r)
		}
		if first == last {
			break
		}
		last = first
		e, again := s.awaitFirst(ctx, r, first)
		if !again {
			s.leave(r)
			return *e
		}
	}
	s.leave(r)
	return duplicateUnknown()
}

// holder names an earlier copy of a request.
type holder struct {
	member claims.Member
	token  uint64
}

func duplicateUnknown() ending {
	return unknown(http.StatusConflict, ReasonDuplicate, "an earlier copy of this request may have run, and its answer is not held any more")
}

// tryClaim claims once. A zero holder and no end mean that it is granted.
func (s *Server) tryClaim(ctx context.Context, rt *routes, r *request) (holder, *ending) {
	began, token := s.claims.begin(s.cfg.Clock(), r.claim.key, r.claim.fingerprint)
	switch began {
	case claims.BeginDuplicate:
		return holder{member: s.self, token: token}, nil
	case claims.BeginMismatch:
		return holder{}, idReused()
	case claims.BeginFull:
		e := unknown(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node holds too many works; send again later with the same id").after(time.Second)
		return holder{}, &e
	}
	r.claim.token = token
	reply, reached := s.claimAtHome(ctx, r)
	if reply.Verdict == claims.Granted {
		return holder{}, nil
	}
	s.claims.forget(r.claim.key, token)
	if !reached {
		s.release(r)
	}
	if reply.Verdict == claims.Duplicate {
		return holder{member: reply.Holder, token: reply.Token}, nil
	}
	e := claimRefused(reply.Verdict)
	return holder{}, &e
}

func idReused() *ending {
	e := notRun(http.StatusUnprocessableEntity, ReasonIDReused, "the request id stands for other work; send this work under an id of its own")
	return &e
}

// claimRefused is the end of a request whose claim was not granted.
func claimRefused(v claims.Verdict) ending {
	switch v {
	case claims.Mismatch:
		return *idReused()
	case claims.Full:
		return notRun(http.StatusServiceUnavailable, ReasonHomeBusy, "the id's home has no room for more claims; send again later").after(time.Second)
	case claims.Expired:
		return unknown(http.StatusConflict, ReasonExpiredID, "the id is too old to tell whether it ran before; ask the service whether the work was done")
	case claims.FromFuture:
		return unknown(http.StatusConflict, ReasonExpiredID, "the id's issue time lies in the future; correct the clock that issued it")
	}
	return unknown(http.StatusServiceUnavailable, ReasonHomeAway, "the id's home is out of reach ("+v.String()+"); send again with the same id").after(time.Second)
}

// runClaimed runs a request whose claim is granted.
func (s *Server) runClaimed(ctx context.Context, rt *routes, r *request) ending {
	return s.detach(ctx, r, func(run context.Context) ending {
		e := s.execute(ctx, run, rt, r)
		return s.endClaim(r, e)
	})
}

// endClaim closes the work in the book, and gives the claim back when it has
// not run.
func (s *Server) endClaim(r *request, e ending) ending {
	if s.claims.off {
		return e
	}
	now := s.cfg.Clock()
	if e.outcome == dispatch.OutcomeNotRun {
		if s.claims.drop(now, r) {
			s.release(r)
			return e
		}
		s.violated(r, "a request that was sent was about to be called not run")
		e = unknown(http.StatusBadGateway, ReasonViolation, "the work may have run; send again with the same id")
	}
	s.claims.end(now, r, s.heldAnswer(e))
	return e
}

// heldAnswer returns what is kept of an end for duplicates; nil for nothing.
func (s *Server) heldAnswer(e ending) *claims.Answer {
	if e.answer == nil || e.stream != nil || len(e.answer.body) > s.cfg.Limits.AnswerHeldBytes {
		return nil
	}
	held := &claims.Answer{Status: e.answer.status, Body: e.answer.body}
	for name, values := range e.answer.header {
		for _, value := range values {
			held.Header = append(held.Header, claims.HeaderRow{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(held.Header, func(a, b claims.HeaderRow) int { return cmpText(a.Name, b.Name) })
	return held
}

func (c *claimSide) drop(now time.Time, r *request) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.book.Drop(now, r.claim.key, r.claim.token)
}

func (c *claimSide) end(now time.Time, r *request, held *claims.Answer) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.book.End(now, r.claim.key, r.claim.token, held)
}

// awaitFirst waits for the end of an earlier copy. Again says that the
// earlier copy is not known to its holder, so that the id may be free.
func (s *Server) awaitFirst(ctx context.Context, r *request, first holder) (e *ending, again bool) {
	failures := 0
	for delay := minClaimPause; ; delay = min(2*delay, maxClaimPause) {
		look, found, err := s.lookAt(ctx, r.claim.key, first)
		switch {
		case err != nil:
			failures++
		case !found:
			return nil, true
		default:
			failures = 0
			if e := endOfFirst(look); e != nil {
				return e, false
			}
		}
		if failures >= maxLookFailures || !pause.For(ctx, delay) {
			e := duplicateUnknown()
			e.detail = "an earlier copy of this request may be in progress; send again later with the same id"
			return &e, false
		}
	}
}

// maxLookFailures is after how many failures the holder counts as gone.
const maxLookFailures = 5

// endOfFirst turns the state of the first copy into the duplicate's end; nil
// while it is in progress.
func endOfFirst(look claims.Look) *ending {
	var e ending
	switch look.State {
	case claims.Answered:
		e = answered(answerOf(look.Answer))
		e.duplicate = true
	case claims.Lost:
		e = duplicateUnknown()
	case claims.NotRun:
		e = notRun(http.StatusServiceUnavailable, ReasonDuplicate, "an earlier copy of this request ended without running; send again with the same id").after(time.Second)
	default:
		return nil
	}
	return &e
}

func answerOf(held *claims.Answer) *answer {
	a := &answer{status: held.Status, header: make(http.Header, len(held.Header)), body: held.Body}
	for _, row := range held.Header {
		a.header[row.Name] = append(a.header[row.Name], row.Value)
	}
	return a
}
