package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the promises. They are also written into the settings of the nodes.
const (
	cancelMS    = 3000
	visibleMS   = 3000
	contactMS   = 3000
	ackMS       = 4000
	maxAttempts = 4
	// suspectCrashes is how many workers have crashed under a task that may be given up.
	suspectCrashes = 2
	// idleTime is how long a job may have nothing running although there is room for
	// it, after a calm time of calmBeforeIdle.
	idleTime       = 3*time.Second + judgeSlack
	calmBeforeIdle = 4 * time.Second
	// finalTime is the time after which nothing of a final job may be started.
	finalTime = time.Second
	// A run breaks a promise if minLateCancels cancels and one in maxLateShare get no
	// acknowledgement in time.
	minLateCancels = 3
	maxLateShare   = 10
	// judgeSlack allows for the scheduling of the processes of one machine.
	judgeSlack = 250 * time.Millisecond

	cancelTime  = cancelMS * time.Millisecond
	contactTime = contactMS * time.Millisecond
	ackTime     = ackMS * time.Millisecond
	visibleTime = visibleMS * time.Millisecond
	// cancelledGoneTime is when the tasks of a cancelled job are gone.
	cancelledGoneTime = cancelTime + stopGraceMS*time.Millisecond + judgeSlack
)

// Rules that the judge checks.
const (
	ruleUnasked  = "UNASKED"
	ruleTwice    = "TWICE"
	ruleOrder    = "ORDER"
	ruleRefused  = "REFUSED"
	ruleLimit    = "LIMIT"
	ruleMixed    = "MIXED"
	ruleLost     = "LOST"
	ruleAttempts = "BUDGET"
	ruleAcks     = "ACKS"
	ruleRoute    = "ROUTE"
	ruleConfig   = "CONFIG"
	ruleQuota    = "QUOTA"
)

// Violation is a promise that was broken.
type Violation struct {
	Rule string
	Job  string
	// Seconds is the time since the start of the run.
	Seconds float64
	Text    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %s job %s: %s", v.Seconds, v.Rule, v.Job, v.Text)
}

// Judge checks the promises from what clients and workers see.
type Judge struct {
	record *Record
	calm   *Calm
	// caps reports whether the customers have caps.
	caps bool
	// capFreeSince is when each customer began to have less than half of its cap in use.
	capFreeSince [len(soakCustomers)]time.Time

	mu         sync.Mutex
	jobs       map[string]*judgedJob
	owners     map[string]serviceOwner
	workers    map[string]*judgedWorker
	violations []Violation
}

// serviceOwner is the node that gave the newest orders to a service's workers.
type serviceOwner struct {
	node  string
	token int64
}

type judgedJob struct {
	id  string
	job Job
	// attempts counts the answers to submissions; open counts those without an
	// answer that says whether the job was accepted.
	attempts, refused, open int
	acceptedAt              time.Time
	cancelSent              bool
	// firstCancel and lastCancel are when a client has asked for the cancel.
	firstCancel, lastCancel time.Time
	cancel                  *cancelAnswer
	completedAt             time.Time
	lastState               string
	started                 bool
	tasks                   map[string]*judgedTask
	service                 string
	// idleSince is when the last of its runs ended, or else the time of acceptance.
	idleSince time.Time
	// overdue reports that the job was found running long after its cancel, idle that
	// it was found with nothing running.
	overdue, idle bool
}

// judgedWorker is a worker that is up.
type judgedWorker struct {
	service string
	runs    map[*judgedRun]struct{}
}

// used returns the room that the worker's runs take.
func (w *judgedWorker) used() (milliCPU, memMB int) {
	for r := range w.runs {
		milliCPU += r.cpu
		memMB += r.memMB
	}
	return milliCPU, memMB
}

type cancelAnswer struct {
	// node is empty if the cancel had waited too long for its acknowledgement.
	node     string
	status   int
	sent, at time.Time
	faults   []string
}

type judgedTask struct {
	running map[*judgedRun]struct{}
	// done holds the ends "done" of the task.
	done   []*doneEnd
	failed int
	// crashes counts the workers that have crashed while they ran the task.
	crashes int
}

// doneEnd is an end "done" of one run.
type doneEnd struct {
	worker string
	run    int
	at     time.Time
	// noted reports that a node took note of the end.
	noted bool
	// startAfter describes a start after the end.
	startAfter string
}

type judgedRun struct {
	worker, task string
	run          int
	cpu, memMB   int
	job          *judgedJob
	startedBy    string
	startedAt    time.Time
}

// NewJudge returns a judge that knows of no job.
func NewJudge(record *Record, calm *Calm) *Judge {
	return &Judge{record: record, calm: calm, jobs: map[string]*judgedJob{}, owners: map[string]serviceOwner{}, workers: map[string]*judgedWorker{}}
}

// Violations returns the broken promises so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}

// violate notes a broken promise. The caller holds the lock.
func (j *Judge) violate(rule, job, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if faults := j.calm.Active(); len(faults) > 0 {
		text += "; faults in force on " + strings.Join(faults, ", ")
	}
	v := Violation{Rule: rule, Job: job, Seconds: j.record.Seconds(time.Now()), Text: text}
	j.violations = append(j.violations, v)
	j.record.Printf("BROKEN %s job %s: %s", rule, job, text)
}

// Owner returns the node that gives the orders for a service, or "".
func (j *Judge) Owner(service string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owners[service].node
}

// OrderSeen notes that a worker of a service got an order that it does not refuse.
func (j *Judge) OrderSeen(service, sender string, token int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.owners[service]; token > o.token {
		j.owners[service] = serviceOwner{sender, token}
		j.record.Printf("worker: %s now gives the orders for %s, token %d", sender, service, token)
	}
}

// WorkerUp notes that a worker of a service is up.
func (j *Judge) WorkerUp(worker, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers[worker] = &judgedWorker{service: service, runs: map[*judgedRun]struct{}{}}
	j.record.Printf("worker: %s of %s starts", worker, service)
}

// WorkerDown notes that a worker has ended, with all that ran on it, or crashed.
func (j *Judge) WorkerDown(worker string, crashed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for run := range j.workers[worker].runs {
		j.record.Printf("worker: %s ends with %s run %d", worker, run.task, run.run)
		task := run.end()
		if crashed {
			task.crashes++
		}
	}
	delete(j.workers, worker)
	j.record.Printf("worker: %s is gone", worker)
}

// Submitting notes that a client sends a job of a service to a node.
func (j *Judge) Submitting(id, node, service string, job Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.jobs[id]
	if known == nil {
		known = &judgedJob{id: id, job: job, service: service, tasks: map[string]*judgedTask{}}
		j.jobs[id] = known
	}
	known.open++
	j.record.Printf("client: POST %s to %s", id, node)
}

// Submitted notes the answer to a submission; status is 0 if there was none.
func (j *Judge) Submitted(id, node string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	j.record.Printf("client: POST %s at %s -> %d", id, node, status)
	switch {
	case status/100 == 2:
		job.attempts++
		job.open--
		if job.acceptedAt.IsZero() {
			job.acceptedAt = time.Now()
			job.idleSince = job.acceptedAt
		}
	case status == 429 || status == 503:
		job.attempts++
		job.open--
		job.refused++
	}
}

// Cancelling notes that a client sends a cancel to a node.
func (j *Judge) Cancelling(id, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	job.lastCancel = time.Now()
	if !job.cancelSent {
		job.cancelSent, job.firstCancel = true, job.lastCancel
	}
	j.record.Printf("client: DELETE %s to %s", id, node)
}

// Cancelled notes the answer to a cancel; status is 0 if there was none.
func (j *Judge) Cancelled(id, node string, status int, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	j.record.Printf("client: DELETE %s at %s -> %d, sent at %.3f", id, node, status, j.record.Seconds(sent))
	acknowledged := status/100 == 2 || status == 410
	accepted := !job.acceptedAt.IsZero() && job.acceptedAt.Before(sent)
	if acknowledged && accepted && job.cancel == nil {
		job.cancel = &cancelAnswer{node: node, status: status, sent: sent, at: time.Now(), faults: j.calm.Active()}
	}
}

func (j *Judge) describeCancel(c *cancelAnswer) string {
	if c.node == "" {
		return fmt.Sprintf("cancel sent at %.3f and not acknowledged by %.3f", j.record.Seconds(c.sent), j.record.Seconds(c.at))
	}
	return fmt.Sprintf("cancel sent at %.3f, acknowledged by %s with %d at %.3f, faults then: [%s]",
		j.record.Seconds(c.sent), c.node, c.status, j.record.Seconds(c.at), strings.Join(c.faults, ", "))
}

// Shown notes the answer to a question for a job's state.
func (j *Judge) Shown(id, node string, status int, state string, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	j.record.Printf("client: GET %s at %s -> %d %s", id, node, status, state)
	job.lastState = fmt.Sprintf("%d %s", status, state)
	if status == 410 && !job.cancelSent && !job.acceptedAt.IsZero() && sent.Sub(job.acceptedAt) > visibleTime && j.calm.For(contactTime+time.Since(sent), node) {
		j.violate(ruleLost, id, "accepted at %.3f and never cancelled, %s answers a GET with 410", j.record.Seconds(job.acceptedAt), node)
	}
	switch state {
	case "completed":
		j.checkCompleted(job, node)
	case "cancelled":
		if !job.cancelSent {
			j.violate(ruleLost, id, "%s shows it as cancelled, and nobody cancelled it", node)
		}
	case "failed":
		if !job.mayHaveFailed() {
			j.violate(ruleLost, id, "%s shows it as failed, and no task has failed %d times or lost %d workers", node, maxAttempts, suspectCrashes)
		}
	}
}

func (j *Judge) checkCompleted(job *judgedJob, node string) {
	if job.completedAt.IsZero() {
		job.completedAt = time.Now()
	}
	for step := range job.job.Steps {
		if name := job.openTask(step); name != "" {
			j.violate(ruleMixed, job.id, "%s shows it as completed, and task %s has not ended done", node, name)
			return
		}
	}
}

// openTask returns a task of a step that has not ended done, or "".
func (job *judgedJob) openTask(step int) string {
	for i := range job.job.Steps[step].Count {
		name := fmt.Sprintf("%s.0.%d.%d", job.id, step, i)
		if t := job.tasks[name]; t == nil || len(t.done) == 0 {
			return name
		}
	}
	return ""
}

// mayHaveFailed reports whether a task has failed too often, or may be given up because
// workers crashed under it.
func (job *judgedJob) mayHaveFailed() bool {
	for _, t := range job.tasks {
		if t.failed >= maxAttempts || t.crashes >= suspectCrashes {
			return true
		}
	}
	return false
}
