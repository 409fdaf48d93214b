package control

import (
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
)

// PeerLag is how far another node has come.
type PeerLag struct {
	Node string
	Zone string
	// Offset is the offset the node last reported.
	Offset structs.Offset
	// Behind is how many records it lags behind this node.
	Behind uint64
	// Heard is when it last reported; zero means never.
	Heard time.Time
	// LogLost says that the node can't read the log.
	LogLost bool
	// Connected says that a connection to it is open.
	Connected bool
}

// Status is what a node's control loop says of itself.
type Status struct {
	Node   string
	Zone   string
	Region string
	// At is when the loop last published its status.
	At time.Time
	// Offset is the offset of the next record to fold.
	Offset structs.Offset
	// Generation counts the accepted publishes.
	Generation structs.Generation
	// LogReachable says that the last read of the log was answered.
	LogReachable bool
	// LogAnsweredAt is when the log last answered; zero means never.
	LogAnsweredAt time.Time
	// LogNext is the log's tail as of then.
	LogNext structs.Offset
	// LogBehind says that the log's tail lies before this node's offset: it
	// has lost records.
	LogBehind bool
	// LogUncovered says that the log no longer covers this node's state.
	LogUncovered bool
	// EntryEpoch is the zone's entry epoch, Member says that this node is in.
	EntryEpoch structs.Epoch
	Member     bool
	// Membership says what the node waits for, or is empty.
	Membership string
	// LeaseHolder holds the planner's lease as far as this node knows.
	LeaseHolder string
	LeaseEpoch  structs.Epoch
	// Planning says that this node holds the lease now.
	Planning bool
	// Forecasts are those of the last planning round made here.
	Forecasts []planner.WaveForecast
	// Buffers are those of the last planning round made here.
	Buffers []planner.BufferReport
	Ready   bool
	// Reason says why the node is not ready.
	Reason string
	// Peers are the other nodes that reported here, by name.
	Peers []PeerLag
}

// Status returns what the loop says of itself. It does not wait. A loop that
// has not worked for a while is not planning.
func (l *Loop) Status() Status {
	status := *l.state.Load()
	if time.Since(status.At) > l.cfg.Intervals.LeaseTTL/marginShare {
		status.Planning = false
	}
	return status
}

func (l *Loop) publishStatus() {
	status := Status{
		Node:          l.cfg.Node,
		Zone:          l.cfg.Zone,
		Region:        l.cfg.Region,
		At:            time.Now(),
		Offset:        l.fold.Next(),
		LogReachable:  !l.log.lost && !l.log.answeredAt.IsZero(),
		LogAnsweredAt: l.log.answeredAt,
		LogNext:       l.log.next,
		LogBehind:     l.log.behind,
		LogUncovered:  l.log.uncovered,
		EntryEpoch:    l.member.current,
		Member:        l.isMember(),
		Membership:    string(l.member.reason),
		Planning:      l.planner.holding,
		Forecasts:     l.planner.last.Forecasts,
		Buffers:       l.planner.last.Buffers,
		Ready:         l.ready.ready,
		Reason:        l.ready.reason,
	}
	if view := l.view.Load(); view != nil {
		lease := view.Leases[l.cfg.Scope]
		status.Generation = view.Generation
		status.LeaseHolder = lease.Holder
		status.LeaseEpoch = lease.Epoch
	}
	for _, name := range l.peerNames() {
		status.Peers = append(status.Peers, l.lagOf(name))
	}
	l.state.Store(&status)
}

func (l *Loop) lagOf(name string) PeerLag {
	facts := l.peers[name]
	return PeerLag{
		Node:      name,
		Zone:      facts.status.Zone,
		Offset:    facts.report.Next,
		Behind:    uint64(l.fold.Next() - min(l.fold.Next(), facts.report.Next)),
		Heard:     facts.reportedAt,
		LogLost:   facts.report.LogLost,
		Connected: facts.status.Connected,
	}
}
