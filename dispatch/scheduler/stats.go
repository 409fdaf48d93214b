package scheduler

import (
	"slices"
	"strings"

	"wigeonwinch/dispatch/eject"
)

// Stats returns a snapshot of the scheduler's counters.
func (s *Scheduler) Stats() Stats {
	st := Stats{
		QueuedUrgent: s.lanes[laneUrgent].queue.Len(),
		QueuedShort:  s.lanes[laneShort].queue.Len(),
		QueuedLong:   s.lanes[laneLong].queue.Len(),
		InProgress:   len(s.running),
		Long:         s.lanes[laneLong].running,
		FreeSlots:    s.workers.freeSlots,
		Violations:   s.violations,
	}
	for _, w := range s.workers.byID {
		st.Workers = append(st.Workers, WorkerStats{
			ID:         w.ID,
			InProgress: w.inProgress,
			Slots:      w.Slots,
			Ejected:    w.state == eject.Ejected || w.state == eject.Probing,
		})
	}
	slices.SortFunc(st.Workers, func(a, b WorkerStats) int { return strings.Compare(a.ID, b.ID) })
	return st
}

// Backlog returns the number of queued urgent and short requests, the ones that
// borrowed slots can serve.
func (s *Scheduler) Backlog() int {
	return s.lanes[laneUrgent].queue.Len() + s.lanes[laneShort].queue.Len()
}
