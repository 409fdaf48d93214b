package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer/peertest"
)

const (
	methodEcho uint16 = 900 + iota
	methodBlock
	methodFail
)

// testCluster is a set of nodes on an in-memory network.
type testCluster struct {
	t       *testing.T
	network *peertest.Network
	nodes   map[string]*testNode
}

type testNode struct {
	*Mesh
	server *http.Server
	cancel context.CancelFunc
	done   chan struct{}
	events *eventCounter
}

type eventCounter struct {
	mu     sync.Mutex
	counts map[events.Number]int
}

func (c *eventCounter) Record(n events.Number, _ events.Fields) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[n]++
}

func (c *eventCounter) count(n events.Number) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[n]
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{t: t, network: peertest.NewNetwork(), nodes: make(map[string]*testNode)}
}

func host(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

func seed(i int, zone string) Address {
	return Address{Node: fmt.Sprintf("e-%d", i), Zone: zone, Address: host(i) + ":7000"}
}

func (tc *testCluster) start(i int, zone string, incarnation uint64, change func(*Config), seeds ...Address) *testNode {
	counter := &eventCounter{counts: make(map[events.Number]int)}
	own := seed(i, zone)
	cfg := Config{
		Node: own.Node, Zone: zone, Incarnation: incarnation, Address: own.Address,
		Key: []byte("shared"), Seeds: seeds, Events: counter, Dial: tc.network.Dialer(host(i)),
	}
	if change != nil {
		change(&cfg)
	}
	n := &testNode{Mesh: New(cfg), events: counter, done: make(chan struct{})}
	n.Handle(methodEcho, func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	n.Handle(methodBlock, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	n.Handle(methodFail, func(context.Context, string, []byte) ([]byte, error) {
		return nil, errors.New("no such claim")
	})
	n.server = &http.Server{Handler: n.Handler()}
	listener := tc.network.Listen(own.Address)
	go func() { _ = n.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	tc.nodes[own.Node] = n
	return n
}

func (n *testNode) stop() {
	n.cancel()
	<-n.done
	_ = n.server.Close()
}

func (tc *testCluster) stop() {
	for _, n := range tc.nodes {
		n.stop()
	}
	synctest.Wait()
}

func (n *testNode) echo(to string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := n.Call(ctx, to, methodEcho, []byte("x"))
	return string(reply), err
}

func TestPairKeepsOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		node2 := tc.start(2, "north", 1, nil, seed(1, "north"))
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, tc.network.OpenConnections(host(1), host(2)))
		reply, err := node1.echo("e-2")
		require.NoError(t, err)
		require.Equal(t, "e-1:x", reply)
		reply, err = node2.echo("e-1")
		require.NoError(t, err)
		require.Equal(t, "e-2:x", reply)
		require.Len(t, node1.Alive(), 1)
		require.Equal(t, "10.0.0.2:7000", node1.Alive()[0].PeerAddress)
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		tc.start(2, "north", 1, nil, seed(1, "north"))
		time.Sleep(5 * time.Second)
		tc.network.Silence(host(1), host(2))
		_, err := node1.echo("e-2")
		require.Equal(t, KindLost, KindOf(err))
		time.Sleep(DefaultPingInterval + DefaultPingTimeout + 2*time.Second)
		_, err = node1.echo("e-2")
		require.NoError(t, err)
		require.Positive(t, node1.events.count(events.PeerSilent))
	})
}

func TestBothSidesDetectSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		node2 := tc.start(2, "north", 1, nil)
		time.Sleep(time.Minute)
		require.Zero(t, node2.events.count(events.PeerSilent), "pings keep a quiet connection open")
		tc.network.Partition(host(1), host(2))
		time.Sleep(3*DefaultPingInterval + DefaultPingTimeout + time.Second)
		require.Equal(t, 1, node1.events.count(events.PeerSilent))
		require.Equal(t, 1, node2.events.count(events.PeerSilent))
	})
}

func TestPartitionedPeerIsNotAliveUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		tc.start(2, "north", 1, nil, seed(1, "north"))
		time.Sleep(5 * time.Second)
		tc.network.Partition(host(1), host(2))
		time.Sleep(DefaultSilenceTimeout + 5*time.Second)
		require.Empty(t, node1.Alive())
		_, err := node1.echo("e-2")
		require.Equal(t, KindUnreachable, KindOf(err))
		tc.network.Heal(host(1), host(2))
		time.Sleep(DefaultMaxBackoff + 5*time.Second)
		require.Len(t, node1.Alive(), 1)
	})
}

func TestHandshakeRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   Refusal
	}{
		{"wrong key", func(c *Config) { c.Key = []byte("other") }, RefusalKey},
		{"too old", func(c *Config) { c.maxVersion = -1 }, RefusalVersion},
		{"own name", func(c *Config) { c.Node = "e-2" }, RefusalSelf},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				defer tc.stop()
				tc.start(2, "north", 1, nil)
				node1 := tc.start(1, "north", 1, c.change)
				_, err := node1.dial("e-2", host(2)+":7000")
				require.Equal(t, KindHandshake, KindOf(err))
				require.Equal(t, c.want, RefusalOf(err))
				require.Empty(t, node1.Alive())
			})
		})
	}
}

func TestKeyRotationKeepsNodesConnected(t *testing.T) {
	keys := func(key, other string) func(*Config) {
		return func(c *Config) {
			c.Key = []byte(key)
			c.SecondaryKey = []byte(other)
		}
	}
	steps := []struct{ node1, node2 func(*Config) }{
		{keys("old", ""), keys("old", "new")},
		{keys("old", "new"), keys("new", "old")},
		{keys("new", "old"), keys("new", "")},
	}
	for i, step := range steps {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				defer tc.stop()
				node1 := tc.start(1, "north", 1, step.node1, seed(2, "north"))
				node2 := tc.start(2, "north", 1, step.node2, seed(1, "north"))
				time.Sleep(5 * time.Second)
				_, err := node1.echo("e-2")
				require.NoError(t, err)
				_, err = node2.echo("e-1")
				require.NoError(t, err)
			})
		})
	}
}

func TestNodesOfDifferentVersionsCommunicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		older := tc.start(1, "north", 1, func(c *Config) { c.maxVersion = 1 }, seed(2, "north"))
		newer := tc.start(2, "north", 1, nil, seed(1, "north"))
		time.Sleep(5 * time.Second)
		_, err := newer.echo("e-1")
		require.NoError(t, err)
		_, err = older.echo("e-2")
		require.NoError(t, err)
		require.Equal(t, 1, newer.openLinks()[0].version)
	})
}

func TestCallErrorKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "south"))
		tc.start(2, "south", 1, func(c *Config) { c.Limits.MaxHandlers = 1 })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := node1.Call(ctx, "e-2", 999, nil)
		require.Equal(t, RefusalUnknownMethod, RefusalOf(err))
		_, err = node1.Call(ctx, "e-2", methodFail, nil)
		require.Equal(t, KindFailed, KindOf(err))
		require.ErrorContains(t, err, "no such claim")
		_, err = node1.Call(ctx, "e-9", methodEcho, nil)
		require.Equal(t, KindUnreachable, KindOf(err))
		_, err = node1.Call(ctx, "e-2", methodEcho, make([]byte, MaxBodyBytes+1))
		require.Equal(t, KindUnreachable, KindOf(err))
		_, err = node1.Call(ctx, "e-2", methodBlock, nil)
		require.Equal(t, KindLost, KindOf(err))
		synctest.Wait()
		_, err = node1.echo("e-2")
		require.NoError(t, err, "the canceled call must release its handler slot")
	})
}

func TestBusyPeerRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		tc.start(2, "north", 1, func(c *Config) { c.Limits.MaxHandlers = 1 })
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = node1.Call(ctx, "e-2", methodBlock, nil) }()
		time.Sleep(time.Second)
		_, err := node1.echo("e-2")
		require.Equal(t, RefusalBusy, RefusalOf(err))
		cancel()
		synctest.Wait()
	})
}

// A handler that refuses a message before it begins it is busy, not broken.
func TestBusyHandlerRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		const methodBusy = 77
		tc.start(2, "north", 1, nil).Handle(methodBusy, func(context.Context, string, []byte) ([]byte, error) {
			return nil, errors.Wrap(ErrBusy, "test")
		})
		_, err := node1.Call(context.Background(), "e-2", methodBusy, nil)
		require.Equal(t, KindRefused, KindOf(err))
		require.Equal(t, RefusalBusy, RefusalOf(err))
	})
}

func TestOnDemandConnectionClosesWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		zones := []string{"a", "b", "c", "d"}
		var seeds []Address
		for i, zone := range zones {
			seeds = append(seeds, seed(i+1, zone))
		}
		// e-5 is the second node of zone a. It keeps no connection to zone d, so
		// it dials e-4 on demand.
		for i, zone := range zones {
			tc.start(i+1, zone, 1, nil, seeds...)
		}
		node5 := tc.start(5, "a", 1, nil, seeds...)
		time.Sleep(5 * time.Second)
		require.Zero(t, tc.network.OpenConnections(host(5), host(4)))
		_, err := node5.echo("e-4")
		require.NoError(t, err)
		require.Equal(t, 1, tc.network.OpenConnections(host(5), host(4)))
		time.Sleep(DefaultIdleTimeout + 3*time.Second)
		require.Zero(t, tc.network.OpenConnections(host(5), host(4)))
	})
}

func TestRestartedNodeReplacesEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		tc.start(2, "north", 5, nil, seed(1, "north"))
		time.Sleep(2 * time.Second)
		tc.network.Silence(host(1), host(2))
		tc.nodes["e-2"].stop()
		tc.start(2, "north", 6, nil, seed(1, "north"))
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(6), node1.Alive()[0].Incarnation)
		require.Equal(t, RefusalIncarnation, node1.admit(hello{Node: "e-2", Incarnation: 5}))
	})
}

func TestLeavingPeerIsNotAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		node2 := tc.start(2, "north", 1, nil)
		time.Sleep(2 * time.Second)
		require.Len(t, node1.Alive(), 1)
		node2.Leave()
		synctest.Wait()
		require.Empty(t, node1.Alive())
		require.True(t, node1.Peers()[0].Leaving)
	})
}

func TestMembersAreDialedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil)
		node2 := tc.start(2, "north", 1, nil)
		member := structs.EntryMember{Node: "e-2", Incarnation: 1, PeerAddress: host(2) + ":7000"}
		node1.SetMembers([]Member{{EntryMember: member, Zone: "north"}})
		time.Sleep(2 * time.Second)
		require.Len(t, node1.Alive(), 1)
		node2.stop()
		delete(tc.nodes, "e-2")
		time.Sleep(10 * time.Second)
		node1.SetMembers(nil)
		require.Empty(t, node1.Peers())
	})
}

func TestPeerThatClosesAtOnceIsDialedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node2 := tc.start(2, "north", 1, nil)
		node2.mu.Lock()
		node2.stopped = true
		node2.mu.Unlock()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		time.Sleep(time.Minute)
		attempts := node1.events.count(events.PeerDialFailed) + node1.events.count(events.PeerDisconnected)
		require.Positive(t, attempts)
		require.Less(t, attempts, 40)
		node1.mu.Lock()
		node1.peers["e-2"].failures = 3
		node1.detachLink(node1.peers["e-2"], &link{established: time.Now(), lastContactNanos: new(atomic.Int64)})
		require.Equal(t, 4, node1.peers["e-2"].failures, "a connection that ends at once counts as a failure")
		node1.mu.Unlock()
	})
}

// A message whose handler meets a defect must not end the process: its sender
// gets an error, and the next message is served.
func TestPanicInHandlerEndsOnlyItsMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.stop()
		node1 := tc.start(1, "north", 1, nil, seed(2, "north"))
		node2 := tc.start(2, "north", 1, nil, seed(1, "north"))
		const methodPanic uint16 = 990
		node2.Handle(methodPanic, func(context.Context, string, []byte) ([]byte, error) { panic("a malformed message") })
		time.Sleep(5 * time.Second)
		_, err := node1.Call(context.Background(), "e-2", methodPanic, nil)
		require.Equal(t, KindFailed, KindOf(err))
		require.Equal(t, 1, node2.events.count(events.PanicContained))
		_, err = node1.echo("e-2")
		require.NoError(t, err)
	})
}
