package scheduler

import "time"

// Finish ends a ticket in progress with the given result.
func (s *Scheduler) Finish(now time.Time, t Ticket, res Result) {
	j := s.runningJob(t)
	if j == nil {
		return
	}
	s.recordOutcome(now, j, res)
	s.release(now, j)
	s.end(j)
}

// Requeue puts a ticket that its worker refused back at the head of its
// team's queue, to be retried on a worker other than avoid if there is one. It
// returns false if there is no further attempt; the ticket has then ended and
// its request has not run.
func (s *Scheduler) Requeue(now time.Time, t Ticket, avoid string) bool {
	return s.endAttempt(now, t, Refused, avoid)
}

// Retry ends an attempt with the given result and puts the ticket back at the
// head of its team's queue, to be retried on another worker if there is one.
// It returns false if the ticket has ended because the request may have run and
// is not repeatable, the result allows no retry, the deadline has passed, or
// the attempts or the retry budget are used up.
func (s *Scheduler) Retry(now time.Time, t Ticket, res Result) bool {
	return s.endAttempt(now, t, res, "")
}

// endAttempt records the outcome of an attempt and either queues the job again
// or ends it. An empty avoid stands for the worker of the attempt.
func (s *Scheduler) endAttempt(now time.Time, t Ticket, res Result, avoid string) bool {
	j := s.runningJob(t)
	if j == nil {
		return false
	}
	if avoid == "" {
		avoid = j.worker.ID
	}
	s.recordOutcome(now, j, res)
	s.release(now, j)
	if !s.mayRetry(now, j, res) {
		s.end(j)
		return false
	}
	j.avoidWorker(avoid)
	s.enqueue(j, true)
	return true
}

// maxAttempts limits the attempts for one ticket, maxLost those that may have
// made their worker fail.
const (
	maxAttempts = maxAvoided + 1
	maxLost     = 2
)

func (s *Scheduler) mayRetry(now time.Time, j *job, res Result) bool {
	if res == Lost {
		j.lost++
		if j.lost >= maxLost {
			return false
		}
	}
	retryable := res == Refused || j.req.Repeatable && (res == Failed || res == Lost)
	if !retryable || j.attempts >= maxAttempts || !now.Before(j.deadline) {
		return false
	}
	return s.opts.Retries.TrySpend(now)
}

// runningJob returns the job of a ticket in progress. For any other ticket it
// reports a violation and returns nil.
func (s *Scheduler) runningJob(t Ticket) *job {
	j := s.jobs[t]
	if j == nil || j.worker == nil {
		s.reportViolation(ViolationTicket, t, "")
		return nil
	}
	return j
}

// recordOutcome updates the run times, the worker's health and the team's
// charge with the outcome of an attempt.
func (s *Scheduler) recordOutcome(now time.Time, j *job, res Result) {
	elapsed := now.Sub(j.startedAt)
	switch res {
	case OK:
		s.opts.Learner.Observe(now, routeKey(j.req), j.req.DeclaredRunTime, elapsed)
		s.load.observe(now, elapsed)
		s.workers.observe(now, j.worker, j.req.Service, true)
	case Failed, Lost:
		s.workers.observe(now, j.worker, j.req.Service, false)
	case Refused:
		s.workers.pause(now, j.worker)
	}
	// The time of an overrun is charged to the team's flow in the long lane, so
	// that it does not delay the team's short requests.
	difference := elapsed - j.cost
	s.lanes[j.runningLane].queue.AdjustCost(j.team.flows[j.runningLane], difference.Seconds())
}

// release removes a job from its worker and from the list and counts of
// requests in progress.
func (s *Scheduler) release(now time.Time, j *job) {
	w := j.worker
	j.worker = nil
	s.removeRunning(j)
	s.lanes[j.runningLane].running--
	if j.lane == laneLong {
		s.longStarted--
	}
	s.uncountReliablyShort(j)
	if j.preempting {
		j.preempting = false
		s.preempting--
	}
	s.overruns.remove(j)
	s.teams.release(j.team)
	s.workers.addInProgress(now, w, -1)
}

// removeRunning removes a job from the list of requests in progress. The last
// job of the list takes its index.
func (s *Scheduler) removeRunning(j *job) {
	last := len(s.running) - 1
	moved := s.running[last]
	s.running[j.runningIndex] = moved
	moved.runningIndex = j.runningIndex
	s.running[last] = nil
	s.running = s.running[:last]
}
