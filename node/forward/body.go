package forward

import (
	"net/http"
	"strconv"
	"time"

	"wigeonwinch/node/intake"
)

// bodyGate returns the gate for bodies within the limits, for a server that gets none.
func (l Limits) bodyGate(cfg Config) *intake.Gate {
	limits := intake.LimitsFor(0, 0)
	limits.BodyBytes, limits.HeldBytes = int(l.BodyBytes), l.BodyBytesTotal
	limits.BodyTimeout, limits.ProgressTimeout = 0, l.ProgressTimeout
	return intake.NewGate(limits, cfg.Events)
}

// setBodyReadDeadline sets the first read deadline for a body. The deadline
// also covers a request that is rejected before its body is read, because the
// HTTP server reads the rest of the body before it closes the connection.
func (s *Server) setBodyReadDeadline(w http.ResponseWriter, httpReq *http.Request) {
	if httpReq.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.cfg.Limits.ProgressTimeout))
	}
}

// readBody reads the whole body before the request waits for a worker, so
// that a slow sender never occupies a slot and the body can be sent again.
func (s *Server) readBody(w http.ResponseWriter, r *request) *result {
	if r.http.ContentLength == 0 {
		return nil
	}
	body, refusal := s.cfg.Gate.Read(w, r.http, max(r.Deadline.Sub(s.cfg.Clock()), 1))
	if refusal == nil {
		r.body, r.held = body.Bytes, body
		return nil
	}
	var res result
	switch refusal.Reason {
	case intake.ReasonTooLong:
		res = notRunResult(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(s.cfg.Limits.BodyBytes, 10)+" bytes; send a smaller one")
	case intake.ReasonCutOff, intake.ReasonTooSlow:
		res = notRunResult(http.StatusRequestTimeout, ReasonBodyIncomplete, "the body did not arrive whole; send it again")
	default:
		res = notRunResult(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node holds too many bodies; send again later").withRetryAfter(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
	}
	return &res
}
