package jobhost

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
)

// keySite is a site whose configuration has the customers red and blue.
type keySite struct{ movedQueueSite }

// newKeySite returns a site where the given keys are in force. The customer of a key is
// what precedes its dash.
func newKeySite(t *testing.T, keys ...string) keySite {
	s := keySite{movedQueueSite{newTestSite(t, time.Hour), t}}
	s.configure(2, "s", keys...)
	return s
}

func (s keySite) configure(version int64, service string, keys ...string) {
	cfg := configWith(version, service, "s", "other")
	for _, name := range []string{"red", "blue"} {
		c := deps.Customer{Customer: customer.Customer{Name: name, Weight: 1}}
		for _, key := range keys {
			if len(key) > len(name) && key[:len(name)] == name {
				c.Keys = append(c.Keys, customer.DigestKey(key))
			}
		}
		cfg.Customers = append(cfg.Customers, c)
	}
	require.NoError(s.t, s.store.Put(deps.TopicOperator, "config", *cfg))
}

// admit returns a call's request, as a node admits it.
func (s keySite) admit(h *Host, op Operation, i int, key string) (Request, bool) {
	route, found := h.Route("h", "/q/"+testJob(i).ID)
	if found != RouteFound {
		return Request{}, false
	}
	r := Request{Op: op, Service: route.Queue.Service, Queue: route.Queue.Name, ID: testJob(i).ID}
	if op == OpSubmit {
		r.Job = testJob(i)
	}
	return r, h.Authenticate(&r, route, key)
}

func (s keySite) call(h *Host, op Operation, i int, key string) Result {
	r, ok := s.admit(h, op, i, key)
	if !ok {
		return Result{Outcome: Unauthorized}
	}
	return h.Do(context.Background(), r)
}

// runOwner starts a node that owns the shards and has accepted job 1 of red.
func (s keySite) runOwner(store deps.Store) *Host {
	h := s.run("a", "127.0.0.1", store)
	require.Eventually(s.t, func() bool { return s.call(h, OpSubmit, 1, "red-1").Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	return h
}

// runFront starts a node that forwards to the owner.
func (s keySite) runFront(store deps.Store) *Host {
	h := s.run("b", "127.0.0.2", store)
	require.Eventually(s.t, func() bool { return s.call(h, OpShow, 1, "red-1").Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	return h
}

func inForce(t *testing.T, h *Host, version int64) {
	require.Eventually(t, func() bool { return h.config.Load().Version == version }, 10*time.Second, 10*time.Millisecond)
}

var callerOps = []Operation{OpSubmit, OpShow, OpWaiting, OpCancel}

// A request ran whose key no configuration ever held.
func TestCallsWithoutAValidKeyAreRefused(t *testing.T) {
	s := newKeySite(t, "red-1", "blue-1")
	h := s.runOwner(s.store)
	for _, key := range []string{"", "red-2", "RED-1", "red-1 "} {
		for _, op := range callerOps {
			assert.Equal(t, Unauthorized, s.call(h, op, 2, key).Outcome, "%s with %q", opNames[op], key)
		}
	}
	assert.Equal(t, map[string]int64{reasonKeyMissing: 4, reasonKeyUnknown: 12}, h.stats.refusals.snapshot())
	operators := h.Do(context.Background(), Request{Op: OpShow, Service: "s", Queue: "q", ID: testJob(2).ID})
	assert.Equal(t, Missing, operators.Outcome, "nothing is stored")
}

// A node whose configuration is behind admits a key that was taken away. The owner, which
// has the newer one, refuses it.
func TestOwnerRefusesAKeyThatWasTakenAway(t *testing.T) {
	s := newKeySite(t, "red-1", "blue-1")
	var behind atomic.Bool
	owner := s.runOwner(s.store)
	front := s.runFront(storeBehind{s.store, &behind})
	behind.Store(true)
	s.configure(3, "s", "blue-1")
	inForce(t, owner, 3)
	for _, op := range callerOps {
		require.Equal(t, int64(2), front.config.Load().Version)
		res := s.call(front, op, 2, "red-1")
		assert.Equal(t, Unauthorized, res.Outcome, "%s: %+v", opNames[op], res)
		assert.Equal(t, Unauthorized, s.call(owner, op, 2, "red-1").Outcome, opNames[op])
	}
	assert.Equal(t, Done, s.call(front, OpSubmit, 3, "blue-1").Outcome, "the other customer's key holds")
	assert.Equal(t, Unauthorized, s.call(front, OpCancel, 1, "red-1").Outcome)
	state := owner.Do(context.Background(), Request{Op: OpShow, Service: "s", Queue: "q", ID: testJob(1).ID})
	assert.False(t, state.State.Final(), "the job runs on")
}

// A key that was just added is refused nowhere because the owner's configuration is older.
func TestOlderOwnerAcceptsAKeyThatWasAdded(t *testing.T) {
	s := newKeySite(t, "red-1")
	var behind atomic.Bool
	owner := s.runOwner(storeBehind{s.store, &behind})
	front := s.runFront(s.store)
	behind.Store(true)
	s.configure(3, "s", "red-1", "blue-1")
	inForce(t, front, 3)
	require.Equal(t, Done, s.call(front, OpSubmit, 2, "blue-1").Outcome)
	assert.Equal(t, Done, s.call(front, OpShow, 2, "blue-1").Outcome)
	assert.Equal(t, Missing, s.call(front, OpShow, 2, "red-1").Outcome, "the job is blue's at the owner, too")
	assert.Equal(t, int64(2), owner.config.Load().Version)
}

// A body may come so slowly that the key is taken away meanwhile.
func TestKeyIsCheckedAgainAfterTheBodyWasRead(t *testing.T) {
	s := newKeySite(t, "red-1", "blue-1")
	h := s.runOwner(s.store)
	r, ok := s.admit(h, OpSubmit, 2, "red-1")
	require.True(t, ok)
	s.configure(3, "s", "blue-1")
	inForce(t, h, 3)
	assert.Equal(t, Unauthorized, h.Do(context.Background(), r).Outcome)
	assert.Equal(t, int64(1), h.stats.refusals.snapshot()[reasonKeyRemoved])
}

// A node that starts while the store is away knows no keys, and accepts none.
func TestNodeWithoutAConfigurationAdmitsNobody(t *testing.T) {
	s := newKeySite(t, "red-1", "blue-1")
	var behind atomic.Bool
	behind.Store(true)
	h := s.run("a", "127.0.0.1", depsWithoutOperator{storeBehind{s.store, &behind}})
	time.Sleep(300 * time.Millisecond)
	_, result := h.Route("h", "/q/"+testJob(1).ID)
	assert.Equal(t, RouteConfigMissing, result)
	assert.False(t, h.Ready())
	behind.Store(false)
	require.Eventually(t, func() bool { return s.call(h, OpSubmit, 1, "red-1").Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, Unauthorized, s.call(h, OpSubmit, 2, "red-2").Outcome)
}

// depsWithoutOperator also refuses the first read of the configuration.
type depsWithoutOperator struct{ storeBehind }

func (s depsWithoutOperator) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	if p.Topic == deps.TopicOperator && s.behind.Load() {
		return deps.Snapshot{}, &deps.Error{Kind: deps.KindRefused, Call: "newest"}
	}
	return s.Store.Newest(ctx, p)
}

// Another customer's job is neither shown nor cancelled, and a submission with its ID is
// not told that it was accepted; also after the queue has moved to another shard, and
// after a takeover.
func TestJobsOfOtherCustomersAreOutOfReach(t *testing.T) {
	s := newKeySite(t, "red-1", "red-2", "blue-1")
	h := s.runOwner(s.store)
	check := func(when string) {
		assert.Equal(t, Missing, s.call(h, OpShow, 1, "blue-1").Outcome, when)
		assert.Equal(t, Missing, s.call(h, OpCancel, 1, "blue-1").Outcome, when)
		assert.Equal(t, Taken, s.call(h, OpSubmit, 1, "blue-1").Outcome, when)
		assert.Equal(t, Done, s.call(h, OpSubmit, 1, "red-2").Outcome, "%s: another key of the same customer", when)
		shown := s.call(h, OpShow, 1, "red-2")
		assert.Equal(t, Done, shown.Outcome, when)
		assert.False(t, shown.State.Final(), when)
	}
	check("by the shard that accepted it")
	part := h.partitionOf("s")
	epoch := (*h.owners.Load())[part].Epoch
	h.post(func() { h.dropShard(h.owned[part], "test") })
	require.Eventually(t, func() bool {
		return (*h.owners.Load())[part].Epoch > epoch && s.call(h, OpShow, 1, "red-1").Outcome == Done
	}, 20*time.Second, 20*time.Millisecond)
	check("after a takeover")
	require.NoError(t, s.store.Put(deps.TopicWorkers, "w-other", shard.Worker{ID: "w-other", Address: "w-other", Service: "other",
		Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: time.Now().UnixMilli()}))
	s.configure(3, "other", "red-1", "red-2", "blue-1")
	inForce(t, h, 3)
	require.Eventually(t, func() bool { return s.call(h, OpSubmit, 9, "red-1").Outcome == Done }, 20*time.Second, 50*time.Millisecond)
	check("after its queue has moved")
	assert.Equal(t, Done, s.call(h, OpCancel, 1, "red-1").Outcome)
	assert.Equal(t, Missing, s.call(h, OpShow, 1, "blue-1").Outcome, "the final job is red's, too")
}

// Jobs that were accepted before the configuration had customers belong to the callers of
// their queue.
func TestJobsFromBeforeThereWereCustomersStayReachable(t *testing.T) {
	s := keySite{movedQueueSite{newTestSite(t, time.Hour), t}}
	h := s.runOwner(s.store)
	s.configure(2, "s", "blue-1")
	inForce(t, h, 2)
	assert.Equal(t, Done, s.call(h, OpShow, 1, "blue-1").Outcome)
	assert.Equal(t, Done, s.call(h, OpSubmit, 1, "blue-1").Outcome)
	assert.Equal(t, Done, s.call(h, OpCancel, 1, "blue-1").Outcome)
	assert.Equal(t, Unauthorized, s.call(h, OpShow, 1, "").Outcome)
}

// A queue that becomes public opens its jobs; when it becomes private again, calls without
// a key are refused, also by nodes whose configuration is behind.
func TestQueueBecomesPublicAndPrivateAgain(t *testing.T) {
	s := newKeySite(t, "red-1", "blue-1")
	var behind atomic.Bool
	owner := s.runOwner(s.store)
	front := s.runFront(storeBehind{s.store, &behind})
	public := configWith(3, "s", "s", "other")
	public.Customers = owner.config.Load().Customers
	public.Routes[0].Public = true
	require.NoError(t, s.store.Put(deps.TopicOperator, "config", *public))
	inForce(t, owner, 3)
	inForce(t, front, 3)
	assert.Equal(t, Done, s.call(front, OpShow, 1, "").Outcome, "red's job")
	assert.Equal(t, Done, s.call(front, OpSubmit, 2, "blue-1").Outcome)
	behind.Store(true)
	s.configure(4, "s", "red-1", "blue-1")
	inForce(t, owner, 4)
	require.Equal(t, int64(3), front.config.Load().Version)
	for _, op := range callerOps {
		assert.Equal(t, Unauthorized, s.call(front, op, 1, "").Outcome, opNames[op])
	}
	assert.Equal(t, Done, s.call(front, OpShow, 1, "red-1").Outcome)
	assert.Equal(t, Missing, s.call(front, OpShow, 1, "blue-1").Outcome)
	assert.Equal(t, Done, s.call(front, OpShow, 2, "red-1").Outcome, "a job from the public time is its queue's callers'")
}
