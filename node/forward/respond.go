package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wigeonwinch/node/events"
)

// writeChunkBytes is the number of bytes of an answer that are written under
// one deadline, streamChunkBytes how many of a stream are held at a time.
const (
	writeChunkBytes  = 64 << 10
	streamChunkBytes = 16 << 10
)

// stream is an answer that exceeds Limits.AnswerBytes. Its first part has
// been read; the rest is streamed.
type stream struct {
	in *incoming
	// onEnd is called once when the stream ends. Its argument reports whether
	// the backend server's answer was complete.
	onEnd  func(complete bool)
	once   sync.Once
	closed chan struct{}
}

func newStream(in *incoming) *stream {
	return &stream{in: in, closed: make(chan struct{})}
}

func (st *stream) end(complete bool) {
	st.once.Do(func() {
		st.in.abort()
		if st.onEnd != nil {
			st.onEnd(complete)
		}
		close(st.closed)
	})
}

// copyTo copies the rest of the answer and returns the first error.
func (st *stream) copyTo(w io.Writer) error {
	timer := time.AfterFunc(st.in.progressTimeout, st.in.cancel)
	defer timer.Stop()
	buf := make([]byte, streamChunkBytes)
	for {
		n, err := st.in.resp.Body.Read(buf)
		timer.Stop()
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		timer.Reset(st.in.progressTimeout)
	}
}

// discard reads the rest of the answer, so that the backend server is not
// interrupted when nobody reads its answer.
func (st *stream) discard() {
	err := st.copyTo(io.Discard)
	st.end(err == nil)
}

// respond writes the response to a request. It panics with
// http.ErrAbortHandler when an answer cannot be forwarded completely, so that
// the caller can detect the truncation.
func (s *Server) respond(w http.ResponseWriter, r *request, res result) {
	s.counts.count(res)
	s.recordEnd(r, res)
	if res.answer == nil {
		writeProblem(w, r.ID, res)
		return
	}
	s.writeAnswer(w, r, res)
}

// recordEnd records the end of a request in the timeline.
func (s *Server) recordEnd(r *request, res result) {
	detail := string(res.outcome)
	if res.reason != "" {
		detail += " " + string(res.reason)
	}
	s.cfg.Events.Record(events.ForwardEnded, events.Fields{
		Request: r.ID, Team: r.Team, Service: r.Service, Pool: r.Pool, Detail: detail,
	})
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *request, res result) {
	h := w.Header()
	copyHeaders(h, res.answer.header)
	setOutcomeHeaders(h, r.ID, res)
	if res.stream == nil && hasBody(r.http.Method, res.answer.status) {
		h["Content-Length"] = []string{strconv.Itoa(len(res.answer.body))}
	}
	w.WriteHeader(res.answer.status)
	dw := deadlineWriter{w: w, control: http.NewResponseController(w), limit: s.cfg.Limits.ProgressTimeout}
	_, err := dw.Write(res.answer.body)
	if res.stream == nil {
		return
	}
	if err != nil {
		s.abandonStream(r, res.stream)
		return
	}
	s.finishStream(&dw, r, res.stream)
}

// abandonStream ends a stream whose caller disconnected. The answer to a
// non-repeatable request is read to its end.
func (s *Server) abandonStream(r *request, st *stream) {
	if r.Repeatable {
		st.end(true)
		return
	}
	st.discard()
}

func (s *Server) finishStream(dw *deadlineWriter, r *request, st *stream) {
	err := st.copyTo(dw)
	if err == nil {
		st.end(true)
		return
	}
	if dw.failed {
		s.abandonStream(r, st)
	} else {
		st.end(false)
		s.cfg.Events.Record(events.ForwardStreamCut, events.Fields{Request: r.ID, Pool: r.Pool, Err: err})
	}
	panic(http.ErrAbortHandler)
}

// hasBody reports whether a response with this status has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

// deadlineWriter sets a new write deadline for each chunk.
type deadlineWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	failed  bool
}

// Write implements io.Writer.
func (dw *deadlineWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+writeChunkBytes, len(p))]
		_ = dw.control.SetWriteDeadline(time.Now().Add(dw.limit))
		n, err := dw.w.Write(chunk)
		written += n
		if err != nil {
			dw.failed = true
			return written, err
		}
	}
	return written, nil
}
