package scheduler

import (
	"strconv"
	"time"

	"wigeonwinch/dispatch"
)

// admit returns why a job cannot be taken, or nil.
func (s *Scheduler) admit(now time.Time, j *job) *dispatch.Refusal {
	if refusal := s.workers.refuseImpossible(j.req); refusal != nil {
		return refusal
	}
	if refusal := s.refuseWhileNoneWorks(now); refusal != nil {
		return refusal
	}
	if !now.Before(j.deadline) {
		return &dispatch.Refusal{
			Reason: dispatch.RefusedDeadline,
			Detail: "the deadline has passed; send a later deadline",
		}
	}
	if s.queued() >= s.opts.MaxQueued {
		return &dispatch.Refusal{
			Reason:     dispatch.RefusedQueueFull,
			Detail:     "the pool's queue holds " + strconv.Itoa(s.opts.MaxQueued) + " requests; send again later",
			RetryAfter: s.retryAfter(s.lanes[j.lane].queue.Work(), j.lane),
		}
	}
	return s.refuseInfeasible(now, j)
}

// probeInterval is how often a request is let through while no worker works.
const probeInterval = time.Second

// refuseWhileNoneWorks lets a request through from time to time, to find out
// when a worker works again, and refuses the others: another zone may have
// workers that do.
func (s *Scheduler) refuseWhileNoneWorks(now time.Time) *dispatch.Refusal {
	if !s.workers.tracker.NoneWorks() {
		return nil
	}
	if !now.Before(s.probeAt) {
		s.probeAt = now.Add(probeInterval)
		return nil
	}
	return &dispatch.Refusal{
		Reason:     dispatch.RefusedNoWorker,
		Detail:     "all workers of the pool in reach fail what they start; send through another zone or again later",
		RetryAfter: probeInterval,
	}
}

// refuseInfeasible refuses a job that could not end before its deadline
// behind what is queued. Without a queue it is taken, so that a wrong
// prediction is put right by running.
func (s *Scheduler) refuseInfeasible(now time.Time, j *job) *dispatch.Refusal {
	ahead := s.workAhead(j)
	if ahead == 0 {
		return nil
	}
	wait := s.drainTime(ahead, j.lane) * waitMargin / 100
	if !now.Add(wait + s.runMargin(j)).After(j.deadline) {
		return nil
	}
	return &dispatch.Refusal{
		Reason:     dispatch.RefusedDeadline,
		Detail:     "the queue would take about " + wait.Round(time.Millisecond).String() + "; send again later or with a later deadline",
		RetryAfter: s.retryAfter(ahead, j.lane),
	}
}

// waitMargin is what an estimated wait is taken for, in percent, as work that
// comes later may go first.
const waitMargin = 120

// runMargin is the time to leave for the run itself.
func (s *Scheduler) runMargin(j *job) time.Duration {
	if j.req.Deadline.IsZero() {
		return 0
	}
	if j.lane == laneLong {
		return j.median
	}
	return j.p90
}

// workAhead is the queued work, in seconds, that goes before a new job of the
// team: all of the lane's, but no more than the team's own times its share.
func (s *Scheduler) workAhead(j *job) float64 {
	queue := &s.lanes[j.lane].queue
	flow := j.team.flows[j.lane]
	if queue.Len() == 0 {
		return 0
	}
	weights := queue.ActiveWeight()
	if flow.Len() == 0 {
		weights += flow.Weight()
	}
	own := (flow.Work() + j.cost.Seconds()) * weights / flow.Weight()
	return min(queue.Work(), own)
}

// drainTime is how long a lane takes for the given seconds of work.
func (s *Scheduler) drainTime(work float64, id laneID) time.Duration {
	return time.Duration(work / float64(s.serving(id)) * float64(time.Second))
}

// serving is the number of slots that work on a backlog of a lane.
func (s *Scheduler) serving(id laneID) int {
	total := s.workers.total
	switch id {
	case laneUrgent:
		return max(1, total-s.lanes[laneLong].running)
	case laneShort:
		return max(1, total-s.hold-s.lanes[laneLong].running-s.lanes[laneUrgent].running)
	}
	return max(1, s.longFloor(), s.lanes[laneLong].running)
}

// The bounds of the advice when to send again.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func (s *Scheduler) retryAfter(work float64, id laneID) time.Duration {
	return min(max(s.drainTime(work, id), minRetryAfter), maxRetryAfter)
}
