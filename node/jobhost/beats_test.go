package jobhost

import (
	"container/heap"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// slowPartitions plays the partitions of a store that answers 60 times slower
// than usual: 120 ms an append, one after the other, 503 beyond two seconds of
// waiting.
type slowPartitions map[deps.Partition]time.Duration

const (
	slowAppend     = 120 * time.Millisecond
	slowAnswer     = 120 * time.Millisecond
	longestBacklog = 2 * time.Second
)

// append returns when the answer comes and whether the append was taken in
// the sender's time.
func (s slowPartitions) append(at time.Duration, p deps.Partition) (time.Duration, bool) {
	free := max(s[p], at)
	if free-at > longestBacklog {
		return at + slowAnswer, false
	}
	s[p] = free + slowAppend
	if answered := s[p] + slowAnswer; answered-at <= heartbeatTimeout {
		return answered, true
	}
	return at + heartbeatTimeout, false
}

// sender is one node that writes heartbeats.
type sender struct {
	pace pace
	next time.Duration
}

type senders []*sender

func (s senders) Len() int           { return len(s) }
func (s senders) Less(i, j int) bool { return s[i].next < s[j].next }
func (s senders) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *senders) Push(x any)        { *s = append(*s, x.(*sender)) }
func (s *senders) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// answer is a heartbeat that the store has taken.
type answer struct{ sentAt, at time.Duration }

// oldestRight plays 20 s and returns how old an owner's last taken heartbeat
// was at most when the answer to the next one came.
func oldestRight(list senders) time.Duration {
	partitions := slowPartitions{}
	heap.Init(&list)
	const end = 20 * time.Second
	answers := map[*sender][]answer{}
	for _, n := range list {
		if n.pace == paceOwner {
			answers[n] = []answer{{n.next, n.next}}
		}
	}
	for list[0].next < end {
		n := list[0]
		partition, pause, retry := n.pace.plan()
		sentAt := n.next
		answered, taken := partitions.append(sentAt, partition)
		if taken && n.pace == paceOwner {
			answers[n] = append(answers[n], answer{sentAt, answered})
		}
		if !taken || answered-sentAt > heartbeatDue {
			answered, pause = min(answered, sentAt+heartbeatDue), retry
		}
		n.next = answered + pause
		heap.Fix(&list, 0)
	}
	oldest := time.Duration(0)
	for _, of := range answers {
		for i := 1; i < len(of); i++ {
			oldest = max(oldest, of[i].at-of[i-1].sentAt)
		}
		oldest = max(oldest, end-of[len(of)-1].sentAt)
	}
	return oldest
}

// fleetOf returns five owners and others that write at a pace.
func fleetOf(nodes int, others pace) senders {
	var list senders
	for i := range nodes {
		at := time.Duration(i) * 37 * time.Millisecond
		s := &sender{pace: others, next: at}
		if i < 5 {
			s.pace = paceOwner
		}
		list = append(list, s)
	}
	return list
}

// On Tuulekoda's grown site (30 nodes) a store that was 56 times slower than
// usual for five seconds took every owner its right, as all nodes wrote
// heartbeats into one partition.
func TestOwnersKeepTheirRightsWhileTheStoreIsSlow(t *testing.T) {
	for _, nodes := range []int{9, 30, 41, 100} {
		require.Greater(t, oldestRight(fleetOf(nodes, paceOwner)), startRight, "all often, %d nodes", nodes)
		assert.Less(t, oldestRight(fleetOf(nodes, paceIdle)), startRight, "%d nodes", nodes)
		assert.Less(t, oldestRight(fleetOf(nodes, paceAlert)), startRight, "all others on alert, %d nodes", nodes)
	}
}

// crowd returns a host in a fleet of 30 nodes, of which three own shards.
func crowd(t *testing.T) (*Host, int64) {
	t.Helper()
	h := New(newSite(t, time.Millisecond).config("self", "127.0.0.1"))
	now := steadyMS()
	h.startedAt = now - 60_000
	for i := range 30 {
		name := string(rune('A' + i))
		n := &nodeView{changedAt: now, record: heartbeatRecord{Node: name, Boot: 1, Idle: i > 2}}
		h.nodes[name] = n
	}
	cfg := &deps.Configuration{Version: 1, Pools: []deps.Pool{{Service: "s"}}}
	h.config.Store(cfg)
	for i, p := range h.needed() {
		name := string(rune('A' + i))
		h.nodes[name].record.Owned = []ownership{{Topic: int(p.Topic), Index: p.Index, Epoch: 1, Node: name, Boot: 1}}
	}
	return h, now
}

func TestOnlyOwnersAndTheNextInLineWriteOften(t *testing.T) {
	h, now := crowd(t)
	h.paceHeartbeats(now)
	assert.Equal(t, paceIdle, pace(h.beatPace.Load()), "one of many without a shard")

	h.cfg.Cores = 100
	h.nodes["B"].changedAt = now - alertAfter.Milliseconds() - 1
	h.paceHeartbeats(now)
	assert.Equal(t, paceAlert, pace(h.beatPace.Load()), "first in line for the shard of a late owner")
	require.Len(t, h.wakeBeat, 1, "its next heartbeat must not wait")

	h.cfg.Cores = 0.01
	h.paceHeartbeats(now)
	assert.Equal(t, paceIdle, pace(h.beatPace.Load()), "last in line")

	h.claiming[fleetPartition] = true
	h.paceHeartbeats(now)
	assert.Equal(t, paceOwner, pace(h.beatPace.Load()))
}

// A node that writes rarely has no long chain of heartbeats. It may call an
// owner dead once it has read for long enough and its own are taken again.
func TestANodeOnAlertMayCallAnOwnerDead(t *testing.T) {
	h, now := crowd(t)
	dead := h.nodes["A"]
	dead.changedAt = now - silentAfter.Milliseconds() - 1
	h.crowded.Store(true)
	h.heartbeat.Store(&confirmed{sentAt: now - 100, chainStart: now - alertWatch.Milliseconds()})
	h.readsSince = now - 10_000
	assert.False(t, h.present(dead, now))
	h.readsSince = now - 500
	assert.True(t, h.present(dead, now), "the reads had a gap: the store may have been away for all")
	h.readsSince = now - 10_000
	h.heartbeat.Store(&confirmed{sentAt: now - 100, chainStart: now - 300})
	assert.True(t, h.present(dead, now), "the owner had no time yet to write again")
	h.crowded.Store(false)
	h.heartbeat.Store(&confirmed{sentAt: now - 100, chainStart: now - alertWatch.Milliseconds()})
	assert.True(t, h.present(dead, now), "where all write often a chain is due")
}

// An answer that comes after the next heartbeat was due still counts; one that
// comes out of order takes nothing back.
func TestALateAnswerStillConfirms(t *testing.T) {
	h := New(newSite(t, time.Millisecond).config("self", "127.0.0.1"))
	now := steadyMS()
	h.confirm(now - 700)
	h.confirm(now - 900)
	assert.Equal(t, now-700, h.heartbeat.Load().sentAt)
	h.confirm(now - 100)
	assert.Equal(t, confirmed{now - 100, now - 700}, *h.heartbeat.Load())
}

// lateStore answers appends after a while.
type lateStore struct {
	*depstest.Store
	after time.Duration
}

func (s lateStore) Append(ctx context.Context, a deps.Append) error {
	select {
	case <-time.After(s.after):
		return s.Store.Append(ctx, a)
	case <-ctx.Done():
		return &deps.Error{Kind: deps.KindUnknown, Call: "append", Err: ctx.Err()}
	}
}

func TestHeartbeatsGoOnWhileOneHasNoAnswer(t *testing.T) {
	s := newSite(t, time.Millisecond)
	cfg := s.config("self", "127.0.0.1")
	cfg.Store = lateStore{s.store, heartbeatDue + 150*time.Millisecond}
	h := New(cfg)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go h.beat(ctx)
	require.Eventually(t, func() bool {
		c := h.heartbeat.Load()
		return c != nil && c.sentAt-c.chainStart > startRight.Milliseconds()
	}, 4*time.Second, 10*time.Millisecond, "an unbroken chain although each answer is late")
}
