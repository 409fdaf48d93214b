// Package admin implements the administration API of a node: HTTP with JSON
// bodies, and problem details (RFC 9457) for errors. docs/API.md lists the
// routes.
//
//	api := admin.New(admin.Config{Control: loop, ...})
//	http.Serve(listener, api.Handler())
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

// Version is the version in the paths of the API.
const Version = "v1"

// maxBodyBytes is the maximum size of a request body, in bytes.
const maxBodyBytes = 4 << 20

// Control is the part of the control loop that the API uses.
type Control interface {
	View() *structs.View
	Ready() (bool, string)
	Append(ctx context.Context, rec structs.Record) (structs.Verdict, error)
	Lookup(key string) (structs.Verdict, bool)
	// CheckPublish returns every reason for which the current control state
	// would refuse the publish.
	CheckPublish(ctx context.Context, p *structs.Publish) []*state.Refusal
}

// Timeline gives access to the node's recorded events.
type Timeline interface {
	Select(f timeline.Filter) []timeline.Entry
}

// Config holds the data sources and tokens of the API.
type Config struct {
	Node    string
	Zone    string
	Control Control
	// Status returns the status of this node. It is encoded as JSON.
	Status func() any
	// Requests returns the statistics of the request path. They are encoded as
	// JSON.
	Requests func() any
	// Forecast returns the wave forecasts of the last planning round on this
	// node. It is empty on nodes that do not hold the planner's lease.
	Forecast func() []planner.WaveForecast
	Timeline Timeline
	Metrics  http.Handler
	Events   events.Recorder
	// ReadTokens grant RoleRead. PublishTokens grant RoleRead and RolePublish.
	ReadTokens    []string
	PublishTokens []string
}

// API is the administration API of one node.
type API struct {
	cfg Config
}

// New returns an API for the given configuration.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Role is the permission that a route requires.
type Role string

// The roles. Routes with RoleNone need no token.
const (
	RoleNone    Role = "none"
	RoleRead    Role = "read"
	RolePublish Role = "publish"
)

// Route is one route of the API.
type Route struct {
	Method string
	Path   string
	Role   Role
	// Meaning is the description of the route in docs/API.md.
	Meaning string
	// Query describes the query parameters in docs/API.md.
	Query string

	serve func(a *API, w http.ResponseWriter, r *http.Request)
}

// Routes returns all routes of the API.
func Routes() []Route {
	return []Route{
		{"GET", "/v1/health", RoleNone, "200 while the process lives.", "", (*API).health},
		{"GET", "/v1/ready", RoleNone, "200 when the node takes requests, else 503 with the reason. For the balancer.", "", (*API).ready},
		{"GET", "/metrics", RoleNone, "OpenTelemetry metrics in the usual scrape format.", "", (*API).metrics},
		{"GET", "/v1/status", RoleRead, "The node's own standing: offset, generation, platform contact, lease, peers and their offsets.", "", (*API).status},
		{"GET", "/v1/state", RoleRead, "Counts of the control state at the node's offset.", "", (*API).state},
		{"GET", "/v1/pools", RoleRead, "Pools with their VMs by state.", "", (*API).pools},
		{"GET", "/v1/services", RoleRead, "Services with their budgets and how much is available.", "", (*API).services},
		{"GET", "/v1/vms", RoleRead, "VMs with pool and state.", "`pool`, `zone`, `state`: only these", (*API).vms},
		{"GET", "/v1/waves", RoleRead, "Waves with progress and forecast.", "", (*API).waves},
		{"GET", "/v1/teams", RoleRead, "Teams with their quotas.", "", (*API).teams},
		{"GET", "/v1/members", RoleRead, "Entry nodes by availability zone, as agreed in the log.", "", (*API).members},
		{"GET", "/v1/requests", RoleRead, "Figures of the request path.", "", (*API).requests},
		{"GET", "/v1/timeline", RoleRead, "Events of this node, oldest first.", "`since` (RFC 3339), `request`, `vm`, `limit` (default 1000)", (*API).timeline},
		{"GET", "/v1/manifest", RoleRead, "The manifest in force, with its generation as `base_generation`.", "", (*API).manifest},
		{"POST", "/v1/manifest/check", RoleRead, "Checks a manifest without publishing it.", "", (*API).checkManifest},
		{"POST", "/v1/manifest", RolePublish, "Publishes a manifest. Safe to send again: the same body has the same key.", "", (*API).publishManifest},
		{"GET", "/v1/publishes/{key}", RoleRead, "The outcome of a publish by its key.", "", (*API).publishOutcome},
	}
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range Routes() {
		mux.HandleFunc(route.Method+" "+route.Path, a.authorize(route))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, http.StatusNotFound, Problem{
			Title:  "no such route",
			Detail: r.Method + " " + r.URL.Path + " does not exist; the routes are listed in docs/API.md",
		})
	})
	return mux
}

// authorize returns a handler that serves the route if the request has a token
// of the required role. It also limits the size of the request body.
func (a *API) authorize(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.isAuthorized(route.Role, r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			WriteProblem(w, http.StatusUnauthorized, Problem{
				Title:  "a token is missing or not accepted",
				Detail: "send Authorization: Bearer TOKEN with a token of the role " + string(route.Role),
			})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		route.serve(a, w, r)
	}
}

// isAuthorized reports whether the request's token grants the role.
func (a *API) isAuthorized(role Role, r *http.Request) bool {
	if role == RoleNone {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	if HasToken(a.cfg.PublishTokens, token) {
		return true
	}
	return role == RoleRead && HasToken(a.cfg.ReadTokens, token)
}

// HasToken reports whether token equals one of tokens. It compares in constant
// time, so that the response time reveals nothing about a token. An empty token
// never matches.
func HasToken(tokens []string, token string) bool {
	found := 0
	for _, t := range tokens {
		found |= subtle.ConstantTimeCompare([]byte(t), []byte(token))
	}
	return found == 1 && token != ""
}
