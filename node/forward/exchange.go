package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
)

// target is the destination of one send.
type target struct {
	// worker is the VM; empty for a relay.
	worker string
	// peer is the entry node of a relay.
	peer    string
	address string
	// fresh requires a new connection.
	fresh bool
	// immediate asks the peer to run the request only if it can start without
	// waiting.
	immediate bool
}

// exchangeKind classifies the result of one send.
type exchangeKind uint8

const (
	// exchangeNotRun means that no byte of the request can have reached a
	// worker, or that the worker reported that it did not run the request.
	exchangeNotRun exchangeKind = iota + 1
	// exchangeAnswered means that a complete answer arrived.
	exchangeAnswered
	// exchangeStreaming means that the answer exceeds Limits.AnswerBytes and
	// that its first part arrived.
	exchangeStreaming
	// exchangeLost means that the request may have run.
	exchangeLost
)

// exchange is the result of one send.
type exchange struct {
	kind   exchangeKind
	result result
	// canceled is set when this node ended the exchange; it does not count as
	// a failure of the worker.
	canceled bool
}

func lostExchange(reason Reason, detail string) exchange {
	return exchange{kind: exchangeLost, result: unknownResult(http.StatusBadGateway, reason, detail)}
}

func notRunExchange(reason Reason, detail string) exchange {
	return exchange{kind: exchangeNotRun, result: notRunResult(http.StatusServiceUnavailable, reason, detail).withRetryAfter(time.Second)}
}

// exchange sends a request to a target and reads the answer.
func (s *Server) exchange(runCtx context.Context, r *request, t target) exchange {
	if !r.Repeatable && !r.phase.markSent() {
		return exchange{kind: exchangeNotRun, result: notRunResult(statusClientClosedRequest, ReasonCanceled, "the caller went away before the work was sent")}
	}
	if err := s.claims.markSent(r); err != nil {
		s.recordViolation(r, err.Error())
		return lostExchange(ReasonViolation, "the node stopped a second run; send again with the same id")
	}
	s.cfg.Events.Record(events.ForwardSent, events.Fields{Request: r.ID, VM: t.worker, Peer: t.peer})
	x := s.roundTrip(runCtx, r, t)
	if x.kind == exchangeNotRun {
		s.claims.unmarkSent(r)
		r.phase.unmarkSent()
	}
	return x
}

// roundTrip performs one HTTP round trip and classifies the result.
func (s *Server) roundTrip(runCtx context.Context, r *request, t target) exchange {
	ctx, cancel := context.WithCancel(runCtx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := s.newOutgoing(r, t).WithContext(traced)
	resp, err := s.transports.choose(r, t).RoundTrip(out)
	if err != nil {
		cancel()
		return s.classifyError(runCtx, t, err, connected.Load())
	}
	in := &incoming{resp: resp, cancel: cancel, progressTimeout: s.cfg.Limits.ProgressTimeout}
	return s.handleAnswer(runCtx, r, t, in)
}

// classifyError distinguishes a request that cannot have run from one that
// may have run.
func (s *Server) classifyError(runCtx context.Context, t target, err error, connected bool) exchange {
	if !connected && s.transports.failedBeforeConnect(err) {
		if runCtx.Err() != nil {
			return exchange{kind: exchangeNotRun, result: s.interruptedResult(runCtx)}
		}
		s.cfg.Events.Record(events.ForwardConnectFailed, events.Fields{VM: t.worker, Peer: t.peer, Err: err})
		return notRunExchange(ReasonNoConnection, "no connection to a worker could be opened; send again later")
	}
	s.markSuspect(t)
	x := lostExchange(ReasonAnswerLost, "no answer came back; the work may have run")
	x.canceled = errors.Is(runCtx.Err(), context.Canceled)
	if errors.Is(runCtx.Err(), context.DeadlineExceeded) {
		x.result = unknownResult(http.StatusGatewayTimeout, ReasonDeadline, "no answer came before the deadline; the work may have run")
	}
	return x
}

// markSuspect records that a connection to a worker failed during an
// exchange.
func (s *Server) markSuspect(t target) {
	if t.worker == "" {
		return
	}
	s.signals.setSuspect(t.worker, s.cfg.Clock().Add(s.cfg.Limits.SuspectTTL))
	s.cfg.Events.Record(events.ForwardConnectionSuspect, events.Fields{VM: t.worker})
}

// newOutgoing builds the request to send to a target.
func (s *Server) newOutgoing(r *request, t target) *http.Request {
	incoming := r.http
	header := make(http.Header, len(incoming.Header)+4)
	copyHeaders(header, incoming.Header)
	delete(header, "Expect")
	header[HeaderRequestID] = []string{r.ID}
	remaining := r.Deadline.Sub(s.cfg.Clock())
	header[HeaderDeadlineMS] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	header[HeaderRepeatable] = []string{yesNo(r.Repeatable)}
	u := &url.URL{Scheme: "http", Host: t.address, Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery}
	if t.peer != "" {
		s.setRelayTarget(header, u, t)
	}
	out := &http.Request{
		Method: incoming.Method, URL: u, Host: incoming.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.body)),
	}
	setBody(out, r)
	return out
}

// setBody attaches the body. GetBody stays unset so that the transport never
// sends the request a second time by itself; otherwise a non-repeatable
// request could run twice when a connection breaks.
func setBody(out *http.Request, r *request) {
	if r.Repeatable && len(r.body) == 0 {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(bytes.NewReader(r.body))
	if len(r.body) == 0 {
		out.ContentLength = 0
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// incoming is an answer that is being read.
type incoming struct {
	resp            *http.Response
	cancel          context.CancelFunc
	progressTimeout time.Duration
}

// abort closes the connection unless the answer was read to its end, so that
// no late data is read from it.
func (in *incoming) abort() {
	in.cancel()
	_ = in.resp.Body.Close()
}

// handleAnswer checks that the answer belongs to the request, and reads it.
func (s *Server) handleAnswer(runCtx context.Context, r *request, t target, in *incoming) exchange {
	resp := in.resp
	if resp.Header.Get(HeaderRequestID) != r.ID {
		in.abort()
		s.markSuspect(t)
		s.cfg.Events.Record(events.ForwardAnswerCrossed, events.Fields{Request: r.ID, VM: t.worker, Peer: t.peer})
		return lostExchange(ReasonAnswerCrossed, "the answer belongs to another request; the work may have run")
	}
	if t.worker != "" && resp.Close {
		s.markClosed(t.worker)
	}
	if refusal := resp.Header.Get(HeaderWorkerRefused); refusal != "" && t.worker != "" && resp.StatusCode == http.StatusServiceUnavailable {
		in.drain()
		return s.workerRefused(t, refusal)
	}
	if !hasKnownEnd(r.http.Method, resp) {
		in.abort()
		return lostExchange(ReasonAnswerUnframed, "the answer has neither length nor chunks, so its end cannot be told; the work has run")
	}
	return s.readAnswer(runCtx, r, t, in)
}

// hasKnownEnd reports whether a truncated answer can be distinguished from a
// complete one.
func hasKnownEnd(method string, resp *http.Response) bool {
	if method == http.MethodHead || resp.ContentLength >= 0 {
		return true
	}
	return slices.Contains(resp.TransferEncoding, "chunked")
}

// readChunkBytes is the size of one read of an answer, in bytes.
const readChunkBytes = 16 << 10

// drain reads the rest of a small answer so that its connection can be
// reused.
func (in *incoming) drain() {
	_, _ = io.CopyN(io.Discard, in.resp.Body, readChunkBytes)
	in.abort()
}

func (s *Server) workerRefused(t target, refusal string) exchange {
	s.counts.refusedByWorker.Add(1)
	if refusal != workerRefusedSlots {
		s.MarkLeaving(t.worker)
	}
	return notRunExchange(ReasonWorkerRefused, "the workers did not take the work ("+refusal+"); send again later")
}

// workerRefusedSlots is the refusal of a worker that has no free slot.
const workerRefusedSlots = "slots"

// readAnswer reads the answer up to Limits.AnswerBytes. A longer answer, or one that the
// budget has no room for, becomes a stream.
func (s *Server) readAnswer(runCtx context.Context, r *request, t target, in *incoming) exchange {
	limit := s.cfg.Limits.AnswerBytes
	body, complete, err := in.readUpTo(limit, r.answers)
	if err != nil {
		in.abort()
		s.markSuspect(t)
		x := lostExchange(ReasonAnswerTruncated, "the answer was cut short; the work may have run")
		x.canceled = errors.Is(runCtx.Err(), context.Canceled)
		return x
	}
	a := &answer{status: in.resp.StatusCode, header: in.resp.Header, body: body}
	if complete {
		in.abort()
		return s.completeAnswer(t, a)
	}
	st := newStream(in)
	return exchange{kind: exchangeStreaming, result: result{outcome: "answered", answer: a, stream: st}}
}

// completeAnswer returns the exchange of a complete answer. The answer of a
// relay may itself report a result without an answer.
func (s *Server) completeAnswer(t target, a *answer) exchange {
	if t.peer != "" {
		return relayResult(a)
	}
	return exchange{kind: exchangeAnswered, result: answeredResult(a)}
}

// readUpTo reads the body until it exceeds limit bytes, or there is no room for more than
// its first part. It returns complete when the body has ended.
func (in *incoming) readUpTo(limit int, hold *intake.AnswerHold) (body []byte, complete bool, err error) {
	timer := time.AfterFunc(in.progressTimeout, in.cancel)
	defer timer.Stop()
	size := readChunkBytes
	if n := in.resp.ContentLength; n >= 0 {
		size = min(int(min(n, int64(limit)))+1, limit+1)
	}
	if size > readChunkBytes && !hold.Take(size) {
		size, limit = readChunkBytes, readChunkBytes-1
	}
	body = make([]byte, 0, size)
	for len(body) <= limit {
		if len(body) == cap(body) {
			if !hold.Take(2 * cap(body)) {
				return body, false, nil
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := in.resp.Body.Read(body[len(body):min(cap(body), limit+1)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		timer.Reset(in.progressTimeout)
	}
	return body, false, nil
}

// isDialError reports whether an error occurred before a connection was
// established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
