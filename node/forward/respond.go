package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wigeonwinch/node/events"
)

// writeChunkBytes is how much of an answer is written under one time limit.
const writeChunkBytes = 64 << 10

// stream is an answer over the bound: its first part is read, the rest flows.
type stream struct {
	in *incoming
	// onEnd is called once with whether the backend's answer ended whole.
	onEnd  func(whole bool)
	once   sync.Once
	closed chan struct{}
}

func newStream(in *incoming) *stream {
	return &stream{in: in, closed: make(chan struct{})}
}

func (st *stream) end(whole bool) {
	st.once.Do(func() {
		st.in.abort()
		if st.onEnd != nil {
			st.onEnd(whole)
		}
		close(st.closed)
	})
}

// copyTo passes the rest on and returns the first error.
func (st *stream) copyTo(w io.Writer) error {
	timer := time.AfterFunc(st.in.progress, st.in.cancel)
	defer timer.Stop()
	buf := make([]byte, writeChunkBytes)
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
		timer.Reset(st.in.progress)
	}
}

// discard reads the rest, so that the work is not cut by a missing reader.
func (st *stream) discard() {
	err := st.copyTo(io.Discard)
	st.end(err == nil)
}

// respond writes the end of a request. It panics with http.ErrAbortHandler
// when an answer can't be passed on whole, so that the caller sees it cut.
func (s *Server) respond(w http.ResponseWriter, r *request, e ending) {
	s.counts.count(e)
	s.noteEnd(r, e)
	if e.answer == nil {
		writeProblem(w, r.ID, e)
		return
	}
	s.writeAnswer(w, r, e)
}

// noteEnd puts the end of a request on the time line.
func (s *Server) noteEnd(r *request, e ending) {
	detail := string(e.outcome)
	if e.reason != "" {
		detail += " " + string(e.reason)
	}
	s.cfg.Events.Record(events.ForwardEnded, events.Fields{
		Request: r.ID, Team: r.Team, Service: r.Service, Pool: r.Pool, Detail: detail,
	})
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *request, e ending) {
	h := w.Header()
	copyHeaders(h, e.answer.header)
	setOutcome(h, r.ID, e)
	if e.stream == nil && hasBody(r.http.Method, e.answer.status) {
		h["Content-Length"] = []string{strconv.Itoa(len(e.answer.body))}
	}
	w.WriteHeader(e.answer.status)
	slow := slowWriter{w: w, control: http.NewResponseController(w), limit: s.cfg.Limits.ProgressTimeout}
	_, err := slow.Write(e.answer.body)
	if e.stream == nil {
		return
	}
	if err != nil {
		s.leaveStream(r, e.stream)
		return
	}
	s.finishStream(&slow, r, e.stream)
}

// leaveStream ends a stream whose caller is gone.
func (s *Server) leaveStream(r *request, st *stream) {
	if r.Repeatable {
		st.end(true)
		return
	}
	st.discard()
}

func (s *Server) finishStream(slow *slowWriter, r *request, st *stream) {
	err := st.copyTo(slow)
	if err == nil {
		st.end(true)
		return
	}
	if slow.failed {
		s.leaveStream(r, st)
	} else {
		st.end(false)
		s.cfg.Events.Record(events.ForwardStreamCut, events.Fields{Request: r.ID, Pool: r.Pool, Err: err})
	}
	panic(http.ErrAbortHandler)
}

// hasBody says whether an answer has a body of its own.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

// slowWriter gives each chunk its own time limit.
type slowWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	failed  bool
}

// Write implements io.Writer.
func (s *slowWriter) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		chunk := p[done:min(done+writeChunkBytes, len(p))]
		_ = s.control.SetWriteDeadline(time.Now().Add(s.limit))
		n, err := s.w.Write(chunk)
		done += n
		if err != nil {
			s.failed = true
			return done, err
		}
	}
	return done, nil
}
