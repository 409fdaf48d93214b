package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
	"wigeonwinch/node/peer/peertest"
	"wigeonwinch/node/timeline"
)

// cluster is a set of nodes on one in-memory network with one log.
type cluster struct {
	t       testing.TB
	network *peertest.Network
	log     *standin.Log
	fleet   *standin.Fleet
	nodes   map[string]*testNode
	places  []place
	// closers are called after the nodes have stopped.
	closers []func()
}

// place is where a node runs.
type place struct{ node, zone, host string }

func (p place) address() string { return p.host + ":7000" }

type testNode struct {
	*Loop
	place    place
	mesh     *peer.Mesh
	server   *http.Server
	cancel   context.CancelFunc
	group    sync.WaitGroup
	platform *cutPlatform
	events   *eventCounter
	forward  *fakeForward
}

// cutPlatform is the log as one node reaches it.
type cutPlatform struct {
	log infra.Log
	// other answers in place of the log when it is set.
	other atomic.Pointer[standin.Log]
	cut   atomic.Bool
	// hang makes calls hang instead of failing at once.
	hang atomic.Bool
	// loseNext makes the next append's answer get lost after its effect.
	loseNext atomic.Bool
}

var errCut = &infra.Error{Kind: infra.KindUnavailable, Op: "cut", Remedy: "wait"}

func (c *cutPlatform) Append(ctx context.Context, entries [][]byte) (structs.Offset, error) {
	if c.hang.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if c.cut.Load() {
		return 0, errCut
	}
	first, err := c.log.Append(ctx, entries)
	if c.loseNext.Swap(false) {
		return 0, &infra.Error{Kind: infra.KindUnknown, Op: "append", Remedy: "ask"}
	}
	return first, err
}

func (c *cutPlatform) Read(ctx context.Context, from structs.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	if c.hang.Load() {
		<-ctx.Done()
		return infra.Batch{}, ctx.Err()
	}
	if c.cut.Load() {
		return infra.Batch{}, errCut
	}
	if other := c.other.Load(); other != nil {
		return other.Read(ctx, from, limit, wait)
	}
	batch, err := c.log.Read(ctx, from, limit, wait)
	if c.cut.Load() {
		return infra.Batch{}, errCut
	}
	if c.hang.Load() {
		<-ctx.Done()
		return infra.Batch{}, ctx.Err()
	}
	return batch, err
}

type eventCounter struct {
	mu      sync.Mutex
	counts  map[events.Number]int
	details []string
}

func (c *eventCounter) Record(n events.Number, f events.Fields) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[n]++
	if n == events.ControlInvariantBroken || n == events.FleetInvariantBroken {
		c.details = append(c.details, fmt.Sprintf("%d %s %v", n, f.Detail, f.Err))
	}
}

func (c *eventCounter) count(n events.Number) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[n]
}

// fakeForward acknowledges drains once it is told to.
type fakeForward struct {
	mu      sync.Mutex
	busy    bool
	leaving []string
}

func (f *fakeForward) Acknowledge(string, uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.busy
}

func (f *fakeForward) Leaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, vm)
}

// fakeMachine is a worker without work.
type fakeMachine struct{}

func (fakeMachine) Drain()                        {}
func (fakeMachine) Reboot()                       {}
func (fakeMachine) Boot()                         {}
func (fakeMachine) Task(infra.ActionKind, string) {}
func (fakeMachine) Busy() int                     { return 0 }

// addWorkers puts the example's workers on the platform's list.
func (c *cluster) addWorkers() {
	for _, vm := range exampleManifest(c.t).VMs {
		c.fleet.Add(infra.ListedVM{
			ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Boot: 1,
		}, fakeMachine{})
	}
}

// planners returns the nodes that believe to hold the planner's lease.
func (c *cluster) planners() []string {
	var names []string
	for _, p := range c.places {
		n, ok := c.nodes[p.node]
		if ok && n.Status().Planning {
			names = append(names, p.node)
		}
	}
	return names
}

type alwaysUp struct{}

func (alwaysUp) Probe(context.Context, string) error { return nil }

func newCluster(t testing.TB, opts standin.LogOptions, places ...place) *cluster {
	return &cluster{
		t:       t,
		network: peertest.NewNetwork(),
		log:     standin.NewLog(opts),
		fleet:   standin.NewFleet(standin.FleetOptions{}),
		nodes:   make(map[string]*testNode),
		places:  places,
	}
}

// at makes a place from a number, so that its host follows from it.
func at(i int, zone string) place {
	return place{node: fmt.Sprintf("e-%02d", i), zone: zone, host: fmt.Sprintf("10.0.0.%d", i)}
}

func (c *cluster) startAll() {
	for _, p := range c.places {
		c.start(p, 1, nil)
	}
}

func (c *cluster) start(p place, incarnation uint64, change func(*Config)) *testNode {
	n := &testNode{
		place:    p,
		platform: &cutPlatform{log: c.log},
		events:   &eventCounter{counts: make(map[events.Number]int)},
		forward:  &fakeForward{},
	}
	var seeds []peer.Address
	for _, other := range c.places {
		seeds = append(seeds, peer.Address{Node: other.node, Zone: other.zone, Address: other.address()})
	}
	n.mesh = peer.New(peer.Config{
		Node: p.node, Zone: p.zone, Incarnation: incarnation, Address: p.address(),
		Key: []byte("shared"), Seeds: seeds, Events: n.events, Dial: c.network.Dialer(p.host),
		Clock: timeline.NewClock(time.Now),
	})
	cfg := Config{
		Node: p.node, Zone: p.zone, PeerAddress: p.address(), Incarnation: incarnation,
		Log: n.platform, VMs: c.fleet, Workers: c.fleet, Peers: n.mesh,
		Forward: n.forward, Probe: alwaysUp{}, Events: n.events,
	}
	if change != nil {
		change(&cfg)
	}
	n.Loop = New(cfg)
	n.server = &http.Server{Handler: n.mesh.Handler()}
	listener := c.network.Listen(p.address())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Serve(listener) }()
	n.group.Go(func() { _ = n.mesh.Run(ctx) })
	n.group.Go(func() { _ = n.Run(ctx) })
	c.nodes[p.node] = n
	return n
}

func (n *testNode) stop() {
	n.cancel()
	n.group.Wait()
	_ = n.server.Close()
}

// kill stops a node and forgets it.
func (c *cluster) kill(name string) {
	c.nodes[name].stop()
	delete(c.nodes, name)
}

// finish stops all nodes and checks that no invariant was broken.
func (c *cluster) finish() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, closeOne := range c.closers {
		closeOne()
	}
	synctest.Wait()
	for name, n := range c.nodes {
		require.Empty(c.t, n.events.details, name)
	}
}

func (c *cluster) node(i int) *testNode { return c.nodes[at(i, "").node] }

func exampleManifest(t testing.TB) *structs.Manifest {
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	m, problems := manifest.Parse(data)
	require.Empty(t, problems)
	return m
}

// publish publishes the example manifest through a node.
func (c *cluster) publish(n *testNode) {
	view := n.View()
	rec := structs.Record{Publish: &structs.Publish{
		Base: view.Generation, Changes: manifest.Diff(view, exampleManifest(c.t)),
	}}
	verdict, err := n.appendFor(10*time.Second, rec)
	require.NoError(c.t, err)
	require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (n *testNode) appendFor(limit time.Duration, rec structs.Record) (structs.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.Append(ctx, rec)
}

// weight is a publish that changes one team's weight.
func weight(view *structs.View, weight int) structs.Record {
	team := view.Teams["installers"]
	team.Weight = weight
	change := structs.Change{Kind: structs.ItemTeam, Name: team.Name, Team: &team}
	return structs.Record{Publish: &structs.Publish{Base: view.Generation, Changes: []structs.Change{change}}}
}

func (c *cluster) change(n *testNode, value int) {
	verdict, err := n.appendFor(10*time.Second, weight(n.View(), value))
	require.NoError(c.t, err)
	require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (n *testNode) weight() int { return n.View().Teams["installers"].Weight }

// settled starts all nodes, publishes the example and waits for memberships.
func settled(c *cluster) {
	c.startAll()
	time.Sleep(5 * time.Second)
	c.publish(c.node(1))
	time.Sleep(40 * time.Second)
	for name, n := range c.nodes {
		require.True(c.t, n.Status().Member, name)
	}
}

// fourZones are two nodes in each zone of the example.
func fourZones() []place {
	var places []place
	for i, zone := range []string{"bhaktapur", "bhaktapur", "kathmandu", "kathmandu", "kirtipur", "kirtipur", "lalitpur", "lalitpur"} {
		places = append(places, at(i+1, zone))
	}
	return places
}
