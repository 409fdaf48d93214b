package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHoldMS = 6000
)

type run struct {
	task    string
	number  int
	started time.Time
	lasting bool
	stop    *time.Timer
}

type runEnd struct {
	n          int
	task       string
	number     int
	how, saved string
}

// worker is a stand-in for one worker. A task's duration stands in its spec: "ms=850",
// or "last" for a task that lasts.
type worker struct {
	id, machine, service, zone, rack string
	cpu                              int
	store                            *store
	log                              func(format string, args ...any)
	server                           *httptest.Server
	born                             time.Time

	mu       sync.Mutex
	sequence int
	fence    int64
	leaseMS  int64
	runs     map[string]*run
	highest  map[string]int
	ends     []runEnd
	lastEnd  int
	changed  chan struct{}
	gone     bool
	// unhealthy workers answer each start with 503 and do nothing.
	unhealthy bool
	// begun counts the starts of each job.
	begun func(job string)
	gangs *gangs
	// permits checks the ticket of a start; nil on workers of queues without advice.
	permits func(task, worker, ticket string) bool
	// rejected counts the starts rejected for want of a ticket.
	rejected int
	// aloneAt is when runs have ended alone.
	aloneAt []time.Time
}

func startWorker(s *store, id, service, zone, rack string, cpu int, log func(string, ...any), begun func(job string), g *gangs) *worker {
	w := &worker{id: id, machine: "m-" + id, service: service, zone: zone, rack: rack, cpu: cpu, store: s, log: log, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), begun: begun, gangs: g}
	w.server = httptest.NewServer(w)
	go w.report()
	go w.watchLease()
	return w
}

func (w *worker) address() string { return strings.TrimPrefix(w.server.URL, "http://") }

func (w *worker) clockMS() int64 { return time.Since(w.born).Milliseconds() + 100_000 }

func (w *worker) report() {
	for {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.sequence++
		entry := map[string]any{"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clockMS(), "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": w.machine}
		w.mu.Unlock()
		data, _ := json.Marshal(entry)
		w.store.put("keyed.servers", w.id, data)
		time.Sleep(heartbeat)
	}
}

// crash ends the worker: its connections are closed, and all that it knew is lost.
func (w *worker) crash() {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		if r.stop != nil {
			r.stop.Stop()
		}
		w.log("worker %s: %s run %d is lost with the worker", w.id, r.task, r.number)
		go w.gangs.leave(r.task, r.number)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	w.server.CloseClientConnections()
	w.server.Listener.Close()
	w.server.CloseClientConnections()
	time.AfterFunc(3*heartbeat, func() { w.store.put("keyed.servers", w.id, nil) })
}

func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.clockMS() > w.leaseMS {
			for task, r := range w.runs {
				w.end(task, "lapsed", "")
				go w.gangs.leave(task, r.number)
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(task, how, saved string) {
	r := w.runs[task]
	if r == nil {
		return
	}
	if r.stop != nil {
		r.stop.Stop()
	}
	delete(w.runs, task)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{w.lastEnd, task, r.number, how, saved})
	w.log("worker %s: %s run %d ended %s %s", w.id, task, r.number, how, saved)
	if how == "alone" {
		w.aloneAt = append(w.aloneAt, time.Now())
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// countAlone counts the runs that have ended alone more than contact_ms after a time.
func (w *worker) countAlone(after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.aloneAt {
		if at.Sub(after) > 3*time.Second {
			n++
		}
	}
	return n
}

// endRun ends one run of a task, if it is still there.
func (w *worker) endRun(task string, number int, how, saved string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[task]; r != nil && r.number == number {
		w.end(task, how, saved)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/wigeonwinch/run-start" && w.unhealthy {
		w.log("worker %s: start of %s run %d is answered 503", w.id, o.Task, o.Run)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/wigeonwinch/run-start":
		w.start(rw, o)
	case "/wigeonwinch/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if running := w.runs[o.Task]; running != nil && running.number <= o.Run {
			saved := w.gangs.checkpoint(o.Task, running.number)
			w.end(o.Task, "stopped", saved)
			go w.gangs.leave(o.Task, running.number)
		}
		w.answer(rw, http.StatusOK, "")
	case "/wigeonwinch/pace":
		w.answer(rw, http.StatusOK, "")
	case "/wigeonwinch/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) extend(deadlineMS int64) {
	w.leaseMS = max(w.leaseMS, min(deadlineMS, w.clockMS()+maxHoldMS))
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.DeadlineMS)
		w.answer(rw, http.StatusOK, "")
		return
	}
	if w.runs[o.Task] != nil || o.Run <= w.highest[o.Task] {
		w.extend(o.DeadlineMS)
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	if o.DeadlineMS <= w.clockMS() {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	if w.permits != nil && !w.permits(o.Task, w.id, o.Ticket) {
		w.logRejected(o)
		w.answer(rw, http.StatusConflict, "ticket")
		return
	}
	w.extend(o.DeadlineMS)
	r := &run{task: o.Task, number: o.Run, started: time.Now(), lasting: strings.HasPrefix(o.Spec, "last")}
	w.runs[o.Task] = r
	w.highest[o.Task] = o.Run
	if strings.HasPrefix(o.Spec, "gang=") {
		go w.gangs.join(w, o)
	} else if !r.lasting {
		ms := 850
		_, _ = fmt.Sscanf(o.Spec, "ms=%d", &ms)
		r.stop = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == r {
				w.end(o.Task, "done", "")
			}
		})
	}
	w.log("worker %s: %s run %d starts %s", w.id, o.Task, o.Run, o.Checkpoint)
	w.begun(strings.SplitN(o.Task, ".", 2)[0])
	w.answer(rw, http.StatusOK, "")
}

// logRejected records a start that is rejected for want of a ticket: the first ones, and
// then every thousandth.
func (w *worker) logRejected(o order) {
	w.rejected++
	if w.rejected <= 20 || w.rejected%1000 == 0 {
		w.log("worker %s: start of %s run %d with ticket %q is rejected, the %dth one", w.id, o.Task, o.Run, o.Ticket, w.rejected)
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.AckedUpto {
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waited := o.WaitMS <= 0; !waited && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			waited = true
		}
		w.mu.Lock()
		if w.gone {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 50
		if r.lasting {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, w.gangs.checkpoint(r.task, r.number), percent, 0})
	}
	for i, e := range w.ends {
		if i >= 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	w.write(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	w.write(rw, status, body)
}

func (w *worker) write(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// running returns the number of runs.
func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// isGone reports whether the worker has crashed.
func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// jobs returns the jobs that have a run.
func (w *worker) jobs() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]bool{}
	for task := range w.runs {
		out[strings.SplitN(task, ".", 2)[0]] = true
	}
	return out
}
