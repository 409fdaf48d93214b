package jobhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// site is a store with a configuration and two workers.
type site struct {
	store   *depstest.Store
	workers *depstest.Workers
}

func newSite(t *testing.T, runTime time.Duration) *site {
	t.Helper()
	s := &site{store: depstest.NewStore(), workers: depstest.NewWorkers(runTime)}
	put := func(topic deps.Topic, key string, value any) { require.NoError(t, s.store.Put(topic, key, value)) }
	put(deps.TopicOperator, "config", deps.Configuration{Version: 1,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  []deps.Pool{{Service: "s"}}})
	for i := range 2 {
		id := fmt.Sprintf("w-%d", i)
		put(deps.TopicWorkers, id, shard.Worker{ID: id, Address: id, Service: "s", Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Born: time.Now().UnixMilli()})
	}
	return s
}

func (s *site) config(name, ip string) Config {
	return Config{
		Node: name, Zone: "z", IP: ip, PeerPort: 17_660, Partitions: 4, MaxLeaseMS: 6_000, StatusKeepMS: 60_000,
		HolderGapMS: 3_000, Grace: 3 * time.Second, PeerKey: []byte("a key that all nodes of the test share"),
		Store: s.store, Workers: s.workers, VMs: depstest.VMs{}, Codec: depstest.Codec{},
	}
}

// Two nodes that take one partition over in the same moment must not both
// succeed, although the store answers a repeated append like the first.
func TestOnlyOneNodeTakesAPartition(t *testing.T) {
	s := newSite(t, time.Millisecond)
	for round := range 200 {
		p := deps.Partition{Topic: deps.TopicJobs, Index: round % 4}
		hosts := []*Host{New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2"))}
		errs := make([]error, len(hosts))
		results := make([]taken, len(hosts))
		var wait sync.WaitGroup
		for i, h := range hosts {
			wait.Go(func() {
				results[i], errs[i] = h.take(context.Background(), p, int64(round), map[string]bool{"a": true, "b": true}, nil)
			})
		}
		wait.Wait()
		if errs[0] == nil && errs[1] == nil {
			require.NotEqual(t, results[0].epoch, results[1].epoch)
			older := min(results[0].epoch, results[1].epoch)
			err := s.store.Append(context.Background(), deps.Append{Partition: p, Records: []shard.Record{{Key: "k", Value: []byte{1}}}, Fence: &deps.Fence{Epoch: older, Sequence: 2}})
			require.Equal(t, deps.KindFenced, deps.KindOf(err), "the earlier owner must be fenced")
		}
	}
}

func TestEpochsOfOneMillisecondDiffer(t *testing.T) {
	same := 0
	for range 1000 {
		first, second := newEpoch(), newEpoch()
		if first == second {
			same++
		}
	}
	assert.Less(t, same, 20)
}

// After a gap in its heartbeats a node has to prove its shards anew.
func TestAGapInTheHeartbeatsEndsTheRight(t *testing.T) {
	h := New(newSite(t, time.Millisecond).config("a", "127.0.0.1"))
	now := steadyMS()
	s := &ownedShard{}
	s.provenAt.Store(now - 10_000)
	h.heartbeat.Store(&confirmed{sentAt: now - 1_000, chainStart: now - 11_000})
	_, proven := h.right(s)
	require.True(t, proven)

	h.confirm(now)
	_, proven = h.right(s)
	assert.True(t, proven, "an unbroken chain keeps the right")

	h.heartbeat.Store(&confirmed{sentAt: now - startRight.Milliseconds() - 1, chainStart: now - 11_000})
	h.confirm(now)
	_, proven = h.right(s)
	assert.False(t, proven, "a gap ends it")
	s.provenAt.Store(steadyMS())
	_, proven = h.right(s)
	assert.True(t, proven, "a fenced append brings it back")
}

// After an outage of the store, silent nodes are not taken for dead at once.
func TestSilenceDuringOnesOwnGapIsNotDeath(t *testing.T) {
	h := New(newSite(t, time.Millisecond).config("a", "127.0.0.1"))
	now := steadyMS()
	other := &nodeView{record: heartbeatRecord{Node: "b", Boot: 1}, changedAt: now - 10_000}
	h.heartbeat.Store(&confirmed{sentAt: now, chainStart: now - 100})
	assert.True(t, h.present(other, now))
	h.heartbeat.Store(&confirmed{sentAt: now, chainStart: now - 10_000})
	assert.False(t, h.present(other, now))
	other.record.Leaving = true
	h.heartbeat.Store(&confirmed{sentAt: now, chainStart: now - 100})
	assert.False(t, h.present(other, now), "a node that said it leaves is gone")
}

func testJob(i int) *spec.Job {
	return &spec.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []spec.Step{
		{Count: 3, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 50},
		{Count: 2, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 50, After: []int{0}},
	}}
}

// Jobs are accepted at any node, survive a stop of the owner, and end.
func TestJobsSurviveAHandOver(t *testing.T) {
	s := newSite(t, 300*time.Millisecond)
	ctx := context.Background()
	hosts := map[string]*Host{}
	stops := map[string]context.CancelFunc{}
	for name, ip := range map[string]string{"a": "127.0.0.1", "b": "127.0.0.2"} {
		h := New(s.config(name, ip))
		runCtx, cancel := context.WithCancel(ctx)
		hosts[name], stops[name] = h, cancel
		go func() { assert.NoError(t, h.Run(runCtx)) }()
	}
	request := func(h *Host, op Operation, i int) Result {
		return h.Do(ctx, Request{Op: op, Service: "s", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
	}
	require.Eventually(t, func() bool { return request(hosts["a"], OpSubmit, 1).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	require.Equal(t, Done, request(hosts["b"], OpSubmit, 1).Outcome, "the same job at another node")

	owner := (*hosts["a"].owners.Load())[hosts["a"].partitionOf("s")].Node
	other := map[string]string{"a": "b", "b": "a"}[owner]
	stops[owner]()
	<-hosts[owner].Left()
	require.Eventually(t, func() bool { return request(hosts[other], OpShow, 1).State == spec.Completed }, 30*time.Second, 50*time.Millisecond)
	assert.Equal(t, Done, request(hosts[owner], OpSubmit, 2).Outcome, "a node that leaves passes on")
	assert.Equal(t, Missing, request(hosts[other], OpShow, 99).Outcome)
	assert.Empty(t, s.workers.ConcurrentRuns)
	stops[other]()
	hosts[owner].Close()
	<-hosts[other].Left()
	hosts[other].Close()
}

// A process that starts after its VM's clock was set back must still be newer
// than the one before it.
func TestALaterProcessHasAHigherBootAfterAClockStep(t *testing.T) {
	s := newSite(t, time.Millisecond)
	ahead := time.Now().Add(time.Hour).UnixNano()
	value, err := encMode.Marshal(heartbeatRecord{Node: "a", Boot: ahead, Sequence: 9})
	require.NoError(t, err)
	require.NoError(t, s.store.Append(context.Background(), deps.Append{Partition: nodesPartition, Records: []shard.Record{{Key: "a", Value: value}}}))
	assert.Greater(t, NextBoot(context.Background(), s.store, "a"), ahead)
	assert.Positive(t, NextBoot(context.Background(), s.store, "b"))
	s.store.Fail = nil
}

// A worker that was empty when an owner that has since left reported it may
// have work from the next owner: acts need a report of their own round.
func TestActsNeedAReportOfTheirRound(t *testing.T) {
	h := New(newSite(t, time.Millisecond).config("a", "127.0.0.1"))
	d := newFleetDuty(h, &ownedShard{})
	now := steadyMS()
	d.vms["vm"] = deps.VM{ID: "vm", Pool: "s", Worker: "w"}
	d.reports["w"] = workerReport{shard.WorkerStat{ID: "w", Empty: true}, now - 200}
	assert.True(t, d.cleared(d.vms["vm"], now), "good enough to plan on")
	assert.False(t, d.clearedSince("vm", now), "too old to act on")
	d.reports["w"] = workerReport{shard.WorkerStat{ID: "w", Empty: true}, now + 5}
	assert.True(t, d.clearedSince("vm", now))
	d.reports["w"] = workerReport{shard.WorkerStat{ID: "w"}, now + 5}
	assert.False(t, d.clearedSince("vm", now), "the next owner has no cordon yet")
}

// silentStore never answers a read and notes how long it may take.
type silentStore struct {
	*depstest.Store
	within chan time.Duration
}

func (s silentStore) Read(ctx context.Context, _ deps.Partition, from int64, _ time.Duration) ([]shard.Record, int64, error) {
	deadline, _ := ctx.Deadline()
	s.within <- time.Until(deadline)
	return nil, from, &deps.Error{Kind: deps.KindUnknown, Call: "read"}
}

// A connection may go silent for good. The read of the configuration must be
// given up early enough that the next one is in time for the two seconds in
// which a configuration has to be in force.
func TestASilentReadOfTheConfigurationIsGivenUpInTime(t *testing.T) {
	s := newSite(t, time.Millisecond)
	store := silentStore{s.store, make(chan time.Duration, 1)}
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = store
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := New(cfg)
	go h.followOperator(ctx)
	go func() {
		for f := range h.inbox {
			f()
		}
	}()
	const inForceWithin = 2 * time.Second
	assert.Less(t, <-store.within+readRetry, inForceWithin-400*time.Millisecond)
}

// A queue may move to another service. Its jobs of before are still known,
// can be cancelled, and are not accepted a second time.
func TestJobsOfAQueueThatMovesAreStillFound(t *testing.T) {
	s := newSite(t, time.Second)
	cfg := s.config("a", "127.0.0.1")
	cfg.Partitions = 64
	h := New(cfg)
	require.NotEqual(t, h.partitionOf("s"), h.partitionOf("other"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.Left(); h.Close() }()
	ask := func(op Operation, service string) Result {
		return h.Do(ctx, Request{Op: op, Service: service, Queue: "q", ID: testJob(1).ID, Job: testJob(1)})
	}
	require.Eventually(t, func() bool { return ask(OpSubmit, "s").Outcome == Done }, 20*time.Second, 50*time.Millisecond)

	require.NoError(t, s.store.Put(deps.TopicOperator, "config", deps.Configuration{Version: 2,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "other", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  []deps.Pool{{Service: "s"}, {Service: "other"}}}))
	require.Eventually(t, func() bool { return h.config.Load().Version == 2 }, 5*time.Second, 10*time.Millisecond)

	require.Eventually(t, func() bool { return ask(OpShow, "other").Outcome == Done }, 10*time.Second, 50*time.Millisecond)
	again := ask(OpSubmit, "other")
	assert.Equal(t, Done, again.Outcome)
	assert.Equal(t, "accepted_before_the_queue_moved", again.Reason)
	assert.Equal(t, Done, ask(OpCancel, "other").Outcome)
	assert.Equal(t, spec.Cancelled, ask(OpShow, "other").State)
	missing := h.Do(ctx, Request{Op: OpShow, Service: "other", Queue: "q", ID: testJob(2).ID})
	assert.Equal(t, Missing, missing.Outcome)
}
