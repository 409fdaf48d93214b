package scheduler

import "time"

// preemptDelayDivisor divides the urgent bound into the time that an urgent
// request waits before preemptions are requested.
const preemptDelayDivisor = 4

// oldestUrgent returns the urgent request that has waited longest, or nil.
func (s *Scheduler) oldestUrgent() *job {
	var oldest *job
	for j := range s.urgentHeads() {
		if oldest == nil || j.queuedAt.Before(oldest.queuedAt) {
			oldest = j
		}
	}
	return oldest
}

// urgentHeads yields the first urgent request of each team whose flow is not
// parked.
func (s *Scheduler) urgentHeads() func(yield func(*job) bool) {
	return s.lanes[laneUrgent].queue.Heads()
}

// nextPreemption returns when preemptions are next to be requested, or the zero
// time if none are.
func (s *Scheduler) nextPreemption() time.Time {
	if s.lanes[laneUrgent].queue.Len() <= s.preempting || s.preemptionTarget() == nil {
		return time.Time{}
	}
	oldest := s.oldestUrgent()
	if oldest == nil {
		return time.Time{}
	}
	return oldest.queuedAt.Add(s.opts.UrgentBound / preemptDelayDivisor)
}

// requestPreemptions requests one preemption for each waiting urgent request,
// less those already requested, once the oldest urgent request has waited for
// UrgentBound / preemptDelayDivisor and no slot is free.
func (s *Scheduler) requestPreemptions(now time.Time, a *Actions) {
	waiting := s.lanes[laneUrgent].queue.Len()
	if waiting <= s.preempting || s.workers.freeSlots > 0 {
		return
	}
	oldest := s.oldestUrgent()
	if oldest == nil || now.Before(oldest.queuedAt.Add(s.opts.UrgentBound/preemptDelayDivisor)) {
		return
	}
	for s.preempting < waiting {
		j := s.preemptionTarget()
		if j == nil {
			return
		}
		j.preempting = true
		s.preempting++
		kind, _ := preemptionKind(j)
		a.Preemptions = append(a.Preemptions, Preemption{Ticket: j.ticket, Worker: j.worker.ID, Kind: kind})
	}
}

// preemptionTarget returns the longest-running long request that can be
// preempted and whose preemption has not been requested yet, or nil.
func (s *Scheduler) preemptionTarget() *job {
	var target *job
	for _, j := range s.running {
		if j.runningLane != laneLong || j.preempting {
			continue
		}
		if _, ok := preemptionKind(j); !ok {
			continue
		}
		if target == nil || startedBefore(j, target) {
			target = j
		}
	}
	return target
}

// startedBefore orders jobs by start time, then by ticket, so that the choice
// does not depend on the order of the list.
func startedBefore(a, b *job) bool {
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.Before(b.startedAt)
	}
	return a.ticket < b.ticket
}

// preemptionKind returns the preemption that the job's worker supports and the
// job survives. Only repeatable requests are stopped.
func preemptionKind(j *job) (PreemptionKind, bool) {
	w := &j.worker.Worker
	switch {
	case w.CanCheckpoint:
		return PreemptCheckpoint, true
	case w.CanStop && j.req.Repeatable:
		return PreemptStop, true
	case w.CanThrottle:
		return PreemptThrottle, true
	}
	return 0, false
}
