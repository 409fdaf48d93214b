package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newAdvisedHarness returns a harness with one queue that needs permits and
// one that does not.
func newAdvisedHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, workers)
	h.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600,
		AdviceTiming: &AdviceTiming{DecideMS: 50, EachMS: 5, ValidMS: 3_000}}, {Name: "free", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	return h
}

// onlyAdviceRequest returns the only advice request in o.
func onlyAdviceRequest(t *testing.T, o Orders) AdviceRequest {
	t.Helper()
	require.Len(t, o.AdviceRequests, 1)
	return o.AdviceRequests[0]
}

func TestStartCarriesPlacementPermit(t *testing.T) {
	h := newAdvisedHarness(t, 4)
	o := h.submit(testJob(1, smallStep(2)))
	assert.Empty(t, o.Starts, "no start without a permit")
	req := onlyAdviceRequest(t, o)
	assert.Equal(t, Key{testJob(1).ID, 0, 0, 0}, req.Key)
	assert.Len(t, req.Workers, 4)

	h.core.HandleAdvice(h.now, h.now-70, req, AdviceResponse{Permits: map[string]string{req.Workers[2]: "tk"}, ValidMS: 3_000}, true)
	h.step(1)
	o = h.core.TakeOrders()
	require.Len(t, o.Starts, 2)
	for _, s := range o.Starts {
		assert.Equal(t, req.Workers[2], s.Worker)
		assert.Equal(t, "tk", s.PermitToken)
	}
	assert.Empty(t, o.AdviceRequests, "known permits are not requested again")
}

func TestExpiredAndRejectedPermitsAreRequestedAgain(t *testing.T) {
	h := newAdvisedHarness(t, 2)
	req := onlyAdviceRequest(t, h.submit(testJob(1, smallStep(1))))
	h.core.HandleAdvice(h.now, h.now, req, AdviceResponse{Permits: map[string]string{"w0": "old"}, ValidMS: permitMarginMS}, true)
	h.step(1)
	again := onlyAdviceRequest(t, h.core.TakeOrders())
	assert.Equal(t, []string{"w0"}, again.Workers, "a worker that may not run the step is not requested again")

	h.core.HandleAdvice(h.now, h.now, again, AdviceResponse{Permits: map[string]string{"w0": "new"}, ValidMS: 3_000}, true)
	h.step(1)
	starts := h.core.TakeOrders().Starts
	require.Len(t, starts, 1)
	h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: StartNoPermit})
	h.step(1)
	o := h.core.TakeOrders()
	assert.Empty(t, o.Starts)
	onlyAdviceRequest(t, o)
}

func TestUnansweredAdviceRequestIsRetriedAfterBackoff(t *testing.T) {
	h := newAdvisedHarness(t, 2)
	req := onlyAdviceRequest(t, h.submit(testJob(1, smallStep(1))))
	h.core.HandleAdvice(h.now, h.now, req, AdviceResponse{}, false)
	h.step(1)
	assert.Empty(t, h.core.TakeOrders().AdviceRequests)
	h.step(adviceRetryMS)
	onlyAdviceRequest(t, h.core.TakeOrders())
}

// Queues that need no permits must not wait behind queues that do.
func TestOtherQueuesDoNotWaitForPermits(t *testing.T) {
	h := newAdvisedHarness(t, 8)
	for i := range 6 {
		h.submit(testJob(i, smallStep(8)))
	}
	free := testJob(99, smallStep(3))
	free.Queue = "free"
	o := h.submit(free)
	assert.Len(t, o.Starts, 3)
}

func TestAdviceRequestSizeFitsTimeBudget(t *testing.T) {
	assert.Equal(t, 40, AdviceTiming{DecideMS: 50, EachMS: 5}.maxWorkers(50))
	assert.Equal(t, 6, AdviceTiming{DecideMS: 50, EachMS: 5}.maxWorkers(3))
	assert.Equal(t, minAdviceWorkers, AdviceTiming{DecideMS: 900, EachMS: 5}.maxWorkers(50))
	assert.Equal(t, maxAdviceWorkers, AdviceTiming{}.maxWorkers(5_000))
}
