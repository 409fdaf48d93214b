package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// storedJobs returns the records of all jobs.
func (h *harness) storedJobs() []Record {
	var records []Record
	for _, id := range sortedKeys(h.core.jobs) {
		rec, err := h.core.encodeJob(h.core.jobs[id])
		require.NoError(h.t, err)
		records = append(records, rec)
	}
	return records
}

// succeed replaces the owner by one that knows its records and what it has handed over.
func (h *harness) succeed(records []Record, handover []SilentWorker) {
	h.core = New(Config{Epoch: h.core.cfg.Epoch + 1, MaxLeaseMS: 10_000, EarlierLeaseMS: 6_423, StatusKeepMS: 1_000}, h.now, h.now)
	for _, rec := range records {
		require.NoError(h.t, h.core.Restore(rec))
	}
	h.core.RestoreSilentWorkers(handover)
}

// Where workers grant leases of ten seconds, a worker that has just started again may hold
// one. The successor of an owner that knew of it started the worker's task elsewhere.
func TestLeaseOfLaterIncarnationIsWaitedOutByTheSuccessor(t *testing.T) {
	const born = 500_000
	h := newHarness(t, 1)
	h.core.longestLeaseMS = 10_000
	h.now = born
	h.list("w0", born)
	p := h.pollOf(h.core.TakeOrders(), "w0")
	h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: 20, Incarnation: born})
	starts := h.submit(testJob(1, smallStep(1))).Starts
	require.Len(t, starts, 1)
	h.acceptStarts(starts)
	end := h.core.workers["w0"].leasesUntil()
	require.GreaterOrEqual(t, end, int64(born+10_000))
	h.now += 1_000
	h.succeed(h.storedJobs(), nil)
	assert.GreaterOrEqual(t, h.core.workers["w0"].leasesUntil(), end)
}

// An owner handed over how long the leases on a worker may hold, but named the worker's
// later incarnation; the records name the earlier one. Its successor counted a shorter time.
func TestHandoverOfLaterIncarnationIsWaitedOut(t *testing.T) {
	const born = 500_000
	h := newHarness(t, 1)
	starts := h.submit(testJob(1, smallStep(1))).Starts
	require.Len(t, starts, 1)
	records := h.storedJobs()
	h.now = born
	h.succeed(records, nil)
	list := testWorkers(1)
	list[0].Incarnation = born
	h.core.SetWorkers(h.now, list)
	silent := h.core.SilentWorkers(h.now)
	require.Len(t, silent, 1)
	end := h.core.workers["w0"].leasesUntil()
	h.succeed(records, silent)
	assert.GreaterOrEqual(t, h.core.workers["w0"].leasesUntil(), end)
}
