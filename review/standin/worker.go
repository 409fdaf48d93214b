package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	maxHoldMS    = 10_000
	stopGrace    = 100 * time.Millisecond
	maxHoldWait  = 2000
	servesAfter  = 300 * time.Millisecond
	workerMilli  = 16_000
	workerMemory = 65_536
)

// Worker is one life of a machine that runs tasks.
type Worker struct {
	id, machine, service, zone string
	labels                     []string
	born                       time.Time
	platform                   *Platform
	listener                   *darkListener
	server                     *http.Server
	// next is the next life under the same id.
	next atomic.Pointer[Worker]
	// dark reports that the machine has no power.
	dark atomic.Bool

	mu       sync.Mutex
	gone     bool
	sequence int
	token    int64
	leaseMS  int64
	runs     map[string]*taskRun
	highest  map[string]int
	ended    []ended
	lastEnd  int
	changed  chan struct{}
	// refusesUntil is the time until which starts are answered with 503.
	refusesUntil time.Time
}

type taskRun struct {
	task    string
	run     int
	started time.Time
	lasts   bool
	timer   *time.Timer
	cpu     int
	// saveMS is the work between two checkpoints, 0 if there are none; restoredMS is
	// the work that the start's checkpoint holds.
	saveMS, restoredMS int64
	// tasks and mayMiss are the size and the budget of a lasting run's step.
	tasks, mayMiss int
}

// atWork reports whether a lasting run has begun to serve.
func (r *taskRun) atWork() bool { return r.lasts && time.Since(r.started) > servesAfter }

// saved returns the run's newest checkpoint: the work done and the task.
func (r *taskRun) saved() string {
	if r.saveMS == 0 {
		return ""
	}
	done := r.restoredMS + time.Since(r.started).Milliseconds()/r.saveMS*r.saveMS
	if done == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", done, taskHash(r.task))
}

func taskHash(task string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return h.Sum32()
}

type ended struct {
	n     int
	task  string
	run   int
	how   string
	saved string
}

func startWorker(p *Platform, machine, service, zone, rack string) *Worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := newLife(p, fmt.Sprintf("i-%08x", rand.Uint32()), machine, service, zone, rack)
	w.serveAt(&darkListener{Listener: l})
	go w.beat()
	return w
}

func newLife(p *Platform, id, machine, service, zone, rack string) *Worker {
	return &Worker{
		id: id, machine: machine, service: service, zone: zone, labels: []string{"a", rack}, born: time.Now(),
		platform: p, runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

func (w *Worker) serveAt(l *darkListener) {
	w.listener = l
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
}

// darkListener accepts connections that can go silent: nothing arrives on them
// any more and nothing is sent, as when the machine has lost its power.
type darkListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*darkConn
}

type darkConn struct {
	net.Conn
	dark chan struct{}
}

func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d := &darkConn{Conn: c, dark: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, d)
	l.mu.Unlock()
	return d, nil
}

// silence makes the open connections silent, not those that come later.
func (l *darkListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.dark)
	}
	l.conns = nil
}

func (c *darkConn) isDark() bool {
	select {
	case <-c.dark:
		return true
	default:
		return false
	}
}

func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isDark() {
		select {}
	}
	return n, err
}

func (c *darkConn) Write(b []byte) (int, error) {
	if c.isDark() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *darkConn) Close() error {
	if c.isDark() {
		return nil
	}
	return c.Conn.Close()
}

// restart ends this life without a word: its connections go silent. After the
// given time the next life begins under the same id and at the same address. It
// registers after a further time.
func (w *Worker) restart(down, register time.Duration) *Worker {
	w.listener.silence()
	w.dark.Store(true)
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.platform.judge.runGone(r.task, r.run, w.id)
	}
	lost := len(w.runs)
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	logLine("worker %s: crashes with %d runs, its connections are silent", w.id, lost)
	time.Sleep(down)
	next := newLife(w.platform, w.id, w.machine, w.service, w.zone, w.labels[1])
	// The server of the first life passes requests on to the next one.
	next.listener, next.server = w.listener, w.server
	w.next.Store(next)
	logLine("worker %s: starts again under its id, born %d", next.id, next.born.UnixMilli())
	time.AfterFunc(register, next.beat)
	return next
}

func (w *Worker) clockMS() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// beat writes the worker's entry to the store until the worker is gone.
func (w *Worker) beat() {
	for {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": workerMilli, "mem_mb": workerMemory, "gpu": 0}, "labels": w.labels,
			"machine": w.machine, "born": w.born.UnixMilli(), "clock_ms": w.clockMS(), "sequence": w.sequence,
		}
		w.platform.store.Put("keyed.servers", w.id, entry)
		w.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// crash ends this life of the machine; its connections are closed by its kernel,
// and its entry stays until three heartbeats are missing.
func (w *Worker) crash() {
	logLine("worker %s: crashes", w.id)
	w.stopServing()
	time.AfterFunc(3*heartbeat, func() { w.platform.store.Delete("keyed.servers", w.id) })
}

// end ends this life of the machine with all that runs on it, and its entry.
func (w *Worker) end() {
	w.stopServing()
	w.platform.store.Delete("keyed.servers", w.id)
}

func (w *Worker) stopServing() {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.platform.judge.runGone(r.task, r.run, w.id)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// refuseStarts makes the worker answer starts with 503 for a time.
func (w *Worker) refuseStarts(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusesUntil = time.Now().Add(d)
	logLine("worker %s: answers starts with 503 for %s", w.id, d)
}

func (w *Worker) runsTask(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task] != nil
}

func (w *Worker) usedMilli() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, r := range w.runs {
		sum += r.cpu
	}
	return sum
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Acked    int    `json:"acked_upto"`
	WaitMS   int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
	Saved    string `json:"checkpoint"`
}

func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if next := w.next.Load(); next != nil {
		next.ServeHTTP(rw, r)
		return
	}
	if w.dark.Load() {
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	w.expireLease()
	switch r.URL.Path {
	case "/wigeonwinch/run-start":
		w.start(rw, o)
	case "/wigeonwinch/run-stop":
		w.stop(rw, o)
	case "/wigeonwinch/hold":
		w.hold(rw, r, o)
	case "/wigeonwinch/pace":
		w.mu.Unlock()
		w.ok(rw)
	default:
		w.mu.Unlock()
		http.NotFound(rw, r)
	}
}

func (w *Worker) ok(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMS()})
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

// extend takes over a deadline; it never shortens. The caller holds the lock.
func (w *Worker) extend(deadline int64) {
	w.leaseMS = max(w.leaseMS, min(deadline, w.clockMS()+maxHoldMS))
}

// expireLease ends everything if the lease has run out. The caller holds the lock.
func (w *Worker) expireLease() {
	if w.clockMS() < w.leaseMS {
		return
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

// endRun lists the end of a run. The caller holds the lock.
func (w *Worker) endRun(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, ended{w.lastEnd, r.task, r.run, how, r.saved()})
	w.platform.judge.runEnded(r.task, r.run, w.id, how)
	w.wake()
}

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// start begins a run. A task's spec says how long it works: "work_ms=N" or "lasts",
// and after a blank how much it uses: "cpu=N".
func (w *Worker) start(rw http.ResponseWriter, o order) {
	if time.Now().Before(w.refusesUntil) {
		w.mu.Unlock()
		logLine("worker %s: refuses %s run %d with 503", w.id, o.Task, o.Run)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		w.mu.Unlock()
		w.ok(rw)
		return
	}
	reason := ""
	switch {
	case o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil:
		reason = "old"
		w.extend(o.Deadline)
	case o.Deadline <= w.clockMS():
		reason = "late"
	}
	if reason != "" {
		w.mu.Unlock()
		w.refuse(rw, reason)
		return
	}
	w.extend(o.Deadline)
	r := &taskRun{task: o.Task, run: o.Run, started: time.Now()}
	work := 24 * time.Hour
	for _, word := range strings.Fields(o.Spec) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work_ms":
			work = time.Duration(n) * time.Millisecond
		case "cpu":
			r.cpu = n
		case "save_ms":
			r.saveMS = int64(n)
		case "lasts":
			r.lasts = true
		case "tasks":
			r.tasks = n
		case "may_miss":
			r.mayMiss = n
		}
	}
	if o.Saved != "" {
		var hash uint32
		if _, err := fmt.Sscanf(o.Saved, "%08x%08x", &r.restoredMS, &hash); err != nil || hash != taskHash(o.Task) {
			w.platform.judge.breakRule("UNASKED: %s run %d is told to start on %s with the checkpoint %q", o.Task, o.Run, w.id, o.Saved)
		}
		work -= time.Duration(r.restoredMS) * time.Millisecond
	}
	w.runs[o.Task] = r
	r.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease()
		w.endRun(r, "done")
	})
	w.platform.judge.runStarted(r, w.id)
	w.mu.Unlock()
	w.ok(rw)
}

func (w *Worker) stop(rw http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		logLine("worker %s: is told to stop %s run %d", w.id, o.Task, r.run)
		if r.atWork() && r.tasks > 0 {
			w.platform.judge.checkStop(r, w.id)
		}
		time.AfterFunc(stopGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, "stopped")
		})
	}
	w.mu.Unlock()
	w.ok(rw)
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline != 0 {
		w.extend(o.Deadline)
	}
	n := 0
	for n < len(w.ended) && w.ended[n].n <= o.Acked {
		w.platform.judge.endAcked(w.ended[n].task, w.ended[n].run, w.id, w.ended[n].how)
		n++
	}
	w.ended = append([]ended(nil), w.ended[n:]...)
	deadline := time.Now().Add(time.Duration(min(o.WaitMS, maxHoldWait)) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && !w.gone {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	w.expireLease()
	running, list := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent, figure := 50, t.cpu
		if t.atWork() {
			percent = 100
		}
		running = append(running, []any{t.task, t.run, t.saved(), percent, figure})
	}
	for i, e := range w.ended {
		if i == 500 {
			break
		}
		list = append(list, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "ended": list}
	gone := w.gone
	w.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	answer(rw, http.StatusOK, body)
}
