package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// readChunkBytes is the size of one read, in bytes, when the length of a body
// is not known.
const readChunkBytes = 16 << 10

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
	httpReq := r.http
	if httpReq.Body == nil || httpReq.Body == http.NoBody || httpReq.ContentLength == 0 {
		return nil
	}
	if httpReq.ContentLength > s.cfg.Limits.BodyBytes {
		return s.bodyTooLargeResult()
	}
	rc := http.NewResponseController(w)
	body := make([]byte, 0, bodyBufferBytes(httpReq.ContentLength))
	for {
		_ = rc.SetReadDeadline(time.Now().Add(s.cfg.Limits.ProgressTimeout))
		if len(body) == cap(body) {
			body = append(body, make([]byte, readChunkBytes)...)[:len(body)]
		}
		n, err := httpReq.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > s.cfg.Limits.BodyBytes {
			return s.bodyTooLargeResult()
		}
		if err == io.EOF {
			_ = rc.SetReadDeadline(time.Time{})
			return s.holdBody(r, body)
		}
		if err != nil {
			res := notRunResult(http.StatusRequestTimeout, ReasonBodyIncomplete, "the body did not arrive whole; send it again")
			return &res
		}
	}
}

// bodyBufferBytes returns the initial size of the read buffer, in bytes. It
// includes one byte for the read that returns io.EOF.
func bodyBufferBytes(length int64) int64 {
	if length < 0 {
		return readChunkBytes
	}
	return min(length+1, 1<<20)
}

func (s *Server) holdBody(r *request, body []byte) *result {
	if s.bodyBytes.Add(int64(len(body))) > s.cfg.Limits.BodyBytesTotal {
		s.bodyBytes.Add(-int64(len(body)))
		res := notRunResult(http.StatusServiceUnavailable, ReasonOverloaded, "the entry node holds too many bodies; send again later").withRetryAfter(time.Second)
		return &res
	}
	r.body = body
	return nil
}

func (s *Server) bodyTooLargeResult() *result {
	res := notRunResult(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(s.cfg.Limits.BodyBytes, 10)+" bytes; send a smaller one")
	return &res
}
