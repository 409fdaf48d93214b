package shard

import (
	"wigeonwinch/jobs/spec"
)

// Key names one task of a job.
type Key struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// job is one accepted (or just submitted) job.
type job struct {
	spec     spec.Job
	service  string
	priority int
	// maxAttempts is the number of failed runs of one task that fail the job.
	maxAttempts int
	// firstSeen is the steady time of the first submission that was seen.
	firstSeen int64
	// deadline is the steady time until which the job is worth its full value.
	deadline int64
	// acceptedMS is the Unix time of the acceptance.
	acceptedMS int64
	// state is the newest state, shown the one the store has.
	state, shown spec.State
	stored       bool
	begun        bool
	next         int
	occurrences  map[int]*occurrence
	// waiters and cancelers are the tickets of callers who wait for the store.
	waiters, cancelers []uint64
	dirty              bool
	// queued says that the job is in its pool's list of jobs with ready tasks.
	queued bool
	// finalAt is the steady time at which the state became final.
	finalAt int64
	// left is the estimated work of the tasks that are not done.
	left int64
}

// occurrence is one round of a job's steps.
type occurrence struct {
	number int
	steps  []step
	open   int
}

// step holds the tasks of one step in one occurrence.
type step struct {
	tasks []task
	open  int
	// gangRun is the run number of the gang that is placed; 0 means none.
	gangRun int
	fails   int
	// permits are the answers of the service that permits placements, by worker.
	permits map[string]permit
}

// task is the state of one task.
type task struct {
	// run is the highest run number that was given out.
	run int
	// settled is the highest run number whose end is recorded.
	settled int
	fails   int
	done    bool
	saved   string
	// current is the run that may be on a worker; nil means none.
	current *run
	// avoid is the worker on which the last run failed.
	avoid string
}

// phase is how far a run is known to have got.
type phase int

const (
	// placed: the placement is not stored yet, no order was sent.
	placed phase = iota
	// ordered: the start was sent and is not confirmed.
	ordered
	// running: the worker confirmed the start.
	running
	// stopping: a stop is to be sent or was sent.
	stopping
)

// run is one start of a task on a worker.
type run struct {
	job    *job
	key    Key
	number int
	on     *worker
	phase  phase
	room   spec.Resources
	// since is when the current phase began.
	since int64
	// startedAt is when the start order was sent.
	startedAt int64
	// confirmedAt is when an answer last proved what the worker knows.
	confirmedAt int64
	// stopSent is when the last stop was sent, stopAnswered when a worker
	// answered one; a stop also forbids a start that is still on its way.
	stopSent, stopAnswered int64
	percent                int
	// share is the pace last ordered, in percent; 100 at the start.
	share int
	// tailMS is the worker's last figure of a serving task's tail.
	tailMS int
	// ticket is the permit of the placement, where the queue needs one.
	ticket string
	// unproven says that the start got no answer or was restored from the
	// store, so that the run may not exist.
	unproven bool
}

func (r *run) step() *spec.Step { return &r.job.spec.Steps[r.key.Step] }

func (r *run) task() *task {
	o := r.job.occurrences[r.key.Occurrence]
	if o == nil {
		return nil
	}
	return &o.steps[r.key.Step].tasks[r.key.Index]
}

func newOccurrence(j *spec.Job, number int) *occurrence {
	o := &occurrence{number: number, steps: make([]step, len(j.Steps))}
	for i := range j.Steps {
		o.steps[i].tasks = make([]task, j.Steps[i].Count)
		o.steps[i].open = j.Steps[i].Count
		o.open += j.Steps[i].Count
	}
	return o
}

// ready says whether all steps before step i are done.
func (o *occurrence) ready(j *spec.Job, i int) bool {
	for _, d := range j.Steps[i].After {
		if o.steps[d].open > 0 {
			return false
		}
	}
	return true
}

// rounds is the number of occurrences of the job.
func (j *job) rounds() int {
	if j.spec.Repeat > 0 {
		return j.spec.Repeat
	}
	return 1
}

// dueMS is the Unix time of an occurrence; 0 means at once.
func (j *job) dueMS(number int) int64 {
	if j.spec.Repeat == 0 {
		return 0
	}
	return j.spec.FirstRunMS + int64(number)*j.spec.IntervalMS
}

// chainLeftMS is the longest chain of estimates that is still to be run, over
// all open occurrences.
func (j *job) chainLeftMS() int64 {
	longest := int64(0)
	for _, o := range j.occurrences {
		longest = max(longest, j.spec.ChainMS(func(s int) bool { return o.steps[s].open > 0 }))
	}
	return longest
}

// eachRun calls f for all runs that may be on a worker.
func (j *job) eachRun(f func(*run)) {
	for _, o := range j.occurrences {
		for s := range o.steps {
			for t := range o.steps[s].tasks {
				if r := o.steps[s].tasks[t].current; r != nil {
					f(r)
				}
			}
		}
	}
}
