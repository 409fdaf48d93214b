package jobhost

import (
	"container/heap"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// slowPartitions simulates the partitions of a store that is 60 times slower
// than usual. Appends to a partition take 120 ms each, one at a time, and fail
// with 503 if they would wait for more than two seconds. The value is when the
// partition becomes free.
type slowPartitions map[deps.Partition]time.Duration

const (
	slowAppend = 120 * time.Millisecond
	slowAnswer = 120 * time.Millisecond
	maxBacklog = 2 * time.Second
)

// append returns when the answer to an append arrives, and whether the store
// accepted the append before the sender's timeout.
func (s slowPartitions) append(at time.Duration, p deps.Partition) (time.Duration, bool) {
	free := max(s[p], at)
	if free-at > maxBacklog {
		return at + slowAnswer, false
	}
	s[p] = free + slowAppend
	if answered := s[p] + slowAnswer; answered-at <= heartbeatTimeout {
		return answered, true
	}
	return at + heartbeatTimeout, false
}

// heartbeatSender is one node that sends heartbeats.
type heartbeatSender struct {
	mode heartbeatMode
	next time.Duration
}

type senderHeap []*heartbeatSender

func (s senderHeap) Len() int           { return len(s) }
func (s senderHeap) Less(i, j int) bool { return s[i].next < s[j].next }
func (s senderHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *senderHeap) Push(x any)        { *s = append(*s, x.(*heartbeatSender)) }
func (s *senderHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// confirmedAppend is a heartbeat that the store has accepted.
type confirmedAppend struct{ sentAt, at time.Duration }

// maxConfirmedAge simulates 20 s. It returns the maximum age of an owner's last
// accepted heartbeat when the answer to the next one arrived.
func maxConfirmedAge(list senderHeap) time.Duration {
	partitions := slowPartitions{}
	heap.Init(&list)
	const end = 20 * time.Second
	confirmed := map[*heartbeatSender][]confirmedAppend{}
	for _, n := range list {
		if n.mode == heartbeatOwner {
			confirmed[n] = []confirmedAppend{{n.next, n.next}}
		}
	}
	for list[0].next < end {
		n := list[0]
		partition, interval, retryDelay := n.mode.schedule()
		sentAt := n.next
		answered, accepted := partitions.append(sentAt, partition)
		if accepted && n.mode == heartbeatOwner {
			confirmed[n] = append(confirmed[n], confirmedAppend{sentAt, answered})
		}
		if !accepted || answered-sentAt > heartbeatAnswerWait {
			answered, interval = min(answered, sentAt+heartbeatAnswerWait), retryDelay
		}
		n.next = answered + interval
		heap.Fix(&list, 0)
	}
	oldest := time.Duration(0)
	for _, appends := range confirmed {
		for i := 1; i < len(appends); i++ {
			oldest = max(oldest, appends[i].at-appends[i-1].sentAt)
		}
		oldest = max(oldest, end-appends[len(appends)-1].sentAt)
	}
	return oldest
}

// newSenders returns five owners and further nodes that send heartbeats in the
// given mode.
func newSenders(nodes int, others heartbeatMode) senderHeap {
	var list senderHeap
	for i := range nodes {
		at := time.Duration(i) * 37 * time.Millisecond
		s := &heartbeatSender{mode: others, next: at}
		if i < 5 {
			s.mode = heartbeatOwner
		}
		list = append(list, s)
	}
	return list
}

// Guards against owners losing their start window on a slow store. On
// Tuulekoda's grown site (30 nodes) all nodes wrote heartbeats to one
// partition, and a store that was 56 times slower than usual for five seconds
// made every owner lose its window.
func TestOwnersKeepStartWindowWhileStoreIsSlow(t *testing.T) {
	for _, nodes := range []int{9, 30, 41, 100} {
		require.Greater(t, maxConfirmedAge(newSenders(nodes, heartbeatOwner)), startWindow, "all nodes send frequent heartbeats, %d nodes", nodes)
		assert.Less(t, maxConfirmedAge(newSenders(nodes, heartbeatIdle)), startWindow, "%d nodes", nodes)
		assert.Less(t, maxConfirmedAge(newSenders(nodes, heartbeatStandby)), startWindow, "all others on standby, %d nodes", nodes)
	}
}

// newLargeFleetHost returns a host in a fleet of 30 other nodes, three of which
// own shards.
func newLargeFleetHost(t *testing.T) (*Host, int64) {
	t.Helper()
	h := New(newTestSite(t, time.Millisecond).config("self", "127.0.0.1"))
	now := monotonicMS()
	h.startedAt = now - 60_000
	for i := range 30 {
		name := string(rune('A' + i))
		n := &nodeState{heartbeatAt: now, record: heartbeatRecord{Node: name, Incarnation: 1, Idle: i > 2}}
		h.nodes[name] = n
	}
	cfg := &deps.Configuration{Version: 1, Pools: []deps.Pool{{Service: "s"}}}
	h.config.Store(cfg)
	for i, p := range h.requiredPartitions() {
		name := string(rune('A' + i))
		h.nodes[name].record.Owned = []ownership{{Topic: int(p.Topic), Index: p.Index, Epoch: 1, Node: name, Incarnation: 1}}
	}
	return h, now
}

func TestOnlyOwnersAndStandbyNodesSendFrequentHeartbeats(t *testing.T) {
	h, now := newLargeFleetHost(t)
	h.updateHeartbeatMode(now)
	assert.Equal(t, heartbeatIdle, heartbeatMode(h.heartbeatMode.Load()), "a node without a shard in a large fleet")

	h.cfg.Cores = 100
	h.nodes["B"].heartbeatAt = now - ownerLateAfter.Milliseconds() - 1
	h.updateHeartbeatMode(now)
	assert.Equal(t, heartbeatStandby, heartbeatMode(h.heartbeatMode.Load()), "first candidate for the shard of a late owner")
	require.Len(t, h.heartbeatTrigger, 1, "its next heartbeat must be sent immediately")

	h.cfg.Cores = 0.01
	h.updateHeartbeatMode(now)
	assert.Equal(t, heartbeatIdle, heartbeatMode(h.heartbeatMode.Load()), "last candidate")

	h.takingOver[fleetPartition] = true
	h.updateHeartbeatMode(now)
	assert.Equal(t, heartbeatOwner, heartbeatMode(h.heartbeatMode.Load()))
}

// A node with infrequent heartbeats has no long chain of heartbeats. It may
// presume an owner dead once it has read for long enough and the store accepts
// its own heartbeats again.
func TestStandbyNodeDetectsDeadOwner(t *testing.T) {
	h, now := newLargeFleetHost(t)
	dead := h.nodes["A"]
	dead.heartbeatAt = now - silentAfter.Milliseconds() - 1
	h.nodesReadAt = now
	h.largeFleet.Store(true)
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - 100, chainStart: now - standbyObservation.Milliseconds()})
	h.readsUnbrokenSince = now - 10_000
	assert.False(t, h.presumedAlive(dead, now))
	h.readsUnbrokenSince = now - 500
	assert.True(t, h.presumedAlive(dead, now), "the reads had a gap: the store may have been unavailable to all nodes")
	h.readsUnbrokenSince = now - 10_000
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - 100, chainStart: now - 300})
	assert.True(t, h.presumedAlive(dead, now), "the owner has had no time to write again")
	h.largeFleet.Store(false)
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - 100, chainStart: now - standbyObservation.Milliseconds()})
	assert.True(t, h.presumedAlive(dead, now), "in a small fleet an unbroken chain of heartbeats is required")
}

// An answer that arrives after the next heartbeat was due still confirms its
// heartbeat. An answer that arrives out of order does not move the confirmation
// back.
func TestLateAnswerConfirmsHeartbeat(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("self", "127.0.0.1"))
	now := monotonicMS()
	h.confirmHeartbeat(now - 700)
	h.confirmHeartbeat(now - 900)
	assert.Equal(t, now-700, h.confirmedHeartbeat.Load().sentAt)
	h.confirmHeartbeat(now - 100)
	assert.Equal(t, confirmedHeartbeat{now - 100, now - 700}, *h.confirmedHeartbeat.Load())
}

// delayedStore delays each append.
type delayedStore struct {
	*depstest.Store
	after time.Duration
}

func (s delayedStore) Append(ctx context.Context, a deps.Append) error {
	select {
	case <-time.After(s.after):
		return s.Store.Append(ctx, a)
	case <-ctx.Done():
		return &deps.Error{Kind: deps.KindUnknown, Call: "append", Err: ctx.Err()}
	}
}

func TestHeartbeatsContinueWhileOneIsUnanswered(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	cfg := s.config("self", "127.0.0.1")
	cfg.Store = delayedStore{s.store, heartbeatAnswerWait + 150*time.Millisecond}
	h := New(cfg)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go h.runHeartbeats(ctx)
	require.Eventually(t, func() bool {
		c := h.confirmedHeartbeat.Load()
		return c != nil && c.sentAt-c.chainStart > startWindow.Milliseconds()
	}, 4*time.Second, 10*time.Millisecond, "the chain of heartbeats stays unbroken although each answer is late")
}

// A node that takes over its first shard must read the workers at once: until
// then it can place nothing and knows no room.
func TestReaderOfWorkersIsWokenByATakeover(t *testing.T) {
	s := newTestSite(t, time.Millisecond)
	h := New(s.config("self", "127.0.0.1"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asked := make(chan struct{}, 1)
	active := func() bool {
		needed := h.needWorkers.Load()
		select {
		case asked <- struct{}{}:
		default:
		}
		return needed
	}
	reader := partitionReader{host: h, partition: deps.Partition{Topic: deps.TopicWorkers}, pause: time.Hour, active: active, wake: h.workersNeeded}
	read := make(chan struct{}, 1)
	go reader.run(ctx, func([]shard.Record, bool) { read <- struct{}{} }, nil)
	<-asked // the reader pauses now
	h.startOwning(takenPartition{partition: deps.Partition{Topic: deps.TopicJobs}, epoch: 1})
	select {
	case <-read:
	case <-time.After(10 * time.Second):
		t.Fatal("the workers are read only after the pause")
	}
}
