package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// permitAll answers an advice request with a permit for each worker.
func (h *harness) permitAll(req AdviceRequest) {
	permits := map[string]string{}
	for _, id := range req.Workers {
		permits[id] = "permit-of-" + id
	}
	h.core.HandleAdvice(h.now, h.now, req, AdviceResponse{Permits: permits, ValidMS: 3_000}, true)
	h.step(1)
}

// requirePermittedStarts checks that the core asks for permits and starts a task with one.
func (h *harness) requirePermittedStart(o Orders) {
	h.t.Helper()
	require.Empty(h.t, o.Starts, "no start without a permit")
	h.permitAll(onlyAdviceRequest(h.t, o))
	starts := h.core.TakeOrders().Starts
	require.Len(h.t, starts, 1)
	require.NotEmpty(h.t, starts[0].PermitToken)
	h.acceptStarts(starts)
}

// twoStepJob is a job whose second step starts after the first one.
func twoStepJob(id int) spec.Job {
	second := smallStep(1)
	second.After = []int{0}
	return testJob(id, smallStep(1), second)
}

// The changes of the configuration after which a job stays in a shard that no longer accepts
// jobs of its queue.
var queueMoves = map[string]func(c *Core, advised Queue){
	"to another shard": func(c *Core, advised Queue) {
		advised.Service = "other"
		c.SetQueues(nil)
		c.SetOtherQueues([]Queue{advised})
	},
	"out of the configuration": func(c *Core, _ Queue) {
		c.SetQueues(nil)
		c.SetOtherQueues(nil)
	},
}

// Jobs that were accepted before their queue moved were started without permits: each start
// was rejected and sent again at once, without end.
func TestJobOfAMovedQueueStillGetsPermits(t *testing.T) {
	for name, move := range queueMoves {
		t.Run(name, func(t *testing.T) {
			h := newAdvisedHarness(t, 2)
			advised := h.core.queues["q"]
			o := h.submit(twoStepJob(1))
			h.permitAll(onlyAdviceRequest(t, o))
			starts := h.core.TakeOrders().Starts
			require.Len(t, starts, 1)
			h.acceptStarts(starts)
			move(h.core, advised)
			h.core.HandlePollResponse(h.now, h.now, starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: starts[0].RunRef, Kind: EndDone}}})
			h.step(1)
			o = h.core.TakeOrders()
			h.answerAcksOf(o)
			h.requirePermittedStart(o)
		})
	}
}

// The next owner knows only the configuration after the move.
func TestJobOfAMovedQueueGetsPermitsAfterTakeover(t *testing.T) {
	for name, move := range queueMoves {
		t.Run(name, func(t *testing.T) {
			h := newAdvisedHarness(t, 2)
			advised := h.core.queues["q"]
			records := map[string][]byte{}
			h.core.Submit(h.now, 1, twoStepJob(1))
			h.stepAndStore(1, records)
			h.takeOver(records)
			move(h.core, advised)
			h.core.SetWorkers(h.now, testWorkers(2))
			h.step(1)
			for _, p := range h.core.TakeOrders().Polls {
				h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: 100, Incarnation: 1})
			}
			h.step(1)
			h.requirePermittedStart(h.core.TakeOrders())
		})
	}
}

// A queue may get or lose its policy while it has jobs, here or in another shard.
func TestPolicyOfAQueueChangesForItsJobs(t *testing.T) {
	h := newAdvisedHarness(t, 2)
	advised, free := h.core.queues["q"], h.core.queues["q"]
	free.AdviceTiming = nil
	h.core.SetQueues([]Queue{free})
	j := testJob(1, smallStep(1))
	h.core.Submit(h.now, 1, j)
	h.core.Advance(h.now, h.now)
	stored := h.core.jobs[j.ID]
	assert.Nil(t, h.core.adviceTiming(stored))
	h.core.SetQueues([]Queue{advised})
	assert.Equal(t, advised.AdviceTiming, h.core.adviceTiming(stored))
	h.core.SetQueues(nil)
	h.core.SetOtherQueues([]Queue{advised})
	assert.Equal(t, advised.AdviceTiming, h.core.adviceTiming(stored))
	h.core.SetOtherQueues([]Queue{free})
	assert.Nil(t, h.core.adviceTiming(stored))
}

// An owner that does not know that a queue needs permits learns it from the first rejection,
// for example for jobs that an earlier version has stored.
func TestRejectedStartShowsThatAQueueNeedsPermits(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	require.Len(t, starts, 1)
	h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: StartNoPermit})
	h.step(1)
	h.requireWaiting(j.ID)
	h.requirePermittedStart(h.core.TakeOrders())
	h.step(1)
	h.requireBegun(j.ID)
}

// Workers that reject each permit are not sent starts as fast as they answer: some 1,500 a
// second were sent. Two rounds of starts may follow each other at once, then there is a
// pause of adviceRetryMS before each round.
func TestStartsAreNotRepeatedWithoutPause(t *testing.T) {
	const tasks, workers, watchMS = 4, 2, 3_000
	const mostStarts = (2 + watchMS/adviceRetryMS) * tasks * workers
	for name, h := range map[string]*harness{"with permits": newAdvisedHarness(t, workers), "without": newHarness(t, workers)} {
		t.Run(name, func(t *testing.T) {
			o := h.submit(testJob(1, smallStep(tasks)))
			rejected := 0
			for began := h.now; h.now < began+watchMS; {
				for _, s := range o.Starts {
					rejected++
					h.core.HandleStartResult(h.now, s, StartResult{Outcome: StartNoPermit})
				}
				for _, req := range o.AdviceRequests {
					h.permitAll(req)
				}
				h.step(1)
				o = h.core.TakeOrders()
			}
			assert.LessOrEqual(t, rejected, mostStarts, "rejected starts")
			assert.Positive(t, rejected)
		})
	}
}

// Jobs of a moved queue that lack permits were taken for a sign of a full pool, which ended the
// placement pass before the jobs after them.
func TestOtherQueuesDoNotWaitForPermitsOfAMovedQueue(t *testing.T) {
	for name, move := range queueMoves {
		t.Run(name, func(t *testing.T) {
			h := newAdvisedHarness(t, 8)
			advised, free := h.core.queues["q"], h.core.queues["free"]
			for i := range 6 {
				h.submit(testJob(i, smallStep(8)))
			}
			move(h.core, advised)
			h.core.SetQueues([]Queue{free})
			later := testJob(99, smallStep(9))
			later.Queue = "free"
			assert.Len(t, h.submit(later).Starts, 9)
		})
	}
}
