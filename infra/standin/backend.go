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

// Headers of the backend protocol; docs/PLATFORM.md describes them.
const (
	HeaderRequestID     = "Wigeonwinch-Request-Id"
	HeaderWorkerRefused = "Wigeonwinch-Worker-Refused"
	// HeaderRunMS tells the stand-in how long to work, in milliseconds.
	HeaderRunMS = "Standin-Run-Ms"
)

// Reasons in the HeaderWorkerRefused header.
const (
	RefusedSlots    = "slots"
	RefusedDraining = "draining"
	RefusedDown     = "down"
)

// BackendFaults are the failures a Backend shows until they are changed.
type BackendFaults struct {
	// FailAll answers every request with status 500 at once.
	FailAll bool
	// Silent takes requests and never answers them.
	Silent bool
	// Crossed answers with another request's ID.
	Crossed bool
	// Truncated cuts every answer in the middle.
	Truncated bool
}

// BackendOptions describes a Backend.
type BackendOptions struct {
	// ID is the worker's ID.
	ID string
	// Slots is how many requests run at once; more are refused.
	Slots int
	// Connections is how many connections are accepted; more are closed.
	Connections int
	// Ledger counts the runs. Required.
	Ledger *Ledger
}

// Backend is a small backend server: it works for as long as a request says
// and answers with the request's ID.
type Backend struct {
	opts     BackendOptions
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	faults   BackendFaults
	busy     int
	draining bool
	down     bool
	stopped  chan struct{}
	conns    map[net.Conn]struct{}
	tasks    map[string]chan infra.ActionKind
	refused  int
}

// StartBackend listens on an address of this machine and serves.
func StartBackend(address string, opts BackendOptions) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend %s: choose a free address", opts.ID)
	}
	b := &Backend{
		opts:     opts,
		listener: listener,
		stopped:  make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
		tasks:    map[string]chan infra.ActionKind{},
	}
	b.server = &http.Server{Handler: b, ConnState: b.connState, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Address returns the IP address and port that the backend serves.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFaults replaces the failures that the backend shows.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Close stops the backend for good.
func (b *Backend) Close() { _ = b.server.Close() }

// Drain implements Machine.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Undrain takes new work again.
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

// Refused returns the number of requests refused for want of a slot.
func (b *Backend) Refused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

func (b *Backend) connState(conn net.Conn, state http.ConnState) {
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

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.health(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	faults, stopped, reason := b.begin(id)
	if reason != "" {
		w.Header().Set(HeaderWorkerRefused, reason)
		w.Header().Set(HeaderRequestID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	if faults.FailAll {
		b.opts.Ledger.finished(id)
		w.Header().Set(HeaderRequestID, id)
		http.Error(w, "the worker fails everything", http.StatusInternalServerError)
		return
	}
	if !b.work(r, id, stopped, faults) {
		panic(http.ErrAbortHandler)
	}
	b.reply(w, id, len(body), faults)
}

func (b *Backend) health(w http.ResponseWriter) {
	b.mu.Lock()
	bad := b.down || b.faults.FailAll || b.faults.Silent
	b.mu.Unlock()
	if bad {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// begin takes a slot, or says why not.
func (b *Backend) begin(id string) (BackendFaults, <-chan struct{}, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.down:
		return b.faults, nil, RefusedDown
	case b.draining:
		return b.faults, nil, RefusedDraining
	case b.busy >= b.opts.Slots:
		b.refused++
		return b.faults, nil, RefusedSlots
	}
	b.busy++
	b.opts.Ledger.started(id)
	return b.faults, b.stopped, ""
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// work runs for as long as the request says. It returns false when the run
// was cut, stopped or stays silent.
func (b *Backend) work(r *http.Request, id string, stopped <-chan struct{}, faults BackendFaults) bool {
	total := time.Duration(0)
	if ms, err := strconv.Atoi(r.Header.Get(HeaderRunMS)); err == nil {
		total = time.Duration(ms) * time.Millisecond
	}
	if !b.runTask(id, total, stopped) {
		return false
	}
	b.opts.Ledger.finished(id)
	if !faults.Silent {
		return true
	}
	select {
	case <-r.Context().Done():
	case <-stopped:
	}
	return false
}

func (b *Backend) reply(w http.ResponseWriter, id string, size int, faults BackendFaults) {
	answered := id
	if faults.Crossed {
		answered = "another-" + id
	}
	answer := fmt.Sprintf("id=%s worker=%s bytes=%d\n", answered, b.opts.ID, size)
	w.Header().Set(HeaderRequestID, answered)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.Truncated {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}
