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
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
)

// configWith is a configuration whose queue "q" belongs to the given service.
func configWith(version int64, service string, pools ...string) *deps.Configuration {
	c := &deps.Configuration{Version: version,
		Routes: []deps.Route{{Host: "h", PathPrefix: "/q/", Queue: shard.Queue{Name: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}}}}
	for _, p := range pools {
		c.Pools = append(c.Pools, deps.Pool{Service: p})
	}
	return c
}

// submitAsConfigurationComes submits job i to the shard of "other" whose owner gets the configuration that
// moves the queue there between its look at the shard's queues and the submission to the core.
func submitAsConfigurationComes(t *testing.T, h *Host, i int) Result {
	t.Helper()
	held, release := make(chan struct{}), make(chan struct{})
	h.post(func() { close(held); <-release })
	<-held
	results := make(chan Result, 1)
	before := len(h.inbox)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		results <- h.doLocal(ctx, h.partitionOf("other"), Request{Op: OpSubmit, Service: "other", Queue: "q", ID: testJob(i).ID, Job: testJob(i)})
	}()
	require.Eventually(t, func() bool { return len(h.inbox) > before }, time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	h.post(func() { h.applyConfiguration(configWith(3, "other", "s", "other")) })
	close(release)
	return <-results
}

func bookOf(t *testing.T, h *Host) *homes.Book {
	t.Helper()
	book, err := h.homes.read(context.Background())
	require.NoError(t, err)
	return book
}

func movingSite(t *testing.T) (s movedQueueSite, current, late *Host) {
	s = newMovedQueueSite(t)
	var behind atomic.Bool
	current = s.run("a", "127.0.0.1", s.store)
	s.submit(current, 1)
	late = s.run("b", "127.0.0.2", storeBehind{s.store, &behind})
	require.Eventually(t, func() bool { return s.ask(late, OpShow, 1).Outcome == Done }, 10*time.Second, 50*time.Millisecond)
	behind.Store(true)
	require.NoError(t, s.store.Put(deps.TopicWorkers, "w-other", shard.Worker{ID: "w-other", Address: "w-other", Service: "other",
		Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", *configWith(2, "s", "s", "other")))
	require.Eventually(t, func() bool {
		o, ok := (*current.owners.Load())[current.partitionOf("other")]
		return ok && o.Node == "a"
	}, 10*time.Second, 20*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	return s, current, late
}

// A submission that passes shardHasQueue before the configuration comes is accepted after it, by a shard that isn't
// in the book of homes. A node with an older configuration then denies the acknowledged job, and its cancel has no effect.
func TestNoJobIsAcceptedByAShardThatIsNotInTheBook(t *testing.T) {
	_, current, late := movingSite(t)
	res := submitAsConfigurationComes(t, current, 5)
	t.Logf("submit: %+v; shards in the book: %v; shard of other: %d", res, bookOf(t, current).Shards("q"), current.partitionOf("other").Index)
	if res.Outcome != Done {
		return
	}
	assert.Contains(t, bookOf(t, current).Shards("q"), current.partitionOf("other").Index)
	require.Equal(t, int64(1), late.config.Load().Version)
	cancelled := late.Do(context.Background(), Request{Op: OpCancel, Service: "s", Queue: "q", ID: testJob(5).ID})
	assert.NotEqual(t, Missing, cancelled.Outcome, "an acknowledged job is denied, and its cancel counts")
}

// The same gap lets a job be in two shards: the earlier shard was not asked.
func TestJobIsInOneShardAsItsQueueMoves(t *testing.T) {
	s, current, _ := movingSite(t)
	require.Equal(t, Done, s.ask(current, OpSubmit, 6).Outcome)
	res := submitAsConfigurationComes(t, current, 6)
	t.Logf("second submit: %+v", res)
	in := 0
	require.NoError(t, current.runOnLoop(context.Background(), func() {
		for _, o := range current.owned {
			if o.core != nil && o.core.JobStatus(testJob(6).ID).Known {
				in++
			}
		}
	}))
	assert.Equal(t, 1, in, "shards that run the job")
}

// A submission whose caller has gone while the loop was busy skips the book, and is posted all the same.
func TestSubmissionThatIsGivenUpIsNotStored(t *testing.T) {
	s := newMovedQueueSite(t)
	h := s.run("a", "127.0.0.1", s.store)
	require.Eventually(t, func() bool { return s.ask(h, OpShow, 1).Outcome == Missing }, 20*time.Second, 50*time.Millisecond)
	require.Empty(t, bookOf(t, h).Shards("q"))
	held, release := make(chan struct{}), make(chan struct{})
	h.post(func() { close(held); <-release })
	<-held
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	res := h.doLocal(ctx, h.partitionOf("s"), Request{Op: OpSubmit, Service: "s", Queue: "q", ID: testJob(7).ID, Job: testJob(7)})
	assert.Equal(t, Unknown, res.Outcome)
	close(release)
	time.Sleep(500 * time.Millisecond)
	known := false
	require.NoError(t, h.runOnLoop(context.Background(), func() { known = h.owned[h.partitionOf("s")].core.JobStatus(testJob(7).ID).Known }))
	if known {
		assert.NotEmpty(t, bookOf(t, h).Shards("q"), "the job is stored by a shard that isn't in the book")
	}
}

// Event 631 was extended to tell who answers "missing"; the answer that goes out names nobody.
func TestMissingNamesTheOwnerThatAnswered(t *testing.T) {
	s := newMovedQueueSite(t)
	h := s.run("a", "127.0.0.1", s.store)
	s.submit(h, 1)
	res := s.ask(h, OpCancel, 99)
	require.Equal(t, Missing, res.Outcome)
	assert.Equal(t, "a", res.By.Node)
}

// The count of a queue whose earlier service was dropped: the shard gets no owner after its owner has gone.
func TestWaitingIsGivenAfterAServiceIsDropped(t *testing.T) {
	s := newMovedQueueSite(t)
	h := New(func() Config { c := s.config("a", "127.0.0.1"); c.Partitions = 64; return c }())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = h.Run(ctx) }()
	s.submit(h, 1)
	require.Eventually(t, func() bool { return s.ask(h, OpShow, 1).State.Final() || s.ask(h, OpCancel, 1).Outcome == Done }, 10*time.Second, 50*time.Millisecond)
	s.moveQueue()
	require.Eventually(t, func() bool { return h.config.Load().Version == 2 && s.ask(h, OpSubmit, 2).Outcome == Done }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, Done, s.ask(h, OpWaiting, 0).Outcome)
	cancel()
	<-h.HandedOver()
	defer h.Close()
	next := s.run("b", "127.0.0.2", s.store)
	require.Eventually(t, func() bool { return s.ask(next, OpSubmit, 2).Outcome == Done || s.ask(next, OpShow, 2).Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	for op, name := range map[Operation]string{OpWaiting: "waiting", OpShow: "show of an unknown job"} {
		began := time.Now()
		res := s.ask(next, op, 77)
		t.Logf("%s: %s %s after %v", name, res.Outcome, res.Reason, time.Since(began))
	}
	assert.Equal(t, Done, s.ask(next, OpWaiting, 0).Outcome)
}

// slowAppends delays the appends to shards.
type slowAppends struct {
	deps.Store
	delay  time.Duration
	on     *atomic.Bool
	writes *atomic.Int64
}

func (s slowAppends) Append(ctx context.Context, a deps.Append) error {
	if a.Partition.Topic == deps.TopicJobs {
		s.writes.Add(1)
		if s.on.Load() {
			time.Sleep(s.delay)
		}
	}
	return s.Store.Append(ctx, a)
}

// With many services and a store that takes a while, nobody ever learns that a job does not exist: the shards are asked
// one after the other, each with an append of its own.
func TestUnknownJobIsDeniedWithManyShards(t *testing.T) {
	s := newMovedQueueSite(t)
	var on atomic.Bool
	var writes atomic.Int64
	c := configWith(2, "s", "s", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "a10", "a11")
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", *c))
	h := s.run("a", "127.0.0.1", slowAppends{s.store, 250 * time.Millisecond, &on, &writes})
	s.submit(h, 1)
	require.Eventually(t, func() bool { return s.ask(h, OpShow, 9).Outcome == Missing }, 20*time.Second, 50*time.Millisecond)
	on.Store(true)
	time.Sleep(time.Second)
	for range 3 {
		began, before := time.Now(), writes.Load()
		res := s.ask(h, OpCancel, 9)
		t.Logf("%d shards, 250 ms an append: %s %s after %v, %d appends", len(h.requiredPartitions())-1, res.Outcome, res.Reason, time.Since(began), writes.Load()-before)
		assert.Equal(t, Missing, res.Outcome)
	}
}

// In a long outage of the store an owner does not know whether it was replaced. Callers were
// kept for 0.9 s before they were told.
func TestReadsAreAnsweredAtOnceInALongOutage(t *testing.T) {
	s := newTestSite(t, time.Minute)
	var cut atomic.Bool
	cfg := s.config("a", "127.0.0.1")
	cfg.Store = cutStore{s.store, &cut}
	h := runHost(t, cfg)
	require.Eventually(t, func() bool { return doJob(h, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	cut.Store(true)
	defer cut.Store(false)
	require.Eventually(t, func() bool { return sinceMS(h.confirmedHeartbeat.Load().sentAt) > leaseExtensionWindow }, 2*leaseExtensionWindow, 20*time.Millisecond)
	for _, op := range []Operation{OpShow, OpWaiting} {
		res := doJob(h, op, 1)
		assert.Equal(t, Unavailable, res.Outcome, opNames[op])
		assert.Equal(t, "ownership_expired", res.Reason, opNames[op])
	}
}

// The tasks of a job that is stored while it is looked for: "done" without the job.
func TestTasksOfAJobThatIsBeingStored(t *testing.T) {
	s := newMovedQueueSite(t)
	var on atomic.Bool
	var writes atomic.Int64
	h := s.run("a", "127.0.0.1", slowAppends{s.store, 250 * time.Millisecond, &on, &writes})
	s.submit(h, 1)
	on.Store(true)
	submitted := make(chan Result, 1)
	go func() { submitted <- s.ask(h, OpSubmit, 2) }()
	time.Sleep(100 * time.Millisecond)
	res := s.ask(h, OpTasks, 2)
	require.Equal(t, Done, (<-submitted).Outcome)
	t.Logf("tasks: %s %s", res.Outcome, res.State)
	if res.Outcome == Done {
		assert.Len(t, res.Jobs, 1)
	}
}

// A cancel of a job in another configured shard had no effect while the book of homes could
// not be read, although that shard could be asked.
func TestJobInAnotherConfiguredShardIsFoundWithoutTheBook(t *testing.T) {
	s := newMovedQueueSite(t)
	var away atomic.Bool
	h := s.run("a", "127.0.0.1", storeWithoutHomes{s.store, &away})
	s.submit(h, 1)
	s.moveQueue(deps.Pool{Service: "s"})
	require.Eventually(t, func() bool { return h.config.Load().Version == 2 && s.ask(h, OpSubmit, 2).Outcome == Done }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, Done, s.ask(h, OpShow, 1).Outcome)
	away.Store(true)
	res := s.ask(h, OpCancel, 1)
	assert.Equal(t, Done, res.Outcome, res.Reason)
}
