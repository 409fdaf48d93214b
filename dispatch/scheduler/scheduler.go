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
	// started holds the requests in progress.
	started []*job
	// longStarted counts the requests in progress that started as long.
	longStarted int
	// relieving counts the requests in progress for which relief was asked.
	relieving int
	// hold is the number of slots last kept free for urgent work.
	hold int
	// safe counts the requests in progress that are all but sure to end soon.
	safe   int
	policy policy
	// probeAt is when a request is next let through while no worker works.
	probeAt    time.Time
	deadlines  timerHeap
	overruns   timerHeap
	violations uint64
}

// New returns a scheduler without workers.
func New(opts Options) *Scheduler {
	s := &Scheduler{opts: opts.withDefaults(), jobs: make(map[Ticket]*job)}
	s.deadlines.slot = deadlineTimer
	s.overruns.slot = overrunTimer
	s.workers.init(opts.Node, eject.New(opts.Eject))
	s.teams.init(&s.lanes)
	return s
}

// SetMinAvailable sets how many workers stay in use however many fail, from
// the availability budgets.
func (s *Scheduler) SetMinAvailable(workers int) { s.workers.tracker.SetMinAvailable(workers) }

// SetTeams replaces the teams. Requests of teams not named share one flow.
func (s *Scheduler) SetTeams(teams []Team) { s.teams.set(teams) }

// SetWorkers replaces the workers. It is cheap when nothing has changed.
func (s *Scheduler) SetWorkers(now time.Time, workers []Worker) {
	s.workers.set(now, workers)
}

// Submit queues a request or refuses it; a refused request has not run.
func (s *Scheduler) Submit(now time.Time, r *dispatch.Request) (Ticket, *dispatch.Refusal) {
	j := &job{req: r, queuedAt: now, deadline: r.Deadline}
	if j.deadline.IsZero() {
		j.deadline = now.Add(s.opts.MaxWait)
	}
	j.team = s.teams.of(r.Team)
	s.classify(j)
	if refusal := s.admit(now, j); refusal != nil {
		return 0, refusal
	}
	s.lastTicket++
	j.ticket = s.lastTicket
	s.jobs[j.ticket] = j
	s.opts.Retries.Request(now)
	s.policy.arrived(now, j)
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
	s.deadlines.add(j, j.deadline)
}

func (s *Scheduler) queued() int {
	n := 0
	for i := range s.lanes {
		n += s.lanes[i].queue.Len()
	}
	return n
}

// Cancel ends a queued ticket in O(1). It returns true when the request was
// still queued and so has not run; a request in progress goes on until Finish.
func (s *Scheduler) Cancel(_ time.Time, t Ticket) bool {
	j := s.jobs[t]
	if j == nil || j.worker != nil {
		return false
	}
	s.dequeue(j)
	s.end(j)
	s.deadlines.abandon(j)
	return true
}

// dequeue takes a job out of its lane; its deadline timer is dropped later.
func (s *Scheduler) dequeue(j *job) {
	if j.entry != nil {
		s.lanes[j.lane].queue.Remove(j.entry)
		j.entry = nil
	}
}

// end closes a ticket.
func (s *Scheduler) end(j *job) {
	j.ended = true
	delete(s.jobs, j.ticket)
}

// InProgress is the number of this node's requests on a worker.
func (s *Scheduler) InProgress(worker string) int {
	if w := s.workers.byID[worker]; w != nil {
		return w.inProgress
	}
	return 0
}

// flowsOf is one team's flow in each lane.
type flowsOf [laneCount]*quota.Flow[*job]
