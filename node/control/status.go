package control

import (
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
)

// PeerLag is how far another node has come.
type PeerLag struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Offset is the offset the node last reported.
	Offset structs.Offset `json:"offset"`
	// Behind is how many records it lags behind this node.
	Behind uint64 `json:"behind"`
	// Heard is when it last reported; zero means never.
	Heard time.Time `json:"heard"`
	// LogLost says that the node can't read the log.
	LogLost bool `json:"log_lost"`
	// Connected says that a connection to it is open.
	Connected bool `json:"connected"`
}

// Status is what a node's control loop says of itself.
type Status struct {
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// At is when the loop last published its status.
	At time.Time `json:"at"`
	// Offset is the offset of the next record to fold.
	Offset structs.Offset `json:"offset"`
	// Generation counts the accepted publishes.
	Generation structs.Generation `json:"generation"`
	// LogReachable says that the last read of the log was answered.
	LogReachable bool `json:"log_reachable"`
	// LogAnsweredAt is when the log last answered; zero means never.
	LogAnsweredAt time.Time `json:"log_answered_at"`
	// LogNext is the log's tail as of then.
	LogNext structs.Offset `json:"log_next"`
	// LogBehind says that the log's tail lies before this node's offset: it
	// has lost records.
	LogBehind bool `json:"log_behind"`
	// LogUncovered says that the log no longer covers this node's state.
	LogUncovered bool `json:"log_uncovered"`
	// EntryEpoch is the zone's entry epoch, Member says that this node is in.
	EntryEpoch structs.Epoch `json:"entry_epoch"`
	Member     bool          `json:"member"`
	// Membership says what the node waits for, or is empty.
	Membership string `json:"membership"`
	// LeaseHolder holds the planner's lease as far as this node knows.
	LeaseHolder string        `json:"lease_holder"`
	LeaseEpoch  structs.Epoch `json:"lease_epoch"`
	// Planning says that this node holds the lease now.
	Planning bool `json:"planning"`
	// Forecasts are those of the last planning round made here.
	Forecasts []planner.WaveForecast `json:"forecasts"`
	// Buffers are those of the last planning round made here.
	Buffers []planner.BufferReport `json:"buffers"`
	Ready   bool                   `json:"ready"`
	// Reason says why the node is not ready.
	Reason string `json:"reason"`
	// Peers are the other nodes that reported here, by name.
	Peers []PeerLag `json:"peers"`
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
