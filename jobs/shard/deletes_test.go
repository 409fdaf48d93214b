package shard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// An ID that is submitted again while the delete of its earlier job waits must
// not lose the record of the new job: the delete would come after it.
func TestResubmittedJobIsNotDeleted(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	h.submit(j)
	h.core.Cancel(h.now, 2, j.ID)
	h.step(1)
	h.step(1_000 + finalKeepMarginMS + 1)
	require.Contains(t, h.core.pendingDeletes, j.ID)

	h.core.Submit(h.now, 3, j)
	stored := map[string]bool{}
	h.core.Advance(h.now, h.now)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	for _, r := range batch.Records {
		stored[r.Key] = len(r.Value) > 0
	}
	h.core.HandleCommit(h.now, batch)
	assert.Contains(t, h.core.TakeOrders().Replies, Reply{Ticket: 3, Outcome: Accepted})
	assert.True(t, stored[jobKey(j.ID)], "the accepted job is stored")
}

// After a takeover all final jobs of the earlier owner expire at once. Their
// deletes must not form one append that exceeds the store's limit.
func TestDeletesComeInBoundedAppends(t *testing.T) {
	h := newHarness(t, 1)
	const finals = 3 * maxBatchRecords
	for i := range finals {
		j := &job{spec: spec.Job{ID: fmt.Sprintf("%016x", i)}, state: spec.Completed, storedState: spec.Completed, stored: true, finalAt: h.now}
		h.core.jobs[j.spec.ID] = j
		h.core.finalJobs = append(h.core.finalJobs, j)
	}
	h.now += 1_000 + finalKeepMarginMS + 1
	h.core.Advance(h.now, h.now)
	deleted := 0
	for {
		batch, ok := h.core.NextBatch()
		if !ok {
			break
		}
		assert.LessOrEqual(t, len(batch.Records), maxBatchRecords)
		deleted += len(batch.Records)
		h.core.HandleCommit(h.now, batch)
	}
	assert.Greater(t, deleted, finals-maxPendingDeletes)
}
