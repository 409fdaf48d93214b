package jobhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
)

// successorSite is node b, which is about to take a shard over from node a.
type successorSite struct {
	site     *testSite
	host     *Host
	part     deps.Partition
	previous ownership
}

func newSuccessorSite(t *testing.T) *successorSite {
	t.Helper()
	o := &successorSite{site: newTestSite(t, time.Millisecond)}
	o.host = New(o.site.config("b", "127.0.0.2"))
	o.host.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: monotonicMS(), chainStart: monotonicMS() - 60_000})
	o.part = o.host.partitionOf("s")
	o.previous = ownership{Topic: int(o.part.Topic), Index: o.part.Index, Epoch: 7, Node: "a", Incarnation: 2}
	value, err := encMode.Marshal(o.previous)
	require.NoError(t, err)
	require.NoError(t, o.site.store.Append(context.Background(), deps.Append{Partition: o.part, Fence: &deps.Fence{Epoch: 7, Sequence: 1},
		Records: append(placedRecords(t), shard.Record{Key: ownerKey, Value: value})}))
	return o
}

// placedRecords returns the records of a shard that has placed a task on worker w-0.
func placedRecords(t *testing.T) []shard.Record {
	t.Helper()
	now := monotonicMS()
	core := shard.New(shard.Config{Epoch: 1, MaxLeaseMS: 6_000, StatusKeepMS: 60_000}, now, wallMS())
	core.SetOwnershipDeadlines(now+60_000, now+60_000)
	core.SetQueues([]shard.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetMS: 5_000}})
	core.SetWorkers(now, []shard.Worker{{ID: "w-0", Address: "w-0", Service: "s", Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, Incarnation: 1}})
	core.Advance(now, wallMS())
	for _, p := range core.TakeOrders().Polls {
		core.HandlePollResponse(now, now, p.Target, shard.PollResponse{ClockMS: 100, Incarnation: 1})
	}
	core.Submit(now, 1, *testJob(1))
	core.Advance(now, wallMS())
	batch, ok := core.NextBatch()
	require.True(t, ok)
	return batch.Records
}

// earlierLeasesMS returns for how long after the takeover a task of worker w-0 stays taken.
func (o *successorSite) earlierLeasesMS(t *testing.T) int64 {
	t.Helper()
	s := o.host.owned[o.part]
	require.NotNil(t, s)
	silent := s.core.SilentWorkers(s.ownedSince)
	require.Len(t, silent, 1)
	return silent[0].LeaseMS
}

// finishTakeover runs the control loop until the takeover has ended.
func (o *successorSite) finishTakeover() {
	for o.host.takingOver[o.part] {
		(<-o.host.inbox)()
	}
}

// heartbeat returns a heartbeat of node a.
func (o *successorSite) heartbeat(incarnation, sequence int64, owned ...ownership) heartbeatRecord {
	return heartbeatRecord{Node: "a", Incarnation: incarnation, Sequence: sequence, Owned: owned}
}

// A task was freed while an owner that was alive extended the leases on its worker: the
// successor took an owner of which it knew too little for one whose process has ended.
func TestLeasesOfOwnerThatMayBeAliveAreWaitedOut(t *testing.T) {
	silent, fresh := silentAfter.Milliseconds()+400, int64(100)
	for name, c := range map[string]struct {
		known       func(o *successorSite) *nodeState
		announcedMS int64
		ended       bool
	}{
		"only an earlier process is known": {known: func(o *successorSite) *nodeState {
			return &nodeState{record: o.heartbeat(1, 1), heartbeatAt: monotonicMS() - silent}
		}},
		"only an earlier process is known, which was heard of a moment ago": {known: func(o *successorSite) *nodeState {
			return &nodeState{record: o.heartbeat(1, 1), heartbeatAt: monotonicMS() - fresh}
		}},
		"nothing is known of the node": {known: func(*successorSite) *nodeState { return nil }},
		"its last known heartbeat is older than its takeover": {announcedMS: silentAfter.Milliseconds() + 1, known: func(o *successorSite) *nodeState {
			return &nodeState{record: o.heartbeat(2, 1), heartbeatAt: monotonicMS() - fresh}
		}},
		"a later process is known": {ended: true, known: func(o *successorSite) *nodeState {
			return &nodeState{record: o.heartbeat(3, 1), heartbeatAt: monotonicMS() - fresh}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			o := newSuccessorSite(t)
			if n := c.known(o); n != nil {
				o.host.nodes["a"] = n
			}
			if c.announcedMS > 0 {
				o.host.announcedOwners[o.part] = o.previous
				o.host.ownerAnnouncedAt[o.part] = monotonicMS() - c.announcedMS
			}
			now := monotonicMS()
			require.False(t, o.host.hasLiveOwner(o.part, now))
			o.host.startTakeover(o.part, now)
			o.finishTakeover()
			if c.ended {
				assert.Equal(t, o.host.cfg.previousLeaseMS(false), o.earlierLeasesMS(t))
			} else if o.host.owned[o.part] != nil {
				assert.GreaterOrEqual(t, o.earlierLeasesMS(t), o.host.cfg.previousLeaseMS(true))
			}
		})
	}
}

// Two reads of heartbeats that failed in a row made a node take a live owner for silent: it
// had not read the heartbeats that the store had accepted since.
func TestOwnerIsNotSilentWhileReadsFail(t *testing.T) {
	readMS := readInterval.Milliseconds()
	for _, periodMS := range []int64{heartbeatInterval.Milliseconds(), (heartbeatAnswerWait + appendRetryDelay).Milliseconds()} {
		t.Run(fmt.Sprintf("a heartbeat each %d ms", periodMS), func(t *testing.T) {
			o := newSuccessorSite(t)
			h := o.host
			start := monotonicMS() + 10_000
			h.applyHeartbeat(start, o.heartbeat(2, 1, o.previous))
			// The last read that succeeds comes just before the next heartbeat.
			lastRead := start + (periodMS-1)/readMS*readMS
			h.nodesReadAt = lastRead
			for now := lastRead; now < lastRead+3_000; now++ {
				h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - 100, chainStart: start - 60_000})
				if h.mayTakeOver(now) && !h.hasLiveOwner(o.part, now) {
					require.Failf(t, "the shard counts as vacant", "%d ms after the last read, with heartbeats unread", now-lastRead)
				}
			}
		})
	}
}

// A read counted from the time when the control loop came to it: what it says is older by
// as much as the loop is late.
func TestReadOfHeartbeatsIsAsOldAsItsAnswer(t *testing.T) {
	o := newSuccessorSite(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go o.host.followNodes(ctx)
	read := <-o.host.inbox
	answeredBy := monotonicMS()
	time.Sleep(5 * time.Millisecond)
	for read(); o.host.nodesReadAt == 0; read() {
		read = <-o.host.inbox
	}
	assert.LessOrEqual(t, o.host.nodesReadAt, answeredBy)
}

// slowNewest delays the reads of one partition until it is released.
type slowNewest struct {
	deps.Store
	part    deps.Partition
	reading chan struct{}
	release chan struct{}
}

func (s slowNewest) Newest(ctx context.Context, p deps.Partition) (deps.Snapshot, error) {
	if p == s.part {
		close(s.reading)
		<-s.release
	}
	return s.Store.Newest(ctx, p)
}

// An owner that was heard of again while its successor still read the records lost its
// shard, and its successor counted its leases as if it were silent.
func TestTakeoverIsGivenUpWhenTheOwnerIsHeardOfMeanwhile(t *testing.T) {
	o := newSuccessorSite(t)
	h := o.host
	slow := slowNewest{Store: o.site.store, part: o.part, reading: make(chan struct{}), release: make(chan struct{})}
	h.cfg.Store = slow
	now := monotonicMS()
	h.applyHeartbeat(now-silentAfter.Milliseconds()-1, o.heartbeat(2, 1, o.previous))
	require.False(t, h.hasLiveOwner(o.part, now))
	h.startTakeover(o.part, now)
	<-slow.reading
	h.applyHeartbeat(monotonicMS(), o.heartbeat(2, 2, o.previous))
	require.True(t, h.hasLiveOwner(o.part, monotonicMS()))
	close(slow.release)
	o.finishTakeover()
	assert.NotContains(t, h.owned, o.part)
}

// A change of one of the windows must not let a lease outlast the wait for it: the owner may
// extend it until its window ends, with an estimate of the worker's clock as old as that.
func TestWaitForLeasesCoversTheLongestLease(t *testing.T) {
	const drift = 0.02
	windowMS := leaseExtensionWindow.Milliseconds()
	longestMS := int64((maxLeaseMS + drift*float64(windowMS)) / (1 - drift))
	for _, workersGrantMS := range []int64{6_000, 10_000} {
		cfg := Config{MaxLeaseMS: workersGrantMS}
		assert.LessOrEqual(t, longestMS, cfg.previousLeaseMS(false), "an owner that has stopped")
		assert.LessOrEqual(t, windowMS+longestMS, silentAfter.Milliseconds()+cfg.previousLeaseMS(true), "an owner silent before its takeover")
	}
}
