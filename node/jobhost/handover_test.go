package jobhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// A successor believes what the owner before it has handed over, and nobody else's record.
func TestHandoverHoldsForTheNextOwnerOnly(t *testing.T) {
	ctx := context.Background()
	s := newTestSite(t, time.Millisecond)
	p := deps.Partition{Topic: deps.TopicJobs, Index: 1}
	first, second := New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2"))
	dead := map[string]bool{"a": true, "b": true}

	taken, err := first.takeOver(ctx, p, observation{deadNodes: dead})
	require.NoError(t, err)
	assert.Nil(t, taken.handover)
	owned := &ownedShard{partition: p, epoch: taken.epoch, sequence: taken.sequence}
	rec := handoverRecord{Epoch: taken.epoch, SilentWorkers: []shard.SilentWorker{{Worker: "w", Incarnation: 3, LeaseMS: 700}}}
	require.NoError(t, first.appendHandover(owned, rec))

	incarnations := map[string]int64{"a": first.incarnation, "b": second.incarnation}
	next, err := second.takeOver(ctx, p, observation{knownEpoch: taken.epoch, deadNodes: dead, incarnations: incarnations})
	require.NoError(t, err)
	require.NotNil(t, next.handover)
	assert.Equal(t, rec.SilentWorkers, next.handover.SilentWorkers)
	assert.Equal(t, ownerEnded, next.previousState, "the owner has stopped to send orders")
	assert.Empty(t, next.records, "the record is none of the core's")

	last, err := first.takeOver(ctx, p, observation{knownEpoch: next.epoch, deadNodes: dead, incarnations: incarnations})
	require.NoError(t, err)
	assert.Nil(t, last.handover, "the owner in between has not handed over")
	assert.Equal(t, ownerSilent, last.previousState)
	owned.sequence++
	err = first.appendHandover(owned, rec)
	assert.Equal(t, deps.KindFenced, deps.KindOf(err), "an owner that was replaced can't hand over")
}
