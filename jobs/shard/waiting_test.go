package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// requireWaiting checks that the only job of the harness has begun nowhere.
func (h *harness) requireWaiting(id string) {
	h.t.Helper()
	require.Equal(h.t, 1, h.core.WaitingJobs("q"))
	require.Equal(h.t, spec.Pending, h.core.JobStatus(id).State)
}

// requireBegun checks that a worker has begun a task of the only job of the harness.
func (h *harness) requireBegun(id string) {
	h.t.Helper()
	require.Zero(h.t, h.core.WaitingJobs("q"))
	require.Equal(h.t, spec.Running, h.core.JobStatus(id).State)
}

// A job whose starts a worker refuses has not begun. It counted as begun from its first
// placement on: with four jobs refused for five seconds, callers were told that none
// waits.
func TestRefusedStartsLeaveJobWaiting(t *testing.T) {
	for _, outcome := range []StartOutcome{StartWorkerUnhealthy, StartNoCapacity, StartNotSent, StartReplaced, StartLeaseExpired, StartInvalid} {
		t.Run(string(outcome), func(t *testing.T) {
			h := newHarness(t, 1)
			j := testJob(1, smallStep(1))
			starts := h.submit(j).Starts
			require.Len(t, starts, 1)
			h.requireWaiting(j.ID)
			h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: outcome})
			h.step(1)
			h.requireWaiting(j.ID)

			h.step(workerBackoffMS)
			starts = append(starts, h.core.TakeOrders().Starts...)
			require.Len(t, starts, 2)
			h.requireWaiting(j.ID)
			h.acceptStarts(starts[1:])
			h.step(1)
			h.requireBegun(j.ID)
		})
	}
}

// A placement whose start was never sent does not begin the job.
func TestPlacementThatIsDroppedLeavesJobWaiting(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	h.core.Submit(h.now, 1, j)
	h.core.Advance(h.now, h.now)
	require.Equal(t, 1, h.core.WaitingJobs("q"), "placed, and not stored yet")
	require.Zero(t, h.core.summary(h.core.jobs[j.ID]).Running, "no start was sent")
	h.core.SetCordons(h.now, map[string]bool{"w0": false})
	h.step(1)
	require.Empty(t, h.core.TakeOrders().Starts)
	h.requireWaiting(j.ID)
}

// A start without an answer begins the job once the worker lists the run or its end,
// and not before.
func TestUnansweredStartBeginsJobOnceTheWorkerListsIt(t *testing.T) {
	cases := map[string]PollResponse{
		"running": {Running: []ListedRun{{Percent: 100}}},
		"stopped": {Ended: []ListedEnd{{End: 1, Kind: EndStopped}}},
		"failed":  {Ended: []ListedEnd{{End: 1, Kind: EndFailed}}},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			j := testJob(1, smallStep(1))
			starts := h.submit(j).Starts
			require.Len(t, starts, 1)
			h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: StartUnanswered})
			h.step(1)
			h.requireWaiting(j.ID)
			answer.ClockMS, answer.Incarnation = 200, 1
			for i := range answer.Running {
				answer.Running[i].RunRef = starts[0].RunRef
			}
			for i := range answer.Ended {
				answer.Ended[i].RunRef = starts[0].RunRef
			}
			h.core.HandlePollResponse(h.now, h.now, starts[0].Target, answer)
			h.step(1)
			h.requireBegun(j.ID)
		})
	}
}

// What callers are told about a job that has begun, or has not, stays the same after a
// takeover, whether its worker can be reached or not.
func TestJobsThatHaveBegunAreKnownAfterTakeover(t *testing.T) {
	for _, begun := range []bool{false, true} {
		h := newHarness(t, 1)
		j := testJob(1, smallStep(1))
		starts := h.submit(j).Starts
		require.Len(t, starts, 1)
		if begun {
			h.acceptStarts(starts)
			h.step(1)
		}
		next := New(Config{Epoch: 6, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
		rec, err := h.core.encodeJob(h.core.jobs[j.ID])
		require.NoError(t, err)
		require.NoError(t, next.Restore(rec))
		h.core = next
		if begun {
			h.requireBegun(j.ID)
		} else {
			h.requireWaiting(j.ID)
		}
	}
}

// A run that an earlier owner started, and whose start it did not store as accepted, begins
// the job once the new owner finds it on its worker.
func TestRunThatIsFoundAfterTakeoverBeginsJob(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	require.Len(t, starts, 1)
	rec, err := h.core.encodeJob(h.core.jobs[j.ID])
	require.NoError(t, err)
	h.core = New(Config{Epoch: 6, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
	require.NoError(t, h.core.Restore(rec))
	h.core.SetWorkers(h.now, testWorkers(1))
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	h.requireWaiting(j.ID)
	h.core.HandlePollResponse(h.now, h.now, polls[0].Target, PollResponse{ClockMS: 300, Incarnation: 1, Running: listedRuns(starts)})
	h.step(1)
	h.requireBegun(j.ID)
	assert.Equal(t, 1, h.core.jobs[j.ID].occurrences[0].steps[0].tasks[0].lastRun)
}
