package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonwinch/node/events"
)

// Reasons for which clients are refused or let go.
const (
	ReasonTooLong       = "too_long"
	ReasonCutOff        = "cut_off"
	ReasonTooSlow       = "too_slow"
	ReasonNoRoom        = "no_room"
	ReasonHeader        = "header"
	ReasonConnections   = "connections"
	ReasonMadeRoom      = "made_room"
	ReasonUnreadAnswers = "unread_answers"
	// ReasonAnswers counts answers that are streamed for want of room.
	ReasonAnswers = "answers"
)

var reasons = []string{ReasonTooLong, ReasonCutOff, ReasonTooSlow, ReasonNoRoom, ReasonHeader, ReasonConnections, ReasonMadeRoom, ReasonUnreadAnswers, ReasonAnswers}

// Gate is the budget of a process for its clients. Its methods are safe for concurrent
// use.
type Gate struct {
	limits Limits
	events events.Recorder
	// held are the bytes of the budget that are taken, large those of them that are not
	// among the first Limits.SmallBytes of a body, headers those of long headers.
	held, large, headers atomic.Int64
	// answers are the bytes of the budget for answers that are taken.
	answers atomic.Int64
	// counts are the clients refused or let go, by reason.
	counts map[string]*atomic.Int64
	// reportedAt is when the last event was recorded, in nanoseconds since 1970.
	reportedAt atomic.Int64

	mu      sync.Mutex
	ports   []*Port
	reading bodyList
}

// NewGate returns a gate.
func NewGate(limits Limits, recorder events.Recorder) *Gate {
	g := &Gate{limits: limits, events: recorder, counts: map[string]*atomic.Int64{}}
	for _, r := range reasons {
		g.counts[r] = &atomic.Int64{}
	}
	return g
}

// Limits returns the limits of the gate.
func (g *Gate) Limits() Limits { return g.limits }

// CallerPort returns a port for callers.
func (g *Gate) CallerPort() *Port {
	return g.NewPort("callers", g.limits.Callers, g.limits.ReceiveBytes)
}

// PeerPort returns a port for other nodes.
func (g *Gate) PeerPort() *Port {
	return g.NewPort("peers", g.limits.Peers, g.limits.PeerReceiveBytes)
}

// OperatorPort returns a port for operators and metrics.
func (g *Gate) OperatorPort() *Port {
	return g.NewPort("operators", g.limits.Operators, g.limits.ReceiveBytes)
}

// HealthCheckPort returns a port for the health checks of a load balancer.
func (g *Gate) HealthCheckPort() *Port {
	return g.NewPort("health_checks", g.limits.HealthChecks, g.limits.ReceiveBytes)
}

// reportInterval is the time between two events of one gate.
const reportInterval = 10 * time.Second

// count counts a client that is refused or let go. It records an event at most once per
// reportInterval.
func (g *Gate) count(reason, port string) {
	g.counts[reason].Add(1)
	last, now := g.reportedAt.Load(), time.Now().UnixNano()
	if now-last < int64(reportInterval) || !g.reportedAt.CompareAndSwap(last, now) {
		return
	}
	g.events.Record(events.ClientsLetGo, events.Fields{Outcome: reason, Detail: g.report(port)})
}

// reserve takes bytes of the budget: smallPart among the first bytes of a body, and
// largePart, which may take up half of the budget at most. It reports false, and takes
// nothing, if there is no room.
func (g *Gate) reserve(smallPart, largePart int64) bool {
	large := g.large.Add(largePart)
	if held := g.held.Add(smallPart + largePart); held <= g.limits.HeldBytes && (largePart == 0 || large <= g.limits.HeldBytes/2) {
		return true
	}
	g.free(smallPart, largePart)
	return false
}

func (g *Gate) free(smallPart, largePart int64) {
	g.held.Add(-smallPart - largePart)
	g.large.Add(-largePart)
}

// reserveHeader takes bytes of the budget for a long header. Headers may take up a quarter
// of it at most, so that they leave room for bodies.
func (g *Gate) reserveHeader(n int64) bool {
	headers := g.headers.Add(n)
	if held := g.held.Add(n); held <= g.limits.HeldBytes && headers <= g.limits.HeldBytes/4 {
		return true
	}
	g.freeHeader(n)
	return false
}

func (g *Gate) freeHeader(n int64) {
	g.held.Add(-n)
	g.headers.Add(-n)
}

// HeldBytes returns how many bytes of the budget are taken.
func (g *Gate) HeldBytes() int64 { return g.held.Load() }
