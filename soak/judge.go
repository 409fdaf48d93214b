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

// WorkerDown notes that a worker has ended with all that ran on it.
func (j *Judge) WorkerDown(worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for run := range j.workers[worker].runs {
		j.record.Printf("worker: %s ends with %s run %d", worker, run.task, run.run)
		run.end()
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
			j.violate(ruleLost, id, "%s shows it as failed, and no task has failed %d times", node, maxAttempts)
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

func (job *judgedJob) mayHaveFailed() bool {
	for _, t := range job.tasks {
		if t.failed >= maxAttempts {
			return true
		}
	}
	return false
}

// Start is an order to start a task that a worker carries out.
type Start struct {
	Worker, Sender string
	Token          int64
	Task           string
	Run            int
	Spec           string
}

// RunStarted checks a start.
func (j *Judge) RunStarted(s Start) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.Printf("worker: %s starts %s run %d by order of %s, token %d", s.Worker, s.Task, s.Run, s.Sender, s.Token)
	name, err := parseTask(s.Task)
	job := j.jobs[name.job]
	if err != nil || job == nil || name.step >= len(job.job.Steps) || name.index >= job.job.Steps[name.step].Count || s.Spec != job.job.Spec {
		j.violate(ruleUnasked, name.job, "%s starts %s with the spec %q, which no client sent", s.Worker, s.Task, s.Spec)
		return
	}
	job.started = true
	task := job.tasks[s.Task]
	if task == nil {
		task = &judgedTask{running: map[*judgedRun]struct{}{}}
		job.tasks[s.Task] = task
	}
	step := job.job.Steps[name.step]
	run := &judgedRun{worker: s.Worker, task: s.Task, run: s.Run, cpu: step.CPU, memMB: step.MemMB, job: job, startedBy: s.Sender, startedAt: time.Now()}
	j.checkTwice(job, task, s)
	j.checkFinal(job, s)
	for _, earlier := range step.DependsOn {
		if open := job.openTask(earlier); open != "" {
			j.violate(ruleOrder, job.id, "%s starts %s run %d before %s has ended done, by order of %s", s.Worker, s.Task, s.Run, open, s.Sender)
		}
	}
	if task.failed >= maxAttempts {
		j.violate(ruleAttempts, job.id, "%s starts %s run %d after %d failures, by order of %s", s.Worker, s.Task, s.Run, task.failed, s.Sender)
	}
	task.running[run] = struct{}{}
	j.checkRoom(run)
}

func (j *Judge) checkTwice(job *judgedJob, task *judgedTask, s Start) {
	for other := range task.running {
		j.violate(ruleTwice, job.id, "%s starts %s run %d by order of %s while run %d runs on %s by order of %s",
			s.Worker, s.Task, s.Run, s.Sender, other.run, other.worker, other.startedBy)
	}
	for _, end := range task.done {
		text := fmt.Sprintf("%s starts %s run %d by order of %s after run %d ended done on %s at %.3f", s.Worker, s.Task, s.Run, s.Sender, end.run, end.worker, j.record.Seconds(end.at))
		if end.noted {
			j.violate(ruleTwice, job.id, "%s, which was taken note of", text)
		}
		end.startAfter = text
	}
}

// checkFinal checks that a job that is cancelled or completed starts nothing. Orders
// that were held up on their way do not count.
func (j *Judge) checkFinal(job *judgedJob, s Start) {
	inTouch := j.calm.For(contactTime, s.Sender, s.Worker)
	if c := job.cancel; c != nil && inTouch && time.Since(c.at) > cancelTime+judgeSlack {
		j.violate(ruleUnasked, job.id, "%s starts %s run %d by order of %s, token %d; %s", s.Worker, s.Task, s.Run, s.Sender, s.Token, j.describeCancel(c))
	}
	if !job.completedAt.IsZero() && inTouch && time.Since(job.completedAt) > finalTime+judgeSlack {
		j.violate(ruleTwice, job.id, "%s starts %s run %d by order of %s; completed was shown at %.3f", s.Worker, s.Task, s.Run, s.Sender, j.record.Seconds(job.completedAt))
	}
}

// checkRoom adds a run to its worker and checks the worker's capacity.
func (j *Judge) checkRoom(run *judgedRun) {
	w := j.workers[run.worker]
	w.runs[run] = struct{}{}
	if cpu, mem := w.used(); cpu > workerMilliCPU || mem > workerMemMB {
		j.violate(ruleLimit, run.job.id, "%s starts %s run %d by order of %s and then has %d milli-CPU and %d MB in use", run.worker, run.task, run.run, run.startedBy, cpu, mem)
	}
}

// end removes a run from its job and returns its task.
func (r *judgedRun) end() *judgedTask {
	task := r.job.tasks[r.task]
	delete(task.running, r)
	r.job.idleSince = time.Now()
	return task
}

// RunEnded notes the end of a run that a worker lists.
func (j *Judge) RunEnded(worker, name string, number int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record.Printf("worker: %s ends %s run %d %s", worker, name, number, how)
	for run := range j.workers[worker].runs {
		if run.task != name || run.run != number {
			continue
		}
		delete(j.workers[worker].runs, run)
		task := run.end()
		switch how {
		case endDone:
			task.done = append(task.done, &doneEnd{worker: worker, run: number, at: time.Now()})
		case endFailed:
			task.failed++
		}
	}
}

// EndAcked notes that a node has taken note of an end while the worker's lease lasted.
func (j *Judge) EndAcked(worker, name string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	parsed, err := parseTask(name)
	if err != nil || j.jobs[parsed.job] == nil || j.jobs[parsed.job].tasks[name] == nil {
		return
	}
	for _, end := range j.jobs[parsed.job].tasks[name].done {
		if end.worker != worker || end.run != run {
			continue
		}
		end.noted = true
		if end.startAfter != "" {
			j.violate(ruleTwice, parsed.job, "%s, which is taken note of now", end.startAfter)
		}
	}
}

// StopOrdered notes that a worker is told to stop a run.
func (j *Judge) StopOrdered(worker, sender, name string, run int) {
	j.record.Printf("worker: %s stops %s run %d by order of %s", worker, name, run, sender)
}

// Check checks that nothing of a cancelled job runs on and that no other job is left
// without a run. Both promises hold after a calm stretch.
func (j *Judge) Check() {
	acked, cancelledGone, idle := j.calm.AllFor(ackTime), j.calm.AllFor(cancelledGoneTime), j.calm.AllFor(calmBeforeIdle+idleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, job := range j.jobs {
		if acked && job.waitsForAck() {
			job.cancel = &cancelAnswer{sent: job.firstCancel, at: time.Now()}
			j.record.Printf("judge: the cancel of %s, sent at %.3f, counts as acknowledged now", job.id, j.record.Seconds(job.firstCancel))
		}
		if c := job.cancel; c != nil && cancelledGone && !job.overdue && time.Since(c.at) > cancelledGoneTime {
			j.checkGone(job)
		}
		if idle && job.waits() && time.Since(job.idleSince) > idleTime {
			j.checkIdle(job)
		}
	}
}

// waitsForAck reports whether a client that still asks for a job's cancel has had no
// acknowledgement in the time for it.
func (job *judgedJob) waitsForAck() bool {
	return job.cancel == nil && job.cancelSent && !job.acceptedAt.IsZero() && time.Since(job.firstCancel) > ackTime && time.Since(job.lastCancel) < ackTime
}

// waits reports whether an accepted job has nothing running, though it has not ended.
func (job *judgedJob) waits() bool {
	if job.idle || job.acceptedAt.IsZero() || job.cancelSent || job.mayHaveFailed() {
		return false
	}
	open := false
	for step := range job.job.Steps {
		open = open || job.openTask(step) != ""
	}
	for _, t := range job.tasks {
		open = open && len(t.running) == 0
	}
	return open
}

// checkIdle checks that a job waits only while its service is busy.
func (j *Judge) checkIdle(job *judgedJob) {
	used, capacity := 0, 0
	for _, w := range j.workers {
		if w.service == job.service {
			cpu, _ := w.used()
			used += cpu
			capacity += workerMilliCPU
		}
	}
	if 2*used < capacity {
		job.idle = true
		j.violate(ruleLost, job.id, "accepted at %.3f, it has had nothing running since %.3f, with %d of %d milli-CPU of %s in use; the last answer to a GET was %q",
			j.record.Seconds(job.acceptedAt), j.record.Seconds(job.idleSince), used, capacity, job.service, job.lastState)
	}
}

func (j *Judge) checkGone(job *judgedJob) {
	for _, task := range job.tasks {
		for run := range task.running {
			if time.Since(run.startedAt) < cancelledGoneTime {
				continue
			}
			job.overdue = true
			j.violate(ruleUnasked, job.id, "%s still runs %s run %d, started at %.3f by order of %s; %s", run.worker, run.task, run.run,
				j.record.Seconds(run.startedAt), run.startedBy, j.describeCancel(job.cancel))
			return
		}
	}
}

// Finish checks what can be told only at the end of a run.
func (j *Judge) Finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	cancels, late := 0, 0
	for _, job := range j.jobs {
		if job.started && job.acceptedAt.IsZero() && job.open == 0 && job.refused == job.attempts {
			j.violate(ruleRefused, job.id, "all %d submissions were refused, and a task was started", job.attempts)
		}
		if job.cancel != nil {
			cancels++
			if job.cancel.node == "" {
				late++
			}
		}
	}
	if late >= minLateCancels && late*maxLateShare > cancels {
		j.violate(ruleAcks, "", "%d of %d cancels were not acknowledged within %s without faults", late, cancels, ackTime)
	}
}

// Counts returns how many jobs were handed in, accepted and cancelled.
func (j *Judge) Counts() (submitted, accepted, cancelled int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, job := range j.jobs {
		submitted++
		if !job.acceptedAt.IsZero() {
			accepted++
		}
		if job.cancel != nil {
			cancelled++
		}
	}
	return submitted, accepted, cancelled
}
