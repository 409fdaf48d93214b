package jobhost

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
	"wigeonwinch/node/timeline"
)

// Host is the job part of one entry node.
type Host struct {
	cfg  Config
	boot int64
	mesh *peer.Mesh

	// inbox feeds the control goroutine; all fields up to the blank line
	// belong to it.
	inbox       chan func()
	nodes       map[string]*nodeView
	owned       map[deps.Partition]*ownedShard
	claiming    map[deps.Partition]bool
	vacantAt    map[deps.Partition]int64
	announced   map[deps.Partition]ownership
	announcedAt map[deps.Partition]int64
	workers     map[string]deps.WorkerChange
	waves       map[int]*deps.Wave
	waveSeenAt  map[int]int64
	startedAt   int64
	nodesOK     int64
	// lookedAt is when the owners were last looked at.
	lookedAt int64
	// readsSince is since when the nodes' heartbeats are read without a gap.
	readsSince int64
	stopping   bool
	fleet      *fleetDuty

	config atomic.Pointer[deps.Configuration]
	owners atomic.Pointer[map[deps.Partition]ownership]
	// former are the shards of the services that queues were on before.
	former    atomic.Pointer[map[string][]deps.Partition]
	heartbeat atomic.Pointer[confirmed]
	ownedView atomic.Pointer[[]ownership]
	wakeBeat  chan struct{}
	leaving   atomic.Bool
	// beatPace is how heartbeats are written; crowded says that the fleet is large
	// enough for some to write rarely.
	beatPace  atomic.Int32
	crowded   atomic.Bool
	ticket    atomic.Uint64
	pending   pendingReplies
	needLists atomic.Bool
	// expecting says that VMs are on their way to a shard of this node.
	expecting  atomic.Bool
	listsKnown atomic.Bool
	peerServer *http.Server
	left       chan struct{}
	closed     chan struct{}
	stats      hostStats
	// quietMS is set once, before the last heartbeat.
	quietMS int64
}

// New returns a host; nothing runs before Run.
func New(cfg Config) *Host {
	if cfg.Events == nil {
		cfg.Events = events.Discard{}
	}
	if cfg.Boot == 0 {
		cfg.Boot = time.Now().UnixNano()
	}
	h := &Host{
		cfg: cfg, boot: cfg.Boot,
		inbox: make(chan func(), inboxSize), nodes: map[string]*nodeView{},
		owned: map[deps.Partition]*ownedShard{}, claiming: map[deps.Partition]bool{},
		vacantAt: map[deps.Partition]int64{}, announced: map[deps.Partition]ownership{}, announcedAt: map[deps.Partition]int64{},
		workers: map[string]deps.WorkerChange{}, waves: map[int]*deps.Wave{}, waveSeenAt: map[int]int64{},
		startedAt: steadyMS(), wakeBeat: make(chan struct{}, 1),
		left: make(chan struct{}), closed: make(chan struct{}),
	}
	h.owners.Store(&map[deps.Partition]ownership{})
	h.ownedView.Store(&[]ownership{})
	h.pending.waiting = map[uint64]chan reply{}
	h.mesh = cfg.Peers
	if h.mesh == nil {
		h.mesh = peer.New(h.peerConfig())
	}
	h.handleMessages()
	return h
}

func (h *Host) address() string { return net.JoinHostPort(h.cfg.IP, strconv.Itoa(h.cfg.PeerPort)) }

func (h *Host) peerConfig() peer.Config {
	return peer.Config{
		Node: h.cfg.Node, Zone: h.cfg.Zone, Incarnation: uint64(h.boot), Address: h.address(),
		Key: h.cfg.PeerKey, Events: h.cfg.Events, Clock: timeline.NewClock(time.Now),
		Limits: peer.Limits{
			PingInterval: time.Second, PingTimeout: time.Second, SilenceBound: 3 * time.Second,
			HandshakeTimeout: time.Second, MaxBackoff: time.Second, HandlerTimeout: requestTimeout,
		},
	}
}

// Run works until the context ends, then hands its shards over.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.address())
	if err != nil {
		return errors.Wrapf(err, "the port for other nodes can't be opened: check ip and internal ports")
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, h.mesh.Handler())
	h.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout}
	go func() { _ = h.peerServer.Serve(listener) }()
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = h.mesh.Run(inner) }()
	go h.beat(inner)
	go h.followNodes(inner)
	go h.followIdle(inner)
	go h.followOperator(inner)
	go h.followWorkers(inner)
	go h.runFleet(inner)
	h.loop(ctx)
	h.leave()
	close(h.left)
	h.passOnOnly()
	_ = h.peerServer.Close()
	return nil
}

// Left is closed once all shards are handed over.
func (h *Host) Left() <-chan struct{} { return h.left }

// Close ends Run after the shards were handed over.
func (h *Host) Close() { close(h.closed) }

// passOnOnly keeps answering callers through other nodes until Close.
func (h *Host) passOnOnly() {
	for {
		select {
		case f := <-h.inbox:
			f()
		case <-h.closed:
			return
		}
	}
}

// loop is the control goroutine.
func (h *Host) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case f := <-h.inbox:
			f()
			h.drainInbox()
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		h.advance()
	}
}

// drainInbox handles what else has come, so that one pass over the shards
// serves many events.
func (h *Host) drainInbox() {
	for range 256 {
		select {
		case f := <-h.inbox:
			f()
		default:
			return
		}
	}
}

// post hands an event to the control goroutine.
func (h *Host) post(f func()) { h.inbox <- f }

// ask runs f on the control goroutine and waits for it.
func (h *Host) ask(ctx context.Context, f func()) error {
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

// advance lets every owned shard do what is due.
func (h *Host) advance() {
	now, wall := steadyMS(), wallMS()
	if now-h.lookedAt >= tick.Milliseconds() {
		h.lookedAt = now
		h.paceHeartbeats(now)
		h.lookForVacant(now)
	}
	h.expireCordons(now)
	for _, s := range h.sortedOwned() {
		beat, proven := h.right(s)
		if !proven {
			h.prove(s)
		}
		if s.core == nil {
			h.store(s)
			continue
		}
		if proven {
			s.core.SetRight(beat.sentAt+startRight.Milliseconds(), beat.sentAt+leaseRight.Milliseconds())
		}
		s.core.SetStoreDown(s.failingSince != 0 && now-s.failingSince > storeDownAfter.Milliseconds())
		s.core.Advance(now, wall)
		if s.core.Deposed() {
			h.drop(s, "a worker obeys a newer owner")
			continue
		}
		h.carryOut(s)
	}
}

// record hands an event to the log with the node's part of the fields.
func (h *Host) record(n events.Number, f events.Fields) { h.cfg.Events.Record(n, f) }
