package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Figures of the workers.
const (
	workerHeartbeat = 1500 * time.Millisecond
	workerMilliCPU  = 16_000
	workerMemMB     = 65_536
	workerSlots     = 8
	maxHoldMS       = 10_000
	maxHoldWaitMS   = 2000
	maxListedEnds   = 500
	halfDone        = 50
	// stopGraceMS is the longest time that a stop takes.
	stopGraceMS = 200
	// slowestClock is the rate of the slowest clock of a worker.
	slowestClock = 0.98
	// firstClockMS keeps the clocks of workers away from 0, which counts as missing.
	firstClockMS = 1000
	// missedHeartbeats is how many heartbeats are missed before an entry expires.
	missedHeartbeats = 3
)

// Worker is one life of a VM that runs tasks.
type Worker struct {
	id, vm, service, zone, rack string
	born                        time.Time
	// clockRate is the rate of the worker's clock.
	clockRate float64
	store     *Store
	judge     *Judge
	server    *http.Server
	gone      chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// senders maps the listening addresses to the nodes that use them.
	senders  map[string]string
	address  string
	sequence int
	token    int64
	leaseMS  int64
	lapse    *time.Timer
	// expiry removes the entry of a worker that has crashed.
	expiry *time.Timer
	runs   map[string]*taskRun
	// highest is the highest run that was stopped or ended, by task.
	highest map[string]int
	ended   []endedRun
	lastEnd int
	changed chan struct{}
	ending  bool
	// waitingAcks are the ends that waiting holds have named. They take effect until the
	// hold is answered.
	waitingAcks map[*order]int
	// held reports that heartbeats do not reach the store; missed counts them.
	held   bool
	missed int
	// late are the calls that get no answer.
	late *LateCalls
	// restarts reports that the worker starts again under its ID and address.
	restarts bool
}

type taskRun struct {
	task  string
	run   int
	timer *time.Timer
	// stopping reports that a stop was ordered.
	stopping bool
	// percent is the run's progress as the worker reports it; lasting runs that are at
	// work have 100.
	percent int
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
	// lapsed reports that the lease expired after the end.
	lapsed bool
}

// Ends of runs.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
)

// WorkerPlace is where a worker stands.
type WorkerPlace struct{ ID, VM, Service, Zone, Rack string }

// NewWorker returns a worker that serves nobody yet.
func NewWorker(place WorkerPlace, store *Store, judge *Judge, random *rand.Rand) *Worker {
	w := &Worker{
		id: place.ID, vm: place.VM, service: place.Service, zone: place.Zone, rack: place.Rack, born: time.Now(),
		clockRate: slowestClock + (1-slowestClock)*random.Float64(), store: store, judge: judge, gone: make(chan struct{}),
		random: random, senders: map[string]string{}, runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
		waitingAcks: map[*order]int{}, late: NewLateCalls(random),
	}
	w.server = &http.Server{Handler: w}
	w.lapse = time.AfterFunc(time.Hour, w.checkLease)
	judge.WorkerUp(w.id, w.service)
	return w
}

// ListenFor opens an address for the orders of one node and returns it.
func (w *Worker) ListenFor(node string) (string, error) {
	l, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return "", errors.Wrap(err, "listen for a worker")
	}
	address := l.Addr().String()
	w.mu.Lock()
	w.senders[address] = node
	w.mu.Unlock()
	go func() { _ = w.server.Serve(l) }()
	return address, nil
}

// Register writes the worker's entry until the worker is gone, for the first time after
// a delay. Nodes see address in a form of their own.
func (w *Worker) Register(address string, delay time.Duration) {
	w.mu.Lock()
	w.address = address
	w.mu.Unlock()
	go func() {
		time.Sleep(delay)
		tick := time.NewTicker(workerHeartbeat)
		defer tick.Stop()
		for w.beat() {
			select {
			case <-tick.C:
			case <-w.gone:
				return
			}
		}
	}()
}

func (w *Worker) beat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ending {
		return false
	}
	w.sequence++
	if w.held {
		w.missed++
		if w.missed == missedHeartbeats {
			w.store.Delete(topicWorkers, w.id)
		}
		return true
	}
	w.missed = 0
	err := w.store.Put(topicWorkers, w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"cold_remaining_ms": 0, "capacity": workerCapacity(), "labels": []string{"a", w.rack},
		"machine": w.vm, "born": w.born.UnixMilli(), "clock_ms": w.clockMS(), "sequence": w.sequence,
	})
	return err == nil
}

// HoldHeartbeats tells whether the worker's heartbeats are held back from the store, so
// that its entry expires.
func (w *Worker) HoldHeartbeats(held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = held
}

func workerCapacity() map[string]int {
	return map[string]int{"cpu": workerMilliCPU, "mem_mb": workerMemMB, "gpu": 0}
}

// End ends this life of the VM with all that runs on it. The entry is removed at
// once, or expires after missed heartbeats if the worker crashed.
func (w *Worker) End(crashed bool) {
	w.mu.Lock()
	if w.ending {
		w.mu.Unlock()
		return
	}
	w.ending = true
	w.lapse.Stop()
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.judge.WorkerDown(w.id, crashed)
	close(w.gone)
	w.mu.Unlock()
	_ = w.server.Close()
	if crashed {
		w.expiry = time.AfterFunc(missedHeartbeats*workerHeartbeat, func() { w.store.Delete(topicWorkers, w.id) })
		return
	}
	w.store.Delete(topicWorkers, w.id)
}

func (w *Worker) clockMS() int64 {
	return firstClockMS + int64(float64(time.Since(w.born).Milliseconds())*w.clockRate)
}

// order is the body of any call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Acked    int    `json:"acked_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

// answer is a worker's answer; a status of 0 breaks the connection.
type answer struct {
	status int
	body   any
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	w.mu.Lock()
	sender := w.senders[local.String()]
	w.mu.Unlock()
	if w.late.divert(lateCall{life: w, path: r.URL.Path, sender: sender, order: o}) {
		w.leaveUnanswered(r)
	}
	a := w.carryOut(r.Context(), r.URL.Path, sender, o)
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	answerJSON(rw, a.status, a.body)
}

func (w *Worker) carryOut(ctx context.Context, path, sender string, o order) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.obey(ctx, path, sender, o)
}

// obey carries out a call. The caller holds the lock.
func (w *Worker) obey(ctx context.Context, path, sender string, o order) answer {
	if w.ending {
		return answer{}
	}
	if o.Token < w.token {
		return w.conflict("fence")
	}
	w.token = o.Token
	w.judge.OrderSeen(w.service, sender, o.Token)
	switch path {
	case pathStart:
		return w.start(sender, o)
	case pathStop:
		return w.stop(sender, o)
	case pathHold:
		return w.hold(ctx, o)
	case pathPace:
		return w.ok()
	}
	return answer{http.StatusNotFound, struct{}{}}
}

func (w *Worker) ok() answer {
	return answer{http.StatusOK, map[string]int64{"clock_ms": w.clockMS()}}
}

func (w *Worker) conflict(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason}}
}

// extend moves the end of the lease; it never shortens. The caller holds the lock.
func (w *Worker) extend(deadline int64) {
	now := w.clockMS()
	w.leaseMS = max(w.leaseMS, min(deadline, now+maxHoldMS))
	if w.leaseMS > now {
		w.lapse.Reset(time.Duration(float64(w.leaseMS-now)/w.clockRate)*time.Millisecond + time.Millisecond)
	}
}

// checkLease ends everything once the lease has expired.
func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := w.leaseMS - w.clockMS(); left > 0 {
		w.lapse.Reset(time.Duration(left)*time.Millisecond + time.Millisecond)
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, r := range w.runs {
		w.endRun(r, endLapsed)
	}
}

// endRun lists the end of a run. The caller holds the lock.
func (w *Worker) endRun(r *taskRun, how string) {
	if w.runs[r.task] != r || w.ending {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{number: w.lastEnd, task: r.task, run: r.run, how: how})
	w.judge.RunEnded(w.id, r.task, r.run, how)
	for _, upTo := range w.waitingAcks {
		w.forget(upTo)
	}
	for _, c := range w.late.takeAtEnd(w) {
		w.obey(context.Background(), c.path, c.sender, c.order)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// start begins a run. The caller holds the lock.
