package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// bodyChunkBytes is how much of a body is read at once when its length is not
// known.
const bodyChunkBytes = 16 << 10

// limitBody sets the first time limit for a body. It holds until the body is
// read whole: for a request that is refused before, the HTTP server reads on
// before it closes.
func (s *Server) limitBody(w http.ResponseWriter, h *http.Request) {
	if h.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.cfg.Limits.ProgressTimeout))
	}
}

// readBody reads the whole body before the request waits for a worker, so
// that a slow sender never holds a slot and the body can be sent again.
func (s *Server) readBody(w http.ResponseWriter, r *request) *ending {
	h := r.http
	if h.Body == nil || h.Body == http.NoBody || h.ContentLength == 0 {
		return nil
	}
	if h.ContentLength > s.cfg.Limits.BodyBytes {
		return s.bodyTooLarge()
	}
	control := http.NewResponseController(w)
	body := make([]byte, 0, bodyCapacity(h.ContentLength))
	for {
		_ = control.SetReadDeadline(time.Now().Add(s.cfg.Limits.ProgressTimeout))
		if len(body) == cap(body) {
			body = append(body, make([]byte, bodyChunkBytes)...)[:len(body)]
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > s.cfg.Limits.BodyBytes {
			return s.bodyTooLarge()
		}
		if err == io.EOF {
			_ = control.SetReadDeadline(time.Time{})
			return s.keepBody(r, body)
		}
		if err != nil {
			e := notRun(http.StatusRequestTimeout, ReasonBodySlow, "the body did not arrive whole; send it again")
			return &e
		}
	}
}

// bodyCapacity leaves one byte for the read that finds the end.
func bodyCapacity(length int64) int64 {
	if length < 0 {
		return bodyChunkBytes
	}
	return min(length+1, 1<<20)
}

func (s *Server) keepBody(r *request, body []byte) *ending {
	if s.bodyBytes.Add(int64(len(body))) > s.cfg.Limits.BodyBytesTotal {
		s.bodyBytes.Add(-int64(len(body)))
		e := notRun(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node holds too many bodies; send again later").after(time.Second)
		return &e
	}
	r.body = body
	return nil
}

func (s *Server) bodyTooLarge() *ending {
	e := notRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(s.cfg.Limits.BodyBytes, 10)+" bytes; send a smaller one")
	return &e
}
