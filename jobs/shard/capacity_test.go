package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// resize lists the only worker with another capacity.
func (h *harness) resize(milliCPU int) {
	list := testWorkers(1)
	list[0].Capacity = spec.Resources{MilliCPU: milliCPU, MemoryMB: 8_000}
	h.core.SetWorkers(h.now, list)
}

// A worker that has shrunk still runs what it ran. It gets nothing more until
// that fits, and as much as before once it has grown again.
func TestShrunkWorkerIsFilledBeyondItsCapacity(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(testJob(1, smallStep(2))).Starts
	require.Len(t, first, 2)
	h.acceptStarts(first)
	h.resize(2_000)
	require.Empty(t, h.submit(testJob(2, smallStep(2))).Starts)
	end := ListedEnd{End: 1, RunRef: first[0].RunRef, Kind: EndDone}
	h.core.HandlePollResponse(h.now, h.now, first[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Running: listedRuns(first[1:]), Ended: []ListedEnd{end}})
	h.step(1)
	require.Len(t, h.core.TakeOrders().Starts, 1)
	h.resize(4_000)
	h.step(1)
	assert.Len(t, h.core.TakeOrders().Starts, 1)
}

// A worker that shrinks between the decision and the start order was reported as
// a broken invariant. The start is not sent, and nothing is broken.
func TestShrinkingWorkerIsReportedAsDefect(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(h.now, 1, testJob(1, smallStep(1)))
	h.core.Advance(h.now, h.now)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	h.resize(500)
	h.core.HandleCommit(h.now, batch)
	o := h.core.TakeOrders()
	assert.Empty(t, o.Starts)
	for _, e := range o.Events {
		assert.NotEqual(t, EventInvariant, e.Name)
	}
}

// While the list of workers can't be read, workers may have shrunk: an owner
// whose appends succeed went on to fill them by the last list.
func TestTasksAreStartedByStaleList(t *testing.T) {
	h := newHarness(t, 1)
	h.core.ConfirmWorkers(h.now)
	h.now += maxListAgeMS
	require.Empty(t, h.submit(testJob(1, smallStep(1))).Starts)
	h.core.ConfirmWorkers(h.now)
	h.step(1)
	assert.Len(t, h.core.TakeOrders().Starts, 1)

	h.core.Submit(h.now, 1, testJob(2, smallStep(1)))
	h.core.Advance(h.now, h.now)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	h.core.HandleCommit(h.now+maxListAgeMS+1, batch)
	assert.Empty(t, h.core.TakeOrders().Starts, "the list became stale while the placement was stored")
}
