package jobhost

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/homes"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// The owner of a queue's shard counted the waiting jobs without those in an earlier shard
// whose owner did not answer, and so gave too few.
func TestWaitingJobsAreNotGivenWithoutAnEarlierShard(t *testing.T) {
	s := newMovedQueueSite(t)
	h := s.run("a", "127.0.0.1", s.store)
	s.submit(h, 1)
	home := homes.Home{Queue: "q", Shard: h.partitionOf("without an owner").Index, SinceMS: 1}
	value, err := home.Encode()
	require.NoError(t, err)
	require.NoError(t, s.store.Append(context.Background(), deps.Append{Partition: homesPartition, Records: []shard.Record{{Key: home.Key(), Value: value}}}))
	h.homes.refresh()
	assert.NotEqual(t, Done, s.ask(h, OpWaiting, 0).Outcome)
}

// A node with an older configuration gave a job to the shard that its queue had left. That
// could not accept it, but made the queue's shard promise not to accept it either, for 30 s.
func TestJobIsAcceptedAfterANodeWithAnOlderConfigurationHasTried(t *testing.T) {
	s := newMovedQueueSite(t)
	var behind atomic.Bool
	current := s.run("a", "127.0.0.1", s.store)
	s.submit(current, 1)
	late := s.run("b", "127.0.0.2", storeBehind{s.store, &behind})
	require.Eventually(t, func() bool { return s.ask(late, OpShow, 1).Outcome == Done }, 10*time.Second, 50*time.Millisecond)
	behind.Store(true)
	s.moveQueue(deps.Pool{Service: "s"})
	require.Eventually(t, func() bool { return current.config.Load().Version == 2 }, 10*time.Second, 10*time.Millisecond)
	s.submit(current, 2)
	require.Equal(t, int64(1), late.config.Load().Version)
	assert.NotEqual(t, Done, s.ask(late, OpSubmit, 3).Outcome)
	require.Eventually(t, func() bool {
		res := s.ask(current, OpSubmit, 3)
		require.NotEqual(t, "declined_before", res.Reason)
		return res.Outcome == Done
	}, 10*time.Second, 50*time.Millisecond)
}

// Nobody took over the shard of a service that the configuration had dropped, so that its jobs
// were lost with the node that owned it.
func TestShardOfADroppedServiceIsTakenOver(t *testing.T) {
	s := newMovedQueueSite(t)
	cfg := s.config("a", "127.0.0.1")
	cfg.Partitions = 64
	first := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); assert.NoError(t, first.Run(ctx)) }()
	s.submit(first, 1)
	s.moveQueue()
	require.Eventually(t, func() bool { return first.config.Load().Version == 2 }, 10*time.Second, 10*time.Millisecond)
	s.submit(first, 2)
	cancel()
	<-first.HandedOver()
	first.Close()
	<-ended
	next := s.run("b", "127.0.0.2", s.store)
	require.Eventually(t, func() bool { return s.ask(next, OpShow, 2).Outcome == Done }, 10*time.Second, 50*time.Millisecond)
	assert.Equal(t, Done, s.ask(next, OpShow, 1).Outcome)
}
