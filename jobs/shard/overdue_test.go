package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// losePoll makes the core believe that calls get lost, and returns a started run on w0 whose
// poll is in flight.
func losePoll(h *harness) (Start, Poll) {
	first := h.submit(testJob(1, smallStep(1))).Starts[0]
	h.acceptStarts([]Start{first})
	h.core.noteLostCall()
	h.core.workers["w0"].pollInFlight = false
	h.step(1)
	return first, h.pollOf(h.core.TakeOrders(), "w0")
}

func (h *harness) pollsAfter(ms int64) []Poll {
	h.step(ms)
	return h.core.TakeOrders().Polls
}

// A lost poll hid the end of its worker's runs until its time-out of 2.3 s.
func TestOverduePollIsChecked(t *testing.T) {
	h := newHarness(t, 1)
	first, lost := losePoll(h)
	require.Positive(t, lost.WaitMS)
	assert.Empty(t, h.pollsAfter(500), "the run of 500 ms may still be at work")
	checks := h.pollsAfter(400)
	require.Len(t, checks, 1)
	assert.Zero(t, checks[0].WaitMS)
	assert.Empty(t, h.pollsAfter(50), "the check is in flight")
	lostAt := h.now - 950
	h.core.HandlePollResponse(h.now, h.now, checks[0].Target, PollResponse{ClockMS: 500, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: first.RunRef, Kind: EndDone}}})
	require.Len(t, h.pollsAfter(1), 1, "the next poll")
	assert.True(t, h.core.JobStatus(first.Key.Job).State.Final())
	h.core.HandlePollError(h.now, lostAt, lost.Target, PollUnanswered)
	assert.Zero(t, h.core.workers["w0"].failedPolls, "a poll that was replaced says nothing about the worker")
}

// The worker that does not answer the check either gets no starts.
func TestUnansweredCheckCounts(t *testing.T) {
	h := newHarness(t, 1)
	losePoll(h)
	checks := h.pollsAfter(900)
	require.Len(t, checks, 1)
	h.core.HandlePollError(h.now+800, h.now, checks[0].Target, PollUnanswered)
	assert.Equal(t, 1, h.core.workers["w0"].failedPolls)
}

func TestNoPollIsCheckedWithoutEvidence(t *testing.T) {
	h := newHarness(t, 1)
	losePoll(h)
	h.core.lostCallAt = 0
	assert.Empty(t, h.pollsAfter(5_000))
}

// A lost start held up its job for 0.7 s before the owner looked for it.
func TestOverdueStartIsLookedForAndStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.core.noteLostCall()
	first := h.submit(testJob(1, smallStep(1))).Starts[0]
	checks := h.pollsAfter(300)
	require.Len(t, checks, 1)
	h.core.HandlePollResponse(h.now, h.now, checks[0].Target, PollResponse{ClockMS: 400, Incarnation: 1})
	h.step(1)
	stops := h.core.TakeOrders().Stops
	require.Len(t, stops, 1)
	assert.Equal(t, first.RunRef, stops[0].RunRef)
}

// When calls are lost everywhere, a pause for each lost start would empty the pool.
func TestWorkerThatAnsweredALaterCallIsNotPaused(t *testing.T) {
	h := newHarness(t, 1)
	starts := h.submit(testJob(1, smallStep(2))).Starts
	require.Len(t, starts, 2)
	h.now += 100
	h.core.HandlePollResponse(h.now, h.now, starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Running: listedRuns(starts[1:])})
	h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: StartUnanswered})
	assert.Zero(t, h.core.workers["w0"].backoffUntil)
}
