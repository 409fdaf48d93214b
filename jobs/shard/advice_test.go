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
		Advice: &Advice{DecideMS: 50, EachMS: 5, ValidMS: 3_000}}, {Name: "free", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	return h
}

// onlyAdviceRequest returns the only advice request in o.
func onlyAdviceRequest(t *testing.T, o Orders) Advise {
	t.Helper()
	require.Len(t, o.Advises, 1)
	return o.Advises[0]
}

func TestStartCarriesPlacementPermit(t *testing.T) {
	h := newAdvisedHarness(t, 4)
	o := h.submit(testJob(1, smallStep(2)))
	assert.Empty(t, o.Starts, "no start without a permit")
	req := onlyAdviceRequest(t, o)
	assert.Equal(t, Key{testJob(1).ID, 0, 0, 0}, req.Key)
	assert.Len(t, req.Workers, 4)

	h.core.Advised(h.now, h.now-70, req, Advised{Permits: map[string]string{req.Workers[2]: "tk"}, ValidMS: 3_000}, true)
	h.step(1)
	o = h.core.Take()
	require.Len(t, o.Starts, 2)
	for _, s := range o.Starts {
		assert.Equal(t, req.Workers[2], s.Worker)
		assert.Equal(t, "tk", s.Ticket)
	}
	assert.Empty(t, o.Advises, "known permits are not requested again")
}

func TestExpiredAndRejectedPermitsAreRequestedAgain(t *testing.T) {
	h := newAdvisedHarness(t, 2)
	req := onlyAdviceRequest(t, h.submit(testJob(1, smallStep(1))))
	h.core.Advised(h.now, h.now, req, Advised{Permits: map[string]string{"w0": "old"}, ValidMS: permitMarginMS}, true)
	h.step(1)
	again := onlyAdviceRequest(t, h.core.Take())
	assert.Equal(t, []string{"w0"}, again.Workers, "a worker that may not run the step is not requested again")

	h.core.Advised(h.now, h.now, again, Advised{Permits: map[string]string{"w0": "new"}, ValidMS: 3_000}, true)
	h.step(1)
	starts := h.core.Take().Starts
	require.Len(t, starts, 1)
	h.core.Started(h.now, starts[0], StartNoTicket)
	h.step(1)
	o := h.core.Take()
	assert.Empty(t, o.Starts)
	onlyAdviceRequest(t, o)
}

func TestUnansweredAdviceRequestIsRetriedAfterBackoff(t *testing.T) {
	h := newAdvisedHarness(t, 2)
	req := onlyAdviceRequest(t, h.submit(testJob(1, smallStep(1))))
	h.core.Advised(h.now, h.now, req, Advised{}, false)
	h.step(1)
	assert.Empty(t, h.core.Take().Advises)
	h.step(adviceRetryMS)
	onlyAdviceRequest(t, h.core.Take())
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
	assert.Equal(t, 40, Advice{DecideMS: 50, EachMS: 5}.maxWorkers(50))
	assert.Equal(t, 6, Advice{DecideMS: 50, EachMS: 5}.maxWorkers(3))
	assert.Equal(t, minAdviceWorkers, Advice{DecideMS: 900, EachMS: 5}.maxWorkers(50))
	assert.Equal(t, maxAdviceWorkers, Advice{}.maxWorkers(5_000))
}
