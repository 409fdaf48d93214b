package jobhost

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// cutStore is a store that does not answer one host while that host is cut off.
type cutStore struct {
	*depstest.Store
	cut *atomic.Bool
}

func (s cutStore) answer(ctx context.Context, call string) error {
	if !s.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return &deps.Error{Kind: deps.KindUnknown, Call: call, Err: ctx.Err()}
}

func (s cutStore) Append(ctx context.Context, a deps.Append) error {
	if err := s.answer(ctx, "append"); err != nil {
		return err
	}
	return s.Store.Append(ctx, a)
}

func (s cutStore) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	if err := s.answer(ctx, "newest"); err != nil {
		return deps.Snapshot{}, err
	}
	return s.Store.Newest(ctx, p)
}

func (s cutStore) Read(ctx context.Context, p deps.Partition, from int64, wait time.Duration) ([]shard.Record, int64, error) {
	if err := s.answer(ctx, "read"); err != nil {
		return nil, from, err
	}
	return s.Store.Read(ctx, p, from, wait)
}

// cutWorkers are workers that do not answer one host while that host is cut off.
type cutWorkers struct {
	*depstest.Workers
	cut *atomic.Bool
}

func (w cutWorkers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	if w.cut.Load() {
		<-ctx.Done()
		return shard.PollResponse{}, &deps.Error{Kind: deps.KindUnknown, Call: "poll", Err: ctx.Err()}
	}
	res, err := w.Workers.Poll(ctx, p)
	if w.cut.Load() {
		return shard.PollResponse{}, &deps.Error{Kind: deps.KindUnknown, Call: "poll"}
	}
	return res, err
}

// runHost runs a host until the end of the test.
func runHost(t *testing.T, cfg Config) *Host {
	t.Helper()
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); assert.NoError(t, h.Run(ctx)) }()
	t.Cleanup(func() { cancel(); <-h.HandedOver(); h.Close(); <-ended })
	return h
}

// supersededOwner returns a host that is cut off from the store and from the other
// nodes, and the host that has taken its shard over.
func supersededOwner(t *testing.T, s *testSite) (former, owner *Host, heal func()) {
	t.Helper()
	var cut atomic.Bool
	cfg := s.config("a", "127.0.0.1")
	cfg.Store, cfg.Workers = cutStore{s.store, &cut}, cutWorkers{s.workers, &cut}
	former = runHost(t, cfg)
	require.Eventually(t, func() bool { return doJob(former, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	next := s.config("b", "127.0.0.2")
	next.PeerKey = []byte("a key that keeps the nodes from connecting to each other")
	owner = runHost(t, next)
	cut.Store(true)
	t.Cleanup(func() { cut.Store(false) })
	require.Eventually(t, func() bool { return doJob(owner, OpSubmit, 2).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	return former, owner, func() { cut.Store(false) }
}

func doJob(h *Host, op Operation, i int) Result {
	return h.Do(context.Background(), Request{Op: op, Service: "s", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
}

// A cancel that reached a former owner was answered with "no such job" from its memory,
// although its successor had accepted the job, and the job ran on.
func TestFormerOwnerDoesNotDenyJobsOfItsSuccessor(t *testing.T) {
	s := newTestSite(t, time.Minute)
	former, owner, _ := supersededOwner(t, s)
	for name, op := range map[string]Operation{"cancel": OpCancel, "show": OpShow, "yield": OpYield} {
		assert.NotEqual(t, Missing, doJob(former, op, 2).Outcome, name)
	}
	require.Equal(t, Done, doJob(owner, OpCancel, 2).Outcome)
	assert.Equal(t, spec.Cancelled, doJob(owner, OpShow, 2).State)
}

// A former owner denied the jobs of its successor to the nodes that forwarded requests to it.
// They read the book of homes, so that its being cut off does not hide the denial.
func TestFormerOwnerDeniesNoJobsToOtherNodes(t *testing.T) {
	former, owner, _ := supersededOwner(t, newTestSite(t, time.Minute))
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for name, op := range map[string]Operation{"show": OpShow, "tasks": OpTasks, "yield": OpYield, "cancel": OpCancel} {
		r := Request{Op: op, Service: "s", Queue: "q", ID: testJob(2).ID}
		require.Equal(t, Done, owner.doLocal(ctx, owner.partitionOf("s"), r).Outcome, name)
		assert.NotEqual(t, Missing, former.doLocal(ctx, former.partitionOf("s"), r).Outcome, name)
	}
}

// The proof of ownership must not cost an owner its right to say that a job is unknown.
func TestOwnerDeniesUnknownJobs(t *testing.T) {
	s := newTestSite(t, time.Minute)
	h := runHost(t, s.config("a", "127.0.0.1"))
	require.Eventually(t, func() bool { return doJob(h, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	for name, op := range map[string]Operation{"cancel": OpCancel, "show": OpShow, "tasks": OpTasks, "yield": OpYield} {
		assert.Equal(t, Missing, doJob(h, op, 2).Outcome, name)
	}
}

// A former owner counted the waiting jobs by what it had known before it was cut off.
func TestFormerOwnerDoesNotCountWaitingJobs(t *testing.T) {
	s := newTestSite(t, time.Minute)
	former, _, _ := supersededOwner(t, s)
	require.Eventually(t, func() bool {
		hb := former.confirmedHeartbeat.Load()
		return sinceMS(hb.sentAt) > leaseExtensionWindow
	}, 2*leaseExtensionWindow, 20*time.Millisecond)
	for name, op := range map[string]Operation{"waiting": OpWaiting, "list": OpList} {
		assert.NotEqual(t, Done, doJob(former, op, 2).Outcome, name)
	}
}

// A reply that was decided in the same pass in which the shard was lost never reached its
// caller, who waited until its deadline.
func TestDecidedReplyIsDeliveredWhenTheShardIsLost(t *testing.T) {
	s := newTestSite(t, time.Minute)
	h := runHost(t, s.config("a", "127.0.0.1"))
	require.Eventually(t, func() bool { return doJob(h, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	answer := h.pending.register(h.ticket.Add(1))
	ticket := h.ticket.Load()
	h.post(func() {
		owned := h.owned[h.partitionOf("s")]
		owned.core.Submit(monotonicMS(), ticket, *testJob(1))
		h.dropShard(owned, "the test takes it away")
	})
	select {
	case a := <-answer:
		assert.Equal(t, Done, a.result().Outcome)
	case <-time.After(5 * time.Second):
		t.Fatal("the caller gets no answer")
	}
}

// A former owner that was cut off for long showed a job as running that its successor had
// cancelled.
func TestFormerOwnerShowsNoOldState(t *testing.T) {
	former, owner, _ := supersededOwner(t, newTestSite(t, time.Minute))
	require.Equal(t, Done, doJob(owner, OpCancel, 1).Outcome)
	require.Eventually(t, func() bool { return sinceMS(former.confirmedHeartbeat.Load().sentAt) > leaseExtensionWindow }, 2*leaseExtensionWindow, 20*time.Millisecond)
	for name, op := range map[string]Operation{"show": OpShow, "tasks": OpTasks} {
		if res := doJob(former, op, 1); res.Outcome == Done {
			assert.Equal(t, spec.Cancelled, res.State, name)
		}
	}
}

// A former owner said of a job that its successor had accepted that it was not accepted and would
// never run.
func TestFormerOwnerRefusesNoJob(t *testing.T) {
	former, _, _ := supersededOwner(t, newTestSite(t, time.Minute))
	res := doJob(former, OpSubmit, 2)
	assert.NotEqual(t, Refused, res.Outcome, res.Reason)
}

// A node that could not find the owner of a shard said of a job that the owner had accepted
// that it was not accepted and would never run (503).
func TestNodeWithoutAnOwnerDoesNotSayThatAJobNeverRuns(t *testing.T) {
	former, owner, _ := supersededOwner(t, newTestSite(t, time.Minute))
	require.NoError(t, former.runOnLoop(context.Background(), func() {
		for _, s := range former.sortedOwned() {
			former.dropShard(s, "a worker reported a newer owner")
		}
	}))
	require.Equal(t, Done, doJob(owner, OpShow, 2).Outcome)
	res := doJob(former, OpSubmit, 2)
	assert.Equal(t, Unknown, res.Outcome, res.Reason)
}
