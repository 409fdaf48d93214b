package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/node/retryafter"
)

// Reason is a machine-readable code that states why a request ended without
// an answer.
type Reason string

// The reasons defined by this package. Refusals of the dispatch package add
// their own.
const (
	ReasonMalformed       Reason = "malformed"       // the request is not valid
	ReasonBodyTooLarge    Reason = "body_too_large"  // the body exceeds Limits.BodyBytes
	ReasonBodyIncomplete  Reason = "body_incomplete" // the body did not arrive completely
	ReasonUnknownTeam     Reason = "unknown_team"    // the manifest does not define the team
	ReasonUnknownRoute    Reason = "unknown_route"   // no service has a route for the path
	ReasonOverloaded      Reason = "overloaded"      // a limit of the node is reached
	ReasonNotReady        Reason = "not_ready"       // the node has no view yet, or is stopping
	ReasonIDReused        Reason = "id_reused"       // the ID was already used for a different request
	ReasonDuplicate       Reason = "duplicate"       // an earlier copy may have run
	ReasonExpiredID       Reason = "expired_id"      // the ID's issue time is too old, or in the future
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonClaimsFull      Reason = "claims_full"      // the home node has no room for more claims
	ReasonDeadline        Reason = "deadline"         // the deadline passed
	ReasonCanceled        Reason = "canceled"         // the caller disconnected
	ReasonNoConnection    Reason = "no_connection"    // no worker could be reached
	ReasonAnswerLost      Reason = "answer_lost"      // no answer arrived
	ReasonWorkersLost     Reason = "workers_lost"     // several workers failed while they ran the request
	ReasonAnswerTruncated Reason = "answer_truncated" // the answer was truncated
	ReasonAnswerCrossed   Reason = "answer_crossed"   // the answer has another request's ID
	ReasonAnswerUnframed  Reason = "answer_unframed"  // the end of the answer cannot be detected
	ReasonWorkerRefused   Reason = "worker_refused"   // the workers refused the request
	ReasonViolation       Reason = "violation"        // an invariant violation was prevented
	ReasonNotAllowed      Reason = "not_allowed"      // the peer key does not match
)

// result is how a request ended: with an answer or with a reason. If stream is
// set, answer holds the first part of a streamed answer.
type result struct {
	outcome dispatch.Outcome
	answer  *answer
	stream  *stream
	// duplicate is set when the answer was produced by an earlier copy.
	duplicate bool

	status     int
	reason     Reason
	detail     string
	retryAfter time.Duration
	// retrySame is set when a retry with the same ID is safe and may help.
	retrySame bool
}

// answer is the answer of a backend server. The body is complete unless the
// answer is streamed.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func answeredResult(a *answer) result {
	return result{outcome: dispatch.OutcomeAnswered, answer: a}
}

// notRunResult is the result of a request of which no part has run.
func notRunResult(status int, reason Reason, detail string) result {
	return result{outcome: dispatch.OutcomeNotRun, status: status, reason: reason, detail: detail}
}

// unknownResult is the result of a request that may have run.
func unknownResult(status int, reason Reason, detail string) result {
	return result{outcome: dispatch.OutcomeUnknown, status: status, reason: reason, detail: detail, retrySame: true}
}

// workersLostResult is the result of a request that is not sent to another worker
// because it may be what makes them fail. Callers are not asked to send it again.
func workersLostResult() result {
	res := unknownResult(http.StatusBadGateway, ReasonWorkersLost, "several workers ended the connection while they ran the request; check it before it is sent again")
	res.retrySame = false
	return res
}

func (res result) withRetryAfter(d time.Duration) result {
	res.retryAfter = d
	return res
}

// asUnknown converts a rejection before the claim into a result that is also
// true for earlier copies with the same ID.
func (res result) asUnknown() result {
	if res.outcome == dispatch.OutcomeNotRun {
		res.outcome = dispatch.OutcomeUnknown
		res.retrySame = true
	}
	return res
}

// refusedResult converts a refusal of the dispatch package into a result.
func refusedResult(r *dispatch.Refusal) result {
	return notRunResult(refusalStatus(r.Reason), Reason(r.Reason), r.Detail).withRetryAfter(r.RetryAfter)
}

func refusalStatus(reason dispatch.RefusalReason) int {
	switch reason {
	case dispatch.RefusedQuota, dispatch.RefusedRate:
		return http.StatusTooManyRequests
	case dispatch.RefusedDeadline:
		return http.StatusGatewayTimeout
	case dispatch.RefusedImpossible:
		return http.StatusUnprocessableEntity
	case dispatch.RefusedQueueFull, dispatch.RefusedNoWorker, dispatch.RefusedUnknownPool:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}

// problem is the JSON body of a response without an answer, as defined by RFC
// 9457.
type problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Detail    string           `json:"detail,omitempty"`
	RequestID string           `json:"request_id,omitempty"`
	Outcome   dispatch.Outcome `json:"outcome"`
	Reason    Reason           `json:"reason"`
	Retry     string           `json:"retry,omitempty"`
	// RetryAfterMS is the delay after which a retry is useful, in
	// milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// writeProblem writes the response to a request that has no answer.
func writeProblem(w http.ResponseWriter, id string, res result) {
	p := problem{
		Type:         "urn:wigeonwinch:problem:" + string(res.reason),
		Title:        http.StatusText(res.status),
		Status:       res.status,
		Detail:       res.detail,
		RequestID:    id,
		Outcome:      res.outcome,
		Reason:       res.reason,
		RetryAfterMS: res.retryAfter.Milliseconds(),
	}
	h := w.Header()
	if res.retrySame {
		p.Retry = retrySameID
		h.Set(HeaderRetry, retrySameID)
	}
	if res.retryAfter > 0 {
		retryafter.Set(h, res.retryAfter)
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	setOutcomeHeaders(h, id, res)
	w.WriteHeader(res.status)
	_, _ = w.Write(body)
}

func setOutcomeHeaders(h http.Header, id string, res result) {
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderOutcome, string(res.outcome))
	if res.reason != "" {
		h.Set(HeaderReason, string(res.reason))
	}
	if res.duplicate {
		h.Set(HeaderDuplicate, "yes")
	}
}
