package jobhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/deps"
)

// The control loop was held up for longer than a cordon may take. It wrote the report
// that the handler was returning at that moment; only the race detector shows it.
func TestLateCordonDoesNotWriteTheAnswer(t *testing.T) {
	h := New(newTestSite(t, 0).config("a", "127.0.0.1"))
	p := deps.Partition{Topic: deps.TopicJobs}
	taken, err := h.takeOver(t.Context(), p, observation{})
	require.NoError(t, err)
	h.startOwning(taken)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := h.applyCordons(ctx, p, cordonMessage{})
		ended <- err
	}()
	apply := <-h.inbox
	time.Sleep(100 * time.Millisecond)
	apply()
	assert.Error(t, <-ended)
	h.dropShard(h.owned[p], "the test ends")
}
