package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
)

// A second takeover forgot that the first one had to wait for an owner that is cut off.
func TestSecondTakeoverForgetsLeasesOfTheFirstOwner(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	p := deps.Partition{Topic: deps.TopicJobs, Index: 1}
	first, second, third := New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2")), New(s.config("c", "127.0.0.3"))
	taken, err := first.takeOver(t.Context(), p, observation{})
	require.NoError(t, err)
	silent := observation{deadNodes: map[string]bool{"a": true}, incarnations: map[string]int64{"a": first.incarnation}}
	taken, err = second.takeOver(t.Context(), p, silent)
	require.NoError(t, err)
	require.Equal(t, ownerSilent, taken.previousState)
	longest := second.cfg.previousLeaseMS(ownerSilent)
	assert.Equal(t, longest, taken.earlierLeaseMS)
	// The second owner is killed and back at once.
	restarted := observation{incarnations: map[string]int64{"b": second.incarnation + 1}}
	taken, err = third.takeOver(t.Context(), p, restarted)
	require.NoError(t, err)
	assert.Equal(t, ownerEnded, taken.previousState)
	assert.Equal(t, longest, taken.earlierLeaseMS)
}

func TestEarlierLeases(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	shortest, silent, longest := h.cfg.previousLeaseMS(ownerEnded), h.cfg.previousLeaseMS(ownerSilent), h.cfg.previousLeaseMS(ownerMaybeAlive)
	ms := func(n int64) *int64 { return &n }
	owner := ownership{Epoch: 7, Node: "b", Incarnation: 3}
	for name, c := range map[string]struct {
		stored *int64
		heard  map[int64]int64
		state  previousOwner
		want   int64
	}{
		"none of the owners before":         {ms(0), nil, ownerEnded, shortest},
		"the owner itself is silent":        {ms(0), nil, ownerSilent, silent},
		"the owner itself may be alive":     {ms(0), nil, ownerMaybeAlive, longest},
		"as stored with its claim":          {ms(9_000), nil, ownerEnded, 9_000},
		"as stored, of another epoch heard": {ms(9_000), map[int64]int64{6: 0}, ownerEnded, 9_000},
		"some time has passed since":        {ms(9_000), map[int64]int64{7: 7_500}, ownerEnded, 7_500},
		"they have ended since":             {ms(9_000), map[int64]int64{7: 0}, ownerEnded, shortest},
		"stored by an earlier version":      {nil, map[int64]int64{7: 0}, ownerEnded, longest},
	} {
		t.Run(name, func(t *testing.T) {
			got := h.earlierLeaseMS(observation{earlierLeaseMS: c.heard}, storedOwner{owner, c.stored}, c.state)
			assert.Equal(t, c.want, got)
		})
	}
}

// A record without the time for which earlier leases hold is one of an earlier version.
func TestOwnerRecordsOfEarlierVersionsAreRead(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	value, err := encMode.Marshal(h.ownership(deps.Partition{Topic: deps.TopicJobs, Index: 2}, 5))
	require.NoError(t, err)
	var read storedOwner
	require.NoError(t, decMode.Unmarshal(value, &read))
	assert.Equal(t, storedOwner{ownership: h.ownership(deps.Partition{Topic: deps.TopicJobs, Index: 2}, 5)}, read)
	var rec shard.Record
	rec, err = h.ownerRecord(deps.Partition{Topic: deps.TopicJobs, Index: 2}, 5, 0)
	require.NoError(t, err)
	var earlier ownership
	require.NoError(t, decMode.Unmarshal(rec.Value, &earlier))
	assert.Equal(t, read.ownership, earlier, "earlier versions pass the field over")
	require.NoError(t, decMode.Unmarshal(rec.Value, &read))
	assert.NotNil(t, read.EarlierLeaseMS)
}

// Heartbeats tell how much of the time has passed.
func TestHeartbeatsTellWhenEarlierLeasesEnd(t *testing.T) {
	const now = 50_000
	p := deps.Partition{Topic: deps.TopicJobs, Index: 2}
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	view := ownedView{leaseEnds: []leaseEnd{{7, now + 4_000}, {8, now}}}
	sent := heartbeatRecord{Node: "b", Incarnation: 1, EarlierLeases: view.earlierLeases(now),
		Owned: []ownership{{Topic: int(p.Topic), Index: p.Index, Epoch: 7}, {Topic: int(p.Topic), Index: 3, Epoch: 8}}}
	assert.Len(t, sent.EarlierLeases, 1)
	value, err := encMode.Marshal(sent)
	require.NoError(t, err)
	n := &nodeState{heartbeatAt: now + 500}
	require.NoError(t, decMode.Unmarshal(value, &n.record))
	h.nodes["b"] = n
	assert.Equal(t, map[int64]int64{7: 3_000}, h.observe(p, now+1_500).earlierLeaseMS)
	assert.Equal(t, map[int64]int64{7: 0}, h.observe(p, now+9_000).earlierLeaseMS)
}

// Only a later process of its node proves that an owner's process has ended, and only silence
// after its claim that it had no right to decide lately.
func TestOwnerMayBeAliveUnlessItsNodeWasRestarted(t *testing.T) {
	owner := ownership{Node: "b", Incarnation: 3}
	dead := map[string]bool{"b": true}
	assert.Equal(t, ownerMaybeAlive, observation{deadNodes: dead}.stateOf(owner), "nothing is known of the process")
	for incarnation, want := range map[int64]previousOwner{2: ownerMaybeAlive, 3: ownerSilent, 4: ownerEnded} {
		assert.Equal(t, want, observation{incarnations: map[string]int64{"b": incarnation}, deadNodes: dead}.stateOf(owner), incarnation)
	}
	assert.Equal(t, ownerMaybeAlive, observation{incarnations: map[string]int64{"b": 3}}.stateOf(owner), "it was heard of lately")
	assert.Equal(t, ownerEnded, observation{}.stateOf(ownership{}), "nobody owned the partition")
}

// A worker that has started again may hold a longer lease than its owner gave; the successor
// learns of it from the heartbeats.
func TestLongerLeasesAreToldToTheSuccessor(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	p := deps.Partition{Topic: deps.TopicJobs, Index: 1}
	h, next := New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2"))
	taken, err := h.takeOver(t.Context(), p, observation{})
	require.NoError(t, err)
	h.startOwning(taken)
	owned := h.owned[p]
	now := monotonicMS()
	owned.core = shard.New(h.cfg.shardConfig(p.Index, owned.epoch, 10_500), now, wallMS())
	h.prolongEarlierLeases(owned)
	leases := h.ownedView.Load().earlierLeases(now)
	require.Len(t, leases, 1)
	assert.GreaterOrEqual(t, leases[0].LeaseMS, int64(10_500))
	next.nodes["a"] = &nodeState{record: heartbeatRecord{Node: "a", Incarnation: h.incarnation, Owned: h.ownedView.Load().claims, EarlierLeases: leases}, heartbeatAt: now}
	next.nodes["a"].record.Incarnation++
	taken, err = next.takeOver(t.Context(), p, next.observe(p, now))
	require.NoError(t, err)
	assert.Equal(t, ownerEnded, taken.previousState)
	assert.GreaterOrEqual(t, taken.earlierLeaseMS, int64(10_500))
}

// The bound that was stored with a claim counted in full an hour later, and was handed on, when
// the owner's last heartbeat said nothing of it.
func TestStoredLeaseBoundEndsWithTheLeases(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	p := deps.Partition{Topic: deps.TopicJobs, Index: 1}
	h, next := New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2"))
	taken, err := h.takeOver(t.Context(), p, observation{})
	require.NoError(t, err)
	h.startOwning(taken)
	owned := h.owned[p]
	h.storeLeaseEnd(owned, owned.earlierLeasesUntil-1)
	assert.Empty(t, owned.extraRecords, "leases may hold")
	owned.earlierLeasesUntil = monotonicMS()
	h.storeLeaseEnd(owned, owned.earlierLeasesUntil)
	h.appendNext(owned)
	for owned.appendInFlight {
		(<-h.inbox)()
	}
	h.storeLeaseEnd(owned, owned.earlierLeasesUntil+1_000)
	assert.Empty(t, owned.extraRecords, "it is stored once")
	read, err := next.readPartition(t.Context(), p)
	require.NoError(t, err)
	assert.Equal(t, taken.epoch, read.previous.Epoch)
	assert.Equal(t, new(int64), read.previous.EarlierLeaseMS)
}

// Two shards that were taken in one millisecond may have equal epochs.
func TestLongestLeaseOfEqualEpochsCounts(t *testing.T) {
	const now = 50_000
	p := deps.Partition{Topic: deps.TopicJobs, Index: 3}
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	view := ownedView{leaseEnds: []leaseEnd{{7, now + 1_000}, {7, now + 9_000}}}
	h.nodes["b"] = &nodeState{heartbeatAt: now, record: heartbeatRecord{Node: "b", Incarnation: 1, EarlierLeases: view.earlierLeases(now),
		Owned: []ownership{{Topic: int(p.Topic), Index: 2, Epoch: 7}, {Topic: int(p.Topic), Index: 3, Epoch: 7}}}}
	assert.Equal(t, map[int64]int64{7: 9_000}, h.observe(p, now).earlierLeaseMS)
}

// A bound that was handed over for one worker was forgotten in the takeover after the next.
func TestHandedOverLeaseOutlivesTheSecondTakeover(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	p := deps.Partition{Topic: deps.TopicJobs, Index: 1}
	a, b, c := New(s.config("a", "127.0.0.1")), New(s.config("b", "127.0.0.2")), New(s.config("c", "127.0.0.3"))
	first, err := a.takeOver(t.Context(), p, observation{})
	require.NoError(t, err)
	const handedOverMS = 10_304
	require.NoError(t, a.appendHandover(&ownedShard{partition: p, epoch: first.epoch, sequence: first.sequence},
		handoverRecord{Epoch: first.epoch, SilentWorkers: []shard.SilentWorker{{Worker: "w", Incarnation: 3, LeaseMS: handedOverMS}}}))
	second, err := b.takeOver(t.Context(), p, observation{knownEpoch: first.epoch, deadNodes: map[string]bool{"a": true}, incarnations: map[string]int64{"a": a.incarnation}})
	require.NoError(t, err)
	require.NotNil(t, second.handover)
	assert.Equal(t, b.cfg.previousLeaseMS(ownerEnded), second.earlierLeaseMS, "the other workers")
	third, err := c.takeOver(t.Context(), p, observation{knownEpoch: second.epoch, incarnations: map[string]int64{"a": a.incarnation, "b": b.incarnation + 1}})
	require.NoError(t, err)
	assert.GreaterOrEqual(t, third.earlierLeaseMS, int64(handedOverMS))
}
