package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"wigeonwinch/dispatch"
	"wigeonwinch/node/intake"
)

// maxDeadlineMS is the maximum deadline that a caller may set, in
// milliseconds.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// request is a caller's request with the state of its processing.
type request struct {
	dispatch.Request
	http *http.Request
	uri  string
	// generatedID is set when this node generated the ID, so that no copy can
	// exist.
	generatedID bool
	// issuedAt is when the ID was issued; zero if unknown.
	issuedAt time.Time
	// relayed is set when another entry node relayed the request.
	relayed bool
	// immediate is set when the request may run only if it can start without
	// waiting.
	immediate bool
	body      []byte
	// held returns the body to the budget.
	held *intake.Body
	// answers is what the answers take up that are held for the caller.
	answers *intake.AnswerHold
	phase   phase
	claim   claim
	// workersLost counts the workers whose connection ended without an answer
	// while they ran the request.
	workersLost int
}

// maxWorkersLost is the number of workers after whose loss a request is not sent
// to another one: it may be what makes them fail.
const maxWorkersLost = 2

// needsClaim reports whether the request's ID must be claimed before it runs.
func (r *request) needsClaim() bool {
	return !r.Repeatable && !r.generatedID && !r.relayed
}

// parse parses the path and the headers. The result is nil when the request
// is valid.
func (s *Server) parse(httpReq *http.Request, rt *routes, relayed bool) (*request, *result) {
	r := &request{http: httpReq, uri: httpReq.URL.RequestURI(), relayed: relayed}
	r.immediate = relayed && httpReq.Header.Get(HeaderRelayed) == relayedImmediate
	if res := s.parseID(r); res != nil {
		return r, res
	}
	if res := parseClassAndRepeatable(r, nil); res != nil {
		return r, res
	}
	if res := s.parseTeam(r, rt); res != nil {
		return r, res
	}
	svc, route, ok := rt.service(httpReq.URL.Path)
	if !ok {
		res := notRunResult(http.StatusNotFound, ReasonUnknownRoute, "no service takes this path; check the manifest's routes")
		return r, &res
	}
	r.Service = svc.Name
	r.Route = route
	r.Pool = svc.Pool
	r.Cores = max(svc.Cores, 1)
	r.MemoryMB = svc.MemoryMB
	r.Accelerators = svc.Accelerators
	if res := parseClassAndRepeatable(r, svc.Repeatable); res != nil {
		return r, res
	}
	return r, s.parseDurations(r, svc.DeadlineMS)
}

func malformedResult(detail string) *result {
	res := notRunResult(http.StatusBadRequest, ReasonMalformed, detail)
	return &res
}

func (s *Server) parseID(r *request) *result {
	values := r.http.Header[HeaderRequestID]
	if len(values) > 1 {
		return malformedResult(HeaderRequestID + " appears more than once; send it once")
	}
	if len(values) == 0 || values[0] == "" {
		return s.generateID(r)
	}
	id := values[0]
	if len(id) > s.cfg.Limits.RequestIDBytes {
		return malformedResult(HeaderRequestID + " is longer than " + strconv.Itoa(s.cfg.Limits.RequestIDBytes) + " bytes; send a shorter one")
	}
	if !isVisibleASCII(id) {
		return malformedResult(HeaderRequestID + " has characters other than visible ASCII; send a plain one")
	}
	r.ID = id
	return parseIssuedAt(r)
}

func (s *Server) generateID(r *request) *result {
	if r.relayed {
		return malformedResult("a relayed request has no " + HeaderRequestID)
	}
	id, err := uuid.NewV7()
	if err != nil {
		res := notRunResult(http.StatusInternalServerError, ReasonOverloaded, "no request id could be made; send one")
		return &res
	}
	r.ID = id.String()
	r.generatedID = true
	return nil
}

func isVisibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// uuidTextBytes is the length of a UUID in its canonical text form.
const uuidTextBytes = 36

// parseIssuedAt takes the issue time from a UUIDv7, where no copy can have a
// different one, and otherwise from the header.
func parseIssuedAt(r *request) *result {
	if at, ok := uuidTime(r.ID); ok {
		r.issuedAt = at
		return nil
	}
	text := r.http.Header.Get(HeaderIssuedAt)
	if text == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return malformedResult(HeaderIssuedAt + " is not a time after RFC 3339")
	}
	r.issuedAt = at
	return nil
}

// uuidTime returns the timestamp of a UUIDv7.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

func (s *Server) parseTeam(r *request, rt *routes) *result {
	team := r.http.Header.Get(HeaderTeam)
	if len(team) > s.cfg.Limits.TeamBytes {
		return malformedResult(HeaderTeam + " is longer than " + strconv.Itoa(s.cfg.Limits.TeamBytes) + " bytes")
	}
	if _, ok := rt.view.Teams[team]; team != "" && !ok {
		res := notRunResult(http.StatusForbidden, ReasonUnknownTeam, "the manifest has no such team; declare it first")
		return &res
	}
	r.Team = team
	return nil
}

// parseClassAndRepeatable reads the class and whether the request is
// repeatable: from the caller's header, else from the service's setting, else
// from the HTTP method.
func parseClassAndRepeatable(r *request, serviceRepeatable *bool) *result {
	switch r.http.Header.Get(HeaderClass) {
	case "urgent":
		r.Class = dispatch.ClassUrgent
	case "", "normal":
		r.Class = dispatch.ClassNormal
	default:
		return malformedResult(HeaderClass + " is neither urgent nor normal")
	}
	switch r.http.Header.Get(HeaderRepeatable) {
	case "yes":
		r.Repeatable = true
	case "no":
		r.Repeatable = false
	case "":
		r.Repeatable = isIdempotent(r.http.Method)
		if serviceRepeatable != nil {
			r.Repeatable = *serviceRepeatable
		}
	default:
		return malformedResult(HeaderRepeatable + " is neither yes nor no")
	}
	return nil
}

// isIdempotent reports whether RFC 9110 defines a method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (s *Server) parseDurations(r *request, serviceMS int) *result {
	limit := s.cfg.Limits.DefaultDeadline
	if serviceMS > 0 {
		limit = time.Duration(serviceMS) * time.Millisecond
	}
	requested, res := parseMillis(r.http.Header, HeaderDeadlineMS)
	if res != nil {
		return res
	}
	if requested > 0 && (requested < limit || r.relayed) {
		limit = requested
	}
	r.Deadline = s.cfg.Clock().Add(limit)
	declared, res := parseMillis(r.http.Header, HeaderRunMS)
	r.DeclaredRunTime = declared
	return res
}

// parseMillis parses a header that holds whole milliseconds. It returns zero
// when the header is absent.
func parseMillis(h http.Header, name string) (time.Duration, *result) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadlineMS {
		return 0, malformedResult(name + " is not a number of milliseconds from 1 to " + strconv.Itoa(maxDeadlineMS))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
