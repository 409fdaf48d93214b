package control

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/events"
)

func TestManifestIsInForceOnEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		c.startAll()
		time.Sleep(5 * time.Second)
		ready, reason := c.node(1).Ready()
		require.False(t, ready)
		require.Equal(t, "no manifest is published", reason)
		c.publish(c.node(1))
		time.Sleep(40 * time.Second)
		for name, n := range c.nodes {
			ready, reason := n.Ready()
			require.True(t, ready, "%s: %s", name, reason)
			require.Equal(t, structs.Generation(1), n.View().Generation)
			require.True(t, n.Status().Member, name)
			require.True(t, n.Fresh(), name)
			require.Len(t, n.View().EntryEpochs[n.spec.zone].Members, 2)
		}
		holders := 0
		for _, n := range c.nodes {
			if n.Status().Planning {
				holders++
			}
		}
		require.Equal(t, 1, holders)
	})
}

func TestNodesStayReadyDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		c.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(time.Hour)
		for name, n := range c.nodes {
			ready, reason := n.Ready()
			require.True(t, ready, "%s: %s", name, reason)
			require.False(t, n.Status().LogReachable)
			require.False(t, n.Status().Planning, "no node plans without the log")
			require.True(t, n.Fresh(), "members that reach each other stay fresh")
		}
		_, err := c.node(1).appendWithin(time.Second, weightChange(c.node(1).View(), 9))
		require.Equal(t, KindNotAppended, KindOf(err))
		c.log.SetFaults(standin.LogFaults{})
		time.Sleep(10 * time.Second)
		c.changeWeight(c.node(2), 7)
		time.Sleep(5 * time.Second)
		for name, n := range c.nodes {
			require.Equal(t, 7, n.installersWeight(), name)
		}
	})
}

func TestLostAppendAnswerIsResolvedByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		n := c.node(3)
		n.platformLog.loseNextAnswer.Store(true)
		rec := weightChange(n.View(), 5)
		rec.Key = "pipeline/17"
		verdict, err := n.appendWithin(10*time.Second, rec)
		require.NoError(t, err)
		require.Equal(t, structs.VoidNone, verdict.Void)
		again, found := n.Lookup("pipeline/17")
		require.True(t, found)
		require.Equal(t, verdict, again)
		repeated, err := n.appendWithin(10*time.Second, rec)
		require.NoError(t, err)
		require.Equal(t, verdict, repeated, "appending the same key again returns the same verdict")
	})
}

func TestAppendWithoutAnswerReturnsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		n := c.node(3)
		n.platformLog.hang.Store(true)
		for _, p := range c.specs {
			c.network.Partition(n.spec.host, p.host)
		}
		_, err := n.appendWithin(10*time.Second, weightChange(n.View(), 5))
		require.Equal(t, KindNotKnown, KindOf(err))
		require.ErrorContains(t, err, "same key")
	})
}

func TestNodeCutFromThePlatformStaysCurrentThroughPeers(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
				defer c.stopAndCheck()
				startAndSettle(c)
				for _, i := range []int{5, 6, 7, 8} {
					c.node(i).platformLog.cut.Store(!hang)
					c.node(i).platformLog.hang.Store(hang)
				}
				c.changeWeight(c.node(1), 6)
				time.Sleep(14 * time.Second)
				for name, n := range c.nodes {
					require.Equal(t, 6, n.installersWeight(), name)
				}
				c.changeWeight(c.node(1), 8)
				time.Sleep(time.Second)
				for name, n := range c.nodes {
					require.Equal(t, 8, n.installersWeight(), "%s: peers push records at once to a node that can't read the log", name)
				}
			})
		})
	}
}

func TestNodeCutFromThePlatformAppendsThroughAPeer(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
				defer c.stopAndCheck()
				startAndSettle(c)
				n := c.node(5)
				n.platformLog.cut.Store(!hang)
				n.platformLog.hang.Store(hang)
				time.Sleep(15 * time.Second)
				c.changeWeight(n, 6)
				require.Equal(t, 6, n.installersWeight())
			})
		})
	}
}

func TestNodeCatchesUpAfterLogIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{Retain: 300}, newNodeSpec(1, "bhaktapur"), newNodeSpec(2, "kathmandu"))
		defer c.stopAndCheck()
		startAndSettle(c)
		c.kill("e-02")
		for i := range 600 {
			c.changeWeight(c.node(1), 1+i%50)
			time.Sleep(100 * time.Millisecond)
		}
		require.Positive(t, c.node(1).events.count(events.SnapshotAppended))
		want := c.node(1).installersWeight()
		c.network.Partition("10.0.0.1", "10.0.0.2")
		n := c.start(c.specs[1], 2, nil)
		time.Sleep(20 * time.Second)
		require.Equal(t, want, n.installersWeight())
		require.Positive(t, n.events.count(events.LogOvertaken))
		ready, reason := n.Ready()
		require.True(t, ready, reason)
	})
}

func TestZoneReplacedWhileThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		c.changeWeight(c.node(1), 33)
		time.Sleep(5 * time.Second)
		c.log.SetFaults(standin.LogFaults{Down: true})
		c.kill("e-01")
		c.kill("e-02")
		time.Sleep(time.Minute)
		first := c.start(c.specs[0], 2, nil)
		second := c.start(c.specs[1], 2, nil)
		time.Sleep(20 * time.Second)
		for _, n := range []*testNode{first, second} {
			ready, reason := n.Ready()
			require.True(t, ready, reason)
			require.Equal(t, 33, n.installersWeight())
			require.False(t, n.Fresh(), "a new incarnation is not a member before its epoch is in the log")
		}
		c.log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		require.True(t, first.Status().Member)
		require.True(t, second.Status().Member)
	})
}

func TestNodeThatReachesNothingIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, newNodeSpec(1, "bhaktapur"))
		defer c.stopAndCheck()
		c.log.SetFaults(standin.LogFaults{Down: true})
		c.startAll()
		time.Sleep(time.Minute)
		ready, reason := c.node(1).Ready()
		require.False(t, ready)
		require.Contains(t, reason, "neither the log nor a peer")
	})
}

func TestStateIsFetchedFromPeerWithoutOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{Retain: 300}, newNodeSpec(1, "bhaktapur"), newNodeSpec(2, "bhaktapur"), newNodeSpec(3, "kathmandu"))
		defer c.stopAndCheck()
		startAndSettle(c)
		c.kill("e-02")
		c.kill("e-03")
		for i := range 500 {
			c.changeWeight(c.node(1), 1+i%50)
			time.Sleep(100 * time.Millisecond)
		}
		second := c.start(c.specs[1], 2, nil)
		time.Sleep(20 * time.Second)
		require.Positive(t, second.events.count(events.StateAdopted))
		c.log.SetFaults(standin.LogFaults{Down: true})
		c.kill("e-01")
		third := c.start(c.specs[2], 2, nil)
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, third.events.count(events.StateAdopted))
		require.Equal(t, second.View().Offset, third.View().Offset)
		ready, reason := third.Ready()
		require.True(t, ready, reason)
	})
}

func TestLogThatLostRecordsCausesNoRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{}, twoNodesPerZone()...)
		defer c.stopAndCheck()
		startAndSettle(c)
		c.changeWeight(c.node(1), 42)
		time.Sleep(5 * time.Second)
		offset := c.node(1).View().Offset
		empty := standin.NewLog(standin.LogOptions{})
		for _, n := range c.nodes {
			n.platformLog.replacement.Store(empty)
		}
		time.Sleep(2 * time.Minute)
		for name, n := range c.nodes {
			require.GreaterOrEqual(t, n.View().Offset, offset, name)
			require.Equal(t, 42, n.installersWeight(), name)
			require.Positive(t, n.events.count(events.LogBehind), name)
			require.False(t, n.Status().Planning, "no node plans on a log that lost records")
			ready, reason := n.Ready()
			require.True(t, ready, reason)
		}
	})
}

func TestRateLimitedAppendsAllArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, standin.LogOptions{AppendsPerSecond: 1}, newNodeSpec(1, "bhaktapur"))
		defer c.stopAndCheck()
		c.startAll()
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				rec := structs.Record{Lease: &structs.Lease{Scope: fmt.Sprint(i), Epoch: 1, Sequence: 1, Holder: "e-01", TTLMS: 1000}}
				verdict, err := c.node(1).appendWithin(time.Minute, rec)
				assert.NoError(t, err)
				assert.Equal(t, structs.VoidNone, verdict.Void, verdict.Detail)
			})
		}
		group.Wait()
	})
}
