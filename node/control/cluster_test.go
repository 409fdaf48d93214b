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

// cluster is a set of nodes on an in-memory network that share one log.
type cluster struct {
	t       testing.TB
	network *peertest.Network
	log     *standin.Log
	fleet   *standin.Fleet
	nodes   map[string]*testNode
	specs   []nodeSpec
	// closers are called after all nodes have stopped.
	closers []func()
}

// nodeSpec is the name, zone and host of a node.
type nodeSpec struct{ node, zone, host string }

func (s nodeSpec) address() string { return s.host + ":7000" }

type testNode struct {
	*Loop
	spec        nodeSpec
	mesh        *peer.Mesh
	server      *http.Server
	cancel      context.CancelFunc
	group       sync.WaitGroup
	platformLog *faultyLog
	events      *eventCounter
	drainer     *fakeDrainer
}

// faultyLog is the log as one node reaches it, with injected faults.
type faultyLog struct {
	log infra.Log
	// replacement answers reads in place of the log when it is set.
	replacement atomic.Pointer[standin.Log]
	cut         atomic.Bool
	// hang makes calls block until their context ends instead of failing at
	// once.
	hang atomic.Bool
	// loseNextAnswer drops the answer of the next append after it took effect.
	loseNextAnswer atomic.Bool
}

var errCut = &infra.Error{Kind: infra.KindUnavailable, Op: "cut", Remedy: "wait"}

func (l *faultyLog) Append(ctx context.Context, entries [][]byte) (structs.Offset, error) {
	if l.hang.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if l.cut.Load() {
		return 0, errCut
	}
	first, err := l.log.Append(ctx, entries)
	if l.loseNextAnswer.Swap(false) {
		return 0, &infra.Error{Kind: infra.KindUnknown, Op: "append", Remedy: "ask"}
	}
	return first, err
}

func (l *faultyLog) Read(ctx context.Context, from structs.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	if l.hang.Load() {
		<-ctx.Done()
		return infra.Batch{}, ctx.Err()
	}
	if l.cut.Load() {
		return infra.Batch{}, errCut
	}
	if other := l.replacement.Load(); other != nil {
		return other.Read(ctx, from, limit, wait)
	}
	batch, err := l.log.Read(ctx, from, limit, wait)
	if l.cut.Load() {
		return infra.Batch{}, errCut
	}
	if l.hang.Load() {
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

// fakeDrainer acknowledges every drain unless busy is set.
type fakeDrainer struct {
	mu      sync.Mutex
	busy    bool
	leaving []string
}

func (f *fakeDrainer) CanAcknowledgeDrain(string, uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.busy
}

func (f *fakeDrainer) MarkLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, vm)
}

// fakeMachine is an idle worker.
type fakeMachine struct{}

func (fakeMachine) Drain()                             {}
func (fakeMachine) Reboot()                            {}
func (fakeMachine) Boot()                              {}
func (fakeMachine) ActOnTask(infra.ActionKind, string) {}
func (fakeMachine) Busy() int                          { return 0 }

// listWorkers adds the example manifest's workers to the platform's VM list.
func (c *cluster) listWorkers() {
	for _, vm := range exampleManifest(c.t).VMs {
		c.fleet.Add(infra.ListedVM{
			ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Boot: 1,
		}, fakeMachine{})
	}
}

// planners returns the nodes that report that they hold the planner's lease.
func (c *cluster) planners() []string {
	var names []string
	for _, p := range c.specs {
		n, ok := c.nodes[p.node]
		if ok && n.Status().Planning {
			names = append(names, p.node)
		}
	}
	return names
}

type healthyProber struct{}

func (healthyProber) Probe(context.Context, string) error { return nil }

func newCluster(t testing.TB, opts standin.LogOptions, specs ...nodeSpec) *cluster {
	return &cluster{
		t:       t,
		network: peertest.NewNetwork(),
		log:     standin.NewLog(opts),
		fleet:   standin.NewFleet(standin.FleetOptions{}),
		nodes:   make(map[string]*testNode),
		specs:   specs,
	}
}

// newNodeSpec returns the spec of node number i. Its host follows from the
// number.
func newNodeSpec(i int, zone string) nodeSpec {
	return nodeSpec{node: fmt.Sprintf("e-%02d", i), zone: zone, host: fmt.Sprintf("10.0.0.%d", i)}
}

func (c *cluster) startAll() {
	for _, p := range c.specs {
		c.start(p, 1, nil)
	}
}

func (c *cluster) start(p nodeSpec, incarnation uint64, configure func(*Config)) *testNode {
	n := &testNode{
		spec:        p,
		platformLog: &faultyLog{log: c.log},
		events:      &eventCounter{counts: make(map[events.Number]int)},
		drainer:     &fakeDrainer{},
	}
	var seeds []peer.Address
	for _, other := range c.specs {
		seeds = append(seeds, peer.Address{Node: other.node, Zone: other.zone, Address: other.address()})
	}
	n.mesh = peer.New(peer.Config{
		Node: p.node, Zone: p.zone, Incarnation: incarnation, Address: p.address(),
		Key: []byte("shared"), Seeds: seeds, Events: n.events, Dial: c.network.Dialer(p.host),
		Clock: timeline.NewClock(time.Now),
	})
	cfg := Config{
		Node: p.node, Zone: p.zone, PeerAddress: p.address(), Incarnation: incarnation,
		Log: n.platformLog, VMList: c.fleet, Workers: c.fleet, Peers: n.mesh,
		Drainer: n.drainer, Prober: healthyProber{}, Events: n.events,
	}
	if configure != nil {
		configure(&cfg)
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

// kill stops a node and removes it from the cluster.
func (c *cluster) kill(name string) {
	c.nodes[name].stop()
	delete(c.nodes, name)
}

// stopAndCheck stops all nodes and checks that no invariant was broken.
func (c *cluster) stopAndCheck() {
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

func (c *cluster) node(i int) *testNode { return c.nodes[newNodeSpec(i, "").node] }

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
	verdict, err := n.appendWithin(10*time.Second, rec)
	require.NoError(c.t, err)
	require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (n *testNode) appendWithin(timeout time.Duration, rec structs.Record) (structs.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.Append(ctx, rec)
}

// weightChange returns a publish that changes the weight of one team.
func weightChange(view *structs.View, weight int) structs.Record {
	team := view.Teams["installers"]
	team.Weight = weight
	change := structs.Change{Kind: structs.ItemTeam, Name: team.Name, Team: &team}
	return structs.Record{Publish: &structs.Publish{Base: view.Generation, Changes: []structs.Change{change}}}
}

func (c *cluster) changeWeight(n *testNode, value int) {
	verdict, err := n.appendWithin(10*time.Second, weightChange(n.View(), value))
	require.NoError(c.t, err)
	require.Equal(c.t, structs.VoidNone, verdict.Void, verdict.Detail)
}

func (n *testNode) installersWeight() int { return n.View().Teams["installers"].Weight }

// startAndSettle starts all nodes, publishes the example manifest and waits
// until all nodes are members.
func startAndSettle(c *cluster) {
	c.startAll()
	time.Sleep(5 * time.Second)
	c.publish(c.node(1))
	time.Sleep(40 * time.Second)
	for name, n := range c.nodes {
		require.True(c.t, n.Status().Member, name)
	}
}

// twoNodesPerZone returns two nodes in each zone of the example manifest.
func twoNodesPerZone() []nodeSpec {
	var specs []nodeSpec
	for i, zone := range []string{"bhaktapur", "bhaktapur", "kathmandu", "kathmandu", "kirtipur", "kirtipur", "lalitpur", "lalitpur"} {
		specs = append(specs, newNodeSpec(i+1, zone))
	}
	return specs
}
