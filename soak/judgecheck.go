package soak

import (
	"time"
)

// Check checks that nothing of a cancelled job runs on and that no other job is left
// without a run. Both promises hold after a calm stretch.
func (j *Judge) Check() {
	acked, cancelledGone, idle := j.calm.AllFor(ackTime), j.calm.AllFor(cancelledGoneTime), j.calm.AllFor(calmBeforeIdle+idleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noteCaps(time.Now())
	for _, job := range j.jobs {
		if acked && job.waitsForAck() {
			job.cancel = &cancelAnswer{sent: job.firstCancel, at: time.Now()}
			j.record.Printf("judge: the cancel of %s, sent at %.3f, counts as acknowledged now", job.id, j.record.Seconds(job.firstCancel))
		}
		if c := job.cancel; c != nil && cancelledGone && !job.overdue && time.Since(c.at) > cancelledGoneTime {
			j.checkGone(job)
		}
		if idle && job.waits() && time.Since(job.idleSince) > idleTime && j.capFree(job) {
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
