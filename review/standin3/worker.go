package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the workers and bounds of the deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	workerCPU   = 16_000
	workerMemMB = 65_536
	maxHoldMS   = 10_000
	stopGraceMS = 200
	startup     = 700 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	// linkTime is one way between two zones, as on the site's sheet.
	linkTime      = 1400 * time.Microsecond
	firstClockMS  = 1000
	maxListedEnds = 500
)

// worker is one life of a machine.
type worker struct {
	id, machine, service, zone, rack, kind, address string
	born                                            time.Time
	c                                               *cluster
	server                                          *http.Server
	gate                                            *gate
	gone                                            chan struct{}

	mu       sync.Mutex
	sequence int
	token    int64
	lease    int64
	lapse    *time.Timer
	runs     map[string]*run
	highest  map[string]int
	ended    []endedRun
	lastEnd  int
	changed  chan struct{}
	ending   bool
}

type run struct {
	task      string
	number    int
	startedAt time.Time
	lasts     bool
	work      time.Duration
	// savedBytes is how long the run's checkpoints are; 0 means that it saves none.
	savedBytes int
	timer      *time.Timer
	stopping   bool
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
	// saved is the last checkpoint.
	saved string
	// lapsed reports that the worker's lease lapsed after the end.
	lapsed bool
}

func (c *cluster) startWorker(id, machine, service, zone, rack, kind string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for a worker: %v", err)
	}
	w := &worker{id: id, machine: machine, service: service, zone: zone, rack: rack, kind: kind, address: l.Addr().String(), born: time.Now(), c: c,
		gone: make(chan struct{}), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	w.gate = &gate{Listener: l, conns: map[net.Conn]*gatedConn{}}
	w.lapse = time.AfterFunc(time.Hour, w.checkLease)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.gate) }()
	go w.beat()
	return w
}

// entry is what the worker says of itself in the store.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB}, "labels": []string{w.kind, w.rack},
		"machine": w.machine, "born": w.born.UnixMilli(), "clock_ms": w.clock(), "sequence": w.sequence,
	}
}

// beat writes the worker's entry at each heartbeat until the worker is gone. A worker that
// is cut off does not reach the store; its entry is removed after three intervals.
func (w *worker) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for missed := 0; ; {
		w.mu.Lock()
		ending := w.ending
		w.sequence++
		entry := w.entry()
		w.mu.Unlock()
		switch {
		case ending:
			return
		case !w.gate.isCut():
			missed = 0
			w.c.store.put(topicWorkers, w.id, entry)
		default:
			if missed++; missed == 3 {
				w.c.store.remove(topicWorkers, w.id)
			}
		}
		select {
		case <-tick.C:
		case <-w.gone:
			return
		}
	}
}

// end ends this life of the machine with all that runs on it.
func (w *worker) end() {
	w.mu.Lock()
	if w.ending {
		w.mu.Unlock()
		return
	}
	w.ending = true
	w.lapse.Stop()
	for _, r := range w.runs {
		r.timer.Stop()
		w.c.judge.runEnded(w, r, "gone")
	}
	close(w.gone)
	w.mu.Unlock()
	_ = w.server.Close()
	w.c.store.remove(topicWorkers, w.id)
}

func (w *worker) clock() int64 { return firstClockMS + time.Since(w.born).Milliseconds() }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Acked    int    `json:"acked_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(linkTime)
	status, body := w.carryOut(r, o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(linkTime)
	answerJSON(rw, status, body)
}

func (w *worker) carryOut(r *http.Request, o order) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ending {
		return 0, nil
	}
	if o.Token < w.token {
		return w.conflict("fence")
	}
	if o.Token > w.token {
		w.c.record.printf("worker %s (%s): first order with fencing token %d; the last one had %d", w.id, w.service, o.Token, w.token)
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/wigeonwinch/run-start":
		return w.start(o)
	case "/wigeonwinch/run-stop":
		return w.stop(o)
	case "/wigeonwinch/hold":
		return w.hold(r, o)
	case "/wigeonwinch/pace":
		return w.ok()
	}
	return http.StatusNotFound, struct{}{}
}

func (w *worker) ok() (int, any) { return http.StatusOK, map[string]int64{"clock_ms": w.clock()} }

func (w *worker) conflict(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason}
}

// extend moves the end of the lease; it never shortens. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	now := w.clock()
	w.lease = max(w.lease, min(deadline, now+maxHoldMS))
	if w.lease > now {
		w.lapse.Reset(time.Duration(w.lease-now)*time.Millisecond + time.Millisecond)
	}
}

func (w *worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := w.lease - w.clock(); left > 0 {
		w.lapse.Reset(time.Duration(left)*time.Millisecond + time.Millisecond)
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

// start begins a run. The caller holds the lock.
func (w *worker) start(o order) (int, any) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return w.ok()
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		w.extend(o.Deadline)
		return w.conflict("old")
	}
	if o.Deadline <= w.clock() {
		return w.conflict("late")
	}
	w.extend(o.Deadline)
	r := &run{task: o.Task, number: o.Run, startedAt: time.Now()}
	vary := time.Duration(0)
	for _, word := range strings.Fields(o.Spec) {
		if n, err := strconv.Atoi(strings.TrimPrefix(word, "work_ms=")); err == nil && strings.HasPrefix(word, "work_ms=") {
			r.work = time.Duration(n) * time.Millisecond
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(word, "saved=")); err == nil && strings.HasPrefix(word, "saved=") {
			r.savedBytes = n
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(word, "vary_ms=")); err == nil && strings.HasPrefix(word, "vary_ms=") {
			f := fnv.New32a()
			_, _ = f.Write([]byte(o.Task))
			vary = time.Duration(int(f.Sum32())%n) * time.Millisecond
		}
		r.lasts = r.lasts || word == "lasts"
	}
	w.runs[o.Task] = r
	r.work += vary
	work := r.work
	if r.lasts {
		work = time.Hour
	}
	r.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.stopping {
			w.endRun(r, "done")
		}
	})
	w.c.judge.runStarted(w, r, o)
	return w.ok()
}

// endRun lists the end of a run. The caller holds the lock.
func (w *worker) endRun(r *run, how string) {
	if w.runs[r.task] != r || w.ending {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{number: w.lastEnd, task: r.task, run: r.number, how: how, saved: r.saved()})
	w.c.judge.runEnded(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop ends a run within the grace period. The caller holds the lock.
func (w *worker) stop(o order) (int, any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		w.c.record.printf("worker %s: told to stop %s run %d, token %d", w.id, r.task, r.number, o.Token)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, "stopped")
		})
	}
	return w.ok()
}

// hold extends the lease, takes note of acknowledged ends, and returns what runs and what
// has ended. The caller holds the lock.
func (w *worker) hold(r *http.Request, o order) (int, any) {
	if o.Deadline != 0 {
		w.extend(o.Deadline)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool {
		if e.number <= o.Acked && !e.lapsed {
			w.c.judge.endNoted(w, e, o.Token)
		}
		return e.number <= o.Acked
	})
	timeout := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0 && !w.ending; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-w.gone:
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.ending {
		return 0, nil
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, r.saved(), r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

// percent is the run's progress; runs that last have 100 once they are at work.
func (r *run) percent() int {
	age := time.Since(r.startedAt)
	if r.lasts {
		if age >= startup {
			return 100
		}
		return 0
	}
	return int(min(100*age/max(r.work, 1), 99))
}

// gate is the listener of a worker that can be cut off. A cut resets the open connections;
// new ones get no answer and are dropped when the cut ends.
type gate struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]*gatedConn
	held  []net.Conn
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		if g.cut {
			g.held = append(g.held, conn)
			g.mu.Unlock()
			continue
		}
		gated := &gatedConn{Conn: conn, g: g}
		g.conns[conn] = gated
		g.mu.Unlock()
		return gated, nil
	}
}

type gatedConn struct {
	net.Conn
	g *gate
	// silent reports that nothing passes any more.
	silent atomic.Bool
}

func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence makes the open connections silent for good, without a reset. New ones work.
func (g *gate) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.silent.Store(true)
	}
	return len(g.conns)
}

func (c *gatedConn) Close() error {
	c.g.mu.Lock()
	delete(c.g.conns, c.Conn)
	c.g.mu.Unlock()
	return c.Conn.Close()
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// setCut begins or ends a cut.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	drop := g.held
	g.held = nil
	if cut {
		for conn := range g.conns {
			drop = append(drop, conn)
		}
	}
	for _, conn := range drop {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// checkpointTime is checkpoint_s.
const checkpointTime = 2 * time.Second

// saved returns the run's newest checkpoint.
func (r *run) saved() string {
	n := int(time.Since(r.startedAt) / checkpointTime)
	if r.savedBytes == 0 || n == 0 {
		return ""
	}
	name := fmt.Sprintf("%s/%d/%d/", r.task, r.number, n)
	return (name + strings.Repeat("0", r.savedBytes))[:r.savedBytes]
}

// noteListed counts an end that is still listed as taken note of, unless the lease has lapsed
// since.
func (w *worker) noteListed(task string, number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.ended {
		if e.task == task && e.run == number && !e.lapsed {
			w.c.judge.endNoted(w, e, w.token)
		}
	}
}
