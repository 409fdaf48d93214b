package jobhost

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/deps/depstest"
)

// suspendedWorkers hold back the answers to the polls of one host while it is suspended.
type suspendedWorkers struct {
	*depstest.Workers
	suspended *atomic.Bool
}

func (w suspendedWorkers) Poll(ctx context.Context, p shard.Poll) (shard.PollResponse, error) {
	response, err := w.Workers.Poll(ctx, p)
	for w.suspended.Load() {
		time.Sleep(10 * time.Millisecond)
		response, err = shard.PollResponse{}, context.DeadlineExceeded
	}
	return response, err
}

// As its machine resumed, a former owner reported workers as drained to which its successor
// had sent tasks. The fleet controller moves and maintains VMs on such reports.
func TestFormerOwnerReportsNoWorkerAsDrained(t *testing.T) {
	s := newTestSite(t, time.Minute)
	var suspended atomic.Bool
	cfg := s.config("a", "127.0.0.1")
	cfg.Store, cfg.Workers = cutStore{s.store, &suspended}, suspendedWorkers{s.workers, &suspended}
	former := runHost(t, cfg)
	require.Eventually(t, func() bool { return former.homes.ownsShard(former.partitionOf("s")) && former.Ready() }, 20*time.Second, 20*time.Millisecond)
	part := former.partitionOf("s")
	cordon := func(h *Host) (cordonResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), cordonTimeout)
		defer cancel()
		return h.applyCordons(ctx, part, cordonMessage{Partition: part.Index, Epoch: math.MaxInt64, Workers: map[string]bool{"w-0": false, "w-1": false}})
	}
	require.Eventually(t, func() bool {
		response, err := cordon(former)
		return err == nil && len(response.Workers) == 2 && response.Workers[0].Drained && response.Workers[1].Drained
	}, 20*time.Second, 20*time.Millisecond)
	next := s.config("b", "127.0.0.2")
	next.PeerKey = []byte("a key that keeps the nodes from connecting to each other")
	owner := runHost(t, next)
	suspended.Store(true)
	t.Cleanup(func() { suspended.Store(false) })
	require.Eventually(t, func() bool { return doJob(owner, OpSubmit, 2).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return len(s.workers.StartCounts()) > 0 }, 20*time.Second, 20*time.Millisecond)
	response, err := cordon(former)
	if err != nil {
		return
	}
	for _, w := range response.Workers {
		assert.False(t, w.Drained, w.ID)
	}
}

// An owner that had just taken its shard over stopped tasks on the cordons of a fleet
// controller that was replaced but did not know it.
func TestCordonsOfAFormerFleetControllerAreRejected(t *testing.T) {
	s := newTestSite(t, time.Hour)
	h := runHost(t, s.config("a", "127.0.0.1"))
	require.Eventually(t, func() bool { return doJob(h, OpSubmit, 1).Outcome == Done }, 20*time.Second, 20*time.Millisecond)
	ctx := context.Background()
	part := h.partitionOf("s")
	fleetOwner := func() int64 { return (*h.owners.Load())[fleetPartition].Epoch }
	require.Eventually(t, func() bool { return fleetOwner() > 0 }, 20*time.Second, 20*time.Millisecond)
	require.NoError(t, h.runOnLoop(ctx, func() { h.owned[part].cordonEpoch = 0 }))
	_, err := h.applyCordons(ctx, part, cordonMessage{Partition: part.Index, Epoch: fleetOwner() - 1, Workers: map[string]bool{"w-0": true}})
	assert.Error(t, err)
}

// A report that a VM is drained is a promise of the owner that made it. Its successor, which
// does not know it, sends tasks to the VM before the fleet controller takes it down.
func TestReportOfAFormerOwnerDoesNotCount(t *testing.T) {
	h := runHost(t, newTestSite(t, time.Minute).config("a", "127.0.0.1"))
	part := h.partitionOf("s")
	require.Eventually(t, func() bool { return h.homes.ownsShard(part) && h.homes.ownsShard(fleetPartition) }, 20*time.Second, 20*time.Millisecond)
	var c *fleetController
	ctx := context.Background()
	require.NoError(t, h.runOnLoop(ctx, func() { c = newFleetController(h, h.owned[fleetPartition]) }))
	c.vms["vm"] = deps.VM{ID: "vm", Pool: "s", State: deps.VMUp, Worker: "w-0"}
	began := monotonicMS()
	require.Eventually(t, func() bool {
		c.exchangeCordons(ctx, upkeep.Plan{Drain: map[string]bool{"vm": true}}, movePlan{})
		return c.drainedSince("vm", began)
	}, 20*time.Second, 20*time.Millisecond)
	next := (*h.owners.Load())[part]
	next.Node, next.Epoch = "successor", next.Epoch+1
	require.NoError(t, h.runOnLoop(ctx, func() { h.applyAnnouncement(next) }))
	assert.False(t, c.drainedSince("vm", began))
}

// listedVMs lists VMs that may change.
type listedVMs struct {
	depstest.VMs
	list *atomic.Pointer[[]deps.VM]
}

func (v listedVMs) List(context.Context) ([]deps.VM, error) { return *v.list.Load(), nil }

// A wave was reported as completed by a list of VMs that was read before the wave came and
// did not have its VM yet.
func TestWaveIsNotCompletedByAnEarlierList(t *testing.T) {
	cfg := newTestSite(t, time.Minute).config("a", "127.0.0.1")
	var list atomic.Pointer[[]deps.VM]
	list.Store(&[]deps.VM{{ID: "vm-1", Pool: "s", State: deps.VMUp}})
	cfg.VMs = listedVMs{list: &list}
	h := runHost(t, cfg)
	require.Eventually(t, func() bool { return h.homes.ownsShard(fleetPartition) }, 20*time.Second, 20*time.Millisecond)
	var c *fleetController
	ctx := context.Background()
	require.NoError(t, h.runOnLoop(ctx, func() { c = newFleetController(h, h.owned[fleetPartition]) }))
	c.planAndAct(ctx, nil, nil)
	list.Store(&[]deps.VM{{ID: "vm-1", Pool: "s", State: deps.VMUp}, {ID: "vm-2", Pool: "s", State: deps.VMUp}})
	c.planAndAct(ctx, []*deps.Wave{{Number: 1, VMs: []string{"vm-2"}, Duration: time.Minute, MaxDown: 1}}, map[int]int64{1: monotonicMS()})
	assert.False(t, c.completedWaves[1])
}
