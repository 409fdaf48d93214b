package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern: cancels of jobs that do not exist, each of another one. The owner looked
// through all that it remembered of them in each pass, and remembered any number.
func TestDeclinedJobsAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	cancel := func(id int) Outcome {
		h.core.Cancel(h.now, 1, testJob(id).ID)
		h.step(0)
		replies := h.core.TakeOrders().Replies
		require.Len(t, replies, 1)
		return replies[0].Outcome
	}
	for id := range maxRecent {
		h.core.declinedAt.set(testJob(id).ID, h.now)
	}
	assert.Equal(t, Unavailable, cancel(maxRecent), "a 410 would promise that the job is not accepted later")
	h.core.Submit(h.now, 2, testJob(0, smallStep(1)))
	assert.Equal(t, Unavailable, h.core.TakeOrders().Replies[0].Outcome, "it was declined")
	h.step(declineKeepMS + 1)
	assert.Equal(t, Unknown, cancel(maxRecent))
	assert.Len(t, h.core.declinedAt.at, 1)
	for id := range maxRecent + 10 {
		h.core.storeDown = true
		h.core.Submit(h.now, 3, testJob(maxRecent+1+id, smallStep(1)))
	}
	assert.Len(t, h.core.firstSeenAt.at, maxRecent)
}

func TestRecentTimesAreForgottenInTime(t *testing.T) {
	r := newRecentTimes(10)
	r.set("a", 0)
	r.set("b", 5)
	r.set("a", 8)
	r.forget(11)
	_, known := r.get("a")
	assert.True(t, known, "set again")
	r.forget(16)
	_, known = r.get("b")
	assert.False(t, known)
	r.forget(19)
	assert.Empty(t, r.at)
	assert.Empty(t, r.order)
}
