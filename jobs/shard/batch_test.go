package shard

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// TestBatchesAreBoundedInBytes guards against an append that the store never takes: after
// an outage the records of hundreds of large jobs wait at once, and each next owner would
// repeat the same append.
func TestBatchesAreBoundedInBytes(t *testing.T) {
	h := newHarness(t, 1)
	const jobs = 400
	for i := range jobs {
		s := testJob(i+1, lastingStep(1, 0))
		s.Payload = strings.Repeat("x", spec.MaxPayloadBytes)
		h.core.Submit(h.now, uint64(i+1), s)
	}
	stored := 0
	for stored < jobs {
		batch, ok := h.core.NextBatch()
		require.True(t, ok)
		bytes := 0
		for _, r := range batch.Records {
			bytes += r.bytes()
		}
		require.NotZero(t, bytes)
		require.LessOrEqual(t, bytes, maxBatchBytes)
		stored += len(batch.Records)
		h.core.HandleCommit(h.now, batch)
	}
	replies := h.core.TakeOrders().Replies
	require.Len(t, replies, jobs)
	_, ok := h.core.NextBatch()
	require.False(t, ok)
}
