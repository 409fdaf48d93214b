package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHandoversDoNotProlongTheWaitForLeases guards against lasting tasks of a lost worker
// that stand still while the owners are restarted in turn: each successor counted all
// leases of its predecessors anew from its own takeover.
func TestHandoversDoNotProlongTheWaitForLeases(t *testing.T) {
	h := newHarness(t, 1)
	starts := h.submit(testJob(1, lastingStep(1, 0))).Starts
	require.Len(t, starts, 1)
	h.acceptStarts(starts)
	lost := starts[0].Target
	h.core.HandlePollError(h.now, h.now, lost, PollUnanswered)
	require.False(t, h.core.workers["w0"].leasesExpired(h.now))
	end := h.core.workers["w0"].leasesUntil()
	for epoch := int64(6); h.now+1_500 < end; epoch++ {
		h.now += 1_000
		silent := h.core.SilentWorkers(h.now)
		require.Len(t, silent, 1)
		h.now += 500
		rec, err := h.core.encodeJob(h.core.jobs[testJob(1).ID])
		require.NoError(t, err)
		h.core = New(Config{Epoch: epoch, MaxLeaseMS: 6_000, EarlierLeaseMS: 6_400, StatusKeepMS: 1_000}, h.now, h.now)
		require.NoError(t, h.core.Restore(rec))
		h.core.RestoreSilentWorkers(silent)
		assert.GreaterOrEqual(t, h.core.workers["w0"].leasesUntil(), end, "a lease may hold until then")
		end += 500
	}
	h.now = end + 1
	h.core.Advance(h.now, h.now)
	assert.Nil(t, h.core.jobs[testJob(1).ID].findTask(starts[0].Key).current, "the task may be started again")
}

// TestHandoverOfAnotherIncarnationIsIgnored guards against a lease bound that holds for an
// earlier life of the worker.
func TestHandoverOfAnotherIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	starts := h.submit(testJob(1, lastingStep(1, 0))).Starts
	h.acceptStarts(starts)
	rec, err := h.core.encodeJob(h.core.jobs[testJob(1).ID])
	require.NoError(t, err)
	next := New(Config{Epoch: 6, MaxLeaseMS: 6_000, EarlierLeaseMS: 6_400, StatusKeepMS: 1_000}, h.now, h.now)
	require.NoError(t, next.Restore(rec))
	next.RestoreSilentWorkers([]SilentWorker{{Worker: "w0", Incarnation: 99}, {Worker: "w9", Incarnation: 1}})
	assert.Equal(t, h.now+6_400, next.workers["w0"].leasesUntil())
}
