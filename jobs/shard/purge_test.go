package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// The store was away for longer than final jobs are kept. A cancelled job was forgotten
// before its final state was stored: its next cancel was answered 410 while its record
// said that it runs, and a successor would have run it on.
func TestFinalJobIsKeptUntilItsStateIsStored(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	require.Len(t, h.submit(j).Starts, 1)
	h.core.Cancel(h.now, 2, j.ID)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	h.now += 1_000 + finalKeepMarginMS + 1
	h.core.Advance(h.now, h.now)
	h.core.Cancel(h.now, 3, j.ID)
	assert.Empty(t, h.core.TakeOrders().Replies, "nothing is stored yet")
	h.core.HandleCommit(h.now, batch)
	assert.Equal(t, []Reply{{Ticket: 2, Outcome: Accepted}, {Ticket: 3, Outcome: Accepted}}, h.core.TakeOrders().Replies)
	assert.Equal(t, spec.Cancelled, h.core.JobStatus(j.ID).State)
}
