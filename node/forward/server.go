package forward

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/dispatch/slots"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

// RelayPath is the path on the peer port under which RelayHandler is mounted.
const RelayPath = "/v1/relay"

// relayTokenLabel separates the relay token from other uses of the peer key.
const relayTokenLabel = "wigeonwinch relay"

// Server is the request path of one entry node. Its methods are safe for
// concurrent use.
type Server struct {
	cfg        Config
	self       claims.Member
	relayToken string
	transports transports

	refreshing sync.Mutex
	// latestView is the view whose workers the pools may already assign.
	// routes is set to the same view once the pools are updated.
	latestView atomic.Pointer[structs.View]
	routes     atomic.Pointer[routes]

	poolsLock sync.RWMutex
	pools     map[string]*pool

	teams       teamLimits
	signals     workerSignals
	claims      claimState
	lending     lending
	remoteSlots remoteSlots
	counts      counters

	inFlight atomic.Int64
	stopping atomic.Bool
	// detached counts the executions that may continue without their handler.
	detached sync.WaitGroup
	wake     chan struct{}
}

// New returns a server that is not yet running.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	self := claims.Member{Node: cfg.Node, Incarnation: cfg.Incarnation}
	s := &Server{
		cfg:        cfg,
		self:       self,
		relayToken: relayToken(cfg.PeerKey),
		transports: newTransports(cfg),
		pools:      make(map[string]*pool),
		wake:       make(chan struct{}, 1),
	}
	s.teams.limits = make(map[string]*teamLimit)
	s.signals.byVM = make(map[string]workerSignal)
	s.claims.init(cfg, self)
	s.remoteSlots.init()
	s.lending.ledger = slots.New(cfg.Node, slots.Options{})
	s.registerPeerHandlers()
	return s
}

// relayToken returns the token with which entry nodes authorize relayed
// requests.
func relayToken(key []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(relayTokenLabel))
	return "Bearer " + hex.EncodeToString(mac.Sum(nil))
}

// Handler returns the handler for the callers' port.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, httpReq *http.Request) {
		s.serve(w, httpReq, false)
	})
}

// RelayHandler returns the handler for requests that other entry nodes relay.
// It is mounted under RelayPath on the peer port.
func (s *Server) RelayHandler() http.Handler {
	return http.StripPrefix(RelayPath, http.HandlerFunc(s.serveRelayed))
}

func (s *Server) serveRelayed(w http.ResponseWriter, httpReq *http.Request) {
	if !s.hasPeerKey(httpReq) || httpReq.Header.Get(HeaderRelayed) == "" {
		res := notRunResult(http.StatusForbidden, ReasonNotAllowed, "only entry nodes that hold the peer key may relay; check the settings")
		s.respond(w, &request{http: httpReq}, res)
		return
	}
	httpReq.Header.Del("Authorization")
	if auth := httpReq.Header.Get(headerCallerAuthorization); auth != "" {
		httpReq.Header.Set("Authorization", auth)
		httpReq.Header.Del(headerCallerAuthorization)
	}
	s.serve(w, httpReq, true)
}

// hasPeerKey reports whether a request is authorized with one of the peer
// keys.
func (s *Server) hasPeerKey(httpReq *http.Request) bool {
	presented := []byte(httpReq.Header.Get("Authorization"))
	if hmac.Equal(presented, []byte(s.relayToken)) {
		return true
	}
	return len(s.cfg.SecondaryPeerKey) > 0 && hmac.Equal(presented, []byte(relayToken(s.cfg.SecondaryPeerKey)))
}

// ConfigureHTTPServer sets the limits of the HTTP server on the callers'
// port.
func (s *Server) ConfigureHTTPServer(server *http.Server) {
	limits := s.cfg.Limits
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.IdleTimeout
	server.MaxHeaderBytes = limits.HeaderBytes
}

// refresh returns the routes of the latest view, or nil if there is no view
// yet.
func (s *Server) refresh() *routes {
	view := s.cfg.Fleet.View()
	rt := s.routes.Load()
	if view == nil || (rt != nil && rt.view == view) {
		return rt
	}
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	view = s.cfg.Fleet.View()
	rt = s.routes.Load()
	if rt != nil && rt.view == view {
		return rt
	}
	rt = newRoutes(view)
	s.teams.update(rt.view.Teams)
	s.claims.applyView(s.cfg.Clock(), s.cfg.Zone, rt)
	s.updateLedger(rt)
	s.remoteSlots.prune(rt)
	s.latestView.Store(view)
	s.updatePools(rt)
	s.routes.Store(rt)
	return rt
}

// Run performs the periodic tasks until ctx ends: it applies the latest view,
// verifies the entry epoch with the zone's members and takes over claims from
// former home nodes.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
			pause.For(ctx, lendingDelay)
		}
	}
}

// runInterval is how often Run checks the view and the claims.
const runInterval = 250 * time.Millisecond

func (s *Server) tick(ctx context.Context) {
	tailAt := s.tailReadAt()
	rt := s.refresh()
	if rt == nil {
		return
	}
	now := s.cfg.Clock()
	if s.signals.expire(now) {
		s.applySignals()
	}
	s.maintainClaims(ctx, rt, tailAt)
	s.lendSlots(now)
	s.sendFreeSlots(now, rt)
}

// tailReadAt returns when the latest read that reached the tail of the log was
// sent; zero when the fleet does not report it. It must be called before the
// view is read.
func (s *Server) tailReadAt() time.Time {
	if tail, ok := s.cfg.Fleet.(TailReader); ok {
		return tail.TailReadSentAt()
	}
	return time.Time{}
}

// Stop stops the server gracefully. It rejects new requests, waits for those
// in progress, and keeps the claims readable until ctx ends or the last
// execution has finished.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for s.inFlight.Load() > 0 {
			time.Sleep(stopInterval)
		}
		s.detached.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.transports.close()
	s.closePools()
	return nil
}

// stopInterval is how often Stop checks whether the last request has
// finished.
const stopInterval = 10 * time.Millisecond

// recordViolation records a broken invariant. The caller must not perform the
// action that would break it.
func (s *Server) recordViolation(r *request, detail string) {
	s.counts.violations.Add(1)
	s.cfg.Events.Record(events.ForwardViolation, events.Fields{Request: r.ID, Pool: r.Pool, Service: r.Service, Team: r.Team, Detail: detail})
}
