package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The headers between the simulated callers and workers.
const (
	headerArrival = "X-Arrival"
	headerRun     = "X-Run-Ms"
)

// simConn is one end of a connection that can become silent: reads block and
// writes are discarded.
type simConn struct {
	net.Conn
	*simLink
	once   sync.Once
	closed chan struct{}
}

// simLink is the state shared by both ends of a connection.
type simLink struct {
	from, to string
	// waitPaused blocks while a node is paused.
	waitPaused func(ctx context.Context, node string)
	silent     atomic.Bool
	killed     atomic.Bool
}

func (c *simConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitPaused(context.Background(), c.from)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *simConn) Write(p []byte) (int, error) {
	c.waitPaused(context.Background(), c.from)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *simConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// simListener accepts the connections of a simulated network.
type simListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newSimListener(address string) *simListener {
	return &simListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *simListener) Addr() net.Addr { return simAddr(l.address) }

type simAddr string

func (a simAddr) Network() string { return "sim" }
func (a simAddr) String() string  { return string(a) }

// simNetwork is the simulated network of one round.
type simNetwork struct {
	lock        sync.Mutex
	listeners   map[string]*simListener
	conns       []*simConn
	unreachable func(from, to string) bool
	waitPaused  func(ctx context.Context, node string)
}

func (w *simNetwork) listen(address string) *simListener {
	w.lock.Lock()
	defer w.lock.Unlock()
	l := newSimListener(address)
	w.listeners[address] = l
	return l
}

func (w *simNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	w.lock.Lock()
	l := w.listeners[to]
	w.lock.Unlock()
	if l == nil || w.unreachable(from, to) {
		return nil, errUnreachable
	}
	a, b := net.Pipe()
	link := &simLink{from: from, to: to, waitPaused: w.waitPaused}
	near := &simConn{Conn: a, simLink: link, closed: make(chan struct{})}
	far := &simConn{Conn: b, simLink: link, closed: make(chan struct{})}
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.conns = append(w.conns, near, far)
	return near, nil
}

// forEachConn calls visit for every connection that matches.
func (w *simNetwork) forEachConn(match func(*simLink) bool, visit func(*simConn)) {
	w.lock.Lock()
	conns := append([]*simConn(nil), w.conns...)
	w.lock.Unlock()
	for _, c := range conns {
		if match(c.simLink) {
			visit(c)
		}
	}
}

// runLedger counts runs and outcomes, independently of the servers.
type runLedger struct {
	lock       sync.Mutex
	byID       map[string]int
	byArrival  map[string]int
	runOnce    map[string]bool // IDs and arrivals that may run only once
	violations []string
	arrivals   int
	outcomes   map[string]int
	runs       int
	starts     map[string][]string
}

func newRunLedger() *runLedger {
	return &runLedger{byID: map[string]int{}, byArrival: map[string]int{}, runOnce: map[string]bool{}, outcomes: map[string]int{}, starts: map[string][]string{}}
}

func (l *runLedger) addViolation(format string, args ...any) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.violations = append(l.violations, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *runLedger) recordRun(id, arrival string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.runs++
	l.starts[id] = append(l.starts[id], time.Now().Format("04:05.000 ")+arrival)
	l.byID[id]++
	l.byArrival[arrival]++
	if l.runOnce[id] && l.byID[id] > 1 || l.runOnce[arrival] && l.byArrival[arrival] > 1 {
		l.violations = append(l.violations, fmt.Sprintf("%s second run of %s: %v", time.Now().Format("04:05.000"), arrival, l.starts[id]))
	}
}

func (l *runLedger) runCount(id, arrival string, repeatable bool) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	if repeatable {
		return l.byArrival[arrival]
	}
	return l.byID[id]
}

// simWorker is a backend server with injected faults.
type simWorker struct {
	id, zone string
	ledger   *runLedger
	server   *http.Server

	lock              sync.Mutex
	slots             int
	inProgress        map[*simLink]int
	fault             string
	refusesWork       bool // refuses new requests
	down              bool // closes connections
	failed            bool // was down with requests in progress
	drainAcknowledged bool // every entry node acknowledged the drain
	// draining is set while a drain is in progress.
	draining bool
	// inactiveSince returns the time since which a node's view lists the
	// worker as not active.
	inactiveSince func(node, vm string) (time.Time, bool)
}

// answerText returns the complete answer for an ID. It is long for one in
// twelve IDs.
func answerText(id string) string {
	size := 20
	if len(id) > 0 && id[len(id)-1]%12 == 0 {
		size = 20_000
	}
	return strings.Repeat("answer to "+id+";", size/len(id)+1)
}

func (w *simWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	link := r.Context().Value(simLinkKey{}).(*simLink)
	_, _ = io.Copy(io.Discard, r.Body)
	id, arrival := r.Header.Get(HeaderRequestID), r.Header.Get(headerArrival)
	rw.Header().Set(HeaderRequestID, id)
	if refusal := w.acquireSlot(link); refusal != "" {
		rw.Header().Set(HeaderWorkerRefused, refusal)
		if refusal == "draining" {
			rw.Header().Set("Connection", "close")
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.ledger.recordRun(id, arrival)
	ms, _ := strconv.Atoi(r.Header.Get(headerRun))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		if r.Header.Get(HeaderRepeatable) == "no" && !link.silent.Load() && !link.killed.Load() && !w.hasFailed() {
			w.ledger.addViolation("request %s was interrupted on %s", id, w.id)
		}
	}
	w.answer(rw, id, w.releaseSlot(link))
}

// acquireSlot takes a slot. It returns the reason if it refuses the request,
// otherwise an empty string.
func (w *simWorker) acquireSlot(link *simLink) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	total := 0
	for _, n := range w.inProgress {
		total += n
	}
	switch {
	case w.down:
		panic(http.ErrAbortHandler)
	case w.refusesWork:
		return "draining"
	case total >= w.slots:
		return "slots"
	}
	if w.drainAcknowledged && !link.killed.Load() {
		w.ledger.addViolation("new request on %s from %s after the drain was acknowledged", w.id, link.from)
	}
	if at, inactive := w.inactiveSince(link.from, w.id); inactive && time.Since(at) > 3*time.Second && !link.killed.Load() {
		w.ledger.addViolation("new request on %s from %s %v after the worker became inactive in the view", w.id, link.from, time.Since(at))
	}
	w.inProgress[link]++
	return ""
}

func (w *simWorker) releaseSlot(link *simLink) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.inProgress[link]--; w.inProgress[link] == 0 {
		delete(w.inProgress, link)
	}
	return w.fault
}

func (w *simWorker) hasFailed() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.failed
}

// inProgressFromLive counts the requests in progress whose link is neither
// killed nor silent.
func (w *simWorker) inProgressFromLive() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	total := 0
	for link, n := range w.inProgress {
		if !link.killed.Load() && !link.silent.Load() {
			total += n
		}
	}
	return total
}

func (w *simWorker) answer(rw http.ResponseWriter, id, fault string) {
	text := answerText(id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault {
	case "crossed":
		rw.Header().Set(HeaderRequestID, "another")
		text = answerText("another")
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	case "truncated":
		_, _ = io.WriteString(rw, text[:len(text)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	case "lost":
		panic(http.ErrAbortHandler)
	case "late":
		time.Sleep(3 * time.Second)
	case "fails":
		rw.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(rw, text)
}

// simLinkKey is the context key of a connection's link.
type simLinkKey struct{}

func serveSim(l *simListener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, simLinkKey{}, c.(*simConn).simLink)
	}}
	go func() { _ = server.Serve(l) }()
	return server
}
