package shard

import (
	"fmt"
	"math"

	"wigeonwinch/jobs/admit"
	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

// Submit submits a job. The reply follows after the job is stored, or at once
// if the job is refused. A job that is already known is accepted again.
func (c *Core) Submit(now int64, ticket uint64, s spec.Job) {
	c.now = now
	if j, ok := c.jobs[s.ID]; ok {
		if !c.MayAccess(submitterOf(s), s.ID) {
			c.reply(Reply{Ticket: ticket, Outcome: Taken, Reason: "id_taken"})
			return
		}
		c.resubmit(j, ticket)
		return
	}
	if settled, ok := c.settled.jobs[s.ID]; ok {
		c.replySettled(settled, ticket, submitterOf(s))
		return
	}
	if c.replyUnreadable(ticket, s.ID) {
		return
	}
	q, ok := c.queues[s.Queue]
	if !ok {
		c.reply(Reply{Ticket: ticket, Outcome: Unknown, Reason: "no such queue"})
		return
	}
	if at, ok := c.declinedAt.get(s.ID); ok && now-at <= declineKeepMS {
		c.reply(Reply{Ticket: ticket, Outcome: Unavailable, Reason: "declined_before"})
		return
	}
	s.Steps = boundEstimates(s.Steps)
	firstSeen, seen := c.firstSeenAt.get(s.ID)
	if !seen {
		firstSeen = now
		if c.firstSeenAt.full() {
			c.firstSeenAt.forgetFirst()
		}
		c.firstSeenAt.set(s.ID, now)
		c.ensurePool(q.Service).submittedWork += s.Work()
	}
	j := c.newJob(s, q, firstSeen)
	if c.now >= c.startsUntil {
		// A successor may have accepted the job, so that a refusal may be false.
		c.reply(Reply{Ticket: ticket, Outcome: Unavailable, Reason: "ownership_expired"})
		return
	}
	if refusal, refused := c.checkAdmission(j, q); refused {
		c.countRefusal(j)
		c.event(Event{Name: EventRefused, Job: s.ID, Outcome: refusal.Reason, AgeMS: now - firstSeen,
			Detail: fmt.Sprintf("work=%d left=%d retry_ms=%d", j.work(), c.ensurePool(q.Service).remainingWork, refusal.RetryAfterMS)})
		refusal.Ticket, refusal.Outcome = ticket, Refused
		c.reply(refusal)
		return
	}
	c.acceptJob(j, ticket)
}

func (c *Core) newJob(s spec.Job, q Queue, firstSeen int64) *job {
	j := &job{
		spec: s, service: q.Service, priority: q.Priority, maxAttempts: q.MaxAttempts, advice: q.AdviceTiming,
		firstSeenAt: firstSeen, deadline: firstSeen + q.TargetMS, stretch: q.Stretch,
		acceptedMS: c.wallMS, state: spec.Pending, storedState: spec.Pending,
		occurrences: map[int]*occurrence{},
	}
	c.expectJob(j)
	return j
}

func (c *Core) acceptJob(j *job, ticket uint64) {
	j.submitWaiters = append(j.submitWaiters, ticket)
	c.jobs[j.spec.ID] = j
	c.holdState(j)
	c.customers.addJob(j)
	c.event(Event{Name: EventAccepted, Job: j.spec.ID, AgeMS: c.now - j.firstSeenAt,
		Detail: fmt.Sprintf("queue=%s work=%d left=%d deadline_in_ms=%d", j.spec.Queue, j.work(), c.ensurePool(j.service).remainingWork, j.deadline-c.now)})
	c.markDirty(j)
	if j.spec.Repeat == 0 {
		c.openOccurrence(j, 0)
		return
	}
	c.scheduled[j.spec.ID] = j
}

func (c *Core) resubmit(j *job, ticket uint64) {
	if j.stored {
		c.reply(Reply{Ticket: ticket, Outcome: Accepted})
		return
	}
	j.submitWaiters = append(j.submitWaiters, ticket)
}

// decline remembers to accept no submission of a job for a while, or answers that it can't.
func (c *Core) decline(ticket uint64, id string) bool {
	if c.declinedAt.full() {
		c.reply(Reply{Ticket: ticket, Outcome: Unavailable, Reason: "too_many_unknown_jobs"})
		return false
	}
	c.declinedAt.set(id, c.now)
	return true
}

// replySettled answers the submission of a job that is final already.
func (c *Core) replySettled(s settledJob, ticket uint64, submitter customer.Caller) {
	if !s.mayAccess(submitter) {
		c.reply(Reply{Ticket: ticket, Outcome: Taken, Reason: "id_taken"})
		return
	}
	c.reply(Reply{Ticket: ticket, Outcome: Accepted})
}

// checkAdmission decides whether a job is refused before it is stored.
func (c *Core) checkAdmission(j *job, q Queue) (Reply, bool) {
	if refusal, refused := c.checkPlace(j, q); refused {
		return refusal, true
	}
	if !c.takePace() {
		return Reply{Reason: "too_many_final_jobs", RetryAfterMS: admit.UnavailableRetryMS}, true
	}
	return Reply{}, false
}

// checkPlace refuses a job for which there is no place in the store, in the owner's memory
// or in its pool.
func (c *Core) checkPlace(j *job, q Queue) (Reply, bool) {
	if c.storeDown {
		return Reply{Reason: "store_away", RetryAfterMS: admit.UnavailableRetryMS}, true
	}
	if refusal, refused := c.checkStateRoom(&j.spec); refused {
		return refusal, true
	}
	if reason, ok := c.unplaceable(j); ok {
		return Reply{Reason: reason, RetryAfterMS: admit.UnplaceableRetryMS}, true
	}
	if c.gangAboveCap(j) {
		return Reply{Reason: "gang_above_cap", RetryAfterMS: admit.UnplaceableRetryMS}, true
	}
	if c.cfg.Policy.AdmitAll || c.workersUnknown() {
		return Reply{}, false
	}
	p := c.ensurePool(q.Service)
	d := c.admission(p, j, admit.Request{
		Work: j.work(), InitialMilliCPU: initialMilliCPU(&j.spec), CriticalPathMS: j.criticalPathMS(nil), SlackMS: j.deadline - c.now,
		Lasting: j.spec.HasLastingStep(), Scheduled: j.spec.Repeat > 0,
	})
	if d.Accept {
		return Reply{}, false
	}
	return Reply{Reason: d.Reason, RetryAfterMS: d.RetryAfterMS}, true
}

// poolLoad returns the load of a pool.
func (c *Core) poolLoad(p *pool) admit.Load { return c.poolLoadAhead(p, math.MaxInt64) }

// poolLoadAhead returns the load of a pool that would be served before a job
// with the given work.
func (c *Core) poolLoadAhead(p *pool, work int64) admit.Load {
	l := admit.Load{WaitingWork: p.remainingWork}
	for _, w := range c.workers {
		if w.info.Service != p.service {
			continue
		}
		l.WaitingWork -= w.placedWork
		if w.usable() || c.inTakeoverGrace(w) {
			l.CapacityMilliCPU += int64(w.info.Capacity.MilliCPU)
			l.FreeMilliCPU += int64(max(w.info.Capacity.MilliCPU-w.used.MilliCPU, 0))
		}
	}
	ready, ahead := p.readyWork(work)
	blockedWork := max(l.WaitingWork-ready, 0)
	l.WaitingWork = ahead + blockedWork*blockedWorkPercent/100
	l.IncomingMilliCPU = c.incomingMilliCPU[p.service]
	return l
}

// workersUnknownGraceMS is how long after a takeover jobs are accepted although
// the list of workers was not read yet: a part of the slack of a usual job.
const workersUnknownGraceMS = 1_000

// workersUnknown reports whether nothing is known about the pool because the
// shard has just been taken over. The earlier owner's workers are there most
// likely, and the job finds its place as soon as they are listed.
func (c *Core) workersUnknown() bool {
	return !c.workersListed && c.now-c.takeoverAt < workersUnknownGraceMS
}

// takeoverGraceMS is how long after a takeover unreached workers count as
// capacity: several round trips of the first polls.
const takeoverGraceMS = 500

// inTakeoverGrace reports whether it is too early to treat a worker as
// unreachable because the shard has just been taken over.
func (c *Core) inTakeoverGrace(w *worker) bool {
	return c.now-c.takeoverAt < takeoverGraceMS && w.listed && !w.info.Draining && !w.cordoned && !w.reached && w.failedPolls == 0
}

// blockedWorkPercent of the work of steps that cannot start yet counts as
// waiting: most of that work starts after the ready work is done.
const blockedWorkPercent = 10

// readyWork returns the work of the tasks that could start now, and the part
// of it in jobs with no more remaining work than the given one.
func (p *pool) readyWork(work int64) (ready, ahead int64) {
	for _, j := range p.queue {
		if j.state.Final() {
			continue
		}
		w := j.readyWork()
		ready += w
		if j.remainingWork <= work {
			ahead += w
		}
	}
	return ready, ahead
}

func (j *job) readyWork() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].openTasks > 0 && o.stepReady(&j.spec, s) {
				sum += o.steps[s].pendingTasks() * j.stepWork(s)
			}
		}
	}
	return sum
}

// pendingTasks counts the tasks that are neither done nor placed.
func (s *step) pendingTasks() int64 {
	n := int64(0)
	for t := range s.tasks {
		if !s.tasks[t].done && s.tasks[t].current == nil {
			n++
		}
	}
	return n
}

// SetIncomingCapacity sets the capacity on its way to each service.
func (c *Core) SetIncomingCapacity(milliCPU map[string]int64) { c.incomingMilliCPU = milliCPU }

// initialMilliCPU returns the sum requested by the steps that can start at
// once.
func initialMilliCPU(j *spec.Job) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			sum += int64(j.Steps[i].Count) * int64(j.Steps[i].Reservation().MilliCPU)
		}
	}
	return sum
}

// rememberKind remembers a kind of worker. The kind stays known while the list
// has no such worker: VMs leave the pool between the phases of its demand and
// come back.
func (c *Core) rememberKind(w Worker) {
	c.workerKinds[fmt.Sprintf("%s %q %+v", w.Service, w.Labels, w.Capacity)] = w
}

// unplaceable returns a reason if no kind of worker seen so far could run one
// of the job's tasks. Before any worker was seen, it reports nothing.
func (c *Core) unplaceable(j *job) (string, bool) {
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		seen, fits := false, false
		for _, k := range c.workerKinds {
			if k.Service == j.service {
				seen = true
				fits = fits || k.hasLabel(st.Label) && st.Reservation().Fits(k.Capacity)
			}
		}
		if seen && !fits {
			return "no_worker_can_hold_it", true
		}
	}
	return "", false
}

// Cancel cancels a job. The reply follows after the cancel is stored, or after an append
// has proven that there is no such job.
func (c *Core) Cancel(now int64, ticket uint64, id string) { c.CancelAs(operator, now, ticket, id) }

// CancelAs is Cancel on behalf of a caller, to whom another customer's job does not exist.
func (c *Core) CancelAs(caller customer.Caller, now int64, ticket uint64, id string) {
	c.now = now
	if c.replyUnreadable(ticket, id) || c.replyHidden(caller, ticket, id) {
		return
	}
	if _, ok := c.settled.jobs[id]; ok {
		c.reply(Reply{Ticket: ticket, Outcome: Accepted})
		return
	}
	j, ok := c.jobs[id]
	if !ok {
		c.askStore(ticket, func() { c.cancelUnlessAbsent(caller, ticket, id) })
		return
	}
	if j.storedState.Final() {
		c.reply(Reply{Ticket: ticket, Outcome: Accepted})
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, ticket)
	if j.state.Final() {
		return
	}
	c.event(Event{Name: EventCancelled, Job: id})
	c.finishJob(j, spec.Cancelled)
}

// cancelUnlessAbsent cancels a job that was accepted while the owner proved its
// ownership. A job that does not exist is declined for a while: its submission may be
// held up in a suspended node. Nothing is said of it if too many are declined already.
func (c *Core) cancelUnlessAbsent(caller customer.Caller, ticket uint64, id string) {
	if !c.knows(id) {
		if !c.decline(ticket, id) {
			return
		}
		c.reply(Reply{Ticket: ticket, Outcome: Unknown})
		return
	}
	c.CancelAs(caller, c.now, ticket, id)
}

// JobStatus is the state of a job as reported to callers.
type JobStatus struct {
	State spec.State
	Known bool
}

// knows reports whether the shard has a job with an ID, open or final.
func (c *Core) knows(id string) bool {
	_, settled := c.settled.jobs[id]
	return settled || c.jobs[id] != nil
}

// JobStatus returns the stored state of a job.
func (c *Core) JobStatus(id string) JobStatus {
	if s, ok := c.settled.jobs[id]; ok {
		return JobStatus{State: s.state, Known: true}
	}
	j, ok := c.jobs[id]
	if !ok || !j.stored {
		return JobStatus{}
	}
	return JobStatus{State: j.storedState, Known: true}
}

// WaitingJobs counts the queue's accepted jobs of which no worker has begun a task.
func (c *Core) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == queue && !j.state.Final() && !j.begun {
			n++
		}
	}
	return n
}

// enqueueRestored adds the remaining work of a restored job to its pool and
// queues the job.
func (c *Core) enqueueRestored(j *job) {
	c.ensurePool(j.service).remainingWork += j.remainingWork
	c.customers.addJob(j)
	if j.spec.Repeat > 0 {
		c.scheduled[j.spec.ID] = j
	}
	c.enqueue(j)
}

// finishJob moves a job to a final state and stops its runs.
func (c *Core) finishJob(j *job, state spec.State) {
	j.state = state
	j.finalAt = c.now
	c.finalJobs = append(c.finalJobs, j)
	c.customers.removeJob(j)
	p := c.ensurePool(j.service)
	p.remainingWork -= j.remainingWork
	j.remainingWork = 0
	j.eachRun(func(r *run) { c.stopRun(r, "job_"+string(state)) })
	j.occurrences = map[int]*occurrence{}
	c.dropLossParts(j)
	c.holdState(j)
	c.event(Event{Name: EventFinal, Job: j.spec.ID, Outcome: string(state), AgeMS: c.now - j.firstSeenAt,
		Detail: fmt.Sprintf("deadline_in_ms=%d", j.deadline-c.now)})
	c.markDirty(j)
}
