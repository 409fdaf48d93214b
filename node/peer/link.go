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
	errLinkClosed = errors.New("connection closed")
	errQueueFull  = errors.New("send queue of the connection is full")
)

// linkHooks connects a link to its mesh.
type linkHooks struct {
	// dispatch runs the handler of an incoming call or cast.
	dispatch func(l *link, f frame)
	// markLeaving is called when the peer announces that it stops.
	markLeaving func(l *link)
	traffic     *trafficCounters
	// clock stamps messages. Messages are not stamped if it is nil.
	clock *timeline.Clock
}

// link is an established connection to a peer.
type link struct {
	conn    *websocket.Conn
	peer    hello
	version int
	// dialer is the name of the node that opened the connection.
	dialer      string
	established time.Time
	limits      Limits
	hooks       linkHooks

	out    *outbox
	ctx    context.Context
	cancel context.CancelFunc
	// lastContactNanos is when the last message, ping or pong was received, and
	// lastUseNanos when the last call or cast was received or the last call was
	// sent. Both are in nanoseconds since the Unix epoch. The callback for
	// incoming pings updates lastContactNanos too.
	lastContactNanos *atomic.Int64
	lastUseNanos     atomic.Int64

	mu             sync.Mutex
	nextID         uint64
	pendingCalls   map[uint64]chan frame
	activeHandlers map[uint64]context.CancelFunc
	cause          error
}

func newLink(conn *websocket.Conn, s session, dialer string, limits Limits, hooks linkHooks) *link {
	lastContactNanos := s.lastPingNanos
	if lastContactNanos == nil {
		lastContactNanos = new(atomic.Int64)
	}
	l := &link{
		conn:             conn,
		peer:             s.peer,
		version:          s.version,
		dialer:           dialer,
		established:      time.Now(),
		limits:           limits,
		hooks:            hooks,
		lastContactNanos: lastContactNanos,
		out:              newOutbox(limits.MaxCalls, limits.MaxCasts),
		pendingCalls:     make(map[uint64]chan frame),
		activeHandlers:   make(map[uint64]context.CancelFunc),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.lastContactNanos.Store(l.established.UnixNano())
	l.lastUseNanos.Store(l.established.UnixNano())
	return l
}

// run sends and receives messages until the connection ends. It returns the
// cause of the end.
func (l *link) run() error {
	var group sync.WaitGroup
	group.Go(l.write)
	group.Go(l.monitorLiveness)
	l.read()
	l.close(errLinkClosed)
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// close ends the connection. The first cause is kept, except that errSilent
// replaces it: closing a silent connection makes reads and writes fail, and
// their errors must not hide the reason.
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
		data, err := readBinaryMessage(l.ctx, l.conn)
		if err != nil {
			l.close(err)
			return
		}
		l.lastContactNanos.Store(time.Now().UnixNano())
		f, err := decodeFrame(data)
		if err != nil {
			l.close(err)
			return
		}
		l.hooks.traffic.addReceived(f.Method, len(data))
		l.handleFrame(f)
	}
}

// encode stamps and encodes a message. The stamp lets the receiver order its
// own events after those that caused the message.
func (l *link) encode(f frame) ([]byte, error) {
	if l.hooks.clock != nil {
		stamp := l.hooks.clock.Now()
		f.Stamp = &stamp
	}
	return encodeFrame(f)
}

func (l *link) handleFrame(f frame) {
	if f.Stamp != nil && l.hooks.clock != nil {
		l.hooks.clock.Observe(*f.Stamp)
	}
	switch f.Kind {
	case frameCall, frameCast:
		l.lastUseNanos.Store(time.Now().UnixNano())
		l.hooks.dispatch(l, f)
	case frameReply:
		l.deliverReply(f)
	case frameCancel:
		l.cancelHandler(f.ID)
	case frameLeaving:
		l.hooks.markLeaving(l)
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
	l.hooks.traffic.addSent(item.method, len(item.data))
	return nil
}

// errSilent is the cause of closing a connection on which the peer no longer
// responds.
var errSilent = errors.New("the peer did not respond within the timeout")

// monitorLiveness closes the connection when the peer stops responding. The
// dialing side sends pings, whose pongs verify both directions. The accepting
// side expects these pings.
func (l *link) monitorLiveness() {
	ticker := time.NewTicker(l.limits.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
		if !l.responsive() {
			l.close(errSilent)
			return
		}
	}
}

// responsive reports whether the connection still carries messages.
func (l *link) responsive() bool {
	if l.dialer == l.peer.Node {
		return time.Since(l.lastContact()) <= 2*l.limits.PingInterval+l.limits.PingTimeout
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.limits.PingTimeout)
	defer cancel()
	if l.conn.Ping(ctx) != nil {
		return false
	}
	l.lastContactNanos.Store(time.Now().UnixNano())
	return true
}

// call sends a call and waits for its reply.
func (l *link) call(ctx context.Context, method uint16, body []byte) ([]byte, error) {
	id, reply := l.addPendingCall()
	defer l.removePendingCall(id)
	data, err := l.encode(frame{Kind: frameCall, ID: id, Method: method, Body: body})
	if err != nil {
		return nil, unreachable(l.peer.Node, method, err)
	}
	item := &outgoing{data: data, method: method}
	if queued, _ := l.out.push(item); !queued {
		return nil, unreachable(l.peer.Node, method, errQueueFull)
	}
	l.lastUseNanos.Store(time.Now().UnixNano())
	select {
	case f := <-reply:
		return l.replyResult(f)
	case <-ctx.Done():
		return nil, l.abandonCall(item, id, method, ctx.Err())
	case <-l.ctx.Done():
		return nil, l.abandonCall(item, id, method, errLinkClosed)
	}
}

func (l *link) replyResult(f frame) ([]byte, error) {
	switch {
	case f.Refusal != RefusalNone:
		return nil, &Error{
			Kind: KindRefused, Node: l.peer.Node, Method: f.Method, Refusal: f.Refusal,
			Remedy: "the peer did not process the message, use another node or try again later",
		}
	case f.Failure != "":
		return nil, &Error{
			Kind: KindFailed, Node: l.peer.Node, Method: f.Method, Cause: errors.New(f.Failure),
			Remedy: "check the peer's log",
		}
	}
	return f.Body, nil
}

func (l *link) abandonCall(item *outgoing, id uint64, method uint16, cause error) error {
	if l.out.withdraw(item) {
		return unreachable(l.peer.Node, method, cause)
	}
	if l.version >= versionCancel && l.ctx.Err() == nil {
		l.enqueue(frame{Kind: frameCancel, ID: id, Method: method}, true)
	}
	return lost(l.peer.Node, method, cause)
}

func (l *link) addPendingCall() (uint64, chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	reply := make(chan frame, 1)
	l.pendingCalls[l.nextID] = reply
	return l.nextID, reply
}

func (l *link) removePendingCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, id)
}

func (l *link) deliverReply(f frame) {
	l.mu.Lock()
	reply, ok := l.pendingCalls[f.ID]
	delete(l.pendingCalls, f.ID)
	l.mu.Unlock()
	if ok {
		reply <- f
	}
}

// enqueue encodes a message and queues it for sending. It reports whether this
// message or an older cast was dropped because the queue is full.
func (l *link) enqueue(f frame, cast bool) (dropped bool, err error) {
	data, err := l.encode(f)
	if err != nil {
		return false, err
	}
	queued, dropped := l.out.push(&outgoing{data: data, method: f.Method, cast: cast})
	return dropped || !queued, nil
}

func (l *link) reply(f frame) {
	f.Kind = frameReply
	dropped, err := l.enqueue(f, false)
	if err != nil {
		_, _ = l.enqueue(frame{Kind: frameReply, ID: f.ID, Method: f.Method, Failure: err.Error()}, false)
		return
	}
	if dropped {
		l.close(errQueueFull)
	}
}

// startHandler returns the context of a handler and the function that releases
// it. The handler of a call, which has an ID, can be canceled by the peer.
func (l *link) startHandler(id uint64, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	if id == 0 {
		return ctx, cancel
	}
	l.mu.Lock()
	l.activeHandlers[id] = cancel
	l.mu.Unlock()
	return ctx, func() {
		l.mu.Lock()
		delete(l.activeHandlers, id)
		l.mu.Unlock()
		cancel()
	}
}

func (l *link) cancelHandler(id uint64) {
	l.mu.Lock()
	cancel, ok := l.activeHandlers[id]
	l.mu.Unlock()
	if ok {
		cancel()
	}
}

func (l *link) lastContact() time.Time { return time.Unix(0, l.lastContactNanos.Load()) }

func (l *link) lastUsed() time.Time { return time.Unix(0, l.lastUseNanos.Load()) }
