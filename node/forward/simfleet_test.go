package forward

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/pause"
)

// simNode is one run of an entry node.
type simNode struct {
	member structs.EntryMember
	zone   string
	server *Server
	peers  *fakePeers
	relay  *http.Server
	fleet  *simView
	killed chan struct{}
	cancel context.CancelFunc
}

// simView is the view of one node. It lags while the node cannot read the
// log.
type simView struct {
	view          atomic.Pointer[structs.View]
	tailAt        atomic.Pointer[time.Time]
	lock          sync.Mutex
	inactiveSince map[string]time.Time
}

func (v *simView) View() *structs.View { return v.view.Load() }

func (v *simView) TailReadAt() time.Time {
	if at := v.tailAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// publish publishes a view and records since when each worker has not been
// active.
func (v *simView) publish(view *structs.View) {
	v.lock.Lock()
	for _, vm := range view.VMs {
		if _, known := v.inactiveSince[vm.ID]; vm.State == structs.VMActive {
			delete(v.inactiveSince, vm.ID)
		} else if !known {
			v.inactiveSince[vm.ID] = time.Now()
		}
	}
	v.lock.Unlock()
	sent := time.Now()
	v.view.Store(view)
	v.tailAt.Store(&sent)
}

// simFleet simulates a fleet of entry nodes and workers, with the platform's
// log.
type simFleet struct {
	network        *simNetwork
	net            *fakeNet
	ledger         *runLedger
	limits         Limits
	claimsDisabled bool

	lock           sync.Mutex
	rng            *rand.Rand
	zones          []string
	view           *structs.View
	nodes          map[string]*simNode // the current run of each node, by name
	all            []*simNode
	workers        []*simWorker
	isolatedZones  map[string]bool // unreachable from other zones
	logUnreachable map[string]bool // zones that cannot read the log
	isolatedNodes  map[string]bool // nodes that no peer can reach
	losesPeerCalls bool
	pauseEnds      map[string]time.Time // when the pause of a node ends
}

func newSimFleet(seed int64) *simFleet {
	f := &simFleet{
		ledger: newRunLedger(), rng: rand.New(rand.NewSource(seed)), zones: []string{"a", "b", "c"},
		nodes: map[string]*simNode{}, isolatedZones: map[string]bool{}, logUnreachable: map[string]bool{}, isolatedNodes: map[string]bool{}, pauseEnds: map[string]time.Time{},
		network: &simNetwork{listeners: map[string]*simListener{}}, net: newFakeNet(),
		limits: Limits{AnswerBytes: 8 << 10, ClaimHorizon: 30 * time.Second, ClaimSkew: 200 * time.Millisecond, MaxOverrun: time.Minute, AnswerRetention: 5 * time.Second},
	}
	f.network.unreachable = f.unreachable
	f.net.unreachable = f.unreachable
	f.net.waitPaused = f.waitWhilePaused
	f.network.waitPaused = f.waitWhilePaused
	f.view = newView(f.zones)
	for _, zone := range f.zones {
		for i := range 3 {
			if zone == "c" && seed%2 == 0 {
				break // requests of this zone are relayed
			}
			f.addWorker(fmt.Sprintf("w-%s%d", zone, i), zone)
		}
		f.view.EntryEpochs[zone] = structs.EntryEpoch{Zone: zone, Epoch: 1, Members: []structs.EntryMember{simMember(zone, 1, 1), simMember(zone, 2, 1)}}
	}
	for _, zone := range f.zones {
		for _, m := range f.view.EntryEpochs[zone].Members {
			f.startNode(m, zone)
		}
	}
	f.publishView()
	return f
}

func simMember(zone string, n int, incarnation uint64) structs.EntryMember {
	name := fmt.Sprintf("entry-%s%d", zone, n)
	return structs.EntryMember{Node: name, Incarnation: incarnation, PeerAddress: fmt.Sprintf("%s-%d", name, incarnation)}
}

func (f *simFleet) addWorker(id, zone string) {
	w := &simWorker{id: id, zone: zone, ledger: f.ledger, slots: 4, inProgress: map[*simLink]int{}, inactiveSince: f.inactiveSince}
	w.server = serveSim(f.network.listen(id), w)
	f.workers = append(f.workers, w)
	vm := newWorker(id, zone, id)
	vm.Slots = 4
	f.view.VMs = append(f.view.VMs, vm)
}

func (f *simFleet) startNode(m structs.EntryMember, zone string) {
	n := &simNode{member: m, zone: zone, fleet: &simView{inactiveSince: map[string]time.Time{}}, killed: make(chan struct{})}
	n.peers = f.net.join(m)
	n.server = New(Config{
		Node: m.Node, Zone: zone, Region: "r", Incarnation: m.Incarnation, PeerKey: []byte("key"),
		Limits: f.limits, Fleet: n.fleet, Peers: n.peers,
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			if n.peers.dead.Load() {
				return nil, errUnreachable
			}
			return f.network.dial(ctx, m.Node, strings.TrimSuffix(address, ":80"))
		},
	})
	n.server.claims.disabled = f.claimsDisabled
	mux := http.NewServeMux()
	mux.Handle(RelayPath+"/", n.server.RelayHandler())
	n.relay = serveSim(f.network.listen(m.PeerAddress), mux)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Run(ctx) }()
	f.nodes[m.Node] = n
	f.all = append(f.all, n)
}

// zoneOf returns the zone in the name of a node, worker or peer.
func zoneOf(name string) string {
	for i := range name {
		if name[i] == '-' {
			return name[i+1 : i+2]
		}
	}
	return ""
}

// unreachable reports whether a currently cannot reach b.
func (f *simFleet) unreachable(a, b string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	zoneA, zoneB := zoneOf(a), zoneOf(b)
	if zoneA != zoneB && (f.isolatedZones[zoneA] || f.isolatedZones[zoneB]) {
		return true
	}
	if b[0] == 'w' {
		return false
	}
	return f.isolatedNodes[a] || f.isolatedNodes[b] || (f.losesPeerCalls && f.rng.Intn(3) == 0)
}

// waitWhilePaused blocks while a node is paused.
func (f *simFleet) waitWhilePaused(ctx context.Context, node string) {
	if remaining := time.Until(f.pausedUntil(node)); remaining > 0 {
		pause.For(ctx, remaining)
	}
}

func (f *simFleet) pausedUntil(node string) time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.pauseEnds[node]
}

// inactiveSince returns the time since which a node's view lists a worker as
// not active.
func (f *simFleet) inactiveSince(node, vm string) (time.Time, bool) {
	f.lock.Lock()
	n := f.nodes[node]
	f.lock.Unlock()
	n.fleet.lock.Lock()
	defer n.fleet.lock.Unlock()
	at, ok := n.fleet.inactiveSince[vm]
	return at, ok
}

// editView applies an edit to a copy of the view and makes it the latest
// view.
func (f *simFleet) editView(edit func(v *structs.View)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	next := *f.view
	next.VMs = append([]structs.VMStatus(nil), f.view.VMs...)
	next.EntryEpochs = map[string]structs.EntryEpoch{}
	for zone, epoch := range f.view.EntryEpochs {
		next.EntryEpochs[zone] = epoch
	}
	edit(&next)
	f.view = &next
}

// publishView publishes the latest view to the nodes that can read the log.
func (f *simFleet) publishView() {
	f.lock.Lock()
	view := f.view
	var readers []*simNode
	for _, n := range f.nodes {
		if !f.logUnreachable[n.zone] && time.Now().After(f.pauseEnds[n.member.Node]) && !n.peers.dead.Load() {
			readers = append(readers, n)
		}
	}
	f.lock.Unlock()
	for _, n := range readers {
		n.fleet.publish(view)
	}
}

// setVM changes the state of a worker in the log and returns its new sequence
// number.
func (f *simFleet) setVM(id string, state structs.VMState) (sequence uint64) {
	f.editView(func(v *structs.View) {
		for i := range v.VMs {
			if v.VMs[i].ID == id {
				v.VMs[i].State = state
				v.VMs[i].Sequence++
				sequence = v.VMs[i].Sequence
			}
		}
	})
	return sequence
}

// killNode ends a run of a node immediately.
func (f *simFleet) killNode(n *simNode) {
	n.peers.dead.Store(true)
	close(n.killed)
	ofNode := func(l *simLink) bool { return l.from == n.member.Node || l.to == n.member.PeerAddress }
	f.network.forEachConn(ofNode, func(c *simConn) { c.killed.Store(true) })
	f.network.forEachConn(ofNode, func(c *simConn) { _ = c.Close() })
	_ = n.relay.Close()
}

// replaceDeadNodes starts the next epoch of a zone, with new runs of its dead
// nodes.
func (f *simFleet) replaceDeadNodes(zone string) {
	var fresh []structs.EntryMember
	f.editView(func(v *structs.View) {
		epoch := v.EntryEpochs[zone]
		members := append([]structs.EntryMember(nil), epoch.Members...)
		for i, m := range members {
			if f.nodes[m.Node].peers.dead.Load() {
				m.Incarnation++
				m.PeerAddress = fmt.Sprintf("%s-%d", m.Node, m.Incarnation)
				members[i] = m
				fresh = append(fresh, m)
			}
		}
		v.EntryEpochs[zone] = structs.EntryEpoch{Zone: zone, Epoch: epoch.Epoch + 1, Members: members}
		for _, m := range fresh {
			f.startNode(m, zone)
		}
	})
}

// pickNode returns a random node, in most cases a live one.
func (f *simFleet) pickNode(rng *rand.Rand) *simNode {
	f.lock.Lock()
	defer f.lock.Unlock()
	for {
		zone := f.zones[rng.Intn(len(f.zones))]
		n := f.nodes[fmt.Sprintf("entry-%s%d", zone, 1+rng.Intn(2))]
		if !n.peers.dead.Load() && n.fleet.View() != nil {
			return n
		}
		if rng.Intn(100) == 0 {
			return n
		}
	}
}

// stop ends the round. Every goroutine of the synctest bubble must have ended
// afterwards.
func (f *simFleet) stop() {
	for _, n := range f.all {
		if err := n.server.Stop(context.Background()); err != nil {
			f.ledger.addViolation("stop: %v", err)
		}
		n.cancel()
		_ = n.relay.Close()
		if v := n.server.Stats().Violations; v > 0 {
			f.ledger.addViolation("server of %s recorded %d violations", n.member.Node, v)
		}
	}
	for _, w := range f.workers {
		_ = w.server.Close()
	}
	f.network.forEachConn(func(*simLink) bool { return true }, func(c *simConn) { _ = c.Close() })
}
