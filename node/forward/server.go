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

// RelayPath is where RelayHandler is mounted on the peer port.
const RelayPath = "/v1/relay"

// relayTokenLabel keeps the relay token apart from other uses of the peer key.
const relayTokenLabel = "wigeonwinch relay"

// Server is the request path of one entry node. Its methods may be called
// from any goroutine.
type Server struct {
	cfg        Config
	self       claims.Member
	relayToken string
	transports transports

	refreshing sync.Mutex
	// latest is the view whose workers the pools may name already; routes
	// follows when the pools are in line with it.
	latest atomic.Pointer[structs.View]
	routes atomic.Pointer[routes]

	poolsLock sync.RWMutex
	pools     map[string]*pool

	teams   teamBook
	signs   leavingSigns
	claims  claimSide
	lending lending
	spare   spareSlots
	counts  counters

	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	stopping  atomic.Bool
	// detached counts the works that go on without their handler.
	detached sync.WaitGroup
	changed  chan struct{}
}

// New returns a server that is not running yet.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	self := claims.Member{Node: cfg.Node, Incarnation: cfg.Incarnation}
	s := &Server{
		cfg:        cfg,
		self:       self,
		relayToken: relayToken(cfg.PeerKey),
		transports: newTransports(cfg),
		pools:      make(map[string]*pool),
		changed:    make(chan struct{}, 1),
	}
	s.teams.limits = make(map[string]*teamLimit)
	s.signs.byVM = make(map[string]sign)
	s.claims.init(cfg, self)
	s.spare.init()
	s.lending.ledger = slots.New(cfg.Node, slots.Options{})
	s.handlePeers()
	return s
}

// relayToken is what entry nodes show each other on relayed requests.
func relayToken(key []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(relayTokenLabel))
	return "Bearer " + hex.EncodeToString(mac.Sum(nil))
}

// Handler returns the handler of the callers' port.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		s.serve(w, h, false)
	})
}

// RelayHandler returns the handler for requests that other entry nodes pass
// on. It is mounted under RelayPath on the peer port.
func (s *Server) RelayHandler() http.Handler {
	return http.StripPrefix(RelayPath, http.HandlerFunc(s.serveRelayed))
}

func (s *Server) serveRelayed(w http.ResponseWriter, h *http.Request) {
	if !s.isPeer(h) || h.Header.Get(HeaderRelayed) == "" {
		e := notRun(http.StatusForbidden, ReasonNotAllowed, "only entry nodes that hold the peer key may relay; check the settings")
		s.respond(w, &request{http: h}, e)
		return
	}
	h.Header.Del("Authorization")
	if auth := h.Header.Get(headerCallerAuthorization); auth != "" {
		h.Header.Set("Authorization", auth)
		h.Header.Del(headerCallerAuthorization)
	}
	s.serve(w, h, true)
}

// isPeer says whether a request shows one of the peer keys.
func (s *Server) isPeer(h *http.Request) bool {
	shown := []byte(h.Header.Get("Authorization"))
	if hmac.Equal(shown, []byte(s.relayToken)) {
		return true
	}
	return len(s.cfg.OtherPeerKey) > 0 && hmac.Equal(shown, []byte(relayToken(s.cfg.OtherPeerKey)))
}

// Configure sets the limits of the server that serves the callers' port.
func (s *Server) Configure(server *http.Server) {
	limits := s.cfg.Limits
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.IdleTimeout
	server.MaxHeaderBytes = limits.HeaderBytes
}

// refresh returns the routes of the latest view; nil while there is none.
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
	s.teams.set(rt.view.Teams)
	s.claims.follow(s.cfg.Clock(), s.cfg.Zone, rt)
	s.followSlots(rt)
	s.spare.forget(rt)
	s.latest.Store(view)
	s.setPools(rt)
	s.routes.Store(rt)
	return rt
}

// Run keeps the timers until ctx ends: it follows the view, verifies the
// entry epoch with the zone's members and takes claims over from them.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.changed:
			pause.For(ctx, lendingInterval)
		}
	}
}

// runInterval is how often Run looks at the view and the claims.
const runInterval = 250 * time.Millisecond

func (s *Server) tick(ctx context.Context) {
	tailAt := s.tailReadAt()
	rt := s.refresh()
	if rt == nil {
		return
	}
	now := s.cfg.Clock()
	if s.signs.expire(now) {
		s.applySigns()
	}
	s.followClaims(ctx, rt, tailAt)
	s.lend(now)
	s.tellSpare(now, rt)
}

// tailReadAt returns how fresh the view is; zero when the fleet doesn't say.
// It must be read before the view.
func (s *Server) tailReadAt() time.Time {
	if tail, ok := s.cfg.Fleet.(TailReader); ok {
		return tail.TailReadAt()
	}
	return time.Time{}
}

// Stop ends the server gracefully: new requests are not taken, those in
// progress are finished, and the claims stay readable until ctx ends or the
// last work has ended.
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

// stopInterval is how often Stop looks whether the last request has ended.
const stopInterval = 10 * time.Millisecond

// violated reports a broken invariant; the act that would break it is not
// done.
func (s *Server) violated(r *request, detail string) {
	s.counts.violations.Add(1)
	s.cfg.Events.Record(events.ForwardViolation, events.Fields{Request: r.ID, Pool: r.Pool, Service: r.Service, Team: r.Team, Detail: detail})
}
