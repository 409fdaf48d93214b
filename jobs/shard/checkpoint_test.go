package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGangResumesFromOneCheckpoint guards against a gang that never completes: after the
// loss of a worker its member kept the checkpoint of the last poll, the others the newer
// one of their end, and members with different checkpoints form no run.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	h := newHarness(t, 3)
	gang := smallStep(3)
	gang.Gang, gang.Checkpoints = true, true
	s := testJob(1, gang)
	h.submit(s)
	h.step(1)
	j := h.core.jobs[s.ID]
	for i, checkpoint := range []string{"c1", "c1", "c2"} {
		j.saveCheckpoint(Key{s.ID, 0, 0, i}, checkpoint)
	}
	for i := range 3 {
		assert.Equal(t, "c2", j.checkpoint(Key{s.ID, 0, 0, i}))
	}
	rec, err := h.core.encodeJob(j)
	require.NoError(t, err)
	next := New(Config{Epoch: 2, MaxLeaseMS: 6_000}, h.now, h.now)
	require.NoError(t, next.Restore(rec))
	for i := range 3 {
		assert.Equal(t, "c2", next.jobs[s.ID].checkpoint(Key{s.ID, 0, 0, i}))
	}
}

// TestGangOfMixedRecordResumesFromOneCheckpoint guards the same for a record of an earlier
// version, which kept a checkpoint for each member.
func TestGangOfMixedRecordResumesFromOneCheckpoint(t *testing.T) {
	h := newHarness(t, 3)
	gang := smallStep(3)
	gang.Gang, gang.Checkpoints = true, true
	s := testJob(1, gang)
	j := h.core.newJob(s, h.core.queues["q"], h.now)
	j.occurrences[0] = newOccurrence(&j.spec, 0)
	j.occurrences[0].steps[0].isGang = false
	for i, checkpoint := range []string{"", "c1", "c2"} {
		j.saveCheckpoint(Key{s.ID, 0, 0, i}, checkpoint)
	}
	rec, err := h.core.encodeJob(j)
	require.NoError(t, err)
	next := New(Config{Epoch: 2, MaxLeaseMS: 6_000}, h.now, h.now)
	require.NoError(t, next.Restore(rec))
	first := next.jobs[s.ID].checkpoint(Key{s.ID, 0, 0, 0})
	assert.NotEmpty(t, first)
	for i := range 3 {
		assert.Equal(t, first, next.jobs[s.ID].checkpoint(Key{s.ID, 0, 0, i}))
	}
}
