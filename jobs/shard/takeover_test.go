package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A new owner has not read the list of workers yet. Jobs that arrive in these
// tenths of a second were refused because no worker is in reach, 127 of them after
// one takeover in a peak and 46 after a loss of power.
func TestJobsAreNotRefusedBeforeTheWorkersAreKnown(t *testing.T) {
	h := &harness{t: t, now: 1_000}
	h.core = New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
	h.core.SetOwnershipDeadlines(forever, forever)
	h.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	h.now += 300
	require.Equal(t, []Reply{{Ticket: 1, Outcome: Accepted}}, h.submit(testJob(1, smallStep(1))).Replies)

	h.core.SetWorkers(h.now, nil)
	refused := h.submit(testJob(2, smallStep(1))).Replies
	require.Len(t, refused, 1)
	assert.Equal(t, "no_worker_in_reach", refused[0].Reason, "the list is known and empty")
}

// An owner that can't read the list of workers must not accept jobs for long.
func TestUnreadWorkerListEndsInRefusals(t *testing.T) {
	h := &harness{t: t, now: 1_000}
	h.core = New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
	h.core.SetOwnershipDeadlines(forever, forever)
	h.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	h.now += workersUnknownGraceMS
	refused := h.submit(testJob(1, smallStep(1))).Replies
	require.Len(t, refused, 1)
	assert.Equal(t, "no_worker_in_reach", refused[0].Reason)
}

// A worker whose last end is known but not stored is not drained yet. Its VM was
// moved, the owner lost its shard before the end was stored, and its successor
// could not ask the worker any more: it ran a task again that had run for 18 s.
func TestWorkerIsDrainedOnlyOnceItsEndsAreStored(t *testing.T) {
	h := newHarness(t, 1)
	starts := h.submit(testJob(1, smallStep(1))).Starts
	require.Len(t, starts, 1)
	h.acceptStarts(starts)
	h.core.SetCordons(h.now, map[string]bool{"w0": false})
	h.core.HandlePollResponse(h.now, h.now, starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: starts[0].RunRef, Kind: EndDone}}})
	h.core.Advance(h.now, h.now)
	assert.False(t, h.core.Drained("w0"), "only this owner knows of the end")
	h.step(1)
	assert.True(t, h.core.Drained("w0"))
}
