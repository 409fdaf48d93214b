package scheduler

import (
	"strconv"
	"time"

	"wigeonwinch/dispatch"
)

// admit returns nil if the job may be queued, and the refusal otherwise.
func (s *Scheduler) admit(now time.Time, j *job) *dispatch.Refusal {
	if refusal := s.workers.refuseImpossible(j.req); refusal != nil {
		return refusal
	}
	if refusal := s.refuseUnhealthyPool(now); refusal != nil {
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
			RetryAfter: s.retryAfter(s.lanes[j.lane].queue.QueuedCost(), j.lane),
		}
	}
	return s.refuseInfeasible(now, j)
}

// probeInterval is how often a request is admitted as a probe while no worker is
// healthy.
const probeInterval = time.Second

// refuseUnhealthyPool refuses requests while no worker is healthy, because
// another zone may have healthy workers. It admits one request in each
// probeInterval to detect when a worker recovers.
func (s *Scheduler) refuseUnhealthyPool(now time.Time) *dispatch.Refusal {
	if !s.workers.tracker.AllFailing() {
		return nil
	}
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(probeInterval)
		return nil
	}
	return &dispatch.Refusal{
		Reason:     dispatch.RefusedNoWorker,
		Detail:     "all workers of the pool in reach fail what they start; send through another zone or again later",
		RetryAfter: probeInterval,
	}
}

// refuseInfeasible refuses a job that is not expected to end before its
// deadline, given the queue ahead of it. It admits every job while the queue is
// empty, because only a run corrects a wrong prediction.
func (s *Scheduler) refuseInfeasible(now time.Time, j *job) *dispatch.Refusal {
	ahead := s.workAhead(j)
	if ahead == 0 {
		return nil
	}
	wait := s.drainTime(ahead, j.lane) * waitMarginPercent / 100
	if !now.Add(wait + s.expectedRunTime(j)).After(j.deadline) {
		return nil
	}
	return &dispatch.Refusal{
		Reason:     dispatch.RefusedDeadline,
		Detail:     "the queue would take about " + wait.Round(time.Millisecond).String() + "; send again later or with a later deadline",
		RetryAfter: s.retryAfter(ahead, j.lane),
	}
}

// waitMarginPercent scales the estimated queueing time, because requests that
// arrive later may start first.
const waitMarginPercent = 120

// expectedRunTime returns how long before its deadline a job must start. It is
// zero for a job without its own deadline, the median for a long one and the 90th
// percentile otherwise.
func (s *Scheduler) expectedRunTime(j *job) time.Duration {
	if j.req.Deadline.IsZero() {
		return 0
	}
	if j.lane == laneLong {
		return j.median
	}
	return j.p90
}

// workAhead returns the queued work, in seconds, that is served before a new
// job of the team ends: the work of the lane, or less if the team's fair share
// serves the team's own work sooner.
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
	own := (flow.QueuedCost() + j.cost.Seconds()) * weights / flow.Weight()
	return min(queue.QueuedCost(), own)
}

// drainTime returns how long a lane takes to serve the given work, in seconds.
func (s *Scheduler) drainTime(work float64, id laneID) time.Duration {
	return time.Duration(work / float64(s.servingSlots(id)) * float64(time.Second))
}

// servingSlots returns the number of slots that serve the backlog of a lane.
func (s *Scheduler) servingSlots(id laneID) int {
	total := s.workers.usableSlots
	switch id {
	case laneUrgent:
		return max(1, total-s.lanes[laneLong].running)
	case laneShort:
		return max(1, total-s.reservedSlots-s.lanes[laneLong].running-s.lanes[laneUrgent].running)
	}
	return max(1, s.minLongSlots(), s.lanes[laneLong].running)
}

// The bounds of Refusal.RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func (s *Scheduler) retryAfter(work float64, id laneID) time.Duration {
	return min(max(s.drainTime(work, id), minRetryAfter), maxRetryAfter)
}
