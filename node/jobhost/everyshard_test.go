package jobhost

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/homes"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// storeBehind fails the reads of the operator's records while it is behind, as for a
// node that is cut off, or suspended, when the configuration changes.
type storeBehind struct {
	*depstest.Store
	behind *atomic.Bool
}

func (s storeBehind) Read(ctx context.Context, p deps.Partition, from int64, wait time.Duration) ([]shard.Record, int64, error) {
	if p.Topic == deps.TopicOperator && s.behind.Load() {
		return nil, from, &deps.Error{Kind: deps.KindRefused, Call: "read"}
	}
	records, end, err := s.Store.Read(ctx, p, from, wait)
	if p.Topic == deps.TopicOperator && s.behind.Load() {
		return nil, from, &deps.Error{Kind: deps.KindUnknown, Call: "read"}
	}
	return records, end, err
}

// movedQueueSite is a site whose queue moves from service "s" to service "other".
type movedQueueSite struct {
	*testSite
	t *testing.T
}

func newMovedQueueSite(t *testing.T) movedQueueSite {
	return movedQueueSite{newTestSite(t, time.Hour), t}
}

// run starts a node and stops it at the end of the test.
func (s movedQueueSite) run(name, ip string, store deps.Store) *Host {
	cfg := s.config(name, ip)
	cfg.Partitions, cfg.Store = 64, store
	h := New(cfg)
	require.NotEqual(s.t, h.partitionOf("s"), h.partitionOf("other"))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); assert.NoError(s.t, h.Run(ctx)) }()
	s.t.Cleanup(func() { cancel(); <-h.HandedOver(); h.Close(); <-ended })
	return h
}

// moveQueue gives the queue to service "other", beside the given pools.
func (s movedQueueSite) moveQueue(pools ...deps.Pool) {
	require.NoError(s.t, s.store.Put(deps.TopicWorkers, "w-other", shard.Worker{ID: "w-other", Address: "w-other", Service: "other",
		Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	require.NoError(s.t, s.store.Put(deps.TopicOperator, "config", deps.Configuration{Version: 2,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "other", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  append(pools, deps.Pool{Service: "other"})}))
}

// ask asks a node about a job in the way its own configuration tells.
func (s movedQueueSite) ask(h *Host, op Operation, i int) Result {
	route, found := h.Route("h", "/q/"+testJob(i).ID)
	if found != RouteFound {
		return Result{Outcome: Unavailable}
	}
	return h.Do(context.Background(), Request{Op: op, Service: route.Queue.Service, Queue: route.Queue.Name, ID: testJob(i).ID, Job: testJob(i)})
}

func (s movedQueueSite) submit(h *Host, i int) {
	require.Eventually(s.t, func() bool { return s.ask(h, OpSubmit, i).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
}

// A node whose configuration was behind said of a job in a shard that it did not know
// yet that there is no such job. Its cancel counted, and the job ran on.
func TestJobsAreFoundByANodeWithAnOlderConfiguration(t *testing.T) {
	s := newMovedQueueSite(t)
	var behind atomic.Bool
	current, late := s.run("a", "127.0.0.1", s.store), s.run("b", "127.0.0.2", storeBehind{s.store, &behind})
	s.submit(late, 1)
	behind.Store(true)
	s.moveQueue(deps.Pool{Service: "s"})
	require.Eventually(t, func() bool { return current.config.Load().Version == 2 }, 10*time.Second, 10*time.Millisecond)
	s.submit(current, 2)
	require.Equal(t, int64(1), late.config.Load().Version)
	assert.Equal(t, Done, s.ask(late, OpShow, 2).Outcome)
	assert.Equal(t, Done, s.ask(late, OpCancel, 2).Outcome)
	assert.Equal(t, spec.Cancelled, s.ask(current, OpShow, 2).State)
	assert.Equal(t, Missing, s.ask(late, OpShow, 3).Outcome)
}

// The jobs of a service that the configuration drops, or whose VMs are turned off, stay
// in its shard, which was not asked any more.
func TestJobsAreFoundAfterTheirServiceIsDropped(t *testing.T) {
	for name, pools := range map[string][]deps.Pool{"dropped": nil, "spare": {{Service: "s", Spare: true}}} {
		t.Run(name, func(t *testing.T) {
			s := newMovedQueueSite(t)
			h := s.run("a", "127.0.0.1", s.store)
			s.submit(h, 1)
			s.moveQueue(pools...)
			require.Eventually(t, func() bool { return s.ask(h, OpWaiting, 0).Outcome == Done && h.config.Load().Version == 2 }, 10*time.Second, 10*time.Millisecond)
			assert.Equal(t, Done, s.ask(h, OpShow, 1).Outcome)
			assert.Equal(t, Done, s.ask(h, OpCancel, 1).Outcome)
			assert.Equal(t, spec.Cancelled, s.ask(h, OpShow, 1).State)
		})
	}
}

// Without the book of homes nobody knows which shards may have a job, and "there is no
// such job" may be false.
func TestNoJobIsMissingWithoutTheBookOfHomes(t *testing.T) {
	s := newMovedQueueSite(t)
	var away atomic.Bool
	h := s.run("a", "127.0.0.1", storeWithoutHomes{s.store, &away})
	s.submit(h, 1)
	away.Store(true)
	for _, op := range []Operation{OpShow, OpCancel, OpTasks} {
		res := s.ask(h, op, 2)
		assert.Equal(t, Unknown, res.Outcome, opNames[op])
		assert.Equal(t, "queue_home_unknown", res.Reason)
	}
	assert.Equal(t, Done, s.ask(h, OpShow, 1).Outcome, "a job that is found needs no book")
	away.Store(false)
	require.Eventually(t, func() bool { return s.ask(h, OpCancel, 2).Outcome == Missing }, 10*time.Second, 50*time.Millisecond)
}

// heldHomes holds each answer about the book of homes until it is released.
type heldHomes struct {
	*depstest.Store
	sent    chan struct{}
	release chan struct{}
}

func (s *heldHomes) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	snapshot, err := s.Store.Newest(ctx, p)
	s.sent <- struct{}{}
	<-s.release
	return snapshot, err
}

// Callers that ask about unknown jobs at the same time must not read the book once each,
// and none may be answered from a read that was sent before it called.
func TestConcurrentCallersShareOneLaterReadOfTheBook(t *testing.T) {
	const callers = 50
	s := newTestSite(t, time.Millisecond)
	store := &heldHomes{Store: s.store, sent: make(chan struct{}, callers), release: make(chan struct{})}
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = store
	h := New(cfg)
	var calls sync.WaitGroup
	call := func(want []deps.Partition) {
		after := h.homes.readsSent()
		calls.Go(func() {
			shards, err := h.homes.allHomes(context.Background(), "q", after)
			assert.NoError(t, err)
			assert.Equal(t, want, shards)
		})
	}
	call(nil)
	<-store.sent
	home := homes.Home{Queue: "q", Shard: 3, SinceMS: 1}
	value, err := home.Encode()
	require.NoError(t, err)
	require.NoError(t, s.store.Append(context.Background(), deps.Append{Partition: homesPartition, Records: []shard.Record{{Key: home.Key(), Value: value}}}))
	for range callers {
		call([]deps.Partition{{Topic: deps.TopicJobs, Index: 3}})
	}
	close(store.release)
	calls.Wait()
	assert.Len(t, store.sent, 1, "reads after the first one")
}
