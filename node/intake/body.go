package intake

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Refusal is the answer to a client whose body was not taken. Its request was not begun.
type Refusal struct {
	Status int
	Reason string
	// Remedy tells the client what to do.
	Remedy string
	// RetryAfterMS is set if the same request may be sent again.
	RetryAfterMS int64
}

func (r *Refusal) Error() string { return r.Remedy }

// Body is a whole body that is held until Release.
type Body struct {
	Bytes        []byte
	gate         *Gate
	small, large int64
}

// Forget drops the bytes of a body that was decoded. Its part of the budget stays taken for
// what it was decoded to.
func (b *Body) Forget() { b.Bytes = nil }

// Release returns the bytes of the body to the budget. It may be called again.
func (b *Body) Release() {
	if b.gate != nil {
		b.gate.free(b.small, b.large)
		b.gate = nil
	}
}

// Sizes of the parts in which bodies are read: the first one, then twice as much each.
const (
	firstPartBytes = 4 << 10
	maxPartBytes   = 32 << 10
)

// retryAfterMS is when a client that was refused for want of room may return.
const retryAfterMS = 1000

// patience is how long a body or connection may be incomplete before it has to make room.
const patience = 500 * time.Millisecond

// Read reads the whole body of a request. A body takes up budget for what has arrived of
// it and the part that is being read, so that its announced length reserves nothing. A
// client that does not end its body within the time, at most Limits.BodyTimeout, is let
// go. The caller releases the body once it does not need its bytes any more.
func (g *Gate) Read(w http.ResponseWriter, r *http.Request, within time.Duration) (*Body, *Refusal) {
	if r.ContentLength > int64(g.limits.BodyBytes) {
		return nil, g.refuse(w, ReasonTooLong)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	enterPhase(r, phaseIncomplete)
	in := &incoming{gate: g, control: http.NewResponseController(w), since: time.Now(), body: Body{gate: g}}
	if limit := g.limits.BodyTimeout; limit > 0 && (within <= 0 || within > limit) {
		within = g.limits.BodyTimeout
	}
	in.deadline = in.since.Add(within)
	_ = in.control.SetReadDeadline(in.deadline)
	g.reading.enter(g, in)
	reason := in.read(r)
	if !g.reading.leave(g, in) {
		// The read deadline that let the body go may have ended its connection's requests.
		reason = ReasonMadeRoom
	}
	if reason != "" {
		in.body.Release()
		return nil, g.refuse(w, reason)
	}
	_ = in.control.SetReadDeadline(time.Time{})
	w.Header().Del("Connection")
	completeBody(r)
	in.join()
	return &in.body, nil
}

// incoming is a body that is being read.
type incoming struct {
	gate    *Gate
	control *http.ResponseController
	since   time.Time
	// deadline is when the whole body must have arrived.
	deadline time.Time
	body     Body
	// held are the reserved bytes, for makeRoom.
	held  atomic.Int64
	parts [][]byte
	total int
	// evicted reports whether the body had to make room. prev and next link the bodies
	// being read, oldest first. The gate's lock guards them.
	evicted, linked bool
	prev, next      *incoming
}

// read reads the parts of the body up to its end. It returns the reason if it fails.
func (in *incoming) read(r *http.Request) (reason string) {
	size := firstPartBytes
	for {
		part, ok := in.nextPart(size, r.ContentLength)
		if !ok {
			return ReasonNoRoom
		}
		n, err := in.fill(r.Body, part)
		in.total += n
		in.parts = append(in.parts, part[:n])
		switch {
		case in.total > in.gate.limits.BodyBytes:
			return ReasonTooLong
		case int64(in.total) == r.ContentLength:
			return ""
		case err == io.EOF:
			return ""
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ReasonTooSlow
		case err != nil:
			return ReasonCutOff
		}
		size = min(2*size, maxPartBytes)
	}
}

// fill reads until a part is full or reading fails.
func (in *incoming) fill(body io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		if progress := in.gate.limits.ProgressTimeout; progress > 0 {
			in.extend(progress)
		}
		var more int
		more, err = body.Read(part[n:])
		n += more
	}
	return n, err
}

// extend allows more time until something arrives, unless the body has to make room.
func (in *incoming) extend(progress time.Duration) {
	in.gate.mu.Lock()
	defer in.gate.mu.Unlock()
	if until := time.Now().Add(progress); !in.evicted && until.Before(in.deadline) {
		_ = in.control.SetReadDeadline(until)
	}
}

// nextPart returns an empty part, reserved in the budget.
func (in *incoming) nextPart(size int, announced int64) ([]byte, bool) {
	if announced < 0 {
		// One byte more shows that the body is too long.
		announced = int64(in.gate.limits.BodyBytes) + 1
	}
	size = min(size, int(announced)-in.total)
	small := min(size, max(in.gate.limits.SmallBytes-in.total, 0))
	if !in.gate.reserve(int64(small), int64(size-small)) {
		in.gate.makeRoom(int64(size))
		return nil, false
	}
	in.body.small += int64(small)
	in.body.large += int64(size - small)
	in.held.Add(int64(size))
	return make([]byte, size), true
}

// join puts the parts together.
func (in *incoming) join() {
	if len(in.parts) == 1 {
		in.body.Bytes, in.parts = in.parts[0], nil
		return
	}
	whole := make([]byte, 0, in.total)
	for i, part := range in.parts {
		whole = append(whole, part...)
		in.parts[i] = nil
	}
	in.body.Bytes, in.parts = whole, nil
}

// refuse prepares the refusal of a request. The connection closes after it, and what the
// client sends meanwhile is not read.
func (g *Gate) refuse(w http.ResponseWriter, reason string) *Refusal {
	g.count(reason, "")
	w.Header().Set("Connection", "close")
	// What has arrived of a short rest is discarded before the connection closes: unread
	// bytes would reset it, and the answer might be lost.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(patience))
	switch reason {
	case ReasonTooLong:
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: reason, Remedy: "the body is too long; send a shorter one"}
	case ReasonCutOff:
		return &Refusal{Status: http.StatusBadRequest, Reason: reason, Remedy: "the body was cut off or is malformed; send it again"}
	case ReasonTooSlow:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Remedy: "the body did not arrive in time; send it again", RetryAfterMS: retryAfterMS}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Remedy: "the node holds too many bodies; send it again later", RetryAfterMS: retryAfterMS}
}

// bodyList lists the bodies that are being read, the oldest first.
type bodyList struct{ first, last *incoming }

func (l *bodyList) enter(g *Gate, in *incoming) {
	g.mu.Lock()
	defer g.mu.Unlock()
	in.linked, in.prev = true, l.last
	if l.last == nil {
		l.first = in
	} else {
		l.last.next = in
	}
	l.last = in
}

// leave removes a body and reports whether it did not have to make room.
func (l *bodyList) leave(g *Gate, in *incoming) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.unlink(in)
	return !in.evicted
}

func (l *bodyList) unlink(in *incoming) {
	if !in.linked {
		return
	}
	if in.prev == nil {
		l.first = in.next
	} else {
		in.prev.next = in.next
	}
	if in.next == nil {
		l.last = in.prev
	} else {
		in.next.prev = in.prev
	}
	in.linked, in.prev, in.next = false, nil, nil
}

// roomFactor is how many times as much room is made as was missing, for the bodies that
// follow.
const roomFactor = 4

// makeRoom lets the oldest incomplete bodies go until they make the room that was
// missing. The room is there once their readers have returned.
func (g *Gate) makeRoom(missing int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for made := int64(0); made < roomFactor*missing; {
		in := g.reading.first
		if in == nil || now.Sub(in.since) < patience {
			return
		}
		made += in.held.Load()
		g.reading.unlink(in)
		in.evicted = true
		_ = in.control.SetReadDeadline(now)
	}
}
