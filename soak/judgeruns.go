package soak

import (
	"fmt"
	"time"
)

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
	j.checkQuota(run)
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
