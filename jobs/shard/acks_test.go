package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/overdue"
)

// ackedRun returns a harness with one worker whose first end is stored, and the poll that
// names it.
func ackedRun(t *testing.T) (*harness, Poll) {
	t.Helper()
	h := newHarness(t, 1)
	o := h.submit(testJob(1, smallStep(1)))
	h.acceptStarts(o.Starts)
	h.finish(o.Starts, 200)
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	require.Equal(t, 1, polls[0].AckedUpto)
	return h, polls[0]
}

// answerQuietly is a worker's answer without ends.
func (h *harness) answerQuietly(p Poll, running ...ListedRun) {
	w := h.core.workers[p.Worker]
	h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: w.estimateClock(h.now), Incarnation: 1, Running: running})
}

// Every poll named the ends that were stored, and waited. A later life of the worker that one
// of them reached forgot its own ends for as long as it waited.
func TestEndsAreNamedOnceByAPollThatDoesNotWait(t *testing.T) {
	h, ack := ackedRun(t)
	assert.Zero(t, ack.WaitMS)
	h.answerQuietly(ack)
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Zero(t, polls[0].AckedUpto)
	assert.Equal(t, int64(pollWaitMS), polls[0].WaitMS)
}

// A start that was sent beside an acknowledgement could reach a later life before it.
func TestStartWaitsForTheAcknowledgement(t *testing.T) {
	h, ack := ackedRun(t)
	o := h.submit(testJob(2, smallStep(1)))
	assert.Empty(t, o.Starts)
	h.answerQuietly(ack)
	h.step(1)
	assert.Len(t, h.core.TakeOrders().Starts, 1)
}

func TestAcknowledgementWaitsForUnansweredStarts(t *testing.T) {
	h := newHarness(t, 1)
	o := h.submit(testJob(1, smallStep(1)))
	h.acceptStarts(o.Starts)
	unanswered := h.submit(testJob(2, smallStep(1))).Starts
	require.Len(t, unanswered, 1)
	end := ListedEnd{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndDone}
	h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: 200, Incarnation: 1, Ended: []ListedEnd{end}})
	h.step(1)
	for _, p := range h.core.TakeOrders().Polls {
		assert.Zero(t, p.AckedUpto, "the start may be on a later life")
	}
	h.acceptStarts(unanswered)
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Equal(t, 1, polls[0].AckedUpto)
}

// An acknowledgement without an answer may be carried out seconds later, after starts that a
// later life has taken.
func TestTokenRisesAfterALostAcknowledgement(t *testing.T) {
	for _, c := range []struct {
		reason PollError
		raises int64
	}{
		{PollUnanswered, 1}, {PollUnansweredKept, 1}, {PollConnectionClosed, 1},
		{PollConnectionRejected, 0}, {PollRefused, 0}, {PollReplaced, 0},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			h, ack := ackedRun(t)
			h.core.HandlePollError(h.now, h.now, ack.Target, c.reason)
			h.step(pollRetryMS)
			polls := h.core.TakeOrders().Polls
			require.Len(t, polls, 1)
			assert.Zero(t, polls[0].AckedUpto)
			assert.Equal(t, ack.Epoch+c.raises, polls[0].Epoch)
		})
	}
}

// The token of a lost acknowledgement still counts for the next life of the worker.
func TestTokenOutlivesTheIncarnation(t *testing.T) {
	h, ack := ackedRun(t)
	list := testWorkers(1)
	list[0].Incarnation = 2
	h.core.SetWorkers(h.now, list)
	h.step(1)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Zero(t, polls[0].AckedUpto)
	assert.Equal(t, ack.Epoch+1, polls[0].Epoch)

	h.core.SetWorkers(h.now, nil)
	h.step(60_000)
	h.core.TakeOrders()
	list[0].Incarnation = 3
	h.core.SetWorkers(h.now, list)
	h.step(1)
	polls = h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Equal(t, ack.Epoch+2, polls[0].Epoch, "the poll for the second life may reach the third")
}

// A late poll extended the leases of the next life of its worker, of which nobody knew. While
// calls get lost in a row, only the first one carries a lease.
func TestTokenRisesAfterALostPoll(t *testing.T) {
	h := newHarness(t, 1)
	h.step(1)
	poll := h.core.TakeOrders().Polls[0]
	require.Positive(t, poll.LeaseUntil)
	for range 3 {
		h.core.HandlePollError(h.now, h.now, poll.Target, PollUnanswered)
		h.step(pollRetryMS)
		next := h.core.TakeOrders().Polls[0]
		assert.Equal(t, poll.Epoch+1, next.Epoch)
		assert.Zero(t, next.LeaseUntil)
	}
}

// A start that waited for a lost acknowledgement until its time-out came a second late.
func TestStartDoesNotWaitForAnOverdueAcknowledgement(t *testing.T) {
	h, ack := ackedRun(t)
	require.Empty(t, h.submit(testJob(2, smallStep(1))).Starts)
	h.step(overdue.StartMS)
	starts := h.core.TakeOrders().Starts
	require.Len(t, starts, 1)
	assert.Equal(t, ack.Epoch+1, starts[0].Epoch)
}

// A worker refuses an order that was on its way while the token rose. That is no sign of a
// newer owner.
func TestRefusalOfAnOutdatedTokenDeposesNobody(t *testing.T) {
	h, ack := ackedRun(t)
	h.core.HandlePollError(h.now, h.now, ack.Target, PollUnanswered)
	stale := ack.Target
	h.core.HandlePollError(h.now, h.now, stale, PollFenced)
	h.core.HandleStopResult(h.now, Stop{Target: stale}, false, true)
	assert.False(t, h.core.Deposed())
	current := stale
	current.Epoch++
	h.core.HandlePollError(h.now, h.now, current, PollFenced)
	assert.True(t, h.core.Deposed())
}

// A worker gets no starts while a late acknowledgement could not be refused.
func TestNoStartsWithoutTokensLeft(t *testing.T) {
	h, ack := ackedRun(t)
	h.core.workers["w0"].acks.raises = TokensPerEpoch - 1
	h.core.HandlePollError(h.now, h.now, ack.Target, PollUnanswered)
	h.step(pollRetryMS)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Less(t, polls[0].Epoch, h.core.cfg.Epoch+TokensPerEpoch)
	h.answerQuietly(polls[0])
	assert.Empty(t, h.submit(testJob(2, smallStep(1))).Starts)
	h.step(lateCallMS)
	assert.Len(t, h.core.TakeOrders().Starts, 1)
}

// An acknowledgement without an answer that the worker has carried out is not sent again.
func TestForgottenEndsAreNotNamedAgain(t *testing.T) {
	h, ack := ackedRun(t)
	h.core.HandlePollError(h.now, h.now, ack.Target, PollUnanswered)
	h.step(pollRetryMS)
	polls := h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	h.answerQuietly(polls[0])
	h.step(1)
	polls = h.core.TakeOrders().Polls
	require.Len(t, polls, 1)
	assert.Zero(t, polls[0].AckedUpto)
}
