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
	stop   context.CancelFunc
}

// simView is a node's view, which lags while the node can't read the log.
type simView struct {
	view   atomic.Pointer[structs.View]
	tailAt atomic.Pointer[time.Time]
	lock   sync.Mutex
	out    map[string]time.Time
}

func (v *simView) View() *structs.View { return v.view.Load() }

func (v *simView) TailReadAt() time.Time {
	if at := v.tailAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// show publishes a view and notes which workers it takes out.
func (v *simView) show(view *structs.View) {
	v.lock.Lock()
	for _, vm := range view.VMs {
		if _, known := v.out[vm.ID]; vm.State == structs.VMActive {
			delete(v.out, vm.ID)
		} else if !known {
			v.out[vm.ID] = time.Now()
		}
	}
	v.lock.Unlock()
	sent := time.Now()
	v.view.Store(view)
	v.tailAt.Store(&sent)
}

// simFleet is a fleet of entry nodes and workers with a platform.
type simFleet struct {
	wire    *simWire
	net     *fakeNet
	ledger  *ledger
	limits  Limits
	noClaim bool

	lock     sync.Mutex
	rng      *rand.Rand
	zones    []string
	view     *structs.View
	nodes    map[string]*simNode // the present run by name
	all      []*simNode
	workers  []*simWorker
	cutZones map[string]bool // from other zones
	noLog    map[string]bool // zones that can't read the log
	cutPeers map[string]bool // nodes that no peer hears
	loseCall bool
	pauses   map[string]time.Time // until when a node stands still
}

func newSimFleet(seed int64) *simFleet {
	f := &simFleet{
		ledger: newLedger(), rng: rand.New(rand.NewSource(seed)), zones: []string{"a", "b", "c"},
		nodes: map[string]*simNode{}, cutZones: map[string]bool{}, noLog: map[string]bool{}, cutPeers: map[string]bool{}, pauses: map[string]time.Time{},
		wire: &simWire{listeners: map[string]*simListener{}}, net: newFakeNet(),
		limits: Limits{AnswerBytes: 8 << 10, ClaimHorizon: 30 * time.Second, ClaimSkew: 200 * time.Millisecond, OverrunTime: time.Minute, AnswerHeld: 5 * time.Second},
	}
	f.wire.blocked = f.apart
	f.net.cut = f.apart
	f.net.stall = f.stall
	f.wire.stall = f.stall
	f.view = viewOf(f.zones)
	for _, zone := range f.zones {
		for i := range 3 {
			if zone == "c" && seed%2 == 0 {
				break // its requests are relayed
			}
			f.addWorker(fmt.Sprintf("w-%s%d", zone, i), zone)
		}
		f.view.Entry[zone] = structs.EntryEpoch{Zone: zone, Epoch: 1, Members: []structs.EntryMember{simMember(zone, 1, 1), simMember(zone, 2, 1)}}
	}
	for _, zone := range f.zones {
		for _, m := range f.view.Entry[zone].Members {
			f.boot(m, zone)
		}
	}
	f.push()
	return f
}

func simMember(zone string, n int, incarnation uint64) structs.EntryMember {
	name := fmt.Sprintf("entry-%s%d", zone, n)
	return structs.EntryMember{Node: name, Incarnation: incarnation, PeerAddress: fmt.Sprintf("%s-%d", name, incarnation)}
}

func (f *simFleet) addWorker(id, zone string) {
	w := &simWorker{id: id, zone: zone, ledger: f.ledger, slots: 4, busy: map[*simLink]int{}, notActive: f.notActive}
	w.server = serveSim(f.wire.listen(id), w)
	f.workers = append(f.workers, w)
	vm := worker(id, zone, id)
	vm.Slots = 4
	f.view.VMs = append(f.view.VMs, vm)
}

func (f *simFleet) boot(m structs.EntryMember, zone string) {
	n := &simNode{member: m, zone: zone, fleet: &simView{out: map[string]time.Time{}}, killed: make(chan struct{})}
	n.peers = f.net.join(m)
	n.server = New(Config{
		Node: m.Node, Zone: zone, Region: "r", Incarnation: m.Incarnation, PeerKey: []byte("key"),
		Limits: f.limits, Fleet: n.fleet, Peers: n.peers,
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			if n.peers.dead.Load() {
				return nil, errCut
			}
			return f.wire.dial(ctx, m.Node, strings.TrimSuffix(address, ":80"))
		},
	})
	n.server.claims.off = f.noClaim
	mux := http.NewServeMux()
	mux.Handle(RelayPath+"/", n.server.RelayHandler())
	n.relay = serveSim(f.wire.listen(m.PeerAddress), mux)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.server.Run(ctx) }()
	f.nodes[m.Node] = n
	f.all = append(f.all, n)
}

// zoneOf returns the zone in a node's, worker's or peer's name.
func zoneOf(name string) string {
	for i := range name {
		if name[i] == '-' {
			return name[i+1 : i+2]
		}
	}
	return ""
}

// apart says whether two names can't reach each other now.
func (f *simFleet) apart(a, b string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	za, zb := zoneOf(a), zoneOf(b)
	if za != zb && (f.cutZones[za] || f.cutZones[zb]) {
		return true
	}
	if b[0] == 'w' {
		return false
	}
	return f.cutPeers[a] || f.cutPeers[b] || (f.loseCall && f.rng.Intn(3) == 0)
}

// stall waits while a node is paused.
func (f *simFleet) stall(ctx context.Context, node string) {
	if left := time.Until(f.pausedUntil(node)); left > 0 {
		pause.For(ctx, left)
	}
}

func (f *simFleet) pausedUntil(node string) time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.pauses[node]
}

// notActive says since when a node's view takes a worker out.
func (f *simFleet) notActive(node, vm string) (time.Time, bool) {
	f.lock.Lock()
	n := f.nodes[node]
	f.lock.Unlock()
	n.fleet.lock.Lock()
	defer n.fleet.lock.Unlock()
	at, ok := n.fleet.out[vm]
	return at, ok
}

// change publishes a new view.
func (f *simFleet) change(edit func(v *structs.View)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	next := *f.view
	next.VMs = append([]structs.VMStatus(nil), f.view.VMs...)
	next.Entry = map[string]structs.EntryEpoch{}
	for zone, epoch := range f.view.Entry {
		next.Entry[zone] = epoch
	}
	edit(&next)
	f.view = &next
}

// push lets the nodes that can read the log see the latest view.
func (f *simFleet) push() {
	f.lock.Lock()
	view := f.view
	var readers []*simNode
	for _, n := range f.nodes {
		if !f.noLog[n.zone] && time.Now().After(f.pauses[n.member.Node]) && !n.peers.dead.Load() {
			readers = append(readers, n)
		}
	}
	f.lock.Unlock()
	for _, n := range readers {
		n.fleet.show(view)
	}
}

// setVM changes a worker's state in the log.
func (f *simFleet) setVM(id string, state structs.VMState) (sequence uint64) {
	f.change(func(v *structs.View) {
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

// kill ends a run of a node at once.
func (f *simFleet) kill(n *simNode) {
	n.peers.dead.Store(true)
	close(n.killed)
	mine := func(l *simLink) bool { return l.from == n.member.Node || l.to == n.member.PeerAddress }
	f.wire.each(mine, func(c *simConn) { c.killed.Store(true) })
	f.wire.each(mine, func(c *simConn) { _ = c.Close() })
	_ = n.relay.Close()
}

// replace appends the next epoch of a zone, with new runs of the dead nodes.
func (f *simFleet) replace(zone string) {
	var fresh []structs.EntryMember
	f.change(func(v *structs.View) {
		epoch := v.Entry[zone]
		members := append([]structs.EntryMember(nil), epoch.Members...)
		for i, m := range members {
			if f.nodes[m.Node].peers.dead.Load() {
				m.Incarnation++
				m.PeerAddress = fmt.Sprintf("%s-%d", m.Node, m.Incarnation)
				members[i] = m
				fresh = append(fresh, m)
			}
		}
		v.Entry[zone] = structs.EntryEpoch{Zone: zone, Epoch: epoch.Epoch + 1, Members: members}
		for _, m := range fresh {
			f.boot(m, zone)
		}
	})
}

// pickNode returns a live node.
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

// stop ends the round; every goroutine of the bubble must end.
func (f *simFleet) stop() {
	for _, n := range f.all {
		if err := n.server.Stop(context.Background()); err != nil {
			f.ledger.violated("stop: %v", err)
		}
		n.stop()
		_ = n.relay.Close()
		if v := n.server.Stats().Violations; v > 0 {
			f.ledger.violated("%s counted %d violations itself", n.member.Node, v)
		}
	}
	for _, w := range f.workers {
		_ = w.server.Close()
	}
	f.wire.each(func(*simLink) bool { return true }, func(c *simConn) { _ = c.Close() })
}
