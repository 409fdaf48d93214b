package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"wigeonwinch/node/timeline"
)

var (
	errLinkClosed = errors.New("the connection closed")
	errQueueFull  = errors.New("the connection's queue is full")
)

// linkHooks is what a link asks of the mesh.
type linkHooks struct {
	// serve runs the handler of an incoming call or cast.
	serve func(l *link, f frame)
	// leaving is told that the peer stops.
	leaving func(l *link)
	traffic *counters
	// clock stamps messages; nil means no stamps.
	clock *timeline.Clock
}

// link is one established connection to a peer.
type link struct {
	conn    *websocket.Conn
	peer    hello
	version int
	// dialer is the node that opened the connection.
	dialer string
	since  time.Time
	limits Limits
	hooks  linkHooks

	out    *outbox
	ctx    context.Context
	cancel context.CancelFunc
	// heard and used are times in nanoseconds since the epoch. Heard is shared
	// with the callback for pings.
	heard *atomic.Int64
	used  atomic.Int64

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame
	serving map[uint64]context.CancelFunc
	cause   error
}

func newLink(conn *websocket.Conn, s session, dialer string, limits Limits, hooks linkHooks) *link {
	heard := s.heard
	if heard == nil {
		heard = new(atomic.Int64)
	}
	l := &link{
		conn:    conn,
		peer:    s.peer,
		version: s.version,
		dialer:  dialer,
		since:   time.Now(),
		limits:  limits,
		hooks:   hooks,
		heard:   heard,
		out:     newOutbox(limits.MaxCalls, limits.MaxCasts),
		waiting: make(map[uint64]chan frame),
		serving: make(map[uint64]context.CancelFunc),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.heard.Store(l.since.UnixNano())
	l.used.Store(l.since.UnixNano())
	return l
}

// run moves messages until the connection ends, and returns why.
func (l *link) run() error {
	var group sync.WaitGroup
	group.Go(l.write)
	group.Go(l.watch)
	l.read()
	l.close(errLinkClosed)
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// close ends the connection. The first cause is kept, except that silence
// explains the errors that closing for it brings about.
func (l *link) close(cause error) {
	l.mu.Lock()
	if l.cause == nil || errors.Is(cause, errSilent) {
		l.cause = cause
	}
	l.mu.Unlock()
	l.cancel()
	_ = l.conn.CloseNow()
}

func (l *link) read() {
	for {
		data, err := readData(l.ctx, l.conn)
		if err != nil {
			l.close(err)
			return
		}
		l.heard.Store(time.Now().UnixNano())
		f, err := decodeFrame(data)
		if err != nil {
			l.close(err)
			return
		}
		l.hooks.traffic.received(f.Method, len(data))
		l.receive(f)
	}
}

// encode stamps a message, so that the time line keeps its causal order.
func (l *link) encode(f frame) ([]byte, error) {
	if l.hooks.clock != nil {
		stamp := l.hooks.clock.Now()
		f.Stamp = &stamp
	}
	return encodeFrame(f)
}

func (l *link) receive(f frame) {
	if f.Stamp != nil && l.hooks.clock != nil {
		l.hooks.clock.Observe(*f.Stamp)
	}
	switch f.Kind {
	case frameCall, frameCast:
		l.used.Store(time.Now().UnixNano())
		l.hooks.serve(l, f)
	case frameReply:
		l.resolve(f)
	case frameCancel:
		l.cancelServing(f.ID)
	case frameBye:
		l.hooks.leaving(l)
	default:
		if f.ID != 0 {
			l.reply(frame{ID: f.ID, Method: f.Method, Refusal: RefusalUnknownKind})
		}
	}
}

func (l *link) write() {
	for {
		item, ok := l.out.pop()
		if !ok {
			select {
			case <-l.out.ready:
				continue
			case <-l.ctx.Done():
				return
			}
		}
		if err := l.writeOne(item); err != nil {
			l.close(err)
			return
		}
	}
}

func (l *link) writeOne(item *outgoing) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.limits.WriteTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, item.data); err != nil {
		return errors.Wrap(err, "write peer message")
	}
	l.hooks.traffic.sent(item.method, len(item.data))
	return nil
}

// errSilent is the cause of closing a connection that went silent.
var errSilent = errors.New("the connection went silent")

// watch closes the connection when it goes silent. The dialing side pings,
// which proves both directions; the accepting side expects these pings.
func (l *link) watch() {
	ticker := time.NewTicker(l.limits.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
		if !l.answers() {
			l.close(errSilent)
			return
		}
	}
}

// answers says that the connection still carries messages.
func (l *link) answers() bool {
	if l.dialer == l.peer.Node {
		return time.Since(l.lastHeard()) <= 2*l.limits.PingInterval+l.limits.PingTimeout
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.limits.PingTimeout)
	defer cancel()
	if l.conn.Ping(ctx) != nil {
		return false
	}
	l.heard.Store(time.Now().UnixNano())
	return true
}

// call sends a message and waits for its reply.
func (l *link) call(ctx context.Context, method uint16, body []byte) ([]byte, error) {
	id, answer := l.expect()
	defer l.forget(id)
	data, err := l.encode(frame{Kind: frameCall, ID: id, Method: method, Body: body})
	if err != nil {
		return nil, unreachable(l.peer.Node, method, err)
	}
	item := &outgoing{data: data, method: method}
	if queued, _ := l.out.push(item); !queued {
		return nil, unreachable(l.peer.Node, method, errQueueFull)
	}
	l.used.Store(time.Now().UnixNano())
	select {
	case f := <-answer:
		return l.outcome(f)
	case <-ctx.Done():
		return nil, l.abandon(item, id, method, ctx.Err())
	case <-l.ctx.Done():
		return nil, l.abandon(item, id, method, errLinkClosed)
	}
}

func (l *link) outcome(f frame) ([]byte, error) {
	switch {
	case f.Refusal != RefusalNone:
		return nil, &Error{
			Kind: KindRefused, Node: l.peer.Node, Method: f.Method, Refusal: f.Refusal,
			Remedy: "the peer did nothing, use another node or try again later",
		}
	case f.Failure != "":
		return nil, &Error{
			Kind: KindFailed, Node: l.peer.Node, Method: f.Method, Cause: errors.New(f.Failure),
			Remedy: "look at the peer's log",
		}
	}
	return f.Body, nil
}

func (l *link) abandon(item *outgoing, id uint64, method uint16, cause error) error {
	if l.out.withdraw(item) {
		return unreachable(l.peer.Node, method, cause)
	}
	if l.version >= versionCancel && l.ctx.Err() == nil {
		l.push(frame{Kind: frameCancel, ID: id, Method: method}, true)
	}
	return lost(l.peer.Node, method, cause)
}

func (l *link) expect() (uint64, chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	answer := make(chan frame, 1)
	l.waiting[l.nextID] = answer
	return l.nextID, answer
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *link) resolve(f frame) {
	l.mu.Lock()
	answer, ok := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if ok {
		answer <- f
	}
}

// push queues a message; it returns whether a message had to be dropped.
func (l *link) push(f frame, cast bool) (dropped bool, err error) {
	data, err := l.encode(f)
	if err != nil {
		return false, err
	}
	queued, dropped := l.out.push(&outgoing{data: data, method: f.Method, cast: cast})
	return dropped || !queued, nil
}

func (l *link) reply(f frame) {
	f.Kind = frameReply
	dropped, err := l.push(f, false)
	if err != nil {
		_, _ = l.push(frame{Kind: frameReply, ID: f.ID, Method: f.Method, Failure: err.Error()}, false)
		return
	}
	if dropped {
		l.close(errQueueFull)
	}
}

// beginServing returns the context of an incoming call.
func (l *link) beginServing(id uint64, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	if id == 0 {
		return ctx, cancel
	}
	l.mu.Lock()
	l.serving[id] = cancel
	l.mu.Unlock()
	return ctx, func() {
		l.mu.Lock()
		delete(l.serving, id)
		l.mu.Unlock()
		cancel()
	}
}

func (l *link) cancelServing(id uint64) {
	l.mu.Lock()
	cancel, ok := l.serving[id]
	l.mu.Unlock()
	if ok {
		cancel()
	}
}

func (l *link) lastHeard() time.Time { return time.Unix(0, l.heard.Load()) }

func (l *link) lastUsed() time.Time { return time.Unix(0, l.used.Load()) }
