package shard

import (
	"fmt"
	"math"

	"wigeonwinch/jobs/admit"
	"wigeonwinch/jobs/spec"
)

// Submit hands in a job. The reply comes once the store has it, or at once if
// it is refused. A job that is known already is accepted again.
func (c *Core) Submit(now int64, ticket uint64, s spec.Job) {
	c.now = now
	if j, ok := c.jobs[s.ID]; ok {
		c.submitAgain(j, ticket)
		return
	}
	q, ok := c.queues[s.Queue]
	if !ok {
		c.reply(Reply{Ticket: ticket, Outcome: Unknown, Reason: "no such queue"})
		return
	}
	first, seen := c.arrived[s.ID]
	if !seen {
		first = now
		c.arrived[s.ID] = now
		c.pool(q.Service).arrivedWork += s.Work()
	}
	j := c.newJob(s, q, first)
	if refusal, refused := c.refuse(j, q); refused {
		c.event(Event{Name: EventRefused, Job: s.ID, Outcome: refusal.Reason, AgeMS: now - first,
			Detail: fmt.Sprintf("work=%d left=%d retry_ms=%d", s.Work(), c.pool(q.Service).left, refusal.RetryAfterMS)})
		refusal.Ticket, refusal.Outcome = ticket, Refused
		c.reply(refusal)
		return
	}
	c.accept(j, ticket)
}

func (c *Core) newJob(s spec.Job, q Queue, first int64) *job {
	chain := s.ChainMS(nil)
	return &job{
		spec: s, service: q.Service, priority: q.Priority, maxAttempts: q.MaxAttempts,
		firstSeen: first, deadline: first + q.TargetMS + int64(q.Stretch*float64(chain)),
		acceptedMS: c.wallMS, state: spec.Pending, shown: spec.Pending,
		occurrences: map[int]*occurrence{},
	}
}

func (c *Core) accept(j *job, ticket uint64) {
	j.waiters = append(j.waiters, ticket)
	c.jobs[j.spec.ID] = j
	c.event(Event{Name: EventAccepted, Job: j.spec.ID, AgeMS: c.now - j.firstSeen,
		Detail: fmt.Sprintf("queue=%s work=%d left=%d deadline_in_ms=%d", j.spec.Queue, j.spec.Work(), c.pool(j.service).left, j.deadline-c.now)})
	c.touch(j)
	if j.spec.Repeat == 0 {
		c.open(j, 0)
		return
	}
	c.scheduled[j.spec.ID] = j
}

func (c *Core) submitAgain(j *job, ticket uint64) {
	if j.stored {
		c.reply(Reply{Ticket: ticket, Outcome: Accepted})
		return
	}
	j.waiters = append(j.waiters, ticket)
}

// refuse decides whether a job is turned away before it is stored.
func (c *Core) refuse(j *job, q Queue) (Reply, bool) {
	if c.storeDown || c.now >= c.startsUntil {
		return Reply{Reason: "store_away", RetryAfterMS: admit.StoreRetryMS}, true
	}
	if reason, ok := c.impossible(j); ok {
		return Reply{Reason: reason, RetryAfterMS: admit.ImpossibleRetryMS}, true
	}
	if c.cfg.Policy.TakeAll {
		return Reply{}, false
	}
	p := c.pool(q.Service)
	d := admit.Decide(c.loadAhead(p, j.spec.Work()), admit.Ask{
		Work: j.spec.Work(), FirstMilliCPU: firstStepCPU(&j.spec), ChainMS: j.spec.ChainMS(nil), SlackMS: j.deadline - c.now,
		Lasting: j.spec.Lasts(), Scheduled: j.spec.Repeat > 0,
	})
	if d.Accept {
		return Reply{}, false
	}
	return Reply{Reason: d.Reason, RetryAfterMS: d.RetryAfterMS}, true
}

// load is what a pool has to do.
func (c *Core) load(p *pool) admit.Load { return c.loadAhead(p, math.MaxInt64) }

// loadAhead is what a pool has to do before a job of the given work.
func (c *Core) loadAhead(p *pool, work int64) admit.Load {
	l := admit.Load{WaitingWork: p.left}
	for _, w := range c.workers {
		if w.info.Service != p.service {
			continue
		}
		l.WaitingWork -= w.placedWork
		if w.usable() || c.lookingAround(w) {
			l.CapacityMilliCPU += int64(w.info.Capacity.MilliCPU)
			l.FreeMilliCPU += int64(max(w.info.Capacity.MilliCPU-w.used.MilliCPU, 0))
		}
	}
	ready, ahead := p.readyWork(work)
	later := max(l.WaitingWork-ready, 0)
	l.WaitingWork = ahead + later*laterPercent/100
	l.ComingMilliCPU = c.coming[p.service]
	return l
}

// lookAroundMS is how long after a takeover workers count as room before they
// were reached: the first polls' round trips, several times.
const lookAroundMS = 500

// lookingAround says whether a worker was not asked long enough yet to be
// called out of reach: the shard has just been taken over.
func (c *Core) lookingAround(w *worker) bool {
	return c.now-c.takenAt < lookAroundMS && w.listed && !w.info.Draining && !w.cordoned && !w.reached && w.failedPolls == 0
}

// laterPercent of the work of steps that can't start yet counts as waiting:
// most of it starts after what is ready now is done.
const laterPercent = 10

// readyWork is the work of the tasks that could start now, and the part of it
// that stands before a job of the given work.
func (p *pool) readyWork(work int64) (ready, ahead int64) {
	for _, j := range p.queue {
		if j.state.Final() {
			continue
		}
		w := j.readyWork()
		ready += w
		if j.left <= work {
			ahead += w
		}
	}
	return ready, ahead
}

func (j *job) readyWork() int64 {
	sum := int64(0)
	for _, o := range j.occurrences {
		for s := range o.steps {
			if o.steps[s].open > 0 && o.ready(&j.spec, s) {
				sum += o.steps[s].idleTasks() * j.spec.Steps[s].Work()
			}
		}
	}
	return sum
}

// idleTasks counts the tasks that are neither done nor on a worker.
func (s *step) idleTasks() int64 {
	n := int64(0)
	for t := range s.tasks {
		if !s.tasks[t].done && s.tasks[t].current == nil {
			n++
		}
	}
	return n
}

// SetComing tells which room is on its way to the services.
func (c *Core) SetComing(milliCPU map[string]int64) { c.coming = milliCPU }

// firstStepCPU is what the steps that can start at once ask for together.
func firstStepCPU(j *spec.Job) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			sum += int64(j.Steps[i].Count) * int64(j.Steps[i].Room().MilliCPU)
		}
	}
	return sum
}

// noteKind remembers a sort of worker. The workers of today may not show it:
// VMs leave the pool between its turns and come back.
func (c *Core) noteKind(w Worker) {
	c.kinds[fmt.Sprintf("%s %q %+v", w.Service, w.Labels, w.Capacity)] = w
}

// impossible says why no worker that was ever seen could run one of the
// job's tasks. Without any worker seen nothing is known.
func (c *Core) impossible(j *job) (string, bool) {
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		seen, fits := false, false
		for _, k := range c.kinds {
			if k.Service == j.service {
				seen = true
				fits = fits || k.hasLabel(st.Label) && st.Room().Fits(k.Capacity)
			}
		}
		if seen && !fits {
			return "no_worker_can_hold_it", true
		}
	}
	return "", false
}

// Cancel stops a job for good. The reply comes once the store has it.
func (c *Core) Cancel(now int64, ticket uint64, id string) {
	c.now = now
	j, ok := c.jobs[id]
	if !ok {
		c.reply(Reply{Ticket: ticket, Outcome: Unknown})
		return
	}
	if j.shown.Final() {
		c.reply(Reply{Ticket: ticket, Outcome: Accepted})
		return
	}
	j.cancelers = append(j.cancelers, ticket)
	if j.state.Final() {
		return
	}
	c.event(Event{Name: EventCancelled, Job: id})
	c.finish(j, spec.Cancelled)
}

// View is what a caller sees of a job.
type View struct {
	State spec.State
	Known bool
}

// Show returns the stored state of a job.
func (c *Core) Show(id string) View {
	j, ok := c.jobs[id]
	if !ok || !j.stored {
		return View{}
	}
	return View{State: j.shown, Known: true}
}

// Waiting counts the queue's accepted jobs of which no task has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == queue && !j.state.Final() && !j.begun {
			n++
		}
	}
	return n
}

// open begins an occurrence of a job.
func (c *Core) open(j *job, number int) {
	o := newOccurrence(&j.spec, number)
	j.occurrences[number] = o
	j.next = number + 1
	work := j.spec.Work()
	j.left += work
	c.pool(j.service).left += work
	c.enqueue(j)
}

// openOccurrences begins the occurrences that have become due.
func (c *Core) openOccurrences() {
	for _, id := range sortedKeys(c.scheduled) {
		j := c.scheduled[id]
		if j.state.Final() {
			delete(c.scheduled, id)
			continue
		}
		for j.next < j.rounds() && c.wallMS >= j.dueMS(j.next) {
			c.open(j, j.next)
			j.deadline = c.now + (j.deadline - j.firstSeen)
			j.firstSeen = c.now
			c.touch(j)
		}
	}
}

// countOpen adds a restored job's open work to its pool and queues it.
func (c *Core) countOpen(j *job) {
	c.pool(j.service).left += j.left
	if j.spec.Repeat > 0 {
		c.scheduled[j.spec.ID] = j
	}
	c.enqueue(j)
}

// finish makes a job final: what runs of it is stopped.
func (c *Core) finish(j *job, state spec.State) {
	j.state = state
	j.finalAt = c.now
	c.finals = append(c.finals, j)
	p := c.pool(j.service)
	p.left -= j.left
	j.left = 0
	j.eachRun(func(r *run) { c.stop(r, "job_"+string(state)) })
	j.occurrences = map[int]*occurrence{}
	c.event(Event{Name: EventFinal, Job: j.spec.ID, Outcome: string(state), AgeMS: c.now - j.firstSeen,
		Detail: fmt.Sprintf("deadline_in_ms=%d", j.deadline-c.now)})
	c.touch(j)
}
