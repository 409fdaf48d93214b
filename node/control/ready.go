package control

import (
	"fmt"
	"time"

	"wigeonwinch/node/events"
)

// readiness is what the owner goroutine keeps to decide whether the node is
// ready.
type readiness struct {
	// tailApplied is set once the state has included the log's tail.
	tailApplied bool
	// synced is set once the state has caught up with the log or, while the
	// log can't be read, with the peers. It is never cleared.
	synced bool
	ready  bool
	reason string
}

// updateReadiness decides whether the node may take requests. A node becomes
// ready once its state has included the log's tail. While the log can't be
// read, it becomes ready once every connected peer has reported, there is at
// least one, and its own state is at least as new as all reported ones. It
// also waits for its membership, because only members hold slots and claims,
// but not while the log can't be read. Afterwards it serves with the state it
// has, even if it can reach neither the log nor a peer.
func (l *Loop) updateReadiness(now time.Time) {
	l.ready.synced = l.ready.synced || l.caughtUp(now)
	reason := l.notReadyReason()
	if reason == l.ready.reason && l.ready.ready == (reason == "") {
		return
	}
	l.ready.reason = reason
	l.ready.ready = reason == ""
	if l.ready.ready {
		l.cfg.Events.Record(events.ControlReady, events.Fields{Offset: l.state.Next()})
		return
	}
	l.cfg.Events.Record(events.ControlNotReady, events.Fields{Detail: reason})
}

func (l *Loop) notReadyReason() string {
	switch {
	case l.leaving:
		return "the node stops"
	case !l.ready.synced && l.log.unreachable:
		return "neither the log nor a peer with a newer state was reached yet"
	case !l.ready.synced:
		return "the log is being read"
	case l.state.View().Generation == 0:
		return "no manifest is published"
	case !l.log.unreachable && !l.isMember():
		return "the node is not yet a member of its zone's entry epoch"
	}
	return ""
}

// peerReportWait is how long a starting node waits for reports of peers before
// it relies on those that have arrived.
const peerReportWait = 3 * time.Second

// caughtUp reports whether this node's state is at least as new as the log or,
// while the log can't be read, as the states that its peers have reported.
func (l *Loop) caughtUp(now time.Time) bool {
	if l.ready.tailApplied {
		return true
	}
	if !l.log.unreachable || now.Sub(l.started) < peerReportWait || l.state.Next() == 0 {
		return false
	}
	reported := 0
	for _, p := range l.peers {
		if p.status.Connected && p.reportedAt.IsZero() {
			return false
		}
		if p.status.Connected {
			reported++
		}
		if p.report.Next > l.state.Next() {
			return false
		}
	}
	return reported > 0
}

// Ready reports whether the node may take requests and, if not, why.
func (l *Loop) Ready() (bool, string) {
	status := l.Status()
	return status.Ready, status.Reason
}

// invariantCheckInterval is the minimum interval between two checks of the
// whole state.
const invariantCheckInterval = 30 * time.Second

// invariantCheck is when the state was last checked against its invariants and
// when the next check may run.
type invariantCheck struct {
	offset uint64
	next   time.Time
}

// checkInvariantsIfDue checks the whole state against its invariants if it has
// changed since the last check, and records an event for each broken one.
func (l *Loop) checkInvariantsIfDue(now time.Time) {
	offset := uint64(l.state.Next())
	if offset == l.lastCheck.offset || now.Before(l.lastCheck.next) {
		return
	}
	l.lastCheck = invariantCheck{offset: offset, next: now.Add(invariantCheckInterval)}
	for _, v := range l.state.CheckInvariants() {
		l.cfg.Events.Record(events.FleetInvariantBroken, events.Fields{Offset: l.state.Next(), Detail: fmt.Sprint(v)})
	}
}
