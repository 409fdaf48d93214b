package soak

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Crowds amid what else may happen to the nodes.

// The owner is killed while a crowd hands in jobs. Its successor restores what the crowd has
// left, and the crowd goes on.
func TestCrowdDuringTakeovers(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	c.disturb(t, func() {
		for range 2 {
			time.Sleep(seriesTime / 4)
			owner := c.node(c.judge.Owner(queues[0].service))
			assert.False(t, owner.current().hasExited(), "the process of %s ended", owner.name)
			owner.Kill()
			time.Sleep(time.Second)
			if err := owner.Start(); err != nil {
				t.Error(err)
			}
		}
	})
	c.sendToAll(t, crowdSize, mixedSeries())
	c.check(t)
}

// The owner stands still while a crowd hands in jobs, loses its queues and goes on amid what
// has come in meanwhile.
func TestCrowdDuringFreezes(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	c.disturb(t, func() {
		for range 2 {
			time.Sleep(seriesTime / 6)
			thaw := c.node(c.judge.Owner(queues[0].service)).Freeze()
			time.Sleep(seriesTime / 4)
			thaw()
		}
	})
	c.sendToAll(t, crowdSize, mixedSeries())
	c.check(t)
}

// All nodes end in turn, as in a release, while a crowd hands in jobs.
func TestCrowdDuringShutdowns(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	c.disturb(t, func() {
		for _, n := range c.nodes {
			assert.False(t, n.current().hasExited(), "the process of %s ended", n.name)
			assert.True(t, n.Terminate(), "%s hangs", n.name)
			if err := n.Start(); err != nil {
				t.Error(err)
			}
			if err := n.awaitReady(); err != nil {
				t.Error(err)
			}
		}
	})
	c.sendToAll(t, crowdSize, mixedSeries())
	c.check(t)
}

// The configuration changes again and again while a crowd hands in jobs.
func TestCrowdDuringConfigurations(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	c.disturb(t, func() {
		for range 20 {
			time.Sleep(seriesTime / 25)
			if err := c.configure(); err != nil {
				t.Error(err)
			}
		}
	})
	c.sendToAll(t, crowdSize, mixedSeries())
	c.check(t)
}

// The store is away for a while, so that requests wait for it and hold what they came with.
func TestCrowdWhileStoreIsAway(t *testing.T) {
	c := startCrowdNodes(t, crowdNodes)
	c.disturb(t, func() {
		for range 2 {
			time.Sleep(seriesTime / 6)
			c.store.SetDown(true)
			time.Sleep(seriesTime / 4)
			c.store.SetDown(false)
		}
	})
	c.sendToAll(t, crowdSize, mixedSeries())
	c.check(t)
}

// mixedSeries returns a script of clients that hand in large and small jobs and cancel some.
func mixedSeries() func(conn net.Conn) {
	path, large := newPaths(), largestJob()
	var turns atomic.Int64
	return series(func(c *caller) {
		p := path()
		switch turns.Add(1) % 3 {
		case 0:
			c.call(post(p, len(large)) + large)
		case 1:
			c.call(post(p, len(smallJob)) + smallJob)
		default:
			c.call(post(p, len(smallJob)) + smallJob)
			c.call(bodiless("DELETE", p))
		}
	})
}

// disturb runs f beside the crowd, which check waits for.
func (c *crowd) disturb(t *testing.T, f func()) {
	t.Helper()
	c.disturbances.Go(f)
}
