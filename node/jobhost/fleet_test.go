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
	owned := &ownedShard{partition: fleetPartition, epoch: 7, sequence: 1, ctx: ctx, cancel: cancel, takenAt: now - 60_000, provenAt: now, kept: map[string][]byte{}}
	h.owned[fleetPartition] = owned
	d := newFleetDuty(h, owned)
	h.fleet = d
	d.proven.Store(now)
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
	d.maintainAll(ctx, plan)
	d.moveAll(ctx, moves)
	assert.Equal(t, acts, vms.maintained)
	assert.Equal(t, acts, vms.moved)
	require.Eventually(t, func() bool {
		page, err := s.store.Newest(ctx, fleetPartition)
		return err == nil && len(page.Records) >= acts
	}, 3*time.Second, 20*time.Millisecond, "what was begun is recorded, in few appends")
}
