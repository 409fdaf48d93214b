package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// cancelTicket is the ticket of the cancels of these tests.
const cancelTicket = 77

// cancel cancels a job and returns the resulting orders.
func (h *harness) cancel(j spec.Job) Orders {
	h.core.Cancel(h.now, cancelTicket, j.ID)
	h.step(1)
	return h.core.TakeOrders()
}

// cancelAcknowledged reports whether the replies acknowledge the cancel.
func cancelAcknowledged(o Orders) bool {
	for _, r := range o.Replies {
		if r.Ticket == cancelTicket && r.Outcome == Accepted {
			return true
		}
	}
	return false
}

// answerPoll lets a worker answer a poll that was sent just now.
func (h *harness) answerPoll(t Target, l PollResponse) Orders {
	l.Incarnation = t.Incarnation
	h.core.HandlePollResponse(h.now, h.now, t, l)
	h.step(1)
	return h.core.TakeOrders()
}

// successor returns the core of the next owner, with the records of this one.
func (h *harness) successor(workers int) *harness {
	next := &harness{t: h.t, now: h.now}
	next.core = New(Config{Epoch: h.core.cfg.Epoch + 1, MaxLeaseMS: 6_000, EarlierLeaseMS: 6_000, StatusKeepMS: 1_000}, next.now, next.now)
	next.core.SetOwnershipDeadlines(forever, forever)
	for _, id := range sortedKeys(h.core.jobs) {
		rec, err := h.core.encodeJob(h.core.jobs[id])
		require.NoError(h.t, err)
		require.NoError(h.t, next.core.Restore(rec))
	}
	next.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	next.core.SetWorkers(next.now, testWorkers(workers))
	next.step(1)
	return next
}

// A placement was stored before the cancel, and its start was sent after it.
func TestPlacementUnderWayIsNotStartedAfterCancel(t *testing.T) {
	gang := smallStep(3)
	gang.Gang = true
	for name, st := range map[string]spec.Step{"task": smallStep(1), "gang": gang, "lasting": lastingStep(2, 1)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			j := testJob(1, st)
			h.core.Submit(h.now, 1, j)
			h.core.Advance(h.now, h.now)
			placement, ok := h.core.NextBatch()
			require.True(t, ok)
			h.core.Cancel(h.now, cancelTicket, j.ID)
			h.core.HandleCommit(h.now, placement)
			o := h.core.TakeOrders()
			assert.Empty(t, o.Starts)
			assert.False(t, cancelAcknowledged(o), "the cancel is not stored")
			h.step(1)
			o = h.core.TakeOrders()
			assert.Empty(t, o.Starts)
			assert.True(t, cancelAcknowledged(o))
			for _, w := range h.core.sortedWorkers() {
				assert.Empty(t, w.runs)
			}
		})
	}
}

// A cancel was acknowledged after an append that did not hold it, because more jobs
// had changed than one append takes.
func TestCancelIsAcknowledgedByItsOwnAppend(t *testing.T) {
	h := newHarness(t, 1)
	h.core.cfg.Policy.AdmitAll = true
	j := testJob(1, smallStep(1))
	h.submit(j)
	for i := range maxBatchRecords {
		h.core.Submit(h.now, 1, testJob(i+2, smallStep(1)))
	}
	h.core.Cancel(h.now, cancelTicket, j.ID)
	first, ok := h.core.NextBatch()
	require.True(t, ok)
	require.Len(t, first.Records, maxBatchRecords)
	h.core.HandleCommit(h.now, first)
	assert.False(t, cancelAcknowledged(h.core.TakeOrders()))
	second, ok := h.core.NextBatch()
	require.True(t, ok)
	require.Len(t, second.Records, 1)
	assert.Equal(t, jobKey(j.ID), second.Records[0].Key)
	h.core.HandleCommit(h.now, second)
	assert.True(t, cancelAcknowledged(h.core.TakeOrders()))
}

// The members of a gang of a cancelled job ran on: only some were started, and the
// answers of others came after the cancel.
func TestCancelStopsEveryMemberOfAGang(t *testing.T) {
	h := newHarness(t, 3)
	gang := smallStep(3)
	gang.Gang = true
	j := testJob(1, gang)
	starts := h.submit(j).Starts
	require.Len(t, starts, 3)
	h.acceptStarts(starts[:1])
	o := h.cancel(j)
	assert.Len(t, o.Stops, 3)
	assert.True(t, cancelAcknowledged(o))
	h.acceptStarts(starts[1:2])
	h.core.HandleStartResult(h.now, starts[2], StartResult{Outcome: StartUnanswered})
	stopped := map[RunRef]bool{}
	for range 3 {
		h.step(stopRetryMS)
		for _, s := range h.core.TakeOrders().Stops {
			stopped[s.RunRef] = true
		}
	}
	assert.Len(t, stopped, 3, "stops without an answer are repeated")
}

// The stop of a cancelled run was not repeated to a worker whose entry had gone from
// the list.
func TestCancelledRunOnUnlistedWorkerIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	h.acceptStarts(starts)
	h.core.SetWorkers(h.now, nil)
	require.Len(t, h.cancel(j).Stops, 1)
	h.core.HandleStopResult(h.now, Stop{starts[0].Target, starts[0].RunRef}, false, false)
	h.step(stopRetryMS)
	assert.Len(t, h.core.TakeOrders().Stops, 1)
}

// A run of a cancelled job was left on a worker that the successor of its owner had
// reached and whose entry went from the list before its run was stopped.
func TestStrayOnUnlistedWorkerIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	h.acceptStarts(starts)
	require.True(t, cancelAcknowledged(h.cancel(j)))
	next := h.successor(1)
	p := next.pollOf(next.core.TakeOrders(), starts[0].Worker)
	running := PollResponse{ClockMS: 200, Running: listedRuns(starts)}
	require.Len(t, next.answerPoll(p.Target, running).Stops, 1)
	next.core.SetWorkers(next.now, nil)
	next.step(stopRetryMS)
	p = next.pollOf(next.core.TakeOrders(), starts[0].Worker)
	assert.Len(t, next.answerPoll(p.Target, running).Stops, 1, "the stop got no answer")
}

// A run of a cancelled job was adopted from its worker: before the takeover it had
// been started on another worker than the record says, or the cancel came between
// two polls.
func TestRunOfCancelledJobIsNotAdopted(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	h.acceptStarts(starts)
	next := h.successor(2)
	polls := next.core.TakeOrders()
	require.True(t, cancelAcknowledged(next.cancel(j)))
	for _, id := range []string{"w0", "w1"} {
		p := next.pollOf(polls, id)
		row := listedRuns(starts)
		row[0].Number++
		o := next.answerPoll(p.Target, PollResponse{ClockMS: 200, Running: row})
		require.Len(t, o.Stops, 1, id)
		assert.Equal(t, row[0].RunRef, o.Stops[0].RunRef)
	}
}

// A run whose worker had been silent until its leases had expired was given up. Its
// worker's clock had stood still, and it ran on after the cancel.
func TestSettledRunOfCancelledJobIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	h.acceptStarts(starts)
	h.core.HandlePollError(h.now, h.now, starts[0].Target, PollUnanswered)
	require.True(t, cancelAcknowledged(h.cancel(j)))
	h.step(20_000)
	require.Empty(t, h.core.workers[starts[0].Worker].runs)
	p := h.pollOf(h.core.TakeOrders(), starts[0].Worker)
	assert.Len(t, h.answerPoll(p.Target, PollResponse{ClockMS: 300, Running: listedRuns(starts)}).Stops, 1)
}

// A start that was unanswered when its job was cancelled reached the later
// incarnation of its worker, after a stop that the earlier one had answered.
func TestCancelledRunOnLaterIncarnationIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.now += 5_000
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	h.core.HandleStartResult(h.now, starts[0], StartResult{Outcome: StartUnanswered})
	stops := h.core.TakeOrders().Stops
	require.Len(t, stops, 1)
	h.core.HandleStopResult(h.now, stops[0], true, false)
	require.True(t, cancelAcknowledged(h.cancel(j)))
	h.list(starts[0].Worker, 2)
	o := h.core.TakeOrders()
	require.Len(t, o.Stops, 1)
	assert.Equal(t, int64(2), o.Stops[0].Incarnation)
	p := h.pollOf(o, starts[0].Worker)
	h.core.HandleStopResult(h.now, o.Stops[0], false, false)
	h.step(stopRetryMS)
	h.answerPoll(p.Target, PollResponse{ClockMS: 600, Running: listedRuns(starts)})
	h.step(stopRetryMS)
	assert.NotEmpty(t, h.core.TakeOrders().Stops)
}

// A submission that arrived again after the cancel started the job anew.
func TestRepeatedSubmissionOfCancelledJobStartsNothing(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	h.submit(j)
	require.True(t, cancelAcknowledged(h.cancel(j)))
	assert.Empty(t, h.submit(j).Starts)
	next := h.successor(1)
	p := next.pollOf(next.core.TakeOrders(), "w0")
	next.answerPoll(p.Target, PollResponse{ClockMS: 200})
	assert.Empty(t, next.submit(j).Starts)
	assert.Equal(t, spec.Cancelled, next.core.JobStatus(j.ID).State)
}

// The later occurrences of a cancelled job were started.
func TestCancelEndsOccurrences(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	j.Repeat, j.FirstRunMS, j.IntervalMS = 3, h.now, 1_000
	require.NotEmpty(t, h.submit(j).Starts)
	require.True(t, cancelAcknowledged(h.cancel(j)))
	h.step(5_000)
	assert.Empty(t, h.core.TakeOrders().Starts)
	next := h.successor(1)
	p := next.pollOf(next.core.TakeOrders(), "w0")
	next.answerPoll(p.Target, PollResponse{ClockMS: 200})
	next.step(5_000)
	assert.Empty(t, next.core.TakeOrders().Starts)
}

// unknownReplied reports whether the cancel was replied to with Unknown.
func unknownReplied(o Orders) bool {
	for _, r := range o.Replies {
		if r.Ticket == cancelTicket && r.Outcome == Unknown {
			return true
		}
	}
	return false
}

// A deposed owner replied that a job was unknown that its successor had accepted. An
// append that was under way before the request proves nothing about the time after.
func TestUnknownIsRepliedAfterAnAppendOfItsOwn(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Submit(h.now, 1, testJob(1, smallStep(1)))
	before, ok := h.core.NextBatch()
	require.True(t, ok)
	h.core.Cancel(h.now, cancelTicket, testJob(2).ID)
	assert.False(t, unknownReplied(h.core.TakeOrders()))
	h.core.HandleCommit(h.now, before)
	assert.False(t, unknownReplied(h.core.TakeOrders()))
	after, ok := h.core.NextBatch()
	require.True(t, ok, "an append is needed although nothing has changed")
	assert.False(t, unknownReplied(h.core.TakeOrders()))
	h.core.HandleCommit(h.now, after)
	assert.True(t, unknownReplied(h.core.TakeOrders()))
}

// The caller of a cancel of an unknown job waited for its time-out after the shard was
// lost, rather than ask the next owner.
func TestAbandonAnswersCancelsOfUnknownJobs(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Cancel(h.now, cancelTicket, testJob(2).ID)
	require.False(t, unknownReplied(h.core.TakeOrders()))
	assert.Equal(t, []Reply{{Ticket: cancelTicket, Outcome: Superseded}}, h.core.AbandonWaiters())
}
