// Package model runs a shard core against a simulated store and simulated
// workers in virtual time. Calls take time, get lost or are carried out late;
// workers crash; owners are replaced. The model checks the invariants of jobs
// from the workers' point of view. It is used by tests and by package lab.
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

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// Options configure a World. Times are in milliseconds, shares are from 0 to
// 1.
type Options struct {
	Seed    uint64
	Workers int
	// MilliCPU and MemoryMB are the capacity of each worker.
	MilliCPU, MemoryMB int
	// LostAnswerShare of the calls are carried out but their answer is lost,
	// LostRequestShare never arrive, DelayedShare are carried out seconds
	// later without an answer.
	LostAnswerShare, LostRequestShare, DelayedShare float64
	// LongPolls lets workers hold a poll until a run ends, or for as long as the poll says,
	// and owners wait as long for one that gets no answer.
	LongPolls bool
	// FailShare of the runs fail.
	FailShare float64
	// CrashIntervalMS and TakeoverIntervalMS are the mean times between worker
	// crashes and between takeovers; 0 disables them.
	CrashIntervalMS, TakeoverIntervalMS int64
	// ResizeIntervalMS is the mean time between changes of a worker's capacity; 0
	// disables them.
	ResizeIntervalMS int64
	// Deadly reports whether a task crashes each worker that starts it,
	// DeadlyAfterMS after its start.
	Deadly        func(k shard.Key) bool
	DeadlyAfterMS int64
	// DarkRestartIntervalMS is the mean time between restarts of a worker that
	// loses its power for darkMS and comes back under its ID; 0 disables them. Its
	// entry is read up to 500 ms later.
	DarkRestartIntervalMS int64
	// NewIDs lets workers come back from a crash under new IDs.
	NewIDs bool
	// FaultsUntilMS is when the injection of faults ends. If CalmMS is set, faults
	// are injected for BurstMS, then none for CalmMS, in turns.
	FaultsUntilMS, BurstMS, CalmMS int64
	// CutIntervalMS is the mean time between cuts of a worker from the owner and the
	// list of workers for some seconds; 0 disables them. The worker runs on.
	CutIntervalMS int64
	// OneOwnerCutShare of the cuts are cuts from the current owner only.
	OneOwnerCutShare float64
	// DrainIntervalMS is the mean time between workers that leave for another VM; 0 disables
	// them.
	DrainIntervalMS int64
	// StaleListShare of the reads of the list of workers bring the one of some seconds
	// before.
	StaleListShare float64
	// SlowCommitShare of the answers to appends take up to maxSlowCommitMS.
	SlowCommitShare float64
	// SlowAnswerShare of the answers of workers take up to maxSlowAnswerMS, so that they
	// overtake each other.
	SlowAnswerShare float64
	// SlowClocks lets all clocks of workers run as slowly as may be.
	SlowClocks bool
	// LateAcrossRestarts lets delayed orders reach a later incarnation of their worker,
	// LatePollsAcrossRestarts polls only.
	LateAcrossRestarts, LatePollsAcrossRestarts bool
	// UnlistIntervalMS is the mean time between losses of a worker's entry in the
	// list of workers for some seconds; 0 disables them.
	UnlistIntervalMS int64
	// CutOffShare of the replaced owners are cut off from the store and the
	// workers for some seconds, so that they do not learn that they are deposed.
	CutOffShare float64
	// DeadOwnerShare of the replaced owners have ended and are proved dead. SecondTakeoverShare
	// of the owners are proved dead and replaced within seconds of their takeover.
	DeadOwnerShare, SecondTakeoverShare float64
	// SplitShare of the replaced owners reach some workers while they are cut off from the
	// store and the other workers, and other owners do not reach these for some seconds.
	SplitShare float64
	// HandoverShare of the replaced owners stop as planned and tell their successors which
	// workers are silent.
	HandoverShare float64
	// OpenWindowShare of the replaced owners believe for openWindowMS more that they may
	// decide, as after a takeover that they could not observe.
	OpenWindowShare float64
	// RefusedStartShare of the starts are refused by workers that seem healthy.
	RefusedStartShare float64
	// DeposedShare of the callers' requests reach a deposed owner while there is
	// one, LostReplyShare of the replies to callers are lost during the faults.
	DeposedShare, LostReplyShare float64
	MaxAttempts                  int
	// Advice is set if a service must permit each placement.
	Advice *Advice
	// Customers are the customers of the configuration; none if calls need no key.
	// ArbiterIntervalMS is the mean time between replacements of the arbiter of their
	// caps; 0 disables them.
	Customers         []customer.Customer
	ArbiterIntervalMS int64
	Policy            shard.Policy
	// RunTime returns how long a task runs; if nil, each run draws its own
	// time.
	RunTime func(k shard.Key, st *spec.Step) int64
}

// The timing of the model.
const (
	networkDelayMS     = 2
	appendMS           = 5
	tickMS             = 50
	listIntervalMS     = 500
	answerTimeoutMS    = 700
	minRestartMS       = 2_000
	pollMarginMS       = 800
	maxLeaseMS         = 6_000
	deposedLeaseMS     = 3_300
	serviceName        = "s"
	wallStartMS        = int64(1_700_000_000_000)
	stopGraceMS        = 200
	defaultMaxAttempts = 4
	slowestClock       = 0.98
)

type event struct {
	at, sequence int64
	do           func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// World is the simulated system: store, workers and shard owner.
type World struct {
	opts         Options
	rng          *rand.Rand
	now          int64
	lastSequence int64
	events       eventHeap
	workers      []*worker
	// store holds the records of the partition; epoch is the highest one used.
	store map[string][]byte
	epoch int64
	owner *owner
	// deposed holds the replaced owners that still run.
	deposed []*owner
	// lists are the last lists of workers, if owners may read old ones.
	lists       []listAt
	groundTruth map[string]*groundTruth
	// lastFaultAt is the end of the last disruption that may delay a stop.
	lastFaultAt int64
	// afterAcceptance is called when a caller learns that its job is accepted.
	afterAcceptance func(id string)

	// waitingMiscounted reports whether an owner has left out waiting jobs.
	waitingMiscounted bool

	// customers are those of the newest configuration, earlierCustomers those before.
	customers, earlierCustomers          []customer.Customer
	customersVersion, customersChangedAt int64
	arbiter                              *room.Arbiter
	arbiterEpoch                         int64

	// permitsUntil holds until when the permits are valid.
	permitsUntil map[string]int64

	// Violations lists the invariant violations.
	Violations []string
	// StartedRuns counts the starts that workers carried out, StoppedRuns the
	// runs that were stopped or whose lease expired.
	StartedRuns, StoppedRuns int
	// UnpermittedStarts counts the starts that workers rejected for want of a valid permit.
	UnpermittedStarts int
	// LateStartsAfterCancel counts the starts by delayed orders after the bound on
	// starts after a cancel.
	LateStartsAfterCancel int
}

// groundTruth is what really happened to a job.
type groundTruth struct {
	job         spec.Job
	submittedAt int64
	accepted    bool
	refusals    int
	// cancelledAt is when a cancel was acknowledged to its caller; 0 if none was.
	cancelledAt int64
	completedAt int64
	// begun reports whether a worker has begun a task, cancelSent whether a caller has
	// asked for the job to be cancelled.
	begun, cancelSent bool
	// done holds the tasks that completed, acked those whose completion was
	// acknowledged; ackedFailures counts acknowledged failures.
	done, acked   map[shard.Key]bool
	ackedFailures map[shard.Key]int
	// crashes counts the workers that a task crashed, lost those that crashed
	// while they ran it or before they could report its end, startsAfterCrashes its
	// starts after it has crashed crashesUntilLimit.
	crashes, lost, startsAfterCrashes map[shard.Key]int
}

// New returns a World with one owner.
func New(o Options) *World {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	w := &World{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: map[string][]byte{}, permitsUntil: map[string]int64{}, groundTruth: map[string]*groundTruth{}, now: 1}
	for i := range o.Workers {
		w.workers = append(w.workers, newWorker(w, i))
	}
	w.customers, w.earlierCustomers, w.customersVersion = o.Customers, o.Customers, 1
	w.startArbiter()
	w.takeover()
	w.tick()
	if o.Advice != nil && o.Advice.MovesAtMS > 0 {
		w.after(o.Advice.MovesAtMS, func() { w.applyQueues(w.owner) })
	}
	w.scheduleFault(o.CrashIntervalMS, w.crashWorker)
	w.scheduleFault(o.DarkRestartIntervalMS, w.restartDark)
	w.scheduleFault(o.TakeoverIntervalMS, w.takeover)
	w.scheduleFault(o.ResizeIntervalMS, w.resizeWorker)
	w.scheduleFault(o.UnlistIntervalMS, w.unlistWorker)
	w.scheduleFault(o.CutIntervalMS, w.cutOffWorker)
	w.scheduleFault(o.DrainIntervalMS, w.drainWorker)
	w.scheduleFault(o.ArbiterIntervalMS, w.startArbiter)
	return w
}

// Now returns the virtual time.
func (w *World) Now() int64 { return w.now }

func (w *World) after(ms int64, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{w.now + ms, w.lastSequence, do})
}

// scheduleFault repeats a fault at random intervals.
func (w *World) scheduleFault(every int64, fault func()) {
	if every <= 0 {
		return
	}
	w.after(1+w.rng.Int64N(2*every), func() {
		if w.now >= w.opts.FaultsUntilMS {
			return
		}
		if w.faulty() {
			fault()
		}
		w.scheduleFault(every, fault)
	})
}

// Run simulates until the given time.
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
	w.checkCancelledRuns()
	w.checkWaiting()
	w.after(tickMS, w.tick)
}

func (w *World) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// Unfinished lists the accepted jobs that are not final, by ID.
func (w *World) Unfinished() []string {
	var list []string
	for id, t := range w.groundTruth {
		if v := w.owner.core.JobStatus(id); t.accepted && !v.State.Final() {
			list = append(list, fmt.Sprintf("%s state=%s known=%v", id, v.State, v.Known))
		}
	}
	sort.Strings(list)
	return list
}

// JobStatus returns the status of a job as reported by the owner.
func (w *World) JobStatus(id string) shard.JobStatus { return w.owner.core.JobStatus(id) }

// Result is the outcome of one job.
type Result struct {
	Job                      spec.Job
	Accepted                 bool
	Refusals                 int
	SubmittedMS, CompletedMS int64
}

// Schedule calls do at the given time.
func (w *World) Schedule(at int64, do func()) { w.after(at-w.now, do) }

// The model's queue. A job's objective is Stretch times its critical path plus
// TargetMS.
const (
	Queue    = "q"
	Stretch  = 1.6
	TargetMS = 600
)

// Results lists all jobs by ID. CompletedMS is 0 for jobs that did not
// complete.
func (w *World) Results() []Result {
	var list []Result
	for _, t := range w.groundTruth {
		list = append(list, Result{t.job, t.accepted, t.refusals, t.submittedAt, t.completedAt})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job.ID < list[j].Job.ID })
	return list
}
