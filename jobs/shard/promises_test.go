package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// The tests of this file show what callers of quick and lasting jobs on one pool
// rely on; that no job runs twice or is lost is shown by the randomised runs of
// package model.

func startsOfJob(starts []Start, j spec.Job) int {
	n := 0
	for _, s := range starts {
		if s.Key.Job == j.ID {
			n++
		}
	}
	return n
}

// A job that can't be in time any more must not cost another job its room.
func TestLateJobsWaitBehindThoseThatCanBeInTime(t *testing.T) {
	h := newHarness(t, 1)
	running := testJob(1, smallStep(4))
	h.acceptStarts(h.submit(running).Starts)
	late, timely := testJob(2, smallStep(4)), testJob(3, smallStep(4))
	h.core.cfg.Policy.AdmitAll = true
	require.Empty(t, h.submit(late).Starts, "the worker is full")
	h.now += 5_000
	h.core.HandlePollResponse(h.now, h.now, h.core.target(h.core.workers["w0"]), PollResponse{ClockMS: 5_100, Incarnation: 1, Running: []ListedRun{}})
	h.core.Submit(h.now, 3, timely)
	h.step(1)
	starts := h.core.TakeOrders().Starts
	assert.Equal(t, 4, startsOfJob(starts, timely))
	assert.Zero(t, startsOfJob(starts, late))
}

// A job that can't be in time is told so at once, and when to come back, rather
// than after its deadline.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 3 {
		h.submit(testJob(i+1, smallStep(4)))
	}
	replies := h.submit(testJob(9, smallStep(8))).Replies
	require.Len(t, replies, 1)
	assert.Equal(t, Refused, replies[0].Outcome)
	assert.Positive(t, replies[0].RetryAfterMS)
}

// Lasting tasks keep running while quick jobs press on their pool.
func TestLastingTasksKeepRunningUnderQuickJobs(t *testing.T) {
	h := newHarness(t, 2)
	h.core.cfg.Policy.AdmitAll = true
	lasting := testJob(1, spec.Step{Count: 4, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 100}, Lasting: true, MaxPerWorker: 2})
	starts := h.submit(lasting).Starts
	require.Len(t, starts, 4)
	h.acceptStarts(starts)
	for i := range 50 {
		h.core.Submit(h.now, uint64(i), testJob(100+i, smallStep(8)))
		h.step(100)
		for _, s := range h.core.TakeOrders().Stops {
			assert.NotEqual(t, lasting.ID, s.Key.Job, "a lasting task is stopped for quick jobs")
		}
	}
	used := 0
	for _, w := range h.core.workers {
		used += w.lastingRuns
	}
	assert.Equal(t, 4, used)
}
