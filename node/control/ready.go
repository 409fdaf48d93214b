package control

import (
	"fmt"
	"time"

	"wigeonwinch/node/events"
)

// readiness is what the owner goroutine keeps about being ready.
type readiness struct {
	// sawTail says that the log's tail was folded at least once.
	sawTail bool
	// reached says that the node has caught up with the highest of log and
	// reachable peers once. It never falls back.
	reached bool
	ready   bool
	reason  string
}

// judgeReadiness decides whether the node may take requests. A node becomes
// ready when it has folded the log's tail; when the log can't be read, when
// it has caught up with every connected peer and there is one that has a
// state. It waits for its membership too, since only members hold slots and
// claims, but not while the log can't be read. From then on it serves what it
// has, whatever it can reach.
func (l *Loop) judgeReadiness(now time.Time) {
	l.ready.reached = l.ready.reached || l.caughtUp(now)
	reason := l.notReadyReason()
	if reason == l.ready.reason && l.ready.ready == (reason == "") {
		return
	}
	l.ready.reason = reason
	l.ready.ready = reason == ""
	if l.ready.ready {
		l.cfg.Events.Record(events.ControlReady, events.Fields{Offset: l.fold.Next()})
		return
	}
	l.cfg.Events.Record(events.ControlNotReady, events.Fields{Detail: reason})
}

func (l *Loop) notReadyReason() string {
	switch {
	case l.leaving:
		return "the node stops"
	case !l.ready.reached && l.log.lost:
		return "neither the log nor a peer with a newer state was reached yet"
	case !l.ready.reached:
		return "the log is being read"
	case l.fold.View().Generation == 0:
		return "no manifest is published"
	case !l.log.lost && !l.isMember():
		return "the node is not yet a member of its zone's entry epoch"
	}
	return ""
}

// peerSettle is how long a starting node waits for peers to report before it
// relies on those that did.
const peerSettle = 3 * time.Second

// caughtUp says that this node's state is at least as new as that of the log
// or, when the log can't be read, of every connected peer.
func (l *Loop) caughtUp(now time.Time) bool {
	if l.ready.sawTail {
		return true
	}
	if !l.log.lost || now.Sub(l.started) < peerSettle || l.fold.Next() == 0 {
		return false
	}
	reported := 0
	for _, facts := range l.peers {
		if facts.status.Connected && facts.reportedAt.IsZero() {
			return false
		}
		if facts.status.Connected {
			reported++
		}
		if facts.report.Next > l.fold.Next() {
			return false
		}
	}
	return reported > 0
}

// Ready says whether the node may take requests, and why not.
func (l *Loop) Ready() (bool, string) {
	status := l.Status()
	return status.Ready, status.Reason
}

// checkInterval is the time between two checks of the whole state.
const checkInterval = 30 * time.Second

// checkFacts is when the state was last checked against its invariants.
type checkFacts struct {
	offset uint64
	next   time.Time
}

// checkDue recounts the whole state now and then and reports what is broken.
func (l *Loop) checkDue(now time.Time) {
	offset := uint64(l.fold.Next())
	if offset == l.checked.offset || now.Before(l.checked.next) {
		return
	}
	l.checked = checkFacts{offset: offset, next: now.Add(checkInterval)}
	for _, v := range l.fold.Check() {
		l.cfg.Events.Record(events.FleetInvariantBroken, events.Fields{Offset: l.fold.Next(), Detail: fmt.Sprint(v)})
	}
}
