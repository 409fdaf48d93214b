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
)

// target is where one request is sent.
type target struct {
	// worker is the VM; empty for a relay.
	worker string
	// peer is the entry node of a relay.
	peer    string
	address string
	// fresh asks for a new connection.
	fresh bool
	// spare asks a peer to run the work only if it can start at once.
	spare bool
}

// exchangeKind is what came of one sending.
type exchangeKind uint8

const (
	// exchangeNotRun means that no byte of the work can have reached a worker,
	// or that the worker says it did not run it.
	exchangeNotRun exchangeKind = iota + 1
	// exchangeAnswer means a whole answer.
	exchangeAnswer
	// exchangeStream means an answer over the bound, of which the first part
	// has arrived.
	exchangeStream
	// exchangeLost means that the work may have run.
	exchangeLost
)

// exchange is the result of one sending.
type exchange struct {
	kind exchangeKind
	end  ending
	// canceled says that this side gave up; the worker is not blamed.
	canceled bool
}

func lost(reason Reason, detail string) exchange {
	return exchange{kind: exchangeLost, end: unknown(http.StatusBadGateway, reason, detail)}
}

func unsent(reason Reason, detail string) exchange {
	return exchange{kind: exchangeNotRun, end: notRun(http.StatusServiceUnavailable, reason, detail).after(time.Second)}
}

// exchange sends a request to a target and reads the answer.
func (s *Server) exchange(run context.Context, r *request, t target) exchange {
	if !r.Repeatable && !r.phase.send() {
		return exchange{kind: exchangeNotRun, end: notRun(statusClientClosed, ReasonCanceled, "the caller went away before the work was sent")}
	}
	if err := s.claims.markSent(r); err != nil {
		s.violated(r, err.Error())
		return lost(ReasonViolation, "the node stopped a second run; send again with the same id")
	}
	s.cfg.Events.Record(events.ForwardSent, events.Fields{Request: r.ID, VM: t.worker, Peer: t.peer})
	x := s.roundTrip(run, r, t)
	if x.kind == exchangeNotRun {
		s.claims.unsent(r)
		r.phase.unsent()
	}
	return x
}

// roundTrip does one HTTP exchange and judges what came of it.
func (s *Server) roundTrip(run context.Context, r *request, t target) exchange {
	ctx, cancel := context.WithCancel(run)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := s.outgoing(r, t).WithContext(traced)
	resp, err := s.transports.choose(r, t).RoundTrip(out)
	if err != nil {
		cancel()
		return s.judgeError(run, t, err, connected.Load())
	}
	in := &incoming{resp: resp, cancel: cancel, progress: s.cfg.Limits.ProgressTimeout}
	return s.judge(run, r, t, in)
}

// judgeError tells a request that cannot have run from one that may have.
func (s *Server) judgeError(run context.Context, t target, err error, connected bool) exchange {
	if !connected && s.transports.neverConnected(err) {
		if run.Err() != nil {
			return exchange{kind: exchangeNotRun, end: s.gaveUp(run)}
		}
		s.cfg.Events.Record(events.ForwardConnectFailed, events.Fields{VM: t.worker, Peer: t.peer, Err: err})
		return unsent(ReasonNoConnection, "no connection to a worker could be opened; send again later")
	}
	s.suspect(t)
	x := lost(ReasonLostAnswer, "no answer came back; the work may have run")
	x.canceled = errors.Is(run.Err(), context.Canceled)
	if errors.Is(run.Err(), context.DeadlineExceeded) {
		x.end = unknown(http.StatusGatewayTimeout, ReasonDeadline, "no answer came before the deadline; the work may have run")
	}
	return x
}

// suspect notes that a connection to a target failed in mid-flight.
func (s *Server) suspect(t target) {
	if t.worker == "" {
		return
	}
	s.signs.setSuspect(t.worker, s.cfg.Clock().Add(s.cfg.Limits.SuspectTime))
	s.cfg.Events.Record(events.ForwardConnectionSuspect, events.Fields{VM: t.worker})
}

// outgoing builds the request for a target.
func (s *Server) outgoing(r *request, t target) *http.Request {
	from := r.http
	header := make(http.Header, len(from.Header)+4)
	copyHeaders(header, from.Header)
	delete(header, "Expect")
	header[HeaderRequestID] = []string{r.ID}
	left := r.Deadline.Sub(s.cfg.Clock())
	header[HeaderDeadlineMS] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	header[HeaderRepeatable] = []string{yesNo(r.Repeatable)}
	u := &url.URL{Scheme: "http", Host: t.address, Path: from.URL.Path, RawPath: from.URL.RawPath, RawQuery: from.URL.RawQuery}
	if t.peer != "" {
		s.addressRelay(header, u, t)
	}
	out := &http.Request{
		Method: from.Method, URL: u, Host: from.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.body)),
	}
	setBody(out, r)
	return out
}

// setBody attaches the body. Without GetBody the transport itself never sends
// the request a second time, so that work which is not repeatable cannot run
// twice on a connection that breaks.
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
	resp     *http.Response
	cancel   context.CancelFunc
	progress time.Duration
}

// abort closes the connection, so that nothing late is read from it.
func (in *incoming) abort() {
	in.cancel()
	_ = in.resp.Body.Close()
}

// judge checks whose answer it is and reads it.
func (s *Server) judge(run context.Context, r *request, t target, in *incoming) exchange {
	resp := in.resp
	if resp.Header.Get(HeaderRequestID) != r.ID {
		in.abort()
		s.suspect(t)
		s.cfg.Events.Record(events.ForwardAnswerCrossed, events.Fields{Request: r.ID, VM: t.worker, Peer: t.peer})
		return lost(ReasonCrossedAnswer, "the answer belongs to another request; the work may have run")
	}
	if t.worker != "" && resp.Close {
		s.noteClose(t.worker)
	}
	if why := resp.Header.Get(HeaderWorkerRefused); why != "" && t.worker != "" && resp.StatusCode == http.StatusServiceUnavailable {
		in.finish()
		return s.workerRefused(t, why)
	}
	if !framed(r.http.Method, resp) {
		in.abort()
		return lost(ReasonUnframed, "the answer has neither length nor chunks, so its end cannot be told; the work has run")
	}
	return s.read(run, r, t, in)
}

// framed says whether a cut answer can be told from a whole one.
func framed(method string, resp *http.Response) bool {
	if method == http.MethodHead || resp.ContentLength >= 0 {
		return true
	}
	return slices.Contains(resp.TransferEncoding, "chunked")
}

// finish reads the rest of a small answer, so that its connection stays open.
func (in *incoming) finish() {
	_, _ = io.CopyN(io.Discard, in.resp.Body, bodyChunkBytes)
	in.abort()
}

func (s *Server) workerRefused(t target, why string) exchange {
	s.counts.refusedByWorker.Add(1)
	if why != workerRefusedSlots {
		s.Leaving(t.worker)
	}
	return unsent(ReasonWorkerRefused, "the workers did not take the work ("+why+"); send again later")
}

// workerRefusedSlots is the refusal of a worker that has no free slot.
const workerRefusedSlots = "slots"

// read takes the answer up to the bound; what is longer becomes a stream.
func (s *Server) read(run context.Context, r *request, t target, in *incoming) exchange {
	bound := s.cfg.Limits.AnswerBytes
	body, whole, err := in.readUpTo(bound)
	if err != nil {
		in.abort()
		s.suspect(t)
		x := lost(ReasonCutAnswer, "the answer was cut short; the work may have run")
		x.canceled = errors.Is(run.Err(), context.Canceled)
		return x
	}
	a := &answer{status: in.resp.StatusCode, header: in.resp.Header, body: body}
	if whole {
		in.abort()
		return s.judgeAnswer(t, a)
	}
	st := newStream(in)
	return exchange{kind: exchangeStream, end: ending{outcome: "answered", answer: a, stream: st}}
}

// judgeAnswer passes a whole answer on. The answer of a relay may itself be
// an end without an answer.
func (s *Server) judgeAnswer(t target, a *answer) exchange {
	if t.peer != "" {
		return relayEnd(a)
	}
	return exchange{kind: exchangeAnswer, end: answered(a)}
}

// readUpTo reads at most bound bytes. Whole says that the answer has ended.
func (in *incoming) readUpTo(bound int) (body []byte, whole bool, err error) {
	timer := time.AfterFunc(in.progress, in.cancel)
	defer timer.Stop()
	size := bodyChunkBytes
	if n := in.resp.ContentLength; n >= 0 {
		size = min(int(min(n, int64(bound)))+1, bound+1)
	}
	body = make([]byte, 0, size)
	for len(body) <= bound {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := in.resp.Body.Read(body[len(body):min(cap(body), bound+1)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		timer.Reset(in.progress)
	}
	return body, false, nil
}

// isDialError says whether an error arose before there was a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
