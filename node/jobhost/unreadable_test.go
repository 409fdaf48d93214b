package jobhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
)

// Callers were told that an accepted job does not exist, and a submission sent once more was
// accepted again, when the owner could not read the job's record.
func TestJobWithAnUnreadableRecordIsNotDenied(t *testing.T) {
	s := newMovedQueueSite(t)
	h := s.run("a", "127.0.0.1", s.store)
	partition := h.partitionOf("s")
	s.submit(h, 1)
	// An owner finds a record that it can't read.
	require.NoError(t, h.runOnLoop(context.Background(), func() {
		require.Error(t, h.owned[partition].core.Restore(shard.Record{Key: "j/" + testJob(2).ID, Value: []byte{0xff}}))
	}))
	for _, op := range []Operation{OpShow, OpCancel, OpSubmit, OpTasks} {
		assert.Equal(t, Unknown, s.ask(h, op, 2).Outcome, opNames[op])
	}
	require.Eventually(t, func() bool { return s.ask(h, OpShow, 1).Outcome == Done }, 10*time.Second, 20*time.Millisecond)
	assert.Equal(t, Missing, s.ask(h, OpShow, 3).Outcome)
}
