package jobhost

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/peer"
	"wigeonwinch/node/timeline"
)

// Host is the job part of one entry node.
type Host struct {
	cfg         Config
	incarnation int64
	mesh        *peer.Mesh

	// inbox holds functions for the control loop. All fields up to the blank
	// line belong to the control loop.
	inbox            chan func()
	nodes            map[string]*nodeState
	owned            map[deps.Partition]*ownedShard
	takingOver       map[deps.Partition]bool
	vacantSince      map[deps.Partition]int64
	announcedOwners  map[deps.Partition]ownership
	ownerAnnouncedAt map[deps.Partition]int64
	workers          map[string]deps.WorkerChange
	// unnamedWorkers are the entries whose service the configuration does not name.
	unnamedWorkers map[string]deps.WorkerChange
	waves          map[int]*deps.Wave
	waveSeenAt     map[int]int64
	startedAt      int64
	// nodesReadAt is when the last successful read of nodesPartition was sent.
	nodesReadAt int64
	// workersReadAt is when the last successful read of the workers' entries was
	// sent.
	workersReadAt int64
	// ownersCheckedAt is when the owners of the shards were last checked.
	ownersCheckedAt int64
	// readsUnbrokenSince is the time since which nodesPartition has been read
	// without a gap.
	readsUnbrokenSince int64
	stopping           bool
	fleet              *fleetController
	// arbiter hands out the room below the customers' caps while this node owns the
	// fleet partition; else nil.
	arbiter *room.Arbiter
	// customersViewedAt is when customerView was last updated.
	customersViewedAt int64
	relays            *relayedOrders
	orders            *orderQueues
	forwarded         forwardBudget

	homes              *queueHomes
	config             atomic.Pointer[deps.Configuration]
	owners             atomic.Pointer[map[deps.Partition]ownership]
	confirmedHeartbeat atomic.Pointer[confirmedHeartbeat]
	customerView       atomic.Pointer[[]shard.CustomerSummary]
	ownedView          atomic.Pointer[ownedView]
	runTimesView       atomic.Pointer[runTimesView]
	heartbeatTrigger   chan struct{}
	leaving            atomic.Bool
	// heartbeatMode is the current heartbeat mode. largeFleet reports that the
	// fleet is large enough for nodes without shards to send infrequent
	// heartbeats.
	heartbeatMode atomic.Int32
	largeFleet    atomic.Bool
	// nextCandidate reports that the owner of a shard is late or missing and this node
	// is among the next takeover candidates.
	nextCandidate atomic.Bool
	ticket        atomic.Uint64
	pending       pendingReplies
	// needWorkers reports that this node owns a job shard. workersNeeded wakes
	// the reader of the workers' entries when it gets the first one.
	needWorkers   atomic.Bool
	workersNeeded chan struct{}
	// expectingVMs reports that VMs are moving to a shard of this node.
	expectingVMs atomic.Bool
	workersKnown atomic.Bool
	peerServer   *http.Server
	handedOver   chan struct{}
	closed       chan struct{}
	stats        hostStats
	// actionIdleMS is set once, before the last heartbeat.
	actionIdleMS atomic.Int64
}

// New returns a host. Nothing runs before Run.
func New(cfg Config) *Host {
	if cfg.Events == nil {
		cfg.Events = events.Discard{}
	}
	cfg.TakeoverGapMS = max(cfg.TakeoverGapMS, minTakeoverGap.Milliseconds())
	if cfg.Incarnation == 0 {
		cfg.Incarnation = time.Now().UnixNano()
	}
	if cfg.PeerConnections == nil {
		cfg.PeerConnections = intake.NewGate(intake.LimitsFor(0, 0), cfg.Events).PeerPort()
	}
	h := &Host{
		cfg: cfg, incarnation: cfg.Incarnation,
		inbox: make(chan func(), inboxSize), nodes: map[string]*nodeState{},
		owned: map[deps.Partition]*ownedShard{}, takingOver: map[deps.Partition]bool{},
		vacantSince: map[deps.Partition]int64{}, announcedOwners: map[deps.Partition]ownership{}, ownerAnnouncedAt: map[deps.Partition]int64{},
		workers: map[string]deps.WorkerChange{}, unnamedWorkers: map[string]deps.WorkerChange{}, waves: map[int]*deps.Wave{}, waveSeenAt: map[int]int64{},
		startedAt: monotonicMS(), heartbeatTrigger: make(chan struct{}, 1), workersNeeded: make(chan struct{}, 1),
		handedOver: make(chan struct{}), closed: make(chan struct{}),
	}
	h.forwarded.limit = cfg.ForwardedBytes
	h.relays, h.orders = newRelayedOrders(h), newOrderQueues()
	h.homes = newQueueHomes(h)
	h.owners.Store(&map[deps.Partition]ownership{})
	h.ownedView.Store(&ownedView{})
	h.pending.waiting = map[uint64]chan reply{}
	h.mesh = cfg.Peers
	if h.mesh == nil {
		h.mesh = peer.New(h.peerConfig())
	}
	h.registerHandlers()
	return h
}

func (h *Host) address() string { return net.JoinHostPort(h.cfg.IP, strconv.Itoa(h.cfg.PeerPort)) }

func (h *Host) peerConfig() peer.Config {
	return peer.Config{
		Node: h.cfg.Node, Zone: h.cfg.Zone, Incarnation: uint64(h.incarnation), Address: h.address(),
		Key: h.cfg.PeerKey, Events: h.cfg.Events, Clock: timeline.NewClock(time.Now),
		Limits: peer.Limits{
			PingInterval: time.Second, PingTimeout: time.Second, SilenceTimeout: 3 * time.Second,
			HandshakeTimeout: time.Second, MaxBackoff: time.Second, HandlerTimeout: requestTimeout,
		},
	}
}

// Run runs the host until the context ends, then hands its shards over and
// forwards requests until Close. If it returns an error, the host never owned a
// shard and Close is not needed.
func (h *Host) Run(ctx context.Context) error {
	port := h.cfg.PeerConnections
	listener, err := port.Listen(h.address())
	if err != nil {
		close(h.handedOver)
		return errors.Wrapf(err, "cannot listen for connections from other nodes: check ip and internal ports")
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, h.mesh.Handler())
	h.peerServer = port.Server(mux)
	go func() { _ = h.peerServer.Serve(listener) }()
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = h.mesh.Run(inner) }()
	go h.runHeartbeats(inner)
	go h.followNodes(inner)
	go h.followIdle(inner)
	go h.followOperator(inner)
	go h.followWorkers(inner)
	go h.runFleetController(inner)
	h.controlLoop(ctx)
	h.leave()
	close(h.handedOver)
	h.forwardOnly()
	_ = h.peerServer.Close()
	return nil
}

// HandedOver returns a channel that is closed once all shards are handed over,
// or when Run fails.
func (h *Host) HandedOver() <-chan struct{} { return h.handedOver }

// Close ends Run after the shards were handed over.
func (h *Host) Close() { close(h.closed) }

// forwardOnly keeps answering callers through other nodes until Close.
func (h *Host) forwardOnly() {
	for {
		select {
		case f := <-h.inbox:
			h.contain(f)
		case <-h.closed:
			return
		}
	}
}

// controlLoop runs the functions from the inbox and advances the shards until
// the context ends.
func (h *Host) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	var pacer passPacer
	pauseOver := time.NewTimer(0)
	defer pauseOver.Stop()
	for {
		select {
		case f := <-h.inbox:
			h.contain(f)
			h.drainInbox()
		case <-ticker.C:
		case <-pauseOver.C:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		if rest := pacer.remaining(began); rest > 0 {
			pauseOver.Reset(rest)
			continue
		}
		h.contain(h.advance)
		pacer.passed(began, time.Now())
	}
}

// contain runs f and survives a panic in it. The state of the owned shards may be
// incomplete then, so they are given up: this or another node restores them from
// the store.
func (h *Host) contain(f func()) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		h.record(events.PanicContained, events.Fields{Err: errors.Errorf("%v", v), Detail: string(debug.Stack())})
		for _, s := range h.sortedOwned() {
			h.dropShard(s, "a defect was met in the control loop")
		}
	}()
	f()
}

// drainInbox runs further queued functions, so that one pass over the shards
// serves many events.
func (h *Host) drainInbox() {
	for range 256 {
		select {
		case f := <-h.inbox:
			h.contain(f)
		default:
			return
		}
	}
}

// post queues a function for the control loop.
func (h *Host) post(f func()) { h.inbox <- f }

// runOnLoop runs f on the control loop and waits for it.
func (h *Host) runOnLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case h.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// advance runs the work that is due on every owned shard.
func (h *Host) advance() {
	now, wall := monotonicMS(), wallMS()
	if now-h.ownersCheckedAt >= loopInterval.Milliseconds() {
		h.ownersCheckedAt = now
		h.updateHeartbeatMode(now)
		h.takeOverVacantShards(now)
		h.relays.expire(now)
		h.viewRunTimes()
	}
	h.relays.plan(now)
	h.expireCordons(now)
	h.updateCustomerView(now)
	for _, s := range h.sortedOwned() {
		hb, verified := h.verifiedHeartbeat(s)
		if !verified {
			h.verifyOwnership(s)
		}
		h.storeEarlierLeases(s, now)
		if s.core == nil {
			h.appendNext(s)
			continue
		}
		if verified {
			s.core.SetOwnershipDeadlines(hb.sentAt+startWindow.Milliseconds(), hb.sentAt+leaseExtensionWindow.Milliseconds())
		}
		s.core.SetStateRoom(h.stateRoom(s))
		s.core.SetStoreDown(s.appendFailingSince != 0 && now-s.appendFailingSince > storeDownAfter.Milliseconds())
		s.core.Advance(now, wall)
		if s.core.Deposed() {
			h.dropShard(s, "a worker reported a newer owner")
			continue
		}
		h.prolongEarlierLeases(s, now)
		h.exchangeRoom(s, now)
		h.dispatchOrders(s)
	}
	h.relays.flush()
}

// record writes an event to the event log.
func (h *Host) record(n events.Number, f events.Fields) { h.cfg.Events.Record(n, f) }
