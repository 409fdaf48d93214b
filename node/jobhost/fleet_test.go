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

// countingVMs notes the acts that were called.
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

// On Tuulekoda's grown site a wave of 186 VMs met a store that took 0.34 s an
// append. Each VM's maintenance waited for a record of its own, so that the
// proof had lapsed before the moves were called, and the pools got no VMs.
func TestMaintenanceDoesNotHoldUpMovesWhileTheStoreIsSlow(t *testing.T) {
	const acts = 20
	s := newSite(t, time.Millisecond)
	vms := &countingVMs{}
	cfg := s.config("self", "127.0.0.1")
	cfg.Store, cfg.VMs = lateStore{s.store, 340 * time.Millisecond}, vms
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now := steadyMS()
	owned := &ownedShard{partition: fleetPartition, epoch: 7, sequence: 1, ctx: ctx, cancel: cancel, takenAt: now - 60_000, kept: map[string][]byte{}}
	owned.provenAt.Store(now)
	h.owned[fleetPartition] = owned
	d := newFleetDuty(h, owned)
	h.fleet = d
	h.heartbeat.Store(&confirmed{sentAt: now, chainStart: now - 60_000})
	go h.loop(ctx)

	var plan []upkeep.Act
	var moves []vmMove
	for i := range acts {
		plan = append(plan, upkeep.Act{VM: fmt.Sprintf("m%d", i), Wave: 1})
		id := fmt.Sprintf("v%d", i)
		d.vms[id] = deps.VM{ID: id, Pool: "spare"}
		moves = append(moves, vmMove{id, "s"})
	}
	d.prove(ctx, plan, moves)
	d.maintainAll(ctx, plan)
	d.moveAll(ctx, moves)
	assert.Equal(t, acts, vms.maintained)
	assert.Equal(t, acts, vms.moved)
	require.Eventually(t, func() bool {
		page, err := s.store.Newest(ctx, fleetPartition)
		return err == nil && len(page.Records) >= acts
	}, 3*time.Second, 20*time.Millisecond, "what was begun is recorded, in few appends")
}

// holder returns a fleet duty that has just been taken over from another node,
// with what that one announced; nil means no record of it.
func holder(t *testing.T, announced []string, recorded bool) (*fleetDuty, *countingVMs) {
	t.Helper()
	s := newSite(t, time.Millisecond)
	vms := &countingVMs{}
	cfg := s.config("self", "127.0.0.1")
	cfg.VMs = vms
	h := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	now := steadyMS()
	owned := &ownedShard{partition: fleetPartition, epoch: 7, sequence: 1, ctx: ctx, cancel: cancel, takenAt: now, kept: map[string][]byte{}, inherited: true}
	if recorded {
		value, err := encMode.Marshal(announced)
		require.NoError(t, err)
		owned.kept[actsKey] = value
	}
	owned.provenAt.Store(now)
	h.owned[fleetPartition] = owned
	d := newFleetDuty(h, owned)
	h.fleet = d
	h.heartbeat.Store(&confirmed{sentAt: now, chainStart: now - 60_000})
	go h.loop(ctx)
	return d, vms
}

// A zone was cut off with the holder of the fleet duty in it: no VM moved for
// 4.2 s after the takeover, a whole turn of the demand, although the earlier
// holder had acted on few of them.
func TestANewHolderWaitsOnlyForAnnouncedVMs(t *testing.T) {
	ctx := context.Background()
	d, vms := holder(t, []string{"a"}, true)
	now := steadyMS()
	gap := d.host.cfg.HolderGapMS + proofLife.Milliseconds()
	assert.True(t, d.held("a", now))
	assert.True(t, d.held("a", now+gap-100))
	assert.False(t, d.held("a", now+gap+100))
	assert.False(t, d.held("b", now))

	d.moveAll(ctx, []vmMove{{"b", "s"}})
	assert.Zero(t, vms.moved, "not announced by this holder yet")
	d.prove(ctx, nil, []vmMove{{"b", "s"}})
	d.moveAll(ctx, []vmMove{{"b", "s"}})
	assert.Equal(t, 1, vms.moved)

	page, err := d.host.cfg.Store.Newest(ctx, fleetPartition)
	require.NoError(t, err)
	kept := map[string][]byte{}
	for _, r := range page.Records {
		kept[r.Key] = r.Value
	}
	next, err := readActs(kept, true)
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, next, "a third holder waits for the acts of both")
}

func TestWithoutARecordANewHolderWaitsForAllVMs(t *testing.T) {
	d, _ := holder(t, nil, false)
	assert.True(t, d.held("any", steadyMS()))
	first := newFleetDuty(d.host, &ownedShard{takenAt: steadyMS()})
	assert.False(t, first.held("any", steadyMS()), "there was no earlier holder")
}

func TestAnnouncedActsAreForgottenInTime(t *testing.T) {
	a := inheritActs([]string{"old"}, 0)
	_, err := a.record([]string{"new"}, 20_000, 3_000)
	require.NoError(t, err)
	a.stored()
	assert.False(t, a.covers("old"))
	assert.True(t, a.covers("new"))
}
