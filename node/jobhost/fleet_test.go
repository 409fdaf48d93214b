package jobhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// countingVMs counts the actions.
type countingVMs struct {
	depstest.VMs
	mu                sync.Mutex
	moved, maintained int
}

func (v *countingVMs) Move(context.Context, deps.Holder, string, string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.moved++
	return nil
}

func (v *countingVMs) Maintain(context.Context, deps.Holder, string, int) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.maintained++
	return nil
}

// Guards against maintenance delaying moves. On Tuulekoda's grown site a wave
// of 186 VMs ran on a store that took 0.34 s per append. The maintenance of
// each VM waited for a record of its own, so the ownership verification expired
// before the moves were called and the pools got no VMs.
func TestMaintenanceDoesNotDelayMovesWhileStoreIsSlow(t *testing.T) {
	const actions = 20
	s := newTestSite(t, time.Millisecond)
	vms := &countingVMs{}
	cfg := s.config("self", "127.0.0.1")
	cfg.Store, cfg.VMs = delayedStore{s.store, 340 * time.Millisecond}, vms
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now := monotonicMS()
	owned := &ownedShard{partition: fleetPartition, epoch: 7, sequence: 1, ctx: ctx, cancel: cancel, ownedSince: now - 60_000, records: map[string][]byte{}}
	owned.verifiedAt.Store(now)
	h.owned[fleetPartition] = owned
	c := newFleetController(h, owned)
	h.fleet = c
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now, chainStart: now - 60_000})
	go h.controlLoop(ctx)

	var plan []upkeep.Action
	var moves []vmMove
	for i := range actions {
		plan = append(plan, upkeep.Action{VM: fmt.Sprintf("m%d", i), Wave: 1})
		id := fmt.Sprintf("v%d", i)
		c.vms[id] = deps.VM{ID: id, Pool: "spare"}
		moves = append(moves, vmMove{id, "s"})
	}
	c.verifyAndAnnounce(ctx, plan, moves)
	c.startMaintenance(ctx, plan)
	c.startMoves(ctx, moves)
	assert.Equal(t, actions, vms.maintained)
	assert.Equal(t, actions, vms.moved)
	require.Eventually(t, func() bool {
		snapshot, err := s.store.Newest(ctx, fleetPartition)
		return err == nil && len(snapshot.Records) >= actions
	}, 3*time.Second, 20*time.Millisecond, "the started maintenance is recorded in few appends")
}

// newSuccessorController returns a fleet controller that has just taken over
// from another node, which had announced the given VMs. If recorded is false,
// no record of its announcements exists.
func newSuccessorController(t *testing.T, announced []string, recorded bool) (*fleetController, *countingVMs) {
	t.Helper()
	s := newTestSite(t, time.Millisecond)
	vms := &countingVMs{}
	cfg := s.config("self", "127.0.0.1")
	cfg.VMs = vms
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	now := monotonicMS()
	owned := &ownedShard{partition: fleetPartition, epoch: 7, sequence: 1, ctx: ctx, cancel: cancel, ownedSince: now, records: map[string][]byte{}, hadPredecessor: true}
	if recorded {
		value, err := encMode.Marshal(announced)
		require.NoError(t, err)
		owned.records[actionsKey] = value
	}
	owned.verifiedAt.Store(now)
	h.owned[fleetPartition] = owned
	c := newFleetController(h, owned)
	h.fleet = c
	h.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now, chainStart: now - 60_000})
	go h.controlLoop(ctx)
	return c, vms
}

// Guards against a successor waiting for VMs that its predecessor never acted
// on. When a zone with the fleet controller was cut off, no VM moved for 4.2 s
// after the takeover, a whole period of the demand, although the predecessor
// had acted on few of them.
func TestSuccessorWaitsOnlyForAnnouncedVMs(t *testing.T) {
	ctx := context.Background()
	c, vms := newSuccessorController(t, []string{"a"}, true)
	now := monotonicMS()
	gap := c.host.cfg.TakeoverGapMS + verificationTTL.Milliseconds()
	assert.True(t, c.vmInTakeoverGap("a", now))
	assert.True(t, c.vmInTakeoverGap("a", now+gap-100))
	assert.False(t, c.vmInTakeoverGap("a", now+gap+100))
	assert.False(t, c.vmInTakeoverGap("b", now))

	c.startMoves(ctx, []vmMove{{"b", "s"}})
	assert.Zero(t, vms.moved, "the successor has not announced the VM yet")
	c.verifyAndAnnounce(ctx, nil, []vmMove{{"b", "s"}})
	c.startMoves(ctx, []vmMove{{"b", "s"}})
	assert.Equal(t, 1, vms.moved)

	snapshot, err := c.host.cfg.Store.Newest(ctx, fleetPartition)
	require.NoError(t, err)
	records := map[string][]byte{}
	for _, r := range snapshot.Records {
		records[r.Key] = r.Value
	}
	next, err := decodeAnnouncedVMs(records, true)
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, next, "the next successor waits for the announced VMs of both")
}

func TestSuccessorWithoutRecordWaitsForAllVMs(t *testing.T) {
	c, _ := newSuccessorController(t, nil, false)
	assert.True(t, c.vmInTakeoverGap("any", monotonicMS()))
	first := newFleetController(c.host, &ownedShard{ownedSince: monotonicMS()})
	assert.False(t, first.vmInTakeoverGap("any", monotonicMS()), "there was no predecessor")
}

func TestAnnouncedActionsExpire(t *testing.T) {
	a := newAnnouncedActions([]string{"old"}, 0)
	_, err := a.newRecord([]string{"new"}, 20_000, 3_000)
	require.NoError(t, err)
	a.markStored()
	assert.False(t, a.includes("old"))
	assert.True(t, a.includes("new"))
}

// The calls of a plan may take longer than the controller's right to act. Its late
// status of a wave replaced that of its successor: "running" after "completed".
func TestFormerFleetControllerReportsNoWaveStatus(t *testing.T) {
	ctx := context.Background()
	c, _ := newSuccessorController(t, nil, true)
	statuses := func() int64 {
		snapshot, err := c.host.cfg.Store.Newest(ctx, deps.Partition{Topic: deps.TopicStatus})
		require.NoError(t, err)
		return snapshot.End
	}
	now := monotonicMS()
	c.host.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: now - startWindow.Milliseconds(), chainStart: now - 60_000})
	c.reportWaveStarted(ctx, 1)
	c.reportWaveCompleted(ctx, 2)
	assert.Zero(t, statuses())
	assert.False(t, c.completedWaves[2])
	c.host.confirmedHeartbeat.Store(&confirmedHeartbeat{sentAt: monotonicMS(), chainStart: now - 60_000})
	c.reportWaveStarted(ctx, 1)
	assert.Equal(t, int64(1), statuses())
}

// A successor that did not know that a wave was reported as completed reported it as
// running first.
func TestCompletedWaveIsNotReportedAsRunning(t *testing.T) {
	ctx := context.Background()
	c, _ := newSuccessorController(t, []string{}, true)
	c.markStarted(1, "vm")
	seenAt := monotonicMS() - 1
	c.planAndAct(ctx, []*deps.Wave{{Number: 1, VMs: []string{"vm"}, Duration: time.Minute, MaxDown: 1}}, map[int]int64{1: seenAt})
	require.True(t, c.completedWaves[1])
	snapshot, err := c.host.cfg.Store.Newest(ctx, deps.Partition{Topic: deps.TopicStatus})
	require.NoError(t, err)
	assert.Equal(t, int64(1), snapshot.End, "the one status is that of the completed wave")
}
