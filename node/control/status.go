package control

import (
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
)

// PeerLag is the progress of another node.
type PeerLag struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Offset is the offset that the node last reported.
	Offset structs.Offset `json:"offset"`
	// Behind is the number of records by which the node lags behind this one.
	Behind uint64 `json:"behind"`
	// Heard is when the node last reported; zero means never.
	Heard time.Time `json:"heard"`
	// LogUnreachable is set if the node can't read the log.
	LogUnreachable bool `json:"log_lost"`
	// Connected is set if a connection to the node is open.
	Connected bool `json:"connected"`
}

// Status is the status of a node's control loop.
type Status struct {
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// At is when the loop last published its status.
	At time.Time `json:"at"`
	// Offset is the offset of the next record to apply.
	Offset structs.Offset `json:"offset"`
	// Generation is the number of accepted publishes.
	Generation structs.Generation `json:"generation"`
	// LogReachable is set if the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// LogAnsweredAt is when the log last answered a read; zero means never.
	LogAnsweredAt time.Time `json:"log_answered_at"`
	// LogNext is the offset of the log's tail at that time.
	LogNext structs.Offset `json:"log_next"`
	// LogBehind is set if the log's tail is before this node's offset, which
	// means that the log has lost records.
	LogBehind bool `json:"log_behind"`
	// LogUncovered is set if the log no longer holds what is needed to
	// continue this node's state.
	LogUncovered bool `json:"log_uncovered"`
	// EntryEpoch is the zone's entry epoch; Member is set if this node is a
	// member of it.
	EntryEpoch structs.Epoch `json:"entry_epoch"`
	Member     bool          `json:"member"`
	// Membership is the reason of the last membership decision; it is empty if
	// no change is due.
	Membership string `json:"membership"`
	// LeaseHolder is the holder of the planner's lease as far as this node
	// knows.
	LeaseHolder string        `json:"lease_holder"`
	LeaseEpoch  structs.Epoch `json:"lease_epoch"`
	// Planning is set if this node holds the lease now.
	Planning bool `json:"planning"`
	// Forecasts are the wave forecasts of the last planning round on this
	// node.
	Forecasts []planner.WaveForecast `json:"forecasts"`
	// Buffers are the buffer reports of the last planning round on this node.
	Buffers []planner.BufferReport `json:"buffers"`
	Ready   bool                   `json:"ready"`
	// Reason is why the node is not ready.
	Reason string `json:"reason"`
	// Peers are the other nodes that this node knows, sorted by name.
	Peers []PeerLag `json:"peers"`
}

// Status returns the last published status without waiting. It reports a loop
// that has not run for a while as not planning.
func (l *Loop) Status() Status {
	status := *l.status.Load()
	if time.Since(status.At) > l.cfg.Intervals.LeaseTTL/marginDivisor {
		status.Planning = false
	}
	return status
}

// publishStatus publishes the current status. It looks at the lease again,
// because the last tick may be longer ago than the lease lasts.
func (l *Loop) publishStatus() {
	l.updateHolding(time.Now())
	status := Status{
		Node:          l.cfg.Node,
		Zone:          l.cfg.Zone,
		Region:        l.cfg.Region,
		At:            time.Now(),
		Offset:        l.state.Next(),
		LogReachable:  !l.log.unreachable && !l.log.answeredAt.IsZero(),
		LogAnsweredAt: l.log.answeredAt,
		LogNext:       l.log.tailOffset,
		LogBehind:     l.log.behind,
		LogUncovered:  l.log.uncovered,
		EntryEpoch:    l.membership.currentEpoch,
		Member:        l.isMember(),
		Membership:    string(l.membership.reason),
		Planning:      l.planner.holdsLease,
		Forecasts:     l.planner.lastPlan.Forecasts,
		Buffers:       l.planner.lastPlan.Buffers,
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
		status.Peers = append(status.Peers, l.peerLag(name))
	}
	l.status.Store(&status)
}

func (l *Loop) peerLag(name string) PeerLag {
	p := l.peers[name]
	return PeerLag{
		Node:           name,
		Zone:           p.status.Zone,
		Offset:         p.report.Next,
		Behind:         uint64(l.state.Next() - min(l.state.Next(), p.report.Next)),
		Heard:          p.reportedAt,
		LogUnreachable: p.report.LogUnreachable,
		Connected:      p.status.Connected,
	}
}
