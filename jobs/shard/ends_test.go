package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// A worker that had been out of reach came back with the end done of a run. It was
// acknowledged and passed over, as a later run had failed meanwhile, and the task ran again.
func TestEndDoneOfAnEarlierRunCounts(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(1, smallStep(1))
	first := h.submit(j).Starts
	h.acceptStarts(first)
	h.loseWorker(first[0].Target)
	second := h.core.TakeOrders().Starts
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Worker, second[0].Worker)
	h.acceptStarts(second)
	for _, e := range []struct {
		start Start
		kind  EndKind
	}{{second[0], EndFailed}, {first[0], EndDone}} {
		h.core.HandlePollResponse(h.now, h.now, e.start.Target, PollResponse{ClockMS: h.now, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: e.start.RunRef, Kind: e.kind}}})
	}
	h.step(1)
	assert.Empty(t, h.core.TakeOrders().Starts)
	assert.Equal(t, spec.Completed, h.core.JobStatus(j.ID).State)
}
