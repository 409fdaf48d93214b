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

// ownerSite is one node that owns the shard of service s.
type ownerSite struct {
	site *testSite
	host *Host
	part deps.Partition
}

func newOwnerSite(t *testing.T) *ownerSite {
	t.Helper()
	s := newTestSite(t, 20*time.Millisecond)
	h := New(s.config("a", "127.0.0.1"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); assert.NoError(t, h.Run(ctx)) }()
	t.Cleanup(func() { cancel(); <-h.HandedOver(); h.Close(); <-done })
	o := &ownerSite{site: s, host: h, part: h.partitionOf("s")}
	require.Eventually(t, func() bool { return o.ask(OpSubmit, 1).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return o.ask(OpShow, 1).State.Final() }, 20*time.Second, 20*time.Millisecond)
	return o
}

func (o *ownerSite) ask(op Operation, i int) Result {
	return o.host.Do(context.Background(), Request{Op: op, Service: "s", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
}

// acceptedRecords returns the records of a shard that has accepted a job.
func acceptedRecords(t *testing.T, i int) []shard.Record {
	t.Helper()
	core := shard.New(shard.Config{Epoch: 1, StatusKeepMS: 60_000}, monotonicMS(), wallMS())
	core.SetOwnershipDeadlines(monotonicMS()+60_000, monotonicMS()+60_000)
	core.SetQueues([]shard.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}})
	core.Submit(monotonicMS(), 1, *testJob(i))
	batch, ok := core.NextBatch()
	require.True(t, ok)
	return batch.Records
}

// acceptAtSuccessor lets a successor take the shard over and accept a job, as the store
// sees it. The node does not hear of it.
func (o *ownerSite) acceptAtSuccessor(t *testing.T, i int) {
	t.Helper()
	epoch := (*o.host.owners.Load())[o.part].Epoch + 1
	require.NoError(t, o.site.store.Append(context.Background(), deps.Append{Partition: o.part, Records: acceptedRecords(t, i), Fence: &deps.Fence{Epoch: epoch, Sequence: 1}}))
}

// A node that had lost its shard without knowing it replied from its memory that a job
// that its successor had accepted was unknown. Callers take that for an
// acknowledgement of their cancel, or for the loss of the job; an earlier home that
// yields such a job lets a second shard accept it.
func TestDeposedOwnerDoesNotDenyJobOfItsSuccessor(t *testing.T) {
	for _, op := range []Operation{OpCancel, OpShow, OpYield} {
		t.Run(opNames[op], func(t *testing.T) {
			o := newOwnerSite(t)
			o.acceptAtSuccessor(t, 2)
			outcome := Unknown
			for deadline := time.Now().Add(20 * time.Second); outcome != Done && time.Now().Before(deadline); {
				outcome = o.ask(op, 2).Outcome
				require.NotEqual(t, Missing, outcome)
			}
			assert.Equal(t, Done, outcome, "the next owner restores the job from the store")
		})
	}
}

// An owner that had missed the announcement of its successor, because it was cut off
// from the other nodes, kept its shard although it read the successor's heartbeats,
// and answered requests that were forwarded to it.
func TestHeartbeatOfNewerOwnerEndsOwnership(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	now := monotonicMS()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	core := shard.New(shard.Config{Epoch: 5}, now, wallMS())
	h.owned[part] = &ownedShard{partition: part, epoch: 5, core: core, ctx: ctx, cancel: cancel}
	rec, err := encMode.Marshal(heartbeatRecord{Node: "b", Incarnation: 1, Sequence: 1,
		Owned: []ownership{{Topic: int(part.Topic), Index: part.Index, Epoch: 6, Node: "b", Incarnation: 1}}})
	require.NoError(t, err)
	h.applyHeartbeats([]shard.Record{{Key: "b", Value: rec}})
	require.Equal(t, "b", (*h.owners.Load())[part].Node, "requests of this node go to the successor")
	assert.NotContains(t, h.owned, part)
}
