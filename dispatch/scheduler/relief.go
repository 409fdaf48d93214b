package scheduler

import "time"

// reliefShare is one divided by the share of the urgent bound that urgent work
// waits before relief is asked for.
const reliefShare = 4

// oldestUrgent is the urgent request that has waited longest, or nil.
func (s *Scheduler) oldestUrgent() *job {
	var oldest *job
	for j := range s.urgentHeads() {
		if oldest == nil || j.queuedAt.Before(oldest.queuedAt) {
			oldest = j
		}
	}
	return oldest
}

// urgentHeads yields the first urgent request of each team.
func (s *Scheduler) urgentHeads() func(yield func(*job) bool) {
	return s.lanes[laneUrgent].queue.Heads()
}

// reliefAt is when relief is next to be asked for; zero when it isn't.
func (s *Scheduler) reliefAt() time.Time {
	if s.lanes[laneUrgent].queue.Len() <= s.relieving || s.reliefTarget() == nil {
		return time.Time{}
	}
	oldest := s.oldestUrgent()
	if oldest == nil {
		return time.Time{}
	}
	return oldest.queuedAt.Add(s.opts.UrgentBound / reliefShare)
}

// relieve asks for as many slots as urgent requests wait, less those asked for
// before, when the oldest has waited for long.
func (s *Scheduler) relieve(now time.Time, a *Actions) {
	waiting := s.lanes[laneUrgent].queue.Len()
	if waiting <= s.relieving || s.workers.free > 0 {
		return
	}
	oldest := s.oldestUrgent()
	if oldest == nil || now.Before(oldest.queuedAt.Add(s.opts.UrgentBound/reliefShare)) {
		return
	}
	for s.relieving < waiting {
		j := s.reliefTarget()
		if j == nil {
			return
		}
		j.relieved = true
		s.relieving++
		kind, _ := reliefOf(j)
		a.Relieve = append(a.Relieve, Relief{Ticket: j.ticket, Worker: j.worker.ID, Kind: kind})
	}
}

// reliefTarget is the longest-running long request that can be set back and
// hasn't been asked yet, or nil.
func (s *Scheduler) reliefTarget() *job {
	var target *job
	for _, j := range s.started {
		if j.counted != laneLong || j.relieved {
			continue
		}
		if _, ok := reliefOf(j); !ok {
			continue
		}
		if target == nil || olderThan(j, target) {
			target = j
		}
	}
	return target
}

// olderThan orders by start, then by ticket, so that the choice does not
// depend on the order in the list.
func olderThan(a, b *job) bool {
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.Before(b.startedAt)
	}
	return a.ticket < b.ticket
}

// reliefOf says what a job's worker offers that the job survives: only
// repeatable work is stopped.
func reliefOf(j *job) (ReliefKind, bool) {
	w := &j.worker.Worker
	switch {
	case w.CanCheckpoint:
		return ReliefCheckpoint, true
	case w.CanStop && j.req.Repeatable:
		return ReliefStop, true
	case w.CanThrottle:
		return ReliefThrottle, true
	}
	return 0, false
}
