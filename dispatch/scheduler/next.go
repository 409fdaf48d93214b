package scheduler

import (
	"time"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/quota"
)

// classify chooses the lane of a job and predicts its run time.
func (s *Scheduler) classify(j *job) {
	j.mean = j.req.Declared
	j.lane = laneShort
	if j.req.Class == dispatch.ClassUrgent {
		j.lane = laneUrgent
	}
}

// Next returns what to start, what has expired and where to ask for relief.
func (s *Scheduler) Next(now time.Time) Actions {
	var a Actions
	a.Expired = s.expire(now)
	for id := laneUrgent; id < laneCount; id++ {
		for s.startOne(now, id, &a) {
		}
	}
	return a
}

// expire ends the queued jobs whose deadline has passed.
func (s *Scheduler) expire(now time.Time) []Ticket {
	var expired []Ticket
	for j := s.deadlines.due(now); j != nil; j = s.deadlines.due(now) {
		if j.ended || j.worker != nil {
			continue
		}
		s.dequeue(j)
		s.end(j)
		expired = append(expired, j.ticket)
	}
	return expired
}

// startOne starts the next job of a lane, if one may start.
func (s *Scheduler) startOne(now time.Time, id laneID, a *Actions) bool {
	if s.workers.free <= 0 {
		return false
	}
	var chosen *workerState
	j, ok := s.lanes[id].queue.Take(func(j *job) quota.Choice {
		if j.team.atBound() {
			return quota.Park
		}
		chosen = s.workers.choose(j)
		if chosen == nil {
			return quota.Skip
		}
		return quota.Accept
	})
	if !ok {
		return false
	}
	return s.start(now, j, chosen, a)
}

// start puts a job on a worker.
func (s *Scheduler) start(now time.Time, j *job, w *workerState, a *Actions) bool {
	j.entry = nil
	if !w.Accepting || w.gone {
		s.violated(ViolationNotAccepting, j.ticket, w.ID)
		s.enqueue(j, true)
		return false
	}
	if w.inProgress >= w.Slots {
		s.violated(ViolationSlots, j.ticket, w.ID)
		s.enqueue(j, true)
		return false
	}
	s.deadlines.remove(j)
	j.worker = w
	j.startedAt = now
	j.attempts++
	j.counted = j.lane
	j.team.inProgress++
	s.lanes[j.counted].running++
	s.running++
	s.workers.add(now, w, 1)
	a.Starts = append(a.Starts, Start{Ticket: j.ticket, Request: j.req, Worker: w.ID})
	return true
}

// Finish ends a ticket in progress.
func (s *Scheduler) Finish(now time.Time, t Ticket, _ Result) {
	j := s.inProgress(t)
	if j == nil {
		return
	}
	s.release(now, j)
	s.end(j)
}

// Requeue puts a ticket that its worker truthfully refused back at the head
// of its class. It returns false when there is to be no other attempt: the
// ticket has ended and has not run.
func (s *Scheduler) Requeue(now time.Time, t Ticket, exclude string) bool {
	j := s.inProgress(t)
	if j == nil {
		return false
	}
	s.release(now, j)
	if !now.Before(j.deadline) || j.attempts >= maxAvoid+1 {
		s.end(j)
		return false
	}
	j.addAvoid(exclude)
	s.enqueue(j, true)
	return true
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

// release takes a job off its worker.
func (s *Scheduler) release(now time.Time, j *job) {
	w := j.worker
	j.worker = nil
	s.lanes[j.counted].running--
	s.running--
	s.teams.released(j.team)
	s.workers.add(now, w, -1)
}

// Wake is the earliest time at which Next may yield something without other
// input; the zero time when there is none.
func (s *Scheduler) Wake() time.Time { return s.deadlines.next() }
