package jobhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"wigeonwinch/jobs/shard"
)

// A report was still read by a caller that had given it up while the control loop wrote
// it. The race detector shows it.
func TestReportThatIsGivenUpIsNotRead(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	h.owned[part] = &ownedShard{partition: part, epoch: 5, core: shard.New(shard.Config{Epoch: 5}, monotonicMS(), wallMS())}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := h.applyCordons(ctx, part, cordonMessage{Partition: part.Index, Epoch: 1}); err != nil {
			assert.Empty(t, response)
		}
	}()
	setCordons := <-h.inbox
	cancel()
	// The caller gives up meanwhile. Waiting for it would order its read before the write.
	time.Sleep(20 * time.Millisecond)
	setCordons()
	<-ended
}
