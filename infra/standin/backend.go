package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/infra"
)

// Headers of the backend protocol, which docs/PLATFORM.md describes.
const (
	HeaderRequestID     = "Wigeonwinch-Request-Id"
	HeaderWorkerRefused = "Wigeonwinch-Worker-Refused"
	// HeaderRunMS is the run time of the request on the stand-in, in
	// milliseconds.
	HeaderRunMS = "Standin-Run-Ms"
)

// Values of HeaderWorkerRefused.
const (
	RefusedSlots    = "slots"
	RefusedDraining = "draining"
	RefusedDown     = "down"
)

// BackendFaults are the faults injected into a Backend until SetFaults replaces
// them.
type BackendFaults struct {
	// FailAll answers every request immediately with status 500.
	FailAll bool
	// NeverAnswer accepts and runs requests but never answers them.
	NeverAnswer bool
	// WrongRequestID answers with a different request ID.
	WrongRequestID bool
	// TruncateAnswers closes the connection after half of every response body.
	TruncateAnswers bool
}

// BackendOptions configures a Backend.
type BackendOptions struct {
	// ID is the worker's ID.
	ID string
	// Slots is the maximum number of concurrent requests. Further requests are
	// refused.
	Slots int
	// Connections is the maximum number of open connections. Further
	// connections are closed.
	Connections int
	// Ledger records the runs. Required.
	Ledger *Ledger
}

// Backend is a minimal backend server. It runs each request for the time given
// in HeaderRunMS and answers with the request's ID.
type Backend struct {
	opts     BackendOptions
	server   *http.Server
	listener net.Listener

	mu           sync.Mutex
	faults       BackendFaults
	busy         int
	draining     bool
	down         bool
	stopped      chan struct{}
	conns        map[net.Conn]struct{}
	tasks        map[string]chan infra.ActionKind
	slotRefusals int
}

// StartBackend starts a backend that listens on the given local address.
func StartBackend(address string, opts BackendOptions) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend %s: cannot listen on the address; choose a free one", opts.ID)
	}
	b := &Backend{
		opts:     opts,
		listener: listener,
		stopped:  make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
		tasks:    map[string]chan infra.ActionKind{},
	}
	b.server = &http.Server{Handler: b, ConnState: b.trackConn, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Address returns the IP address and port that the backend listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Close shuts the backend down permanently.
func (b *Backend) Close() { _ = b.server.Close() }

// Drain implements Machine.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Undrain makes the backend accept new work again.
func (b *Backend) Undrain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = false
}

// Reboot implements Machine.
func (b *Backend) Reboot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	close(b.stopped)
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// Boot implements Machine.
func (b *Backend) Boot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = false
	b.draining = false
	b.stopped = make(chan struct{})
}

// Busy implements Machine.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

// SlotRefusals returns the number of requests refused because all slots were
// in use.
func (b *Backend) SlotRefusals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slotRefusals
}

func (b *Backend) trackConn(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[conn] = struct{}{}
		if b.down || len(b.conns) > b.opts.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}

// ServeHTTP implements http.Handler. It runs one request or answers a health
// check.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	faults, stopped, reason := b.admit(id)
	if reason != "" {
		w.Header().Set(HeaderWorkerRefused, reason)
		w.Header().Set(HeaderRequestID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.release()
	if faults.FailAll {
		b.opts.Ledger.recordFinish(id)
		w.Header().Set(HeaderRequestID, id)
		http.Error(w, "the worker fails everything", http.StatusInternalServerError)
		return
	}
	if !b.execute(r, id, stopped, faults) {
		panic(http.ErrAbortHandler)
	}
	b.writeResponse(w, id, len(body), faults)
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	unhealthy := b.down || b.faults.FailAll || b.faults.NeverAnswer
	b.mu.Unlock()
	if unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// admit reserves a slot for the request. The returned string is the reason for
// refusing the request, or empty if the request is admitted.
func (b *Backend) admit(id string) (BackendFaults, <-chan struct{}, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.down:
		return b.faults, nil, RefusedDown
	case b.draining:
		return b.faults, nil, RefusedDraining
	case b.busy >= b.opts.Slots:
		b.slotRefusals++
		return b.faults, nil, RefusedSlots
	}
	b.busy++
	b.opts.Ledger.recordStart(id)
	return b.faults, b.stopped, ""
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// execute runs the request for the time given in HeaderRunMS. It reports
// whether the request may be answered: not if the backend or the run was
// stopped, and not under NeverAnswer.
func (b *Backend) execute(r *http.Request, id string, stopped <-chan struct{}, faults BackendFaults) bool {
	total := time.Duration(0)
	if ms, err := strconv.Atoi(r.Header.Get(HeaderRunMS)); err == nil {
		total = time.Duration(ms) * time.Millisecond
	}
	if !b.runTask(id, total, stopped) {
		return false
	}
	b.opts.Ledger.recordFinish(id)
	if !faults.NeverAnswer {
		return true
	}
	select {
	case <-r.Context().Done():
	case <-stopped:
	}
	return false
}

func (b *Backend) writeResponse(w http.ResponseWriter, id string, size int, faults BackendFaults) {
	responseID := id
	if faults.WrongRequestID {
		responseID = "another-" + id
	}
	body := fmt.Sprintf("id=%s worker=%s bytes=%d\n", responseID, b.opts.ID, size)
	w.Header().Set(HeaderRequestID, responseID)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.TruncateAnswers {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}
