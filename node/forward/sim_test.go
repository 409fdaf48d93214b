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

// The headers by which the fake callers and workers understand each other.
const (
	headerArrival = "X-Arrival"
	headerRun     = "X-Run-Ms"
)

// simConn is one end of a connection that can lose track of the other.
type simConn struct {
	net.Conn
	*simLink
	once   sync.Once
	closed chan struct{}
}

// simLink is what both ends of a connection share.
type simLink struct {
	from, to string
	// stall waits while a node is paused.
	stall  func(ctx context.Context, node string)
	silent atomic.Bool
	killed atomic.Bool
}

func (c *simConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stall(context.Background(), c.from)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *simConn) Write(p []byte) (int, error) {
	c.stall(context.Background(), c.from)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *simConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// simListener accepts the connections of a fake network.
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

// simWire is the fake network of one round.
type simWire struct {
	lock      sync.Mutex
	listeners map[string]*simListener
	conns     []*simConn
	blocked   func(from, to string) bool
	stall     func(ctx context.Context, node string)
}

func (w *simWire) listen(address string) *simListener {
	w.lock.Lock()
	defer w.lock.Unlock()
	l := newSimListener(address)
	w.listeners[address] = l
	return l
}

func (w *simWire) dial(ctx context.Context, from, to string) (net.Conn, error) {
	w.lock.Lock()
	l := w.listeners[to]
	w.lock.Unlock()
	if l == nil || w.blocked(from, to) {
		return nil, errCut
	}
	a, b := net.Pipe()
	link := &simLink{from: from, to: to, stall: w.stall}
	near := &simConn{Conn: a, simLink: link, closed: make(chan struct{})}
	far := &simConn{Conn: b, simLink: link, closed: make(chan struct{})}
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errCut
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.conns = append(w.conns, near, far)
	return near, nil
}

// each calls visit for the connections that match.
func (w *simWire) each(match func(*simLink) bool, visit func(*simConn)) {
	w.lock.Lock()
	conns := append([]*simConn(nil), w.conns...)
	w.lock.Unlock()
	for _, c := range conns {
		if match(c.simLink) {
			visit(c)
		}
	}
}

// ledger counts runs and ends, independently of the servers.
type ledger struct {
	lock       sync.Mutex
	byID       map[string]int
	byArrival  map[string]int
	single     map[string]bool // ids and arrivals that may run once only
	violations []string
	arrivals   int
	ends       map[string]int
	runs       int
	when       map[string][]string
}

func newLedger() *ledger {
	return &ledger{byID: map[string]int{}, byArrival: map[string]int{}, single: map[string]bool{}, ends: map[string]int{}, when: map[string][]string{}}
}

func (l *ledger) violated(format string, args ...any) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.violations = append(l.violations, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *ledger) started(id, arrival string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.runs++
	l.when[id] = append(l.when[id], time.Now().Format("04:05.000 ")+arrival)
	l.byID[id]++
	l.byArrival[arrival]++
	if l.single[id] && l.byID[id] > 1 || l.single[arrival] && l.byArrival[arrival] > 1 {
		l.violations = append(l.violations, fmt.Sprintf("%s second run of %s: %v", time.Now().Format("04:05.000"), arrival, l.when[id]))
	}
}

func (l *ledger) ran(id, arrival string, repeatable bool) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	if repeatable {
		return l.byArrival[arrival]
	}
	return l.byID[id]
}

// simWorker is a backend server with faults.
type simWorker struct {
	id, zone string
	ledger   *ledger
	server   *http.Server

	lock    sync.Mutex
	slots   int
	busy    map[*simLink]int
	fault   string
	refuses bool // takes nothing new
	down    bool // closes connections
	failed  bool // went down with work in progress
	acked   bool // every entry node acknowledged the drain
	// draining says that a drain goes on.
	draining bool
	// notActive says since when a node's view takes the worker out.
	notActive func(node, vm string) (time.Time, bool)
}

// answerText is the whole answer to an id; one in twelve is long.
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
	if why := w.begin(link); why != "" {
		rw.Header().Set(HeaderWorkerRefused, why)
		if why == "draining" {
			rw.Header().Set("Connection", "close")
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.ledger.started(id, arrival)
	ms, _ := strconv.Atoi(r.Header.Get(headerRun))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		if r.Header.Get(HeaderRepeatable) == "no" && !link.silent.Load() && !link.killed.Load() && !w.hasFailed() {
			w.ledger.violated("cut %s on %s", id, w.id)
		}
	}
	w.answer(rw, id, w.end(link))
}

// begin takes a slot, or says why not.
func (w *simWorker) begin(link *simLink) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	total := 0
	for _, n := range w.busy {
		total += n
	}
	switch {
	case w.down:
		panic(http.ErrAbortHandler)
	case w.refuses:
		return "draining"
	case total >= w.slots:
		return "slots"
	}
	if w.acked && !link.killed.Load() {
		w.ledger.violated("new work on %s from %s after the acknowledged drain", w.id, link.from)
	}
	if at, out := w.notActive(link.from, w.id); out && time.Since(at) > 3*time.Second && !link.killed.Load() {
		w.ledger.violated("new work on %s from %s %v after the sign", w.id, link.from, time.Since(at))
	}
	w.busy[link]++
	return ""
}

func (w *simWorker) end(link *simLink) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.busy[link]--; w.busy[link] == 0 {
		delete(w.busy, link)
	}
	return w.fault
}

func (w *simWorker) hasFailed() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.failed
}

// busyFromLive counts the work in progress for nodes that still run.
func (w *simWorker) busyFromLive() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	total := 0
	for link, n := range w.busy {
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

// simLinkKey finds the link of a connection in its context.
type simLinkKey struct{}

func serveSim(l *simListener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, simLinkKey{}, c.(*simConn).simLink)
	}}
	go func() { _ = server.Serve(l) }()
	return server
}
