package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/node/retryafter"
)

// Reason says in one word why a request ended without an answer.
type Reason string

// The reasons of this package; refusals of the dispatch package add theirs.
const (
	ReasonMalformed     Reason = "malformed"       // the request is not valid
	ReasonBodyTooLarge  Reason = "body_too_large"  // the body is over the bound
	ReasonBodySlow      Reason = "body_incomplete" // the body did not arrive
	ReasonUnknownTeam   Reason = "unknown_team"    // the manifest has no such team
	ReasonUnknownRoute  Reason = "unknown_route"   // no service takes the path
	ReasonOverloaded    Reason = "overloaded"      // a bound of the node is reached
	ReasonNotReady      Reason = "not_ready"       // the node has no view, or stops
	ReasonIDReused      Reason = "id_reused"       // the id stands for other work
	ReasonDuplicate     Reason = "duplicate"       // an earlier copy may have run
	ReasonExpiredID     Reason = "expired_id"      // too old to tell whether it ran
	ReasonHomeAway      Reason = "home_unreachable"
	ReasonHomeBusy      Reason = "claims_full"      // the home has no room
	ReasonDeadline      Reason = "deadline"         // the time ran out
	ReasonCanceled      Reason = "canceled"         // the caller went away
	ReasonNoConnection  Reason = "no_connection"    // no worker could be reached
	ReasonLostAnswer    Reason = "answer_lost"      // no answer came back
	ReasonCutAnswer     Reason = "answer_truncated" // the answer was cut short
	ReasonCrossedAnswer Reason = "answer_crossed"   // it belongs to another request
	ReasonUnframed      Reason = "answer_unframed"  // its end cannot be told
	ReasonWorkerRefused Reason = "worker_refused"   // workers did not take it
	ReasonViolation     Reason = "violation"        // a broken invariant was stopped
	ReasonNotAllowed    Reason = "not_allowed"      // the peer key does not match
)

// ending is how a request ends. Exactly one of answer, stream and reason is
// set.
type ending struct {
	outcome dispatch.Outcome
	answer  *answer
	stream  *stream
	// duplicate says that an earlier copy produced the answer.
	duplicate bool

	status     int
	reason     Reason
	detail     string
	retryAfter time.Duration
	// retrySame says that sending again under the same id is safe and may help.
	retrySame bool
}

// answer is a whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func answered(a *answer) ending {
	return ending{outcome: dispatch.OutcomeAnswered, answer: a}
}

// notRun ends a request of which no part has started.
func notRun(status int, reason Reason, detail string) ending {
	return ending{outcome: dispatch.OutcomeNotRun, status: status, reason: reason, detail: detail}
}

// unknown ends a request that may have run.
func unknown(status int, reason Reason, detail string) ending {
	return ending{outcome: dispatch.OutcomeUnknown, status: status, reason: reason, detail: detail, retrySame: true}
}

func (e ending) after(d time.Duration) ending {
	e.retryAfter = d
	return e
}

// asUnknown turns a refusal before the claim into an end that is also true
// for earlier copies of the same id.
func (e ending) asUnknown() ending {
	if e.outcome == dispatch.OutcomeNotRun {
		e.outcome = dispatch.OutcomeUnknown
		e.retrySame = true
	}
	return e
}

// refused turns a refusal by a decision package into an end.
func refused(r *dispatch.Refusal) ending {
	return notRun(refusalStatus(r.Reason), Reason(r.Reason), r.Detail).after(r.RetryAfter)
}

func refusalStatus(reason dispatch.RefusalReason) int {
	switch reason {
	case dispatch.RefusedQuota, dispatch.RefusedRate:
		return http.StatusTooManyRequests
	case dispatch.RefusedDeadline:
		return http.StatusGatewayTimeout
	case dispatch.RefusedImpossible:
		return http.StatusUnprocessableEntity
	case dispatch.RefusedQueueFull, dispatch.RefusedNoWorker, dispatch.RefusedUnknown:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}

// problem is the JSON body of an end without an answer, after RFC 9457.
type problem struct {
	Type      string           `json:"type"`
	Title     string           `json:"title"`
	Status    int              `json:"status"`
	Detail    string           `json:"detail,omitempty"`
	RequestID string           `json:"request_id,omitempty"`
	Outcome   dispatch.Outcome `json:"outcome"`
	Reason    Reason           `json:"reason"`
	Retry     string           `json:"retry,omitempty"`
	// RetryAfterMS is when sending again makes sense, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// writeProblem writes an end without an answer.
func writeProblem(w http.ResponseWriter, id string, e ending) {
	p := problem{
		Type:         "urn:wigeonwinch:problem:" + string(e.reason),
		Title:        http.StatusText(e.status),
		Status:       e.status,
		Detail:       e.detail,
		RequestID:    id,
		Outcome:      e.outcome,
		Reason:       e.reason,
		RetryAfterMS: e.retryAfter.Milliseconds(),
	}
	h := w.Header()
	if e.retrySame {
		p.Retry = retrySameID
		h.Set(HeaderRetry, retrySameID)
	}
	if e.retryAfter > 0 {
		retryafter.Set(h, e.retryAfter)
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	setOutcome(h, id, e)
	w.WriteHeader(e.status)
	_, _ = w.Write(body)
}

func setOutcome(h http.Header, id string, e ending) {
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderOutcome, string(e.outcome))
	if e.reason != "" {
		h.Set(HeaderReason, string(e.reason))
	}
	if e.duplicate {
		h.Set(HeaderDuplicate, "yes")
	}
}
