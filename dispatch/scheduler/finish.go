package scheduler

import "time"

// Finish ends a ticket in progress.
func (s *Scheduler) Finish(now time.Time, t Ticket, res Result) {
	j := s.inProgress(t)
	if j == nil {
		return
	}
	s.learn(now, j, res)
	s.release(now, j)
	s.end(j)
}

// Requeue puts a ticket that its worker truthfully refused back at the head
// of its class, not to go to the excluded worker. It returns false when there
// is to be no other attempt: the ticket has ended and has not run.
func (s *Scheduler) Requeue(now time.Time, t Ticket, exclude string) bool {
	return s.again(now, t, Refused, exclude)
}

// Retry ends an attempt with the given result and queues the ticket again at
// the head of its class, away from its worker. It returns false when the
// ticket has ended: the request is not repeatable and may have run, its
// deadline is near, or the retry budget is spent.
func (s *Scheduler) Retry(now time.Time, t Ticket, res Result) bool {
	return s.again(now, t, res, "")
}

func (s *Scheduler) again(now time.Time, t Ticket, res Result, exclude string) bool {
	j := s.inProgress(t)
	if j == nil {
		return false
	}
	if exclude == "" {
		exclude = j.worker.ID
	}
	s.learn(now, j, res)
	s.release(now, j)
	if !s.mayRetry(now, j, res) {
		s.end(j)
		return false
	}
	j.addAvoid(exclude)
	s.enqueue(j, true)
	return true
}

// maxAttempts bounds the attempts for one ticket.
const maxAttempts = maxAvoid + 1

func (s *Scheduler) mayRetry(now time.Time, j *job, res Result) bool {
	mayRun := res == Refused || j.req.Repeatable && (res == Failed || res == Lost)
	if !mayRun || j.attempts >= maxAttempts || !now.Before(j.deadline) {
		return false
	}
	return s.opts.Retries.Spend(now)
}

// inProgress returns the job of a ticket in progress, or nil.
func (s *Scheduler) inProgress(t Ticket) *job {
	j := s.jobs[t]
	if j == nil || j.worker == nil {
		s.violated(ViolationTicket, t, "")
		return nil
	}
	return j
}

// learn takes the outcome of an attempt into account.
func (s *Scheduler) learn(now time.Time, j *job, res Result) {
	elapsed := now.Sub(j.startedAt)
	switch res {
	case OK:
		s.opts.Learner.Observe(now, keyOf(j.req), j.req.Declared, elapsed)
		s.policy.learn(now, elapsed)
		s.workers.observe(now, j.worker, j.req.Service, true)
	case Failed, Lost:
		s.workers.observe(now, j.worker, j.req.Service, false)
	case Refused:
		s.workers.pause(now, j.worker)
	}
	// An overrun is charged to the long lane: the team's short work does not
	// wait for it.
	difference := elapsed - j.cost
	s.lanes[j.counted].queue.Correct(j.team.flows[j.counted], difference.Seconds())
}

// release takes a job off its worker and out of the counts in progress.
func (s *Scheduler) release(now time.Time, j *job) {
	w := j.worker
	j.worker = nil
	s.unlist(j)
	s.lanes[j.counted].running--
	if j.lane == laneLong {
		s.longStarted--
	}
	s.dropSafe(j)
	if j.relieved {
		j.relieved = false
		s.relieving--
	}
	s.overruns.remove(j)
	s.teams.released(j.team)
	s.workers.add(now, w, -1)
}

// unlist takes a job out of the list of those in progress.
func (s *Scheduler) unlist(j *job) {
	last := len(s.started) - 1
	moved := s.started[last]
	s.started[j.place] = moved
	moved.place = j.place
	s.started[last] = nil
	s.started = s.started[:last]
}
