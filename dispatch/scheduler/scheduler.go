package scheduler

import (
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/eject"
	"wigeonwinch/dispatch/quota"
)

// Scheduler holds the queue and the requests in progress of one pool on one
// entry node. It is not safe for concurrent use.
type Scheduler struct {
	opts       Options
	workers    workerTable
	teams      teamTable
	lanes      [laneCount]lane
	jobs       map[Ticket]*job
	lastTicket Ticket
	// running lists the requests in progress, in no particular order.
	running []*job
	// longStarted counts the requests in progress that were classified as long
	// when they started.
	longStarted int
	// preempting counts the requests in progress whose preemption has been
	// requested.
	preempting int
	// reservedSlots is the number of slots that the last Next kept free for
	// urgent requests.
	reservedSlots int
	// reliablyShort counts the requests in progress that are very likely to
	// end soon.
	reliablyShort int
	load          loadStats
	// nextProbe is when the next request is admitted as a probe while no
	// worker is healthy.
	nextProbe  time.Time
	deadlines  timerHeap
	overruns   timerHeap
	violations uint64
}

// New returns a scheduler without workers.
func New(opts Options) *Scheduler {
	s := &Scheduler{opts: opts.withDefaults(), jobs: make(map[Ticket]*job)}
	s.deadlines.kind = deadlineTimer
	s.overruns.kind = overrunTimer
	s.workers.init(opts.Node, eject.New(opts.Eject))
	s.teams.init(&s.lanes)
	return s
}

// SetMinAvailable sets the number of workers that stay in use no matter how
// many fail. The value comes from the availability budgets.
func (s *Scheduler) SetMinAvailable(workers int) { s.workers.tracker.SetMinAvailable(workers) }

// SetTeams replaces the teams. Requests of unlisted teams share one flow.
func (s *Scheduler) SetTeams(teams []Team) { s.teams.set(teams) }

// SetWorkers replaces the workers. It returns early if nothing has changed.
func (s *Scheduler) SetWorkers(now time.Time, workers []Worker) {
	s.workers.set(now, workers)
}

// Submit queues a request or refuses it. A refused request has not run.
func (s *Scheduler) Submit(now time.Time, r *dispatch.Request) (Ticket, *dispatch.Refusal) {
	j := &job{req: r, queuedAt: now, deadline: r.Deadline}
	if j.deadline.IsZero() {
		j.deadline = now.Add(s.opts.MaxWait)
	}
	j.team = s.teams.lookup(r.Team)
	s.classify(j)
	if refusal := s.admit(now, j); refusal != nil {
		return 0, refusal
	}
	s.lastTicket++
	j.ticket = s.lastTicket
	s.jobs[j.ticket] = j
	s.opts.Retries.RecordRequest(now)
	s.load.recordArrival(now, j)
	s.enqueue(j, false)
	return j.ticket, nil
}

func (s *Scheduler) enqueue(j *job, front bool) {
	l := &s.lanes[j.lane]
	flow := j.team.flows[j.lane]
	cost := j.cost.Seconds()
	if front {
		j.entry = l.queue.PushFront(flow, j, cost)
	} else {
		j.entry = l.queue.Push(flow, j, cost)
	}
	s.deadlines.compact()
	s.deadlines.set(j, j.deadline)
}

func (s *Scheduler) queued() int {
	n := 0
	for i := range s.lanes {
		n += s.lanes[i].queue.Len()
	}
	return n
}

// Cancel ends a queued ticket in O(1). It reports whether the request was still
// queued and therefore has not run; a request in progress continues until
// Finish.
func (s *Scheduler) Cancel(_ time.Time, t Ticket) bool {
	j := s.jobs[t]
	if j == nil || j.worker != nil {
		return false
	}
	s.dequeue(j)
	s.end(j)
	s.deadlines.markStale(j)
	return true
}

// dequeue removes a job from its lane. The job's deadline timer stays in the
// heap until it is popped or compacted.
func (s *Scheduler) dequeue(j *job) {
	if j.entry != nil {
		s.lanes[j.lane].queue.Remove(j.entry)
		j.entry = nil
	}
}

// end marks a job as ended and removes its ticket.
func (s *Scheduler) end(j *job) {
	j.ended = true
	delete(s.jobs, j.ticket)
}

// InProgress returns the number of this node's requests in progress on a
// worker.
func (s *Scheduler) InProgress(worker string) int {
	if w := s.workers.byID[worker]; w != nil {
		return w.inProgress
	}
	return 0
}

// teamFlows holds one team's flow in each lane.
type teamFlows [laneCount]*quota.Flow[*job]
