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

// claim is the claim of a request at the home node of its ID.
type claim struct {
	key         claims.Key
	fingerprint uint64
	token       uint64
}

// The backoff between two claim attempts at a home node, and between two
// lookups of the earlier copy of a duplicate.
const (
	minClaimBackoff = 10 * time.Millisecond
	maxClaimBackoff = 250 * time.Millisecond
)

// maxClaimRounds is the maximum number of times that a duplicate claims its
// ID after the holder of the earlier copy no longer knows that copy.
const maxClaimRounds = 3

// processClaimed claims a non-repeatable request. It executes the request
// when the claim is granted; otherwise it returns the result of the earlier
// copy.
func (s *Server) processClaimed(ctx context.Context, rt *routes, r *request) result {
	r.claim.key = claims.NewKey(r.Team, r.ID)
	r.claim.fingerprint = claims.Fingerprint(r.http.Method, r.uri, r.body)
	var previous earlierCopy
	for range maxClaimRounds {
		earlier, ended := s.tryClaim(ctx, rt, r)
		if ended != nil {
			s.finishRequest(r)
			return *ended
		}
		if earlier == (earlierCopy{}) {
			return s.executeClaimed(ctx, rt, r)
		}
		if earlier == previous {
			break
		}
		previous = earlier
		ended, reclaim := s.awaitEarlierCopy(ctx, r, earlier)
		if !reclaim {
			s.finishRequest(r)
			return *ended
		}
	}
	s.finishRequest(r)
	return duplicateUnknownResult()
}

// earlierCopy identifies an earlier copy of a request by the entry node that
// holds its claim and the claim's token.
type earlierCopy struct {
	member claims.Member
	token  uint64
}

func duplicateUnknownResult() result {
	return unknownResult(http.StatusConflict, ReasonDuplicate, "an earlier copy of this request may have run, and its answer is not held any more")
}

// tryClaim makes one claim. A zero earlierCopy and a nil result mean that the
// claim was granted.
func (s *Server) tryClaim(ctx context.Context, rt *routes, r *request) (earlierCopy, *result) {
	begin, token := s.claims.begin(s.cfg.Clock(), r.claim.key, r.claim.fingerprint)
	switch begin {
	case claims.BeginDuplicate:
		return earlierCopy{member: s.self, token: token}, nil
	case claims.BeginMismatch:
		return earlierCopy{}, idReusedResult()
	case claims.BeginFull:
		res := unknownResult(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node holds too many works; send again later with the same id").withRetryAfter(time.Second)
		return earlierCopy{}, &res
	}
	r.claim.token = token
	reply, certain := s.claimAtHome(ctx, r)
	if reply.Verdict == claims.Granted {
		return earlierCopy{}, nil
	}
	s.claims.discard(r.claim.key, token)
	if !certain {
		s.releaseClaim(r)
	}
	if reply.Verdict == claims.Duplicate {
		return earlierCopy{member: reply.Holder, token: reply.Token}, nil
	}
	res := claimRefusedResult(reply.Verdict)
	return earlierCopy{}, &res
}

func idReusedResult() *result {
	res := notRunResult(http.StatusUnprocessableEntity, ReasonIDReused, "the request id stands for other work; send this work under an id of its own")
	return &res
}

// claimRefusedResult returns the result of a request whose claim was not
// granted.
func claimRefusedResult(v claims.Verdict) result {
	switch v {
	case claims.Mismatch:
		return *idReusedResult()
	case claims.Full:
		return notRunResult(http.StatusServiceUnavailable, ReasonClaimsFull, "the id's home has no room for more claims; send again later").withRetryAfter(time.Second)
	case claims.Expired:
		return unknownResult(http.StatusConflict, ReasonExpiredID, "the id is too old to tell whether it ran before; ask the service whether the work was done")
	case claims.FromFuture:
		return unknownResult(http.StatusConflict, ReasonExpiredID, "the id's issue time lies in the future; correct the clock that issued it")
	}
	return unknownResult(http.StatusServiceUnavailable, ReasonHomeUnreachable, "the id's home is out of reach ("+v.String()+"); send again with the same id").withRetryAfter(time.Second)
}

// executeClaimed executes a request whose claim was granted.
func (s *Server) executeClaimed(ctx context.Context, rt *routes, r *request) result {
	return s.detach(ctx, r, func(runCtx context.Context) result {
		res := s.execute(ctx, runCtx, rt, r)
		return s.finishClaim(r, res)
	})
}

// finishClaim finishes the execution of a claimed request, and releases the
// claim if the request did not run.
func (s *Server) finishClaim(r *request, res result) result {
	if s.claims.disabled {
		return res
	}
	now := s.cfg.Clock()
	if res.outcome == dispatch.OutcomeNotRun {
		if s.claims.endNotRun(now, r) {
			s.releaseClaim(r)
			return res
		}
		s.recordViolation(r, "a request that was sent was about to get the outcome not-run")
		res = unknownResult(http.StatusBadGateway, ReasonViolation, "the work may have run; send again with the same id")
	}
	s.claims.end(now, r, s.retainedAnswer(res))
	return res
}

// retainedAnswer returns the answer to retain for duplicates, or nil if none
// is retained.
func (s *Server) retainedAnswer(res result) *claims.Answer {
	if res.answer == nil || res.stream != nil || len(res.answer.body) > s.cfg.Limits.RetainedAnswerBytes {
		return nil
	}
	retained := &claims.Answer{Status: res.answer.status, Body: res.answer.body}
	for name, values := range res.answer.header {
		for _, value := range values {
			retained.Header = append(retained.Header, claims.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(retained.Header, func(a, b claims.HeaderField) int { return compareStrings(a.Name, b.Name) })
	return retained
}

func (c *claimState) endNotRun(now time.Time, r *request) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.executions.EndNotRun(now, r.claim.key, r.claim.token)
}

func (c *claimState) end(now time.Time, r *request, retained *claims.Answer) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.executions.End(now, r.claim.key, r.claim.token, retained)
}

// awaitEarlierCopy waits for the result of an earlier copy. It returns
// reclaim when the holder does not know the earlier copy, so that the ID may
// be free.
func (s *Server) awaitEarlierCopy(ctx context.Context, r *request, earlier earlierCopy) (res *result, reclaim bool) {
	failures := 0
	for delay := minClaimBackoff; ; delay = min(2*delay, maxClaimBackoff) {
		status, found, err := s.lookUpCopy(ctx, r.claim.key, earlier)
		switch {
		case err != nil:
			failures++
		case !found:
			return nil, true
		default:
			failures = 0
			if res := resultOfEarlierCopy(status); res != nil {
				return res, false
			}
		}
		if failures >= maxLookupFailures || !pause.For(ctx, delay) {
			res := duplicateUnknownResult()
			res.detail = "an earlier copy of this request may be in progress; send again later with the same id"
			return &res, false
		}
	}
}

// maxLookupFailures is the number of consecutive failed lookups after which
// the holder of the earlier copy is considered lost.
const maxLookupFailures = 5

// resultOfEarlierCopy converts the state of the earlier copy into the result
// of its duplicate. It returns nil while the earlier copy is in progress.
func resultOfEarlierCopy(status claims.ExecutionStatus) *result {
	var res result
	switch status.State {
	case claims.Answered:
		res = answeredResult(answerFromClaims(status.Answer))
		res.duplicate = true
	case claims.AnswerLost:
		res = duplicateUnknownResult()
	case claims.NotRun:
		res = notRunResult(http.StatusServiceUnavailable, ReasonDuplicate, "an earlier copy of this request ended without running; send again with the same id").withRetryAfter(time.Second)
	default:
		return nil
	}
	return &res
}

func answerFromClaims(retained *claims.Answer) *answer {
	a := &answer{status: retained.Status, header: make(http.Header, len(retained.Header)), body: retained.Body}
	for _, field := range retained.Header {
		a.header[field.Name] = append(a.header[field.Name], field.Value)
	}
	return a
}
