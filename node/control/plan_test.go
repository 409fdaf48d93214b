package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/events"
)

// checkSingleHolder checks every half second that at most one node reports
// that it holds the lease. It returns the names of all nodes that did.
func checkSingleHolder(c *cluster, duration time.Duration) map[string]bool {
	seen := make(map[string]bool)
	for range duration / (500 * time.Millisecond) {
		time.Sleep(500 * time.Millisecond)
		planners := c.planners()
		require.LessOrEqual(c.t, len(planners), 1, "more than one node reports that it holds the lease: %v", planners)
		for _, name := range planners {
			seen[name] = true
		}
	}
	return seen
}

func TestHolderWithoutLogStopsBeforeTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		first := c.planners()[0]
		c.nodes[first].platformLog.hang.Store(true)
		seen := checkSingleHolder(c, 2*time.Minute)
		require.Len(t, seen, 2, "another node takes over")
		c.nodes[first].platformLog.hang.Store(false)
		checkSingleHolder(c, time.Minute)
	})
}

func TestPausedHolderDoesNotActAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.listWorkers()
		startAndSettle(c)
		holder := c.nodes[c.planners()[0]]
		vm := holder.View().VMs[0]
		var epoch structs.Epoch
		holder.postAndWait(context.Background(), func() { epoch, _ = holder.heldEpoch(time.Now()) })
		action := infra.Action{Kind: infra.ActionReboot, VM: vm.ID, Sequence: vm.Sequence, Scope: DefaultScope, Epoch: epoch}
		allowed := func() bool {
			var may bool
			holder.postAndWait(context.Background(), func() { may = holder.mayExecute(action, time.Now()) })
			return may
		}
		require.True(t, allowed())
		holder.post(context.Background(), func() { time.Sleep(2 * time.Minute) })
		require.False(t, allowed(), "the lease expired while the holder was paused")
		time.Sleep(10 * time.Second)
		require.Len(t, c.planners(), 1)
		require.NotEqual(t, holder.spec.node, c.planners()[0])
	})
}

func TestFencedActionEndsPlanning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.listWorkers()
		startAndSettle(c)
		holder := c.nodes[c.planners()[0]]
		vm := holder.View().VMs[0]
		status := holder.Status()
		later := infra.Action{Kind: infra.ActionDrain, VM: vm.ID, Scope: DefaultScope, Epoch: status.LeaseEpoch + 1}
		require.NoError(t, c.fleet.Act(context.Background(), later))
		holder.actions.enqueue(infra.Action{Kind: infra.ActionDrain, VM: vm.ID, Sequence: vm.Sequence, Scope: DefaultScope, Epoch: status.LeaseEpoch})
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, holder.events.count(events.ActFenced))
		require.False(t, holder.Status().Planning)
	})
}

func TestWallClockJumpsCauseNoSecondHolder(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
				defer c.stopAndCheck()
				var offset atomic.Int64
				for _, p := range c.specs {
					c.start(p, 1, func(cfg *Config) {
						cfg.WallClock = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
					})
				}
				time.Sleep(5 * time.Second)
				c.publish(c.node(1))
				time.Sleep(40 * time.Second)
				require.Len(t, c.planners(), 1)
				offset.Store(int64(jump))
				checkSingleHolder(c, 2*time.Minute)
				require.Len(t, c.planners(), 1, "planning continues after the jump")
			})
		})
	}
}

func TestGracefulStopReleasesLeaseAndMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		first := c.planners()[0]
		zone := c.nodes[first].spec.zone
		c.nodes[first].Leave()
		c.nodes[first].mesh.Leave()
		seen := checkSingleHolder(c, 5*time.Second)
		require.Len(t, seen, 1, "the lease is taken over without waiting for it to expire")
		for name, n := range c.nodes {
			require.Len(t, n.View().EntryEpochs[zone].Members, 1, name)
		}
		ready, reason := c.nodes[first].Ready()
		require.False(t, ready)
		require.Equal(t, "the node stops", reason)
	})
}

func TestSilentMemberIsRemovedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		specs := []nodeSpec{newNodeSpec(1, "bhaktapur"), newNodeSpec(2, "bhaktapur"), newNodeSpec(3, "bhaktapur")}
		c := newCluster(t, standin.LogOptions{}, specs...)
		defer c.stopAndCheck()
		startAndSettle(c)
		for _, p := range specs {
			c.fleet.Add(infra.ListedVM{ID: p.node, Kind: infra.VMKindEntry, Zone: p.zone}, nil)
		}
		c.fleet.SetPresence("e-02", infra.PresenceTerminated)
		time.Sleep(time.Minute)
		require.Len(t, c.node(1).View().EntryEpochs["bhaktapur"].Members, 3, "a member that sends messages stays, whatever its state in the VM list")
		c.fleet.SetPresence("e-02", infra.PresenceLive)
		c.kill("e-03")
		time.Sleep(time.Minute)
		require.Len(t, c.node(1).View().EntryEpochs["bhaktapur"].Members, 2, "a silent member is removed, whatever its state in the VM list")
		c.start(specs[2], 2, nil)
		time.Sleep(20 * time.Second)
		require.Len(t, c.node(1).View().EntryEpochs["bhaktapur"].Members, 3)
	})
}

func TestWaveCompletesAcrossHolderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.listWorkers()
		startAndSettle(c)
		time.Sleep(2 * time.Minute)
		first := c.planners()[0]
		c.kill(first)
		time.Sleep(time.Hour)
		var view *structs.View
		for _, n := range c.nodes {
			view = n.View()
		}
		for _, vm := range view.VMs {
			require.Equal(t, "worker-2026-12", vm.Image, vm.ID)
			require.Equal(t, structs.VMActive, vm.State, vm.ID)
		}
		require.Equal(t, len(view.VMs), c.fleet.Reboots(), "each VM is rebooted once, whichever node plans")
	})
}

// After a pause the first thing that a loop does may be to apply a record, which
// publishes its status before the next tick looks at the lease. The status must
// not say then that the node still plans, while its successor says so too.
func TestStatusAfterAPauseDoesNotClaimAnExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.listWorkers()
		startAndSettle(c)
		holder := c.nodes[c.planners()[0]]
		var planning bool
		holder.postAndWait(context.Background(), func() {
			time.Sleep(2 * time.Minute)
			holder.publishUpdate()
			planning = holder.Status().Planning
		})
		require.False(t, planning, "the lease expired while the holder was paused")
	})
}
