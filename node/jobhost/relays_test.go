package jobhost

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/relay"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// countedWorkers counts the starts that one node sends. While silent is set, its
// polls and stops return nothing, like those of a node whose process is suspended
// with orders in its hands.
type countedWorkers struct {
	*depstest.Workers
	starts atomic.Int64
	silent atomic.Bool
	// cut makes polls and stops fail once their time is over, like those of a node
	// whose links to the workers are cut.
	cut atomic.Bool
	// stopped counts the stops that reached a worker.
	stopped atomic.Int64
}

func (w *countedWorkers) Start(ctx context.Context, s shard.Start) shard.StartResult {
	w.starts.Add(1)
	return w.Workers.Start(ctx, s)
}

// hold waits while the node is silent, and returns an error if its links are cut.
func (w *countedWorkers) hold(ctx context.Context) error {
	for w.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if !w.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (w *countedWorkers) Stop(ctx context.Context, s shard.Stop) error {
	if err := w.hold(ctx); err != nil {
		return err
	}
	w.stopped.Add(1)
	return w.Workers.Stop(ctx, s)
}

// relaySite is a pool that is large enough for relays, with three nodes.
type relaySite struct {
	site    *testSite
	hosts   map[string]*Host
	workers map[string]*countedWorkers
	stops   map[string]context.CancelFunc
}

func newRelaySite(t *testing.T) *relaySite {
	t.Helper()
	s := newTestSite(t, 60*time.Millisecond)
	for i := range relay.MinWorkers {
		id := fmt.Sprintf("worker-%d", i)
		require.NoError(t, s.store.Put(deps.TopicWorkers, id, shard.Worker{ID: id, Address: id, Zone: "z", Service: "s",
			Capacity: spec.Resources{MilliCPU: 4_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	}
	r := &relaySite{site: s, hosts: map[string]*Host{}, workers: map[string]*countedWorkers{}, stops: map[string]context.CancelFunc{}}
	for i, name := range []string{"a", "b", "c"} {
		cfg := s.config(name, fmt.Sprintf("127.0.1.%d", i+1))
		counted := &countedWorkers{Workers: s.workers}
		cfg.Workers, cfg.Cores = counted, 0.8
		h := New(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		r.hosts[name], r.workers[name], r.stops[name] = h, counted, cancel
		done := make(chan struct{})
		go func() { defer close(done); assert.NoError(t, h.Run(ctx)) }()
		t.Cleanup(func() { cancel(); <-h.HandedOver(); h.Close(); <-done })
	}
	return r
}

// owner returns the node that owns the shard of the pool, and a node that does
// not own any shard.
func (r *relaySite) owner(t *testing.T) (owner, idle string) {
	t.Helper()
	part := r.hosts["a"].partitionOf("s")
	require.Eventually(t, func() bool {
		o, ok := (*r.hosts["a"].owners.Load())[part]
		owner = o.Node
		return ok
	}, 10*time.Second, 20*time.Millisecond)
	for name, h := range r.hosts {
		if name != owner && len(h.ownedView.Load().claims) == 0 {
			idle = name
		}
	}
	return owner, idle
}

// startsExcept counts the starts that the nodes other than the given one have
// sent.
func (r *relaySite) startsExcept(node string) int64 {
	sum := int64(0)
	for name, w := range r.workers {
		if name != node {
			sum += w.starts.Load()
		}
	}
	return sum
}

func (r *relaySite) submit(t *testing.T, from, count int) {
	t.Helper()
	for i := from; i < from+count; i++ {
		job := testJob(i)
		require.Eventually(t, func() bool {
			return r.hosts["a"].Do(context.Background(), Request{Op: OpSubmit, Service: "s", Queue: "q", ID: job.ID, Job: job}).Outcome == Done
		}, 10*time.Second, 30*time.Millisecond)
	}
}

func (r *relaySite) requireCompleted(t *testing.T, from, count int) {
	t.Helper()
	for i := from; i < from+count; i++ {
		require.Eventually(t, func() bool {
			return r.hosts["a"].Do(context.Background(), Request{Op: OpShow, Service: "s", Queue: "q", ID: fmt.Sprintf("%016x", i)}).State == spec.Completed
		}, 15*time.Second, 30*time.Millisecond)
	}
	assert.Empty(t, r.site.workers.ConcurrentRuns)
}

// The owner of a large pool sends its orders through another node, which is
// where the processor time of the calls is spent.
func TestOwnerSendsOrdersThroughRelays(t *testing.T) {
	r := newRelaySite(t)
	owner, idle := r.owner(t)
	require.NotEmpty(t, idle)
	r.submit(t, 1, 1)
	require.Eventually(t, func() bool { return relayInUse(r.hosts[owner]) }, 5*time.Second, 20*time.Millisecond)
	before := r.workers[owner].starts.Load()
	r.submit(t, 100, 20)
	r.requireCompleted(t, 100, 20)
	assert.Equal(t, before, r.workers[owner].starts.Load(), "the owner calls no worker itself")
	assert.GreaterOrEqual(t, r.startsExcept(owner), int64(100), "the other nodes call them")
}

// relayInUse reports whether all workers of the host's shards have a relay.
func relayInUse(h *Host) bool {
	inUse := false
	_ = h.runOnLoop(context.Background(), func() {
		for _, s := range h.owned {
			if s.core != nil {
				inUse = len(h.relays.assigned[s.partition]) >= relay.MinWorkers
			}
		}
	})
	return inUse
}

func (w *countedWorkers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	if err := w.hold(ctx); err != nil {
		return shard.PollResponse{}, err
	}
	return w.Workers.Poll(ctx, p)
}

// A relay that keeps orders without a result must not stop the pool: the owner
// calls the workers itself, and no task runs twice.
func TestSilentRelayIsReplaced(t *testing.T) {
	r := newRelaySite(t)
	owner, idle := r.owner(t)
	r.submit(t, 1, 1)
	require.Eventually(t, func() bool { return relayInUse(r.hosts[owner]) }, 5*time.Second, 20*time.Millisecond)
	before := r.startsExcept(idle)
	r.workers[idle].silent.Store(true)
	r.submit(t, 200, 20)
	r.requireCompleted(t, 200, 20)
	assert.Greater(t, r.startsExcept(idle), before, "the owner or another relay replaces the silent one")
	r.workers[idle].silent.Store(false)
}

// A relay that stops hands its orders back.
func TestRelayThatStopsIsReplaced(t *testing.T) {
	r := newRelaySite(t)
	owner, idle := r.owner(t)
	r.submit(t, 1, 1)
	require.Eventually(t, func() bool { return relayInUse(r.hosts[owner]) }, 5*time.Second, 20*time.Millisecond)
	r.stops[idle]()
	r.submit(t, 300, 20)
	r.requireCompleted(t, 300, 20)
}

// An order that a relay finds after a suspension is not executed: its owner has
// given it up.
func TestRelayDropsOrdersAfterASuspension(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	counted := &countedWorkers{Workers: s.workers}
	cfg := s.config("a", "127.0.0.1")
	cfg.Workers = counted
	server := newRelayServer(New(cfg))
	order := relayedOrder{ID: 1, Kind: orderStart, Worker: "w-0", Epoch: 1, Job: "j", Run: 1}
	server.execute("owner", monotonicMS()-orderTimeout.Milliseconds()-1, order)
	assert.Zero(t, counted.starts.Load())
	server.execute("owner", monotonicMS(), order)
	assert.Equal(t, int64(1), counted.starts.Load())
}

// An owner that was suspended or slowed down finds the deadlines of all its orders
// passed. It must not suspend all relays for that and call hundreds of workers
// itself.
func TestSlowOwnerKeepsItsRelays(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	h := New(s.config("a", "127.0.0.1"))
	now := monotonicMS()
	r := h.relays
	r.links["relay"] = &relayLink{node: "relay", sending: true}
	r.calls[1] = &relayedCall{shard: &ownedShard{}, node: "relay", deadline: now + 1_000}
	r.expire(now)
	r.expire(now + 3_000)
	assert.Zero(t, r.links["relay"].suspendedUntil, "this node did not look for three seconds")
	for at := now + 3_050; at <= now+4_100; at += loopInterval.Milliseconds() {
		r.expire(at)
	}
	assert.NotZero(t, r.links["relay"].suspendedUntil, "the relay had its time since then")
}

// cancelPastRelays cancels a job of three tasks while the orders of all other nodes than
// the owner fail as set, and waits until the owner has stopped the tasks itself.
func cancelPastRelays(t *testing.T, fail func(*countedWorkers) *atomic.Bool) {
	t.Helper()
	r := newRelaySite(t)
	r.site.workers.RunTime = time.Minute
	owner, _ := r.owner(t)
	r.submit(t, 1, 1)
	require.Eventually(t, func() bool { return relayInUse(r.hosts[owner]) }, 5*time.Second, 20*time.Millisecond)
	for name, w := range r.workers {
		fail(w).Store(name != owner)
	}
	defer func() {
		for _, w := range r.workers {
			fail(w).Store(false)
		}
	}()
	cancelled := r.hosts["a"].Do(context.Background(), Request{Op: OpCancel, Service: "s", Queue: "q", ID: testJob(1).ID})
	require.Equal(t, Done, cancelled.Outcome)
	assert.Eventually(t, func() bool { return r.workers[owner].stopped.Load() >= 3 }, 5*time.Second, 20*time.Millisecond)
}

// The stop of a cancelled run was lost with a relay that kept its orders without a
// result.
func TestCancelReachesWorkersPastASilentRelay(t *testing.T) {
	cancelPastRelays(t, func(w *countedWorkers) *atomic.Bool { return &w.silent })
}

// A relay whose links to the workers were cut returned its failures in time, so that it
// was kept: a cancelled run went on until its lease expired, although its owner could
// reach the worker.
func TestCancelReachesWorkersPastARelayThatCannotReachThem(t *testing.T) {
	cancelPastRelays(t, func(w *countedWorkers) *atomic.Bool { return &w.cut })
}
