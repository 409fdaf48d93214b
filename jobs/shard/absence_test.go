package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// askUnknown asks about a job that the shard does not have, in all ways.
func askUnknown(h *harness, id string) {
	h.core.Cancel(h.now, 1, id)
	h.core.Lookup(h.now, 2, id)
	h.core.Yield(h.now, 3, id)
}

// An owner that had been replaced without knowing it denied the jobs of its successor.
func TestUnknownJobIsDeniedOnlyAfterAnAppend(t *testing.T) {
	h := newHarness(t, 1)
	h.step(1)
	h.core.TakeOrders()
	askUnknown(h, testJob(1).ID)
	require.Empty(t, h.core.TakeOrders().Replies)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	assert.True(t, batch.NeedsAppend)
	assert.Empty(t, batch.Records)
	require.Empty(t, h.core.TakeOrders().Replies, "the append is not answered yet")
	askUnknown(h, testJob(2).ID)
	h.core.HandleCommit(h.now, batch)
	replies := h.core.TakeOrders().Replies
	require.Len(t, replies, 3, "later questions need a later append")
	for i, r := range replies {
		assert.Equal(t, Reply{Ticket: uint64(i + 1), Outcome: Unknown}, r)
	}
}

// An owner whose append is refused has been replaced, and must not answer.
func TestQuestionsAreReturnedWithTheShard(t *testing.T) {
	h := newHarness(t, 1)
	askUnknown(h, testJob(1).ID)
	_, ok := h.core.NextBatch()
	require.True(t, ok)
	askUnknown(h, testJob(2).ID)
	replies := h.core.AbandonWaiters()
	require.Len(t, replies, 6)
	for _, r := range replies {
		assert.Equal(t, Superseded, r.Outcome)
	}
	assert.Empty(t, h.core.AbandonWaiters(), "each caller is answered once")
}

// Without the store, callers are sent back at once and not kept until their deadline.
func TestQuestionsAreReturnedWhileTheStoreIsAway(t *testing.T) {
	h := newHarness(t, 1)
	askUnknown(h, testJob(1).ID)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	h.core.SetStoreDown(true)
	h.core.Advance(h.now, h.now)
	askUnknown(h, testJob(2).ID)
	replies := h.core.TakeOrders().Replies
	require.Len(t, replies, 6)
	for _, r := range replies {
		assert.Equal(t, Superseded, r.Outcome)
	}
	h.core.HandleCommit(h.now, batch)
	assert.Empty(t, h.core.TakeOrders().Replies, "each caller is answered once")
}

// An owner whose right to start tasks has expired may have a successor.
func TestQuestionsAreReturnedAfterOwnershipExpires(t *testing.T) {
	h := newHarness(t, 1)
	h.core.SetOwnershipDeadlines(h.now, forever)
	askUnknown(h, testJob(1).ID)
	replies := h.core.TakeOrders().Replies
	require.Len(t, replies, 3)
	for _, r := range replies {
		assert.Equal(t, Superseded, r.Outcome)
	}
}

// A job that is accepted while its absence is being proven is not denied.
func TestJobAcceptedDuringTheProofIsFound(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	h.core.Lookup(h.now, 1, j.ID)
	h.core.Cancel(h.now, 2, j.ID)
	h.core.Submit(h.now, 3, j)
	for range 3 {
		batch, ok := h.core.NextBatch()
		if !ok {
			break
		}
		h.core.HandleCommit(h.now, batch)
	}
	assert.ElementsMatch(t, []Reply{
		{Ticket: 1, Outcome: Accepted, State: spec.Pending}, {Ticket: 2, Outcome: Accepted}, {Ticket: 3, Outcome: Accepted},
	}, h.core.TakeOrders().Replies)
	assert.Equal(t, spec.Cancelled, h.core.JobStatus(j.ID).State)
}
