package shard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

const forever = 1 << 60

// harness drives one core by hand.
type harness struct {
	t    *testing.T
	core *Core
	now  int64
}

func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, now: 1_000}
	h.core = New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
	h.core.SetOwnershipDeadlines(forever, forever)
	h.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	h.core.SetWorkers(h.now, testWorkers(workers))
	h.step(1)
	for _, p := range h.core.TakeOrders().Polls {
		h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: 100, Incarnation: 1})
	}
	return h
}

func testWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: fmt.Sprintf("w%d", i), Address: "a", Rack: "r", Service: "s", Capacity: spec.Resources{MilliCPU: 4_000, MemoryMB: 8_000}, Incarnation: 1})
	}
	return list
}

// step advances the time and commits everything that waits to be stored.
func (h *harness) step(ms int64) {
	h.now += ms
	h.core.Advance(h.now, h.now)
	for {
		batch, ok := h.core.NextBatch()
		if !ok {
			return
		}
		h.core.HandleCommit(h.now, batch)
		h.core.Advance(h.now, h.now)
	}
}

// answerAcks answers the polls that name ends and drops all other orders.
func (h *harness) answerAcks() { h.answerAcksOf(h.core.TakeOrders()) }

// answerAcksOf answers the polls that name ends; the workers have forgotten these.
func (h *harness) answerAcksOf(o Orders) {
	for _, p := range o.Polls {
		if p.AckedUpto == 0 {
			continue
		}
		w := h.core.workers[p.Worker]
		var running []ListedRun
		for id := range w.runs {
			running = append(running, ListedRun{RunRef: RunRef{id.key, id.number}, Percent: 100})
		}
		h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: w.estimateClock(h.now), Incarnation: 1, Running: running})
	}
}

func testJob(id int, steps ...spec.Step) spec.Job {
	return spec.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: steps}
}

func smallStep(count int) spec.Step {
	return spec.Step{Count: count, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 100}, EstimateMS: 500}
}

// submit submits a job and returns the resulting orders.
func (h *harness) submit(j spec.Job) Orders {
	h.core.Submit(h.now, 1, j)
	h.step(1)
	return h.core.TakeOrders()
}

func (h *harness) acceptStarts(starts []Start) {
	for _, s := range starts {
		clockMS := s.LeaseUntil - h.core.cfg.MaxLeaseMS
		h.core.HandleStartResult(h.now, s, StartResult{Outcome: StartAccepted, ClockMS: clockMS})
	}
}

func listedRuns(starts []Start) []ListedRun {
	var list []ListedRun
	for _, s := range starts {
		list = append(list, ListedRun{RunRef: s.RunRef, Percent: 100})
	}
	return list
}

func TestJobRunsStepsInOrder(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(2), spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000}, EstimateMS: 10, After: []int{0}})
	o := h.submit(j)
	require.Len(t, o.Starts, 2)
	assert.Equal(t, []Reply{{Ticket: 1, Outcome: Accepted}}, o.Replies)
	h.acceptStarts(o.Starts)
	end := func(n int, s Start) ListedEnd { return ListedEnd{End: n, RunRef: s.RunRef, Kind: EndDone} }
	h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Running: listedRuns(o.Starts[1:]), Ended: []ListedEnd{end(1, o.Starts[0])}})
	h.step(1)
	require.Empty(t, h.core.TakeOrders().Starts, "step 1 waits for both tasks of step 0")
	h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: 300, Incarnation: 1, Ended: []ListedEnd{end(1, o.Starts[0]), end(2, o.Starts[1])}})
	h.step(1)
	last := h.core.TakeOrders().Starts
	require.Len(t, last, 1)
	h.acceptStarts(last)
	assert.Equal(t, spec.Running, h.core.JobStatus(j.ID).State)
	h.core.HandlePollResponse(h.now, h.now, last[0].Target, PollResponse{ClockMS: 400, Incarnation: 1, Ended: []ListedEnd{end(3, last[0])}})
	assert.Equal(t, spec.Running, h.core.JobStatus(j.ID).State, "completed is reported only after it is stored")
	h.step(1)
	assert.Equal(t, spec.Completed, h.core.JobStatus(j.ID).State)
}

func TestEndsAreAcknowledgedOnlyAfterCommit(t *testing.T) {
	h := newHarness(t, 1)
	o := h.submit(testJob(1, smallStep(1)))
	h.acceptStarts(o.Starts)
	h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndDone}}})
	h.core.Advance(h.now, h.now)
	assert.Empty(t, h.core.TakeOrders().Polls, "the worker is not polled before its end is stored")
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Equal(t, 1, polls[0].AckedUpto)
}

// The lease of a worker that stops answering is not extended. Its tasks must
// start elsewhere after the lease has certainly expired, and not before.
func TestTasksOfSilentWorkerRestartAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t, 2)
	o := h.submit(testJob(1, smallStep(1)))
	h.acceptStarts(o.Starts)
	dead := o.Starts[0].Target
	answer := func(polls []Poll) {
		for _, p := range polls {
			if p.Worker == dead.Worker {
				h.core.HandlePollError(h.now, h.now, p.Target, PollUnanswered)
			} else {
				h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: h.now, Incarnation: 1})
			}
		}
	}
	answer(o.Polls)
	silent := func(upto int64) []Start {
		var starts []Start
		for h.now < upto {
			h.step(100)
			orders := h.core.TakeOrders()
			starts = append(starts, orders.Starts...)
			answer(orders.Polls)
		}
		return starts
	}
	began := h.now
	assert.Empty(t, silent(began+5_900))
	starts := silent(began + 8_000)
	require.Len(t, starts, 1)
	assert.NotEqual(t, dead.Worker, starts[0].Worker)
	assert.Equal(t, 2, starts[0].Number)
}

// The leases of earlier owners limit a new owner even on workers that it has
// reached, and for every incarnation that appears in the records.
func TestLeasesOfEarlierOwnersAreWaitedOut(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(testJob(1, smallStep(1)))
	old, err := h.core.encodeJob(h.core.jobs[testJob(1).ID])
	require.NoError(t, err)
	h.core.workers["w0"].incarnation = 2
	h.submit(testJob(2, smallStep(1)))
	newer, err := h.core.encodeJob(h.core.jobs[testJob(2).ID])
	require.NoError(t, err)

	next := New(Config{Epoch: 6, MaxLeaseMS: 6_000, EarlierLeaseMS: 9_000}, h.now, h.now)
	next.SetOwnershipDeadlines(forever, forever)
	next.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3}})
	require.NoError(t, next.Restore(old))
	require.NoError(t, next.Restore(newer))
	next.Advance(h.now+8_000, h.now)
	assert.Len(t, next.workers["w0"].runs, 2, "both may be running on the newer incarnation: a start that was sent to the older one may have reached it")
	next.Advance(h.now+9_100, h.now)
	assert.Nil(t, next.workers["w0"], "an unlisted worker without runs is removed")
}

func TestUnansweredStartIsStoppedBeforeTaskRestarts(t *testing.T) {
	h := newHarness(t, 2)
	o := h.submit(testJob(1, smallStep(1)))
	first := o.Starts[0]
	h.core.HandleStartResult(h.now, first, StartResult{Outcome: StartUnanswered})
	h.step(1)
	o = h.core.TakeOrders()
	require.Len(t, o.Stops, 1)
	assert.Empty(t, o.Starts, "the worker may still carry out the start")
	h.core.HandleStopResult(h.now, o.Stops[0], true, false)
	h.now++
	h.core.HandlePollResponse(h.now+1, h.now, first.Target, PollResponse{ClockMS: 300, Incarnation: 1})
	h.step(1)
	again := h.core.TakeOrders().Starts
	require.Len(t, again, 1)
	assert.Equal(t, 2, again[0].Number)
}

func TestStrayRunIsStoppedAndBlocksItsWorker(t *testing.T) {
	h := newHarness(t, 1)
	stray := RunRef{Key{Job: "ffffffffffffffff"}, 3}
	h.step(2_000)
	polls := h.core.TakeOrders().Polls
	require.NotEmpty(t, polls)
	h.core.HandlePollResponse(h.now, h.now, polls[0].Target, PollResponse{ClockMS: 100, Incarnation: 1, Running: []ListedRun{{RunRef: stray}}})
	o := h.submit(testJob(1, smallStep(1)))
	require.Len(t, o.Stops, 1)
	assert.Equal(t, stray, o.Stops[0].RunRef)
	assert.Empty(t, o.Starts, "the resources used by the stray are unknown")
}

func TestLeastRemainingWorkIsScheduledFirst(t *testing.T) {
	h := newHarness(t, 1)
	big := testJob(1, spec.Step{Count: 8, Need: spec.Resources{MilliCPU: 2_000}, EstimateMS: 900})
	h.acceptStarts(h.submit(big).Starts)
	h.core.Submit(h.now, 2, testJob(2, spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000}, EstimateMS: 10}))
	h.step(1)
	assert.Less(t, h.core.jobs[testJob(2).ID].remainingWork, h.core.jobs[big.ID].remainingWork)
	jobs := []*job{h.core.jobs[big.ID], h.core.jobs[testJob(2).ID]}
	h.core.sortJobs(jobs)
	assert.Equal(t, testJob(2).ID, jobs[0].spec.ID)
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	h := newHarness(t, 3)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	ends := map[string]int{}
	for range 3 {
		require.Len(t, starts, 1)
		h.acceptStarts(starts)
		w := starts[0].Worker
		ends[w]++
		h.core.HandlePollResponse(h.now, h.now, starts[0].Target, PollResponse{ClockMS: h.now, Incarnation: 1, Ended: []ListedEnd{{End: ends[w], RunRef: starts[0].RunRef, Kind: EndFailed}}})
		h.step(1)
		starts = h.core.TakeOrders().Starts
	}
	assert.Empty(t, starts)
	assert.Equal(t, spec.Failed, h.core.JobStatus(j.ID).State)
}

func lastingStep(count, mayMiss int) spec.Step {
	return spec.Step{Count: count, Need: spec.Resources{MilliCPU: 1_000}, Lasting: true, MaxPerWorker: 1, MaxUnavailable: mayMiss}
}

func TestEvacuationStaysWithinBudget(t *testing.T) {
	h := newHarness(t, 4)
	o := h.submit(testJob(1, lastingStep(3, 1)))
	require.Len(t, o.Starts, 3)
	h.acceptStarts(o.Starts)
	for _, s := range o.Starts {
		h.core.HandlePollResponse(h.now, h.now, s.Target, PollResponse{ClockMS: h.now, Incarnation: 1, Running: listedRuns([]Start{s})})
	}
	cordon := map[string]bool{o.Starts[0].Worker: false, o.Starts[1].Worker: false}
	h.core.SetCordons(h.now, cordon)
	h.step(1)
	assert.Len(t, h.core.TakeOrders().Stops, 1, "one task may be unavailable at a time")
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	h := newHarness(t, 1)
	gang := smallStep(5)
	gang.Gang = true
	assert.Empty(t, h.submit(testJob(1, gang)).Starts, "four fit, five are needed")
	gang.Count = 4
	starts := h.submit(testJob(2, gang)).Starts
	require.Len(t, starts, 4)
	for _, s := range starts {
		assert.Equal(t, starts[0].Number, s.Number)
	}
}

func TestNothingStartsAfterOwnershipExpires(t *testing.T) {
	h := newHarness(t, 1)
	h.core.SetOwnershipDeadlines(h.now, forever)
	h.core.Submit(h.now, 1, testJob(1, smallStep(1)))
	h.step(1)
	o := h.core.TakeOrders()
	assert.Empty(t, o.Starts)
	require.Len(t, o.Replies, 1)
	assert.Equal(t, Reply{Ticket: 1, Outcome: Unavailable, Reason: "ownership_expired"}, o.Replies[0])
	assert.Empty(t, h.core.jobs, "nothing is accepted")
}

func TestExpiredJobsAreDeletedFromTheStore(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(testJob(1, smallStep(1)))
	h.core.Cancel(h.now, 9, testJob(1).ID)
	h.step(1)
	h.now += h.core.cfg.StatusKeepMS + finalKeepMarginMS + 1
	h.core.Advance(h.now, h.now)
	assert.False(t, h.core.JobStatus(testJob(1).ID).Known)
	h.core.Submit(h.now, 2, testJob(2, smallStep(1)))
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	assert.Contains(t, batch.Records, Record{Key: jobKey(testJob(1).ID)})
}

func TestLargeBatchesAreSplit(t *testing.T) {
	h := newHarness(t, 1)
	for i := range maxBatchRecords + 10 {
		h.core.Submit(h.now, uint64(i), testJob(i+1, lastingStep(1, 0)))
	}
	first, ok := h.core.NextBatch()
	require.True(t, ok)
	assert.Len(t, first.Records, maxBatchRecords)
	second, ok := h.core.NextBatch()
	require.True(t, ok)
	assert.Len(t, second.Records, 10)
}

func TestNextPacePercent(t *testing.T) {
	assert.Equal(t, 50, nextPacePercent(100, 150))
	assert.Equal(t, 0, nextPacePercent(10, 150))
	assert.Equal(t, 50, nextPacePercent(50, 90), "the pace does not change near the target")
	assert.Equal(t, 70, nextPacePercent(50, 40))
}

func TestAbandonAnswersWaitingCallersOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(h.now, 7, testJob(1, smallStep(1)))
	h.core.Submit(h.now, 8, testJob(1, smallStep(1)))
	h.core.Cancel(h.now, 9, testJob(1).ID)
	replies := h.core.AbandonWaiters()
	require.Len(t, replies, 3)
	for _, r := range replies {
		assert.Equal(t, Unavailable, r.Outcome)
	}
	assert.Empty(t, h.core.AbandonWaiters(), "each caller is answered once")
}

// A job that needs a kind of VM which is currently parked must be accepted.
func TestJobForAbsentWorkerKindIsAccepted(t *testing.T) {
	h := newHarness(t, 1)
	large := testWorkers(1)[0]
	large.ID, large.Labels, large.Capacity = "large", []string{"gpu"}, spec.Resources{MilliCPU: 64_000, MemoryMB: 64_000}
	h.core.SetWorkers(h.now, append(testWorkers(1), large))
	h.core.SetWorkers(h.now, testWorkers(1))
	h.step(1)
	need := spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 32_000}, Label: "gpu", Lasting: true}
	assert.Equal(t, Accepted, h.submit(testJob(1, need)).Replies[0].Outcome)
	need.Label = "unheard_of"
	o := h.submit(testJob(2, need))
	assert.Equal(t, Refused, o.Replies[0].Outcome)
	assert.Equal(t, "no_worker_can_hold_it", o.Replies[0].Reason)
}

// The worker's counters by kind of task must match its runs.
func TestWorkerCountersFollowRuns(t *testing.T) {
	h := newHarness(t, 1)
	o := h.submit(testJob(1, lastingStep(1, 0)))
	w := h.core.workers["w0"]
	assert.Equal(t, 1, w.lastingRuns)
	assert.Positive(t, w.lastingMilliCPU)
	assert.Equal(t, w.used.MilliCPU, w.lastingMilliCPU)
	h.acceptStarts(o.Starts)
	h.core.Cancel(h.now, 2, testJob(1).ID)
	h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: 300, Incarnation: 1, Ended: []ListedEnd{{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndStopped}}})
	assert.Zero(t, w.lastingRuns)
	assert.Zero(t, w.lastingMilliCPU)
	assert.Zero(t, w.placedWork)
	assert.Equal(t, spec.Resources{}, w.used)
}

// After a power loss of all nodes, 45 jobs were refused because no worker had
// been reached in the tenth of a second before the first polls returned.
func TestJobsAreNotRefusedBeforeTheFirstPollsComeBack(t *testing.T) {
	c := New(Config{Epoch: 5, MaxLeaseMS: 6_000}, 1_000, 1_000)
	c.SetOwnershipDeadlines(forever, forever)
	c.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	c.SetWorkers(1_000, testWorkers(4))
	c.Advance(1_010, 1_010)
	c.Submit(1_010, 1, testJob(1, smallStep(2)))
	assert.Empty(t, c.TakeOrders().Replies, "the reply waits for the job's record")

	c.Submit(1_000+takeoverGraceMS, 2, testJob(2, smallStep(2)))
	replies := c.TakeOrders().Replies
	require.Len(t, replies, 1)
	assert.Equal(t, Refused, replies[0].Outcome, "the workers should have answered by then")
}
