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

// watchPlanners checks every half second that at most one node believes to
// hold the lease, and returns those that did.
func watchPlanners(c *cluster, lasting time.Duration) map[string]bool {
	seen := make(map[string]bool)
	for range lasting / (500 * time.Millisecond) {
		time.Sleep(500 * time.Millisecond)
		planners := c.planners()
		require.LessOrEqual(c.t, len(planners), 1, "two holders in belief: %v", planners)
		for _, name := range planners {
			seen[name] = true
		}
	}
	return seen
}

func TestHolderCutFromTheLogStopsBeforeAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, fourZones()...)
		defer c.finish()
		settled(c)
		first := c.planners()[0]
		c.nodes[first].platform.hang.Store(true)
		seen := watchPlanners(c, 2*time.Minute)
		require.Len(t, seen, 2, "another node takes over")
		c.nodes[first].platform.hang.Store(false)
		watchPlanners(c, time.Minute)
	})
}

func TestPausedHolderDoesNotActAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, fourZones()...)
		defer c.finish()
		c.addWorkers()
		settled(c)
		holder := c.nodes[c.planners()[0]]
		vm := holder.View().VMs[0]
		var epoch structs.Epoch
		holder.ask(context.Background(), func() { epoch, _ = holder.leaseHeld(time.Now()) })
		action := infra.Action{Kind: infra.ActionReboot, VM: vm.ID, Sequence: vm.Sequence, Scope: DefaultScope, Epoch: epoch}
		allowed := func() bool {
			var may bool
			holder.ask(context.Background(), func() { may = holder.mayAct(action, time.Now()) })
			return may
		}
		require.True(t, allowed())
		holder.post(context.Background(), func() { time.Sleep(2 * time.Minute) })
		require.False(t, allowed(), "the lease lapsed while the holder was paused")
		time.Sleep(10 * time.Second)
		require.Len(t, c.planners(), 1)
		require.NotEqual(t, holder.place.node, c.planners()[0])
	})
}

func TestFencedActEndsPlanning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, fourZones()...)
		defer c.finish()
		c.addWorkers()
		settled(c)
		holder := c.nodes[c.planners()[0]]
		vm := holder.View().VMs[0]
		status := holder.Status()
		later := infra.Action{Kind: infra.ActionDrain, VM: vm.ID, Scope: DefaultScope, Epoch: status.LeaseEpoch + 1}
		require.NoError(t, c.fleet.Act(context.Background(), later))
		holder.acts.add(infra.Action{Kind: infra.ActionDrain, VM: vm.ID, Sequence: vm.Sequence, Scope: DefaultScope, Epoch: status.LeaseEpoch})
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, holder.events.count(events.ActFenced))
		require.False(t, holder.Status().Planning)
	})
}

func TestWallClockJumpsMakeNoSecondHolder(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, standin.LogOptions{}, fourZones()...)
				defer c.finish()
				var offset atomic.Int64
				for _, p := range c.places {
					c.start(p, 1, func(cfg *Config) {
						cfg.Wall = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
					})
				}
				time.Sleep(5 * time.Second)
				c.publish(c.node(1))
				time.Sleep(40 * time.Second)
				require.Len(t, c.planners(), 1)
				offset.Store(int64(jump))
				watchPlanners(c, 2*time.Minute)
				require.Len(t, c.planners(), 1, "planning goes on after the jump")
			})
		})
	}
}

func TestGracefulStopHandsLeaseAndMembershipOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, fourZones()...)
		defer c.finish()
		settled(c)
		first := c.planners()[0]
		zone := c.nodes[first].place.zone
		c.nodes[first].Leave()
		c.nodes[first].mesh.Leave()
		seen := watchPlanners(c, 5*time.Second)
		require.Len(t, seen, 1, "the lease is taken over without waiting for it to lapse")
		for name, n := range c.nodes {
			require.Len(t, n.View().Entry[zone].Members, 1, name)
		}
		ready, reason := c.nodes[first].Ready()
		require.False(t, ready)
		require.Equal(t, "the node stops", reason)
	})
}

func TestSilentMemberIsRemovedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		places := []place{at(1, "bhaktapur"), at(2, "bhaktapur"), at(3, "bhaktapur")}
		c := newCluster(t, standin.LogOptions{}, places...)
		defer c.finish()
		settled(c)
		for _, p := range places {
			c.fleet.Add(infra.ListedVM{ID: p.node, Kind: infra.VMKindEntry, Zone: p.zone}, nil)
		}
		c.fleet.SetPresence("e-02", infra.PresenceTerminated)
		time.Sleep(time.Minute)
		require.Len(t, c.node(1).View().Entry["bhaktapur"].Members, 3, "a node that is heard stays, whatever the list says")
		c.fleet.SetPresence("e-02", infra.PresenceLive)
		c.kill("e-03")
		time.Sleep(time.Minute)
		require.Len(t, c.node(1).View().Entry["bhaktapur"].Members, 2, "a silent node goes, whatever the list says")
		c.start(places[2], 2, nil)
		time.Sleep(20 * time.Second)
		require.Len(t, c.node(1).View().Entry["bhaktapur"].Members, 3)
	})
}

func TestWaveRunsToItsEndOverAHolderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, fourZones()...)
		defer c.finish()
		c.addWorkers()
		settled(c)
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
		require.Equal(t, len(view.VMs), c.fleet.Reboots(), "each VM is rebooted once, whoever plans")
	})
}
