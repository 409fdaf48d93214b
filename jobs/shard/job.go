package shard

import (
	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// Key identifies one task of a job.
type Key struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// job is a job that is accepted or whose acceptance is being stored.
type job struct {
	spec     spec.Job
	service  string
	priority int
	// maxAttempts is the number of failed runs of one task after which the job
	// fails.
	maxAttempts int
	// advice is the timing of the service that permitted the queue's placements when the
	// job was accepted; nil if none did. permitDemanded reports whether a worker has
	// rejected a start because it carried no permit.
	advice         *AdviceTiming
	permitDemanded bool
	// firstSeenAt is the monotonic time of the first submission or, for
	// scheduled jobs, of the newest occurrence.
	firstSeenAt int64
	// deadline is the monotonic time until which the job has its full value.
	deadline int64
	// acceptedMS is the Unix time of the acceptance.
	acceptedMS int64
	// state is the current state, storedState the last one that the store has.
	state, storedState spec.State
	stored             bool
	// begun reports whether a worker has begun a task.
	begun bool
	// nextOccurrence is the number of the first occurrence that was not opened yet.
	// behind reports whether it is overdue because of the open ones.
	nextOccurrence int
	behind         bool
	occurrences    map[int]*occurrence
	// submitWaiters and cancelWaiters are the tickets of callers that wait for
	// the store.
	submitWaiters, cancelWaiters []uint64
	dirty                        bool
	// queued reports whether the job is in its pool's queue.
	queued bool
	// late and orderKey are the job's rank in the current pass.
	late     bool
	orderKey int64
	// runs counts the runs that may be on a worker.
	runs int
	// finalAt is the monotonic time at which the state became final.
	finalAt int64
	// remainingWork is the expected work of the tasks that are not done.
	remainingWork int64
	// times are the run times expected of the steps; nil for jobs of earlier
	// versions, of which the declared ones are expected. stretch is the part of the
	// critical path in the deadline.
	times   []stepTimes
	stretch float64
	// learned reports whether the run times of all steps were learned from finished
	// ones when the job came.
	learned bool
	// finished is what was learned from the job's steps.
	finished []finishedStep
	// lossParts are the parts of open losses in the histories of the job's tasks, the
	// oldest first.
	lossParts []lossPart
	// stateBytes is what Core.stateBytes counts for the job.
	stateBytes int64
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number    int
	steps     []step
	openTasks int
}

// step holds the tasks of one step in one occurrence.
type step struct {
	tasks     []task
	openTasks int
	// gangRun is the run number of the gang that is placed; 0 means none.
	gangRun  int
	failures int
	// gangCheckpoint is the checkpoint from which all members of the gang resume. isGang
	// reports whether the step is one.
	gangCheckpoint string
	isGang         bool
	// seen are the run times of the finished runs.
	seen seenRuns
	// permits are the answers of the service that permits placements, by
	// worker ID.
	permits map[string]permit
	// permitRejectedAt is when a worker last rejected a permit; 0 if none did. No permit is
	// requested before nextAdviceAt.
	permitRejectedAt, nextAdviceAt int64
}

// task is the state of one task.
type task struct {
	// lastRun is the highest run number that was assigned.
	lastRun int
	// lastEnded is the highest run number whose end is recorded.
	lastEnded  int
	failures   int
	done       bool
	checkpoint string
	// current is the run that may be on a worker; nil means none.
	current *run
	// avoidWorker is the worker on which the last run failed.
	avoidWorker string
	// history is the task's part in crashes of workers, suspectedAt the time of
	// the last one and crashedOn their VMs.
	history     suspect.History
	suspectedAt int64
	crashedOn   []string
}

// phase is the progress of a run as far as it is known.
type phase int

const (
	// phasePlaced: the placement is not stored yet and no start was sent.
	phasePlaced phase = iota
	// phaseStartSent: the start was sent and is not confirmed.
	phaseStartSent
	// phaseRunning: the worker confirmed the start.
	phaseRunning
	// phaseStopping: a stop was sent and the end is not confirmed.
	phaseStopping
)

// run is one start of a task on a worker.
type run struct {
	job      *job
	key      Key
	number   int
	worker   *worker
	phase    phase
	reserved spec.Resources
	// phaseSince is when the current phase began.
	phaseSince int64
	// startSentAt is when the start order was sent.
	startSentAt int64
	// startClockMS is the worker's clock when it accepted the start of a task
	// without a checkpoint; 0 if it is not known or the task has one. work is the
	// expected work.
	startClockMS int64
	work         int64
	// minClockMS is the lowest clock that the incarnation to which the start was
	// sent can show in its answer.
	minClockMS int64
	// accepted is the incarnation that has accepted the start. listed reports
	// whether the worker has listed the run in its present incarnation.
	accepted incarnationKind
	listed   bool
	// doubt is set while the worker has a later incarnation than the one to which
	// the start was sent, and the run may be on either.
	doubt *doubt
	// confirmedAt is when the worker last confirmed the run.
	confirmedAt int64
	// stopSentAt is when the last stop was sent, stopAnsweredAt when the
	// worker answered one. A stop also prevents a start that is still in
	// flight.
	stopSentAt, stopAnsweredAt int64
	percent                    int
	// pacePercent is the last pace ordered; 100 at the start.
	pacePercent int
	// tailMS is the tail latency of a serving task as last reported by the
	// worker.
	tailMS int
	// probationMS is how long the run has to survive until other tasks may be
	// started beside it; 0 if its task is not suspected of crashing workers.
	probationMS int64
	// permit is the token of the placement permit, if the queue needs one.
	permit string
	// unconfirmed reports whether the start got no answer or was restored from
	// the store, so that the run may not exist.
	unconfirmed bool
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
		o.steps[i].openTasks = j.Steps[i].Count
		o.steps[i].isGang = j.Steps[i].Gang
		o.openTasks += j.Steps[i].Count
	}
	return o
}

// stepReady reports whether all steps that step i depends on are done.
func (o *occurrence) stepReady(j *spec.Job, i int) bool {
	for _, d := range j.Steps[i].After {
		if o.steps[d].openTasks > 0 {
			return false
		}
	}
	return true
}

// occurrenceCount returns the number of occurrences of the job.
func (j *job) occurrenceCount() int {
	if j.spec.Repeat > 0 {
		return j.spec.Repeat
	}
	return 1
}

// dueMS returns the Unix time of an occurrence; 0 means at once.
func (j *job) dueMS(number int) int64 {
	if j.spec.Repeat == 0 {
		return 0
	}
	return j.spec.FirstRunMS + int64(number)*j.spec.IntervalMS
}

// remainingPathMS returns the longest chain of expected run times of steps that are not
// done, over all open occurrences.
func (j *job) remainingPathMS() int64 {
	longest := int64(0)
	for _, o := range j.occurrences {
		longest = max(longest, j.criticalPathMS(func(s int) bool { return o.steps[s].openTasks > 0 }))
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
