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

// A shard that had left a job to another shard forgets that in a takeover. The shard that
// asked it to is in the book of homes, and has the last word.
func TestYieldedJobIsNotAcceptedAfterTakeover(t *testing.T) {
	o := newOwnerSite(t)
	asking := deps.Partition{Topic: deps.TopicJobs, Index: (o.part.Index + 1) % 4}
	home := homes.Home{Queue: "q", Shard: asking.Index, SinceMS: wallMS()}
	value, err := home.Encode()
	require.NoError(t, err)
	require.NoError(t, o.site.store.Append(context.Background(), deps.Append{Partition: homesPartition, Records: []shard.Record{{Key: home.Key(), Value: value}}}))
	yielded := o.host.doLocal(context.Background(), o.part, Request{Op: OpYield, Queue: "q", ID: testJob(2).ID})
	require.Equal(t, Missing, yielded.Outcome)
	require.NoError(t, o.site.store.Append(context.Background(), deps.Append{Partition: asking, Records: acceptedRecords(t, 2)}))
	before := (*o.host.owners.Load())[o.part].Epoch
	o.host.post(func() { o.host.dropShard(o.host.owned[o.part], "test") })
	require.Eventually(t, func() bool {
		return (*o.host.owners.Load())[o.part].Epoch > before && o.ask(OpShow, 1).Outcome == Done
	}, 20*time.Second, 20*time.Millisecond)
	res := Result{}
	for deadline := time.Now().Add(20 * time.Second); res.Outcome != Done && time.Now().Before(deadline); {
		res = o.ask(OpSubmit, 2)
	}
	assert.Equal(t, "accepted_before_the_queue_moved", res.Reason, "outcome %s", res.Outcome)
}

// lostAnswerStore loses the answer to the next append of jobs, and lets no repeat
// through until it is released.
type lostAnswerStore struct {
	deps.Store
	losing, held atomic.Bool
}

func (s *lostAnswerStore) Append(ctx context.Context, a deps.Append) error {
	unknown := &deps.Error{Kind: deps.KindUnknown, Call: "append"}
	if a.Topic != deps.TopicJobs {
		return s.Store.Append(ctx, a)
	}
	if s.losing.CompareAndSwap(true, false) {
		s.held.Store(true)
		if err := s.Store.Append(ctx, a); err != nil {
			return err
		}
		return unknown
	}
	if s.held.Load() {
		return unknown
	}
	return s.Store.Append(ctx, a)
}

// The store answers the repeat of an append like its first execution. An owner whose
// append was executed before a successor took over, and that repeated it after a gap,
// took the answer for a proof that it was still the owner.
func TestRepeatedAppendProvesOwnershipOnlyWhenItWasFirstSent(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	store := &lostAnswerStore{Store: s.store}
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = store
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &ownedShard{partition: h.partitionOf("s"), epoch: 5, ctx: ctx, cancel: cancel, appendInFlight: true}
	h.owned[o.partition] = o
	store.losing.Store(true)
	rec, err := h.ownerRecord(o.partition, o.epoch, 0)
	require.NoError(t, err)
	go h.append(o, 1, []shard.Record{rec}, func() {})
	(<-h.inbox)()
	takenOverAt := monotonicMS()
	require.NoError(t, s.store.Append(ctx, deps.Append{Partition: o.partition, Records: []shard.Record{{Key: ownerKey, Value: []byte{1}}}, Fence: &deps.Fence{Epoch: 6, Sequence: 1}}))
	time.Sleep(5 * time.Millisecond)
	store.held.Store(false)
	for h.owned[o.partition] == o && o.appendInFlight {
		(<-h.inbox)()
	}
	if h.owned[o.partition] == o {
		assert.LessOrEqual(t, o.verifiedAt.Load(), takenOverAt, "the append was executed before the takeover")
	}
}

// Orders of a shard that its node had lost were still sent to the relay.
func TestQueuedOrdersOfLostShardAreNotSent(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	o := &ownedShard{partition: part}
	h.relays.assigned[part] = map[string]string{"w-0": "relay"}
	require.True(t, h.relays.addStart(o, shard.Start{Target: shard.Target{Worker: "w-0"}, RunRef: shard.RunRef{Key: shard.Key{Job: "j"}, Number: 1}}))
	h.relays.dropShard(o)
	assert.Empty(t, h.relays.calls)
	assert.Empty(t, h.relays.links["relay"].queue)
}

// The replies that a shard had given in the pass in which a worker reported a newer
// owner were dropped with it: their callers waited for their time-out.
func TestRepliesOfDeposedShardAreDelivered(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	now := monotonicMS()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	core := shard.New(shard.Config{Epoch: 5}, now, wallMS())
	core.SetQueues([]shard.Queue{{Name: "q", Service: "s"}})
	core.SetWorkers(now, []shard.Worker{{ID: "w-0", Address: "w-0", Service: "s", Incarnation: 1}})
	h.owned[part] = &ownedShard{partition: part, epoch: 5, core: core, ctx: ctx, cancel: cancel}
	answer := h.pending.register(1)
	h.postToShard(part, 1, Request{Op: OpSubmit, Service: "s", Queue: "q", ID: testJob(1).ID, Job: testJob(1)})
	core.HandlePollError(now, now, shard.Target{Worker: "w-0", Incarnation: 1, Epoch: 5}, shard.PollFenced)
	h.advance()
	require.NotContains(t, h.owned, part)
	select {
	case a := <-answer:
		assert.Equal(t, "ownership_expired", a.Reason)
	default:
		assert.Fail(t, "the reply was dropped")
	}
}
