// Package model plays a shard's decisions against a model of the store and
// the workers in virtual time: calls take time, get lost, are carried out
// late; workers crash; owners are replaced. It checks the rules of jobs from
// what the workers see. Tests and the lab use it.
//
//	w := model.New(model.Options{Seed: 7, Workers: 8})
//	w.Submit(job)
//	w.Run(60_000)
//	fmt.Println(w.Violations)
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// Options describe a world. Times are milliseconds, shares 0 to 1.
type Options struct {
	Seed    uint64
	Workers int
	// MilliCPU and MemoryMB are each worker's room.
	MilliCPU, MemoryMB int
	// Lost is the share of calls whose answer is lost, Unsent of those that
	// never arrive, Late of those carried out seconds later.
	Lost, Unsent, Late float64
	// FailShare of the runs fail.
	FailShare float64
	// CrashEvery and TakeoverEvery are the mean times between such faults; 0
	// means never.
	CrashEvery, TakeoverEvery int64
	// Faults end after FaultsUntil.
	FaultsUntil int64
	MaxAttempts int
	Policy      shard.Policy
	// RunTime is how long a task takes; nil draws it anew for each run.
	RunTime func(k shard.Key, st *spec.Step) int64
}

// The times of the model.
const (
	hopMS          = 2
	storeMS        = 5
	tickMS         = 50
	lostAfterMS    = 700
	restartMS      = 2_000
	maxHoldMS      = 6_000
	leaseRightMS   = 3_300
	serviceName    = "s"
	wallStart      = int64(1_700_000_000_000)
	stopGraceMS    = 200
	defaultAttempt = 4
)

type event struct {
	at, order int64
	do        func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// World is the whole model.
type World struct {
	opts    Options
	rng     *rand.Rand
	now     int64
	order   int64
	events  eventHeap
	workers []*worker
	// store is what the partition keeps; epoch the highest one seen.
	store map[string][]byte
	epoch int64
	owner *owner
	truth map[string]*truth

	// Violations are the rules that were broken.
	Violations []string
	// Starts counts the starts that workers carried out, Stopped the runs that
	// were stopped or lapsed.
	Starts, Stopped int
}

// truth is what really happened to a job.
type truth struct {
	job       spec.Job
	submitted int64
	accepted  bool
	refused   int
	cancelled int64
	doneAt    int64
	// done and noted are tasks that ended well, and of which the end was
	// acknowledged; fails counts acknowledged failures.
	done, noted map[shard.Key]bool
	fails       map[shard.Key]int
}

// New returns a world with one owner.
func New(o Options) *World {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultAttempt
	}
	w := &World{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: map[string][]byte{}, truth: map[string]*truth{}, now: 1}
	for i := range o.Workers {
		w.workers = append(w.workers, newWorker(w, i))
	}
	w.takeover()
	w.tick()
	w.plan(o.CrashEvery, w.crash)
	w.plan(o.TakeoverEvery, w.takeover)
	return w
}

// Now is the virtual time.
func (w *World) Now() int64 { return w.now }

func (w *World) after(ms int64, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + ms, w.order, do})
}

// plan repeats a fault at random times.
func (w *World) plan(every int64, fault func()) {
	if every <= 0 {
		return
	}
	w.after(1+w.rng.Int64N(2*every), func() {
		if w.now < w.opts.FaultsUntil {
			fault()
			w.plan(every, fault)
		}
	})
}

// Run plays until the given time.
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

func (w *World) tick() {
	w.owner.pump()
	w.after(tickMS, w.tick)
}

func (w *World) violate(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// Submit hands in a job; it is tried again when it is refused or nothing is
// heard.
func (w *World) Submit(j spec.Job) {
	t := w.truth[j.ID]
	if t == nil {
		t = &truth{job: j, submitted: w.now, done: map[shard.Key]bool{}, noted: map[shard.Key]bool{}, fails: map[shard.Key]int{}}
		w.truth[j.ID] = t
	}
	o := w.owner
	o.ticket++
	ticket := o.ticket
	o.waiting[ticket] = func(r shard.Reply) {
		switch r.Outcome {
		case shard.Accepted:
			t.accepted = true
		case shard.Refused:
			t.refused++
			if t.refused < 5 {
				w.after(r.RetryAfterMS, func() { w.Submit(j) })
			}
		}
	}
	o.core.Submit(w.now, ticket, j)
	o.pump()
	w.after(2_500, func() {
		if !t.accepted && t.refused == 0 && t.cancelled == 0 {
			w.Submit(j)
		}
	})
}

// Cancel cancels a job until it is acknowledged.
func (w *World) Cancel(id string) {
	t := w.truth[id]
	o := w.owner
	o.ticket++
	o.waiting[o.ticket] = func(r shard.Reply) {
		if r.Outcome == shard.Accepted && t.cancelled == 0 {
			t.cancelled = w.now
		}
	}
	o.core.Cancel(w.now, o.ticket, id)
	o.pump()
	w.after(1_500, func() {
		if t.cancelled == 0 {
			w.Cancel(id)
		}
	})
}

// Unfinished lists accepted jobs that are not final, by id.
func (w *World) Unfinished() []string {
	var list []string
	for id, t := range w.truth {
		if v := w.owner.core.Show(id); t.accepted && !v.State.Final() {
			list = append(list, fmt.Sprintf("%s state=%s known=%v", id, v.State, v.Known))
		}
	}
	sort.Strings(list)
	return list
}

// State is what the owner shows of a job.
func (w *World) State(id string) shard.View { return w.owner.core.Show(id) }

// Result is what became of one job.
type Result struct {
	Job                 spec.Job
	Accepted            bool
	Refused             int
	SubmittedMS, DoneAt int64
}

// At does something at a time.
func (w *World) At(at int64, do func()) { w.after(at-w.now, do) }

// The model's queue, whose objective is Stretch times a job's chain and
// TargetMS more.
const (
	Queue    = "q"
	Stretch  = 1.6
	TargetMS = 600
)

// Results lists all jobs by id. DoneAt is 0 for jobs that are not completed.
func (w *World) Results() []Result {
	var list []Result
	for _, t := range w.truth {
		list = append(list, Result{t.job, t.accepted, t.refused, t.submitted, t.doneAt})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job.ID < list[j].Job.ID })
	return list
}
