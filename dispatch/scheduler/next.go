package scheduler

import (
	"time"

	"wigeonwinch/dispatch/quota"
)

// Next starts queued requests on workers and returns them, together with the
// expired tickets and the preemptions to request.
func (s *Scheduler) Next(now time.Time) Actions {
	var a Actions
	s.workers.advance(now)
	s.reclassify(now)
	s.expire(now, &a)
	for s.startUrgent(now, &a) {
	}
	reserved := s.urgentReserve(now)
	s.reservedSlots = reserved
	limit := s.maxLongSlots(now, reserved)
	for s.startMinLong(now, reserved, &a) {
	}
	for s.startShort(now, reserved, &a) {
	}
	for s.startLong(now, reserved, limit, &a) {
	}
	s.requestPreemptions(now, &a)
	return a
}

// expire ends the queued jobs whose deadlines have passed.
func (s *Scheduler) expire(now time.Time, a *Actions) {
	for j := s.deadlines.popDue(now); j != nil; j = s.deadlines.popDue(now) {
		if j.ended || j.worker != nil {
			continue
		}
		s.dequeue(j)
		s.end(j)
		a.Expired = append(a.Expired, j.ticket)
	}
}

// reclassify charges the requests that have run longer than the threshold to
// the long lane.
func (s *Scheduler) reclassify(now time.Time) {
	for j := s.overruns.popDue(now); j != nil; j = s.overruns.popDue(now) {
		s.lanes[j.runningLane].running--
		j.runningLane = laneLong
		s.lanes[laneLong].running++
		s.uncountReliablyShort(j)
	}
}

// uncountReliablyShort removes a job from the count of reliably short requests
// in progress.
func (s *Scheduler) uncountReliablyShort(j *job) {
	if j.reliablyShort {
		j.reliablyShort = false
		s.reliablyShort--
	}
}

func (s *Scheduler) startUrgent(now time.Time, a *Actions) bool {
	return s.workers.freeSlots > 0 && s.startOne(now, laneUrgent, anyJob, a)
}

func (s *Scheduler) startMinLong(now time.Time, reserved int, a *Actions) bool {
	if s.longStarted >= s.minLongSlots() || s.workers.freeSlots <= reserved {
		return false
	}
	return s.startOne(now, laneLong, anyJob, a)
}

func (s *Scheduler) startShort(now time.Time, reserved int, a *Actions) bool {
	if s.workers.freeSlots > reserved {
		return s.startOne(now, laneShort, anyJob, a)
	}
	return s.workers.freeSlots > 0 && s.mayLend(reserved) && s.startOne(now, laneShort, isReliablyShort, a)
}

func (s *Scheduler) startLong(now time.Time, reserved, limit int, a *Actions) bool {
	if s.workers.freeSlots <= reserved || s.lanes[laneLong].running >= limit {
		return false
	}
	return s.startOne(now, laneLong, anyJob, a)
}

func anyJob(*job) bool { return true }

func isReliablyShort(j *job) bool { return j.reliablyShort }

// startOne starts the next allowed job of a lane for which a worker is free, and
// reports whether it started one. Jobs that are expected to miss their
// deadlines expire instead, so that the others can start.
func (s *Scheduler) startOne(now time.Time, id laneID, allowed func(*job) bool, a *Actions) bool {
	for {
		var chosen *workerState
		tooLate := false
		j, ok := s.lanes[id].queue.Take(func(j *job) quota.Choice {
			tooLate = s.missesDeadline(now, j)
			if tooLate {
				return quota.Accept
			}
			if j.team.atLimit() {
				return quota.Park
			}
			if !allowed(j) {
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
		if !tooLate {
			return s.start(now, j, chosen, a)
		}
		s.lanes[id].queue.AdjustCost(j.team.flows[id], -j.cost.Seconds())
		s.deadlines.remove(j)
		s.end(j)
		a.Expired = append(a.Expired, j.ticket)
	}
}

// missesDeadline reports whether a job is expected to end after its deadline
// while other jobs wait in the lane.
func (s *Scheduler) missesDeadline(now time.Time, j *job) bool {
	if j.req.Deadline.IsZero() || s.lanes[j.lane].queue.Len() < 2 {
		return false
	}
	return now.Add(j.median).After(j.deadline)
}

// start starts a job on a worker and reports whether it did.
func (s *Scheduler) start(now time.Time, j *job, w *workerState, a *Actions) bool {
	if !w.Accepting || w.removed {
		s.reportViolation(ViolationNotAccepting, j.ticket, w.ID)
		s.enqueue(j, true)
		return false
	}
	if w.inProgress >= w.Slots {
		s.reportViolation(ViolationSlots, j.ticket, w.ID)
		s.enqueue(j, true)
		return false
	}
	s.deadlines.remove(j)
	j.worker = w
	j.startedAt = now
	j.attempts++
	s.countStarted(now, j)
	s.workers.addInProgress(now, w, 1)
	a.Starts = append(a.Starts, Start{Ticket: j.ticket, Request: j.req, Worker: w.ID})
	return true
}

// countStarted adds a started job to the list and counts of requests in
// progress.
func (s *Scheduler) countStarted(now time.Time, j *job) {
	j.runningLane = j.lane
	j.team.inProgress++
	j.runningIndex = len(s.running)
	s.running = append(s.running, j)
	s.lanes[j.runningLane].running++
	if j.lane == laneLong {
		s.longStarted++
		return
	}
	if j.reliablyShort {
		s.reliablyShort++
	}
	if s.load.longThreshold > 0 {
		s.overruns.set(j, now.Add(s.load.longThreshold))
	}
}

// NextWake returns the earliest time at which Next may return actions without
// further input, or the zero time if there is none.
func (s *Scheduler) NextWake() time.Time {
	wake := earlier(s.deadlines.earliest(), s.workers.nextChange)
	wake = earlier(wake, s.overruns.earliest())
	return earlier(wake, s.nextPreemption())
}
