package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

// A caller asked for a job that did not exist yet; another customer submitted one with
// its ID before the append that proves the answer. The caller's cancel would end it.
func TestCallerOfAnotherCustomerDoesNotReachAJobAcceptedMeanwhile(t *testing.T) {
	h := newHarness(t, 1)
	h.step(1)
	job := testJob(1, smallStep(1))
	job.Customer = "red"
	blue := customer.Caller{Customer: "blue", Queue: job.Queue}
	h.core.TakeOrders()
	h.core.CancelAs(blue, h.now, 1, job.ID)
	h.core.LookupAs(blue, h.now, 2, job.ID)
	h.core.Submit(h.now, 3, job)
	var replies []Reply
	for range 4 {
		batch, ok := h.core.NextBatch()
		if !ok {
			break
		}
		h.core.HandleCommit(h.now, batch)
		replies = append(replies, h.core.TakeOrders().Replies...)
	}
	outcomes := map[uint64]Outcome{}
	for _, r := range replies {
		outcomes[r.Ticket] = r.Outcome
	}
	assert.Equal(t, map[uint64]Outcome{1: Unknown, 2: Unknown, 3: Accepted}, outcomes)
	assert.Equal(t, JobStatus{State: spec.Pending, Known: true}, h.core.JobStatus(job.ID))
}

// What hides a job is in its record also once it is final.
func TestFinalJobStaysItsCustomers(t *testing.T) {
	h := newHarness(t, 1)
	h.step(1)
	job := testJob(1, smallStep(1))
	job.Customer = "red"
	h.core.Submit(h.now, 1, job)
	h.core.Cancel(h.now, 2, job.ID)
	batch, ok := h.core.NextBatch()
	require.True(t, ok)
	restored := New(Config{Epoch: 9, StatusKeepMS: 60_000}, h.now, h.now)
	for _, r := range batch.Records {
		require.NoError(t, restored.Restore(r))
	}
	require.True(t, restored.JobStatus(job.ID).State.Final())
	assert.False(t, restored.MayAccess(customer.Caller{Customer: "blue", Queue: job.Queue}, job.ID))
	assert.True(t, restored.MayAccess(customer.Caller{Customer: "red", Queue: job.Queue}, job.ID))
}
