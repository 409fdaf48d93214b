// Package admin serves the administration API over HTTP with JSON bodies.
// Errors are problem details (RFC 9457). docs/API.md lists the routes.
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

// maxBodyBytes bounds the body of one call, in bytes.
const maxBodyBytes = 4 << 20

// Control is what the API asks of the control loop.
type Control interface {
	View() *structs.View
	Ready() (bool, string)
	Append(ctx context.Context, rec structs.Record) (structs.Verdict, error)
	Lookup(key string) (structs.Verdict, bool)
	// CheckPublish lists everything that speaks against a publish as of now.
	CheckPublish(ctx context.Context, p *structs.Publish) []*state.Refusal
}

// Timeline is the node's ring of events.
type Timeline interface {
	Select(f timeline.Filter) []timeline.Entry
}

// Config is what the API is made of.
type Config struct {
	Node    string
	Zone    string
	Control Control
	// Status returns the node's own standing; it is shown as JSON.
	Status func() any
	// Requests returns figures of the request path; it is shown as JSON.
	Requests func() any
	// Forecast returns the forecasts of the last planning round made on this
	// node; empty on nodes that do not hold the lease.
	Forecast func() []planner.WaveForecast
	Timeline Timeline
	Metrics  http.Handler
	Events   events.Recorder
	// ReadTokens may read, PublishTokens may read and publish.
	ReadTokens    []string
	PublishTokens []string
}

// API is the administration API of one node.
type API struct {
	cfg Config
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Role is what a caller of the API may do.
type Role string

// The roles. RoleNone needs no token.
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
	// Meaning is the text of docs/API.md.
	Meaning string
	// Query lists the query parameters, with their meaning.
	Query string

	serve func(a *API, w http.ResponseWriter, r *http.Request)
}

// Routes lists every route of the API.
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

// Handler serves the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range Routes() {
		mux.HandleFunc(route.Method+" "+route.Path, a.guard(route))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, http.StatusNotFound, Problem{
			Title:  "no such route",
			Detail: r.Method + " " + r.URL.Path + " does not exist; the routes are listed in docs/API.md",
		})
	})
	return mux
}

// guard checks the token before a route is served.
func (a *API) guard(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.allowed(route.Role, r) {
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

func (a *API) allowed(role Role, r *http.Request) bool {
	if role == RoleNone {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	if Matches(a.cfg.PublishTokens, token) {
		return true
	}
	return role == RoleRead && Matches(a.cfg.ReadTokens, token)
}

// Matches compares in constant time, so that timing tells nothing of a token.
func Matches(tokens []string, token string) bool {
	found := 0
	for _, t := range tokens {
		found |= subtle.ConstantTimeCompare([]byte(t), []byte(token))
	}
	return found == 1 && token != ""
}
