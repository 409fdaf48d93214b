package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"wigeonwinch/dispatch"
)

// maxDeadlineMS bounds the deadline that a caller may name, in milliseconds.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// request is a caller's request as this package handles it.
type request struct {
	dispatch.Request
	http *http.Request
	uri  string
	// ownID says that this node made the id, so that no copy can exist.
	ownID bool
	// issued is when the id was issued; zero when it does not say.
	issued time.Time
	// relayed says that another entry node passed it on.
	relayed bool
	// atOnce says that the work is to run only if it can start at once.
	atOnce bool
	body   []byte
	phase  phase
	claim  claim
}

// claimed says whether the request's id must be claimed before it runs.
func (r *request) claimed() bool {
	return !r.Repeatable && !r.ownID && !r.relayed
}

// parse reads the headers. The end is nil when the request is valid.
func (s *Server) parse(h *http.Request, rt *routes, relayed bool) (*request, *ending) {
	r := &request{http: h, uri: h.URL.RequestURI(), relayed: relayed}
	r.atOnce = relayed && h.Header.Get(HeaderRelayed) == relayedSpare
	if e := s.parseID(r); e != nil {
		return r, e
	}
	if e := parseMarks(r, nil); e != nil {
		return r, e
	}
	if e := s.parseTeam(r, rt); e != nil {
		return r, e
	}
	svc, route, ok := rt.service(h.URL.Path)
	if !ok {
		e := notRun(http.StatusNotFound, ReasonUnknownRoute, "no service takes this path; check the manifest's routes")
		return r, &e
	}
	r.Service = svc.Name
	r.Route = route
	r.Pool = svc.Pool
	r.Cores = max(svc.Cores, 1)
	r.MemoryMB = svc.MemoryMB
	r.Accelerators = svc.Accelerators
	if e := parseMarks(r, svc.Repeatable); e != nil {
		return r, e
	}
	return r, s.parseTimes(r, svc.DeadlineMS)
}

func malformed(detail string) *ending {
	e := notRun(http.StatusBadRequest, ReasonMalformed, detail)
	return &e
}

func (s *Server) parseID(r *request) *ending {
	values := r.http.Header[HeaderRequestID]
	if len(values) > 1 {
		return malformed(HeaderRequestID + " appears more than once; send it once")
	}
	if len(values) == 0 || values[0] == "" {
		return s.makeID(r)
	}
	id := values[0]
	if len(id) > s.cfg.Limits.RequestIDBytes {
		return malformed(HeaderRequestID + " is longer than " + strconv.Itoa(s.cfg.Limits.RequestIDBytes) + " bytes; send a shorter one")
	}
	if !visibleASCII(id) {
		return malformed(HeaderRequestID + " has characters other than visible ASCII; send a plain one")
	}
	r.ID = id
	return parseIssued(r)
}

func (s *Server) makeID(r *request) *ending {
	if r.relayed {
		return malformed("a relayed request has no " + HeaderRequestID)
	}
	id, err := uuid.NewV7()
	if err != nil {
		e := notRun(http.StatusInternalServerError, ReasonOverloaded, "no request id could be made; send one")
		return &e
	}
	r.ID = id.String()
	r.ownID = true
	return nil
}

func visibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// uuidTextBytes is the length of a UUID in its usual text form.
const uuidTextBytes = 36

// parseIssued takes the issue time from a UUIDv7, which no copy can change, or
// else from the header.
func parseIssued(r *request) *ending {
	if at, ok := uuidTime(r.ID); ok {
		r.issued = at
		return nil
	}
	text := r.http.Header.Get(HeaderIssuedAt)
	if text == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return malformed(HeaderIssuedAt + " is not a time after RFC 3339")
	}
	r.issued = at
	return nil
}

// uuidTime returns the time inside a UUIDv7.
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

func (s *Server) parseTeam(r *request, rt *routes) *ending {
	team := r.http.Header.Get(HeaderTeam)
	if len(team) > s.cfg.Limits.TeamBytes {
		return malformed(HeaderTeam + " is longer than " + strconv.Itoa(s.cfg.Limits.TeamBytes) + " bytes")
	}
	if _, ok := rt.view.Teams[team]; team != "" && !ok {
		e := notRun(http.StatusForbidden, ReasonUnknownTeam, "the manifest has no such team; declare it first")
		return &e
	}
	r.Team = team
	return nil
}

// parseMarks reads the class and whether the work is repeatable: the caller's
// mark first, then the service's, then the method's meaning in HTTP.
func parseMarks(r *request, service *bool) *ending {
	switch r.http.Header.Get(HeaderClass) {
	case "urgent":
		r.Class = dispatch.ClassUrgent
	case "", "normal":
		r.Class = dispatch.ClassNormal
	default:
		return malformed(HeaderClass + " is neither urgent nor normal")
	}
	switch r.http.Header.Get(HeaderRepeatable) {
	case "yes":
		r.Repeatable = true
	case "no":
		r.Repeatable = false
	case "":
		r.Repeatable = idempotent(r.http.Method)
		if service != nil {
			r.Repeatable = *service
		}
	default:
		return malformed(HeaderRepeatable + " is neither yes nor no")
	}
	return nil
}

// idempotent says what RFC 9110 says of a method.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (s *Server) parseTimes(r *request, serviceMS int) *ending {
	limit := s.cfg.Limits.DefaultDeadline
	if serviceMS > 0 {
		limit = time.Duration(serviceMS) * time.Millisecond
	}
	named, e := parseMillis(r.http.Header, HeaderDeadlineMS)
	if e != nil {
		return e
	}
	if named > 0 && (named < limit || r.relayed) {
		limit = named
	}
	r.Deadline = s.cfg.Clock().Add(limit)
	declared, e := parseMillis(r.http.Header, HeaderRunMS)
	r.Declared = declared
	return e
}

// parseMillis reads a header in whole milliseconds; zero when it is absent.
func parseMillis(h http.Header, name string) (time.Duration, *ending) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadlineMS {
		return 0, malformed(name + " is not a number of milliseconds from 1 to " + strconv.Itoa(maxDeadlineMS))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
