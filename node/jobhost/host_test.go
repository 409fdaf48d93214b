package jobhost

import (
	"context"
	"fmt"
	"net"
	"strconv"
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

// testSite is a store with a configuration and two workers.
type testSite struct {
	store    *depstest.Store
	workers  *depstest.Workers
	peerPort int
}

// freePort returns a port that no process uses on the loopback addresses of the
// tests.
func freePort(t testing.TB) int {
	t.Helper()
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func newTestSite(t *testing.T, runTime time.Duration) *testSite {
	t.Helper()
	s := &testSite{store: depstest.NewStore(), workers: depstest.NewWorkers(runTime), peerPort: freePort(t)}
	put := func(topic deps.Topic, key string, value any) { require.NoError(t, s.store.Put(topic, key, value)) }
	put(deps.TopicOperator, "config", deps.Configuration{Version: 1,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  []deps.Pool{{Service: "s"}}})
	for i := range 2 {
		id := fmt.Sprintf("w-%d", i)
		put(deps.TopicWorkers, id, shard.Worker{ID: id, Address: id, Service: "s", Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()})
	}
	return s
}

func (s *testSite) config(name, ip string) Config {
	return Config{
		Node: name, Zone: "z", IP: ip, PeerPort: s.peerPort, Partitions: 4, MaxLeaseMS: 6_000, StatusRetentionMS: 60_000,
		TakeoverGapMS: 3_000, ShutdownGrace: 3 * time.Second, PeerKey: []byte("a key that all nodes of the test share"),
		Store: s.store, Workers: s.workers, VMs: depstest.VMs{}, Codec: depstest.Codec{},
	}
}

// takeOver reads a partition and claims it by what is known of the other nodes.
func (h *Host) takeOver(ctx context.Context, p deps.Partition, seen observation) (takenPartition, error) {
	t, err := h.readPartition(ctx, p)
	if err != nil {
		return t, err
	}
	return h.claim(ctx, t, seen)
}

// Two nodes that take over one partition at the same time must not both
// succeed, although the store answers a repeated append like the first one.
func TestConcurrentTakeoversLeaveOneOwner(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	for round := range 200 {
		p := deps.Partition{Topic: deps.TopicJobs, Index: round % 4}
		hosts := []*Host{New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2"))}
		errs := make([]error, len(hosts))
		results := make([]takenPartition, len(hosts))
		var wait sync.WaitGroup
		for i, h := range hosts {
			wait.Go(func() {
				results[i], errs[i] = h.takeOver(context.Background(), p, observation{knownEpoch: int64(round), deadNodes: map[string]bool{"a": true, "b": true}})
			})
		}
		wait.Wait()
		if errs[0] == nil && errs[1] == nil {
			require.NotEqual(t, results[0].epoch, results[1].epoch)
			older := min(results[0].epoch, results[1].epoch)
			err := s.store.Append(context.Background(), deps.Append{Partition: p, Records: []shard.Record{{Key: "k", Value: []byte{1}}}, Fence: &deps.Fence{Epoch: older, Sequence: 2}})
			require.Equal(t, deps.KindFenced, deps.KindOf(err), "the owner with the older epoch must be fenced")
		}
	}
}

func TestEpochsWithinOneMillisecondDiffer(t *testing.T) {
	same := 0
	for range 1000 {
		first, second := newEpoch(), newEpoch()
		if first == second {
			same++
		}
	}
	assert.Less(t, same, 20)
}

// After a gap in its heartbeats a node must verify the ownership of its shards
// again.
func TestHeartbeatGapRequiresNewVerification(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	now := monotonicMS()
	s := &ownedShard{}
	s.verifiedAt.Store(now - 10_000)
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - 1_000, chainStart: now - 11_000})
	_, verified := h.verifiedHeartbeat(s)
	require.True(t, verified)

	h.confirmHeartbeat(now)
	_, verified = h.verifiedHeartbeat(s)
	assert.True(t, verified, "an unbroken chain of heartbeats keeps the verification")

	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - startWindow.Milliseconds() - 1, chainStart: now - 11_000})
	h.confirmHeartbeat(now)
	_, verified = h.verifiedHeartbeat(s)
	assert.False(t, verified, "a gap requires a new verification")
	s.verifiedAt.Store(monotonicMS())
	_, verified = h.verifiedHeartbeat(s)
	assert.True(t, verified, "a fenced append verifies the ownership again")
}

// After an outage of the store, silent nodes are not presumed dead immediately.
func TestNodesArePresumedAliveAfterOwnHeartbeatGap(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	now := monotonicMS()
	h.nodesReadAt = now
	other := &nodeState{record: heartbeatRecord{Node: "b", Incarnation: 1}, heartbeatAt: now - 10_000}
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now, chainStart: now - 100})
	assert.True(t, h.presumedAlive(other, now))
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now, chainStart: now - 10_000})
	assert.False(t, h.presumedAlive(other, now))
	other.record.Leaving = true
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now, chainStart: now - 100})
	assert.False(t, h.presumedAlive(other, now), "a leaving node is not presumed alive")
}

func testJob(i int) *spec.Job {
	return &spec.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []spec.Step{
		{Count: 3, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 50},
		{Count: 2, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 50, After: []int{0}},
	}}
}

// Jobs are accepted on any node, survive a graceful stop of the owner, and
// complete.
func TestJobsSurviveHandover(t *testing.T) {
	s := newTestSite(t, 300*time.Millisecond)
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
	require.Equal(t, Done, request(hosts["b"], OpSubmit, 1).Outcome, "the same job on another node")

	owner := (*hosts["a"].owners.Load())[hosts["a"].partitionOf("s")].Node
	other := map[string]string{"a": "b", "b": "a"}[owner]
	stops[owner]()
	<-hosts[owner].HandedOver()
	require.Eventually(t, func() bool { return request(hosts[other], OpShow, 1).State == spec.Completed }, 30*time.Second, 50*time.Millisecond)
	assert.Equal(t, Done, request(hosts[owner], OpSubmit, 2).Outcome, "a leaving node forwards requests")
	assert.Equal(t, Missing, request(hosts[other], OpShow, 99).Outcome)
	assert.Empty(t, s.workers.ConcurrentRuns)
	stops[other]()
	hosts[owner].Close()
	<-hosts[other].HandedOver()
	hosts[other].Close()
}

// A process that starts after the clock of its VM was set back must still get a
// higher incarnation than its predecessor.
func TestIncarnationGrowsAfterClockStepsBack(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	ahead := time.Now().Add(time.Hour).UnixNano()
	value, err := encMode.Marshal(heartbeatRecord{Node: "a", Incarnation: ahead, Sequence: 9})
	require.NoError(t, err)
	require.NoError(t, s.store.Append(context.Background(), deps.Append{Partition: nodesPartition, Records: []shard.Record{{Key: "a", Value: value}}}))
	assert.Greater(t, NextIncarnation(context.Background(), s.store, "a"), ahead)
	assert.Positive(t, NextIncarnation(context.Background(), s.store, "b"))
	s.store.Fail = nil
}

// A worker that a previous owner of its shard reported as empty may have got
// work from the next owner. Actions on its VM need a report from the same
// planning round.
func TestActionsNeedReportOfSameRound(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	c := newFleetController(h, &ownedShard{})
	now := monotonicMS()
	c.vms["vm"] = deps.VM{ID: "vm", Pool: "s", Worker: "w"}
	c.workerReports["w"] = workerReport{WorkerStat: shard.WorkerStat{ID: "w", Drained: true}, at: now - 200}
	assert.True(t, c.drained(c.vms["vm"], now), "recent enough for planning")
	assert.False(t, c.drainedSince("vm", now), "too old for an action")
	c.workerReports["w"] = workerReport{WorkerStat: shard.WorkerStat{ID: "w", Drained: true}, at: now + 5}
	assert.True(t, c.drainedSince("vm", now))
	c.workerReports["w"] = workerReport{WorkerStat: shard.WorkerStat{ID: "w"}, at: now + 5}
	assert.False(t, c.drainedSince("vm", now), "the next owner has no cordon yet")
}

// unansweredStore leaves each read unanswered and records its timeout.
type unansweredStore struct {
	*depstest.Store
	timeouts chan time.Duration
}

func (s unansweredStore) Read(ctx context.Context, _ deps.Partition, from int64, _ time.Duration) ([]shard.Record, int64, error) {
	deadline, _ := ctx.Deadline()
	s.timeouts <- time.Until(deadline)
	return nil, from, &deps.Error{Kind: deps.KindUnknown, Call: "read"}
}

// A connection may go silent for good. An unanswered read of the configuration
// must be abandoned early enough that the next read is in time for the two
// seconds within which a configuration must be in force.
func TestUnansweredConfigurationReadTimesOutInTime(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	store := unansweredStore{s.store, make(chan time.Duration, 1)}
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
	assert.Less(t, <-store.timeouts+readRetryDelay, inForceWithin-400*time.Millisecond)
}

// A queue may move to another service. Its earlier jobs must still be found,
// can be cancelled, and are not accepted a second time.
func TestJobsAreFoundAfterQueueMovesToOtherService(t *testing.T) {
	s := newTestSite(t, time.Second)
	cfg := s.config("a", "127.0.0.1")
	cfg.Partitions = 64
	h := New(cfg)
	require.NotEqual(t, h.partitionOf("s"), h.partitionOf("other"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
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

// A queue moves, and a node that has seen only the newer configuration gets a
// submission that was answered before. It knew no earlier shard, so that the whole job
// ran again (review/3).
func TestJobRunsOnceAfterQueueMovesAndNodeRestarts(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	cfg := s.config("a", "127.0.0.1")
	cfg.Partitions = 64
	run := func() (h *Host, stop func()) {
		h = New(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); assert.NoError(t, h.Run(ctx)) }()
		return h, func() { cancel(); <-h.HandedOver(); h.Close(); <-ended }
	}
	ask := func(h *Host, op Operation, service string) Result {
		return h.Do(context.Background(), Request{Op: op, Service: service, Queue: "q", ID: testJob(1).ID, Job: testJob(1)})
	}
	h, stop := run()
	require.Eventually(t, func() bool { return ask(h, OpSubmit, "s").Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return ask(h, OpShow, "s").State == spec.Completed }, 20*time.Second, 50*time.Millisecond)
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", deps.Configuration{Version: 2,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "other", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}},
		Pools:  []deps.Pool{{Service: "s"}, {Service: "other"}}}))
	require.NoError(t, s.store.Put(deps.TopicWorkers, "w-other", shard.Worker{ID: "w-other", Address: "w-other", Service: "other", Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	stop()
	h, stop = run()
	defer stop()
	var again Result
	require.Eventually(t, func() bool { again = ask(h, OpSubmit, "other"); return again.Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, "accepted_before_the_queue_moved", again.Reason)
	time.Sleep(300 * time.Millisecond)
	for key, n := range s.workers.StartCounts() {
		assert.Equal(t, 1, n, "%+v", key)
	}
}

// A shard that is asked for a job it does not have must not accept it from a node
// with an older configuration afterwards.
func TestJobIsAcceptedByOneShardOnly(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	h := New(s.config("a", "127.0.0.1"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	ask := func(op Operation, i int) Result {
		return h.Do(ctx, Request{Op: op, Service: "s", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
	}
	require.Eventually(t, func() bool { return ask(OpSubmit, 1).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, Done, ask(OpYield, 1).Outcome)
	assert.Equal(t, Missing, ask(OpYield, 2).Outcome)
	assert.Equal(t, Unknown, ask(OpSubmit, 2).Outcome)
	assert.Equal(t, Missing, ask(OpShow, 2).Outcome)
	assert.Equal(t, Done, ask(OpSubmit, 3).Outcome)
}

// Jobs that are accepted without the book of homes may run twice, and a refusal may be
// false: an earlier shard may have the job.
func TestSubmissionsAreNotDecidedWithoutTheBookOfHomes(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	s.store.Fail = func(a deps.Append) error {
		if a.Topic == deps.TopicHomes {
			return &deps.Error{Kind: deps.KindRefused, Call: "append"}
		}
		return nil
	}
	h := New(s.config("a", "127.0.0.1"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	var res Result
	require.Eventually(t, func() bool {
		res = h.Do(ctx, Request{Op: OpSubmit, Service: "s", Queue: "q", ID: testJob(1).ID, Job: testJob(1)})
		return res.Reason == "queue_home_unknown"
	}, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, Unknown, res.Outcome)
	assert.Empty(t, s.workers.StartCounts())
}

// A node that had lost its shard read the book of homes for submissions that were still
// forwarded to it. While the store was away it answered that nobody knows, and the
// callers were not sent on to the next owner.
func TestFormerOwnerSendsSubmissionsOn(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	var away atomic.Bool
	away.Store(true)
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = storeWithoutHomes{s.store, &away}
	h := New(cfg)
	res, answered := h.askEarlierHomes(context.Background(), h.partitionOf("s"), Request{Op: OpSubmit, Queue: "q", ID: testJob(1).ID})
	require.True(t, answered)
	assert.Equal(t, notOwner, res.Outcome)
}

// The book is read with a takeover, when the store answers, and not only when the first
// submission comes.
func TestBookOfHomesIsReadWithTheTakeover(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	h := New(s.config("a", "127.0.0.1"))
	home := homes.Home{Queue: "q", Shard: h.partitionOf("s").Index, SinceMS: 1}
	value, err := home.Encode()
	require.NoError(t, err)
	require.NoError(t, s.store.Append(context.Background(), deps.Append{Partition: homesPartition, Records: []shard.Record{{Key: home.Key(), Value: value}}}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	assert.Eventually(t, func() bool {
		_, ok, err := h.homes.fromCopy("q", h.partitionOf("s"), true)
		return ok && err == nil && h.homes.ownsShard(h.partitionOf("s"))
	}, 20*time.Second, 20*time.Millisecond)
}

// A submission that arrives again is answered by the shard that has the job, although
// the book of homes can't be read after a change of the configuration.
func TestKnownJobNeedsNoBookOfHomes(t *testing.T) {
	s := newTestSite(t, 20*time.Millisecond)
	var away atomic.Bool
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = storeWithoutHomes{s.store, &away}
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	ask := func(i int) Result {
		return h.Do(ctx, Request{Op: OpSubmit, Service: "s", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
	}
	require.Eventually(t, func() bool { return ask(1).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	away.Store(true)
	next := *h.config.Load()
	next.Version++
	h.config.Store(&next)
	assert.Equal(t, Done, ask(1).Outcome)
	assert.Equal(t, "queue_home_unknown", ask(2).Reason)
	away.Store(false)
	require.Eventually(t, func() bool { return ask(2).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
}

// Jobs that wait in the shard from which their queue has moved were not counted.
func TestWaitingJobsAreCountedInEarlierShards(t *testing.T) {
	s := newTestSite(t, time.Hour)
	cfg := s.config("a", "127.0.0.1")
	cfg.Partitions = 64
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	ask := func(op Operation, service string, i, tasks int) Result {
		job := &spec.Job{ID: testJob(i).ID, Queue: "q", Steps: []spec.Step{{Count: tasks, Need: spec.Resources{MilliCPU: 16_000}, EstimateMS: 50}}}
		return h.Do(ctx, Request{Op: op, Service: service, Queue: "q", ID: job.ID, Job: job, Limit: 10})
	}
	require.Eventually(t, func() bool { return ask(OpSubmit, "s", 1, 2).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	require.Equal(t, Done, ask(OpSubmit, "s", 2, 1).Outcome)
	require.Eventually(t, func() bool { return ask(OpWaiting, "s", 0, 1).Waiting == 1 }, 20*time.Second, 10*time.Millisecond, "a worker has begun the first job")
	next := *h.config.Load()
	next.Version++
	next.Routes = []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: "other", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}}
	next.Pools = []deps.Pool{{Service: "s"}, {Service: "other"}}
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", next))
	require.Eventually(t, func() bool { return ask(OpWaiting, "other", 0, 1).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, 1, ask(OpWaiting, "other", 0, 1).Waiting)
	assert.Len(t, ask(OpList, "other", 0, 1).Jobs, 2)
	assert.Equal(t, 1, ask(OpWaiting, "s", 0, 1).Waiting, "a node with the older configuration")
}

// storeWithoutHomes does not answer reads of the book of homes while it is away.
type storeWithoutHomes struct {
	*depstest.Store
	away *atomic.Bool
}

func (s storeWithoutHomes) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	if p == homesPartition && s.away.Load() {
		return deps.Snapshot{}, &deps.Error{Kind: deps.KindRefused, Call: "newest"}
	}
	return s.Store.Newest(ctx, p)
}

// A host whose port is taken must not leave its caller waiting for the hand-over
// of shards that it never had.
func TestFailedRunHandsOver(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	cfg := s.config("a", "127.0.0.1")
	taken, err := net.Listen("tcp", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort)))
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	h := New(cfg)
	require.Error(t, h.Run(context.Background()))
	select {
	case <-h.HandedOver():
	case <-time.After(5 * time.Second):
		t.Fatal("the host never reports that it has handed over")
	}
}

// The actions of two fleet controllers on a VM must be further apart than the
// longest call of the first, whatever the settings say.
func TestTakeoverGapCoversALateAction(t *testing.T) {
	cfg := newTestSite(t, time.Millisecond).config("a", "127.0.0.1")
	cfg.TakeoverGapMS = 0
	assert.GreaterOrEqual(t, New(cfg).cfg.TakeoverGapMS, actionTimeout.Milliseconds())
	cfg.TakeoverGapMS = 3_000
	assert.Equal(t, int64(3_000), New(cfg).cfg.TakeoverGapMS)
}

// An input that meets a defect must not end the process. The shards may be
// damaged, so they are restored from the store, with the jobs in them.
func TestPanicInControlLoopIsContained(t *testing.T) {
	s := newTestSite(t, 50*time.Millisecond)
	h := New(s.config("a", "127.0.0.1"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { assert.NoError(t, h.Run(ctx)) }()
	defer func() { cancel(); <-h.HandedOver(); h.Close() }()
	ask := func(op Operation) Result {
		return h.Do(ctx, Request{Op: op, Service: "s", Queue: "q", ID: testJob(1).ID, Job: testJob(1)})
	}
	require.Eventually(t, func() bool { return ask(OpSubmit).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	h.post(func() { panic("a malformed input") })
	require.Eventually(t, func() bool { return ask(OpShow).State == spec.Completed }, 20*time.Second, 50*time.Millisecond)
	assert.Empty(t, s.workers.ConcurrentRuns)
}

// Callers whose request was forwarded to an owner behind a cut waited 1.8 s and
// were told that the outcome is unknown, although the next owner could answer from
// the records after a third of that.
func TestForwardingEndsWhenTheOwnerIsReplaced(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	former := ownership{Topic: int(part.Topic), Index: part.Index, Epoch: 5, Node: "behind the cut"}
	h.owners.Store(&map[deps.Partition]ownership{part: former})
	ctx, stop := h.untilOwnerChanges(context.Background(), part, former)
	defer stop()
	select {
	case <-ctx.Done():
		t.Fatal("the owner is the same")
	case <-time.After(3 * ownerCheckInterval):
	}
	next := former
	next.Epoch, next.Node = 6, "b"
	h.owners.Store(&map[deps.Partition]ownership{part: next})
	select {
	case <-ctx.Done():
		assert.ErrorIs(t, context.Cause(ctx), errOwnerChanged)
	case <-time.After(5 * time.Second):
		t.Fatal("the call goes on although the owner was replaced")
	}
}

// A submission that a former owner may have stored must not be reported as
// without effect when no later owner answers.
func TestSubmissionToAFormerOwnerIsNotReportedAsRefused(t *testing.T) {
	assert.Equal(t, Unknown, giveUpResult(true, "owner_unreachable").Outcome)
	assert.Equal(t, Unavailable, giveUpResult(false, "no_owner").Outcome)
}
