// Package events records numbered events. Each event goes to the structured
// log, to the time line and to a counter; broken invariants are events too.
//
//	rec := events.NewRecorder(node, zone, logger, ring)
//	rec.Record(events.ConfigInForce, events.Fields{Offset: 12})
package events

import "wigeonwinch/fleet/structs"

// Number identifies an event in the catalogue, docs/EVENTS.md.
type Number int

// Severity is how much an operator should care.
type Severity string

// The severities. A violation is a broken invariant; the act was refused.
const (
	SeverityDebug     Severity = "debug"
	SeverityInfo      Severity = "info"
	SeverityWarning   Severity = "warning"
	SeverityError     Severity = "error"
	SeverityViolation Severity = "violation"
)

// Definition is one line of the catalogue.
type Definition struct {
	Number   Number
	Name     string
	Severity Severity
	// Meaning says in one sentence what happened.
	Meaning string
	// Remedy says what an operator does about it; empty means nothing.
	Remedy string
}

// Fields are the typed details of one event. Unset fields are not shown.
type Fields struct {
	Request string
	VM      string
	Pool    string
	Service string
	Team    string
	Peer    string
	Offset  structs.Offset
	Detail  string
	Err     error
	// Task and Run name a run of the job in Request.
	Task string
	Run  int
	// Outcome is the decision's result.
	Outcome string
	// AgeMS is the age of the input that decided.
	AgeMS int64
	// Shard and Epoch say who decided.
	Shard int
	Epoch int64
}

// Recorder takes events; it never blocks.
type Recorder interface {
	Record(n Number, f Fields)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Number, Fields) {}
