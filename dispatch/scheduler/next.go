package scheduler

import (
	"time"

	"wigeonwinch/dispatch/quota"
)

// Next returns what to start, what has expired and where to ask for relief.
func (s *Scheduler) Next(now time.Time) Actions {
	var a Actions
	s.workers.advance(now)
	s.reclassify(now)
	s.expire(now, &a)
	for s.startUrgent(now, &a) {
	}
	hold := s.urgentHold(now)
	s.hold = hold
	limit := s.longLimit(now, hold)
	for s.startFloor(now, hold, &a) {
	}
	for s.startShort(now, hold, &a) {
	}
	for s.startLong(now, hold, limit, &a) {
	}
	s.relieve(now, &a)
	return a
}

// expire ends the queued jobs whose deadline has passed.
func (s *Scheduler) expire(now time.Time, a *Actions) {
	for j := s.deadlines.due(now); j != nil; j = s.deadlines.due(now) {
		if j.ended || j.worker != nil {
			continue
		}
		s.dequeue(j)
		s.end(j)
		a.Expired = append(a.Expired, j.ticket)
	}
}

// reclassify counts the requests that overran as long.
func (s *Scheduler) reclassify(now time.Time) {
	for j := s.overruns.due(now); j != nil; j = s.overruns.due(now) {
		s.lanes[j.counted].running--
		j.counted = laneLong
		s.lanes[laneLong].running++
		s.dropSafe(j)
	}
}

// dropSafe stops counting a job as all but sure to end soon.
func (s *Scheduler) dropSafe(j *job) {
	if j.safe {
		j.safe = false
		s.safe--
	}
}

func (s *Scheduler) startUrgent(now time.Time, a *Actions) bool {
	return s.workers.free > 0 && s.startOne(now, laneUrgent, anyJob, a)
}

func (s *Scheduler) startFloor(now time.Time, hold int, a *Actions) bool {
	if s.longStarted >= s.longFloor() || s.workers.free <= hold {
		return false
	}
	return s.startOne(now, laneLong, anyJob, a)
}

func (s *Scheduler) startShort(now time.Time, hold int, a *Actions) bool {
	if s.workers.free > hold {
		return s.startOne(now, laneShort, anyJob, a)
	}
	return s.workers.free > 0 && s.mayLend(hold) && s.startOne(now, laneShort, isSafe, a)
}

func (s *Scheduler) startLong(now time.Time, hold, limit int, a *Actions) bool {
	if s.workers.free <= hold || s.lanes[laneLong].running >= limit {
		return false
	}
	return s.startOne(now, laneLong, anyJob, a)
}

func anyJob(*job) bool { return true }

func isSafe(j *job) bool { return j.safe }

// startOne starts the next job of a lane, if one may start. Jobs that could
// not end in time any more make way for the others.
func (s *Scheduler) startOne(now time.Time, id laneID, may func(*job) bool, a *Actions) bool {
	for {
		var chosen *workerState
		late := false
		j, ok := s.lanes[id].queue.Take(func(j *job) quota.Choice {
			late = s.isTooLate(now, j)
			if late {
				return quota.Accept
			}
			if j.team.atBound() {
				return quota.Park
			}
			if !may(j) {
				return quota.Skip
			}
			chosen = s.workers.choose(now, j)
			if chosen == nil {
				return quota.Skip
			}
			return quota.Accept
		})
		if !ok {
			return false
		}
		j.entry = nil
		if !late {
			return s.start(now, j, chosen, a)
		}
		s.lanes[id].queue.Correct(j.team.flows[id], -j.cost.Seconds())
		s.deadlines.remove(j)
		s.end(j)
		a.Expired = append(a.Expired, j.ticket)
	}
}

// isTooLate says whether a job with a deadline would, as far as is known, end
// after it while others wait.
func (s *Scheduler) isTooLate(now time.Time, j *job) bool {
	if j.req.Deadline.IsZero() || s.lanes[j.lane].queue.Len() < 2 {
		return false
	}
	return now.Add(j.median).After(j.deadline)
}

// start puts a job on a worker.
func (s *Scheduler) start(now time.Time, j *job, w *workerState, a *Actions) bool {
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
	s.count(now, j)
	s.workers.add(now, w, 1)
	a.Starts = append(a.Starts, Start{Ticket: j.ticket, Request: j.req, Worker: w.ID})
	return true
}

// count adds a started job to the counts in progress.
func (s *Scheduler) count(now time.Time, j *job) {
	j.counted = j.lane
	j.team.inProgress++
	j.place = len(s.started)
	s.started = append(s.started, j)
	s.lanes[j.counted].running++
	if j.lane == laneLong {
		s.longStarted++
		return
	}
	if j.safe {
		s.safe++
	}
	if s.policy.threshold > 0 {
		s.overruns.add(j, now.Add(s.policy.threshold))
	}
}

// Wake is the earliest time at which Next may yield something without other
// input; the zero time when there is none.
func (s *Scheduler) Wake() time.Time {
	wake := earlier(s.deadlines.next(), s.workers.changes)
	wake = earlier(wake, s.overruns.next())
	return earlier(wake, s.reliefAt())
}
