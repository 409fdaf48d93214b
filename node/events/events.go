// Package events defines the numbered events of a node. A Recorder writes each
// event to the structured log, adds it to the timeline and increments a
// counter. Violations of invariants are events, too.
//
//	rec := telemetry.NewRecorder(identity, logger, rings, clock, metrics)
//	rec.Record(events.ConfigInForce, events.Fields{Offset: 12})
package events

import "wigeonwinch/fleet/structs"

// Number identifies an event in the catalogue (docs/EVENTS.md).
type Number int

// Severity is the severity of an event to an operator.
type Severity string

// The severities. SeverityViolation marks the violation of an invariant; the
// node refused the action that would have caused it.
const (
	SeverityDebug     Severity = "debug"
	SeverityInfo      Severity = "info"
	SeverityWarning   Severity = "warning"
	SeverityError     Severity = "error"
	SeverityViolation Severity = "violation"
)

// Definition is the entry of one event in the catalogue.
type Definition struct {
	Number   Number
	Name     string
	Severity Severity
	// Meaning describes in one sentence what happened. It is the message of the
	// log line.
	Meaning string
	// Remedy describes what an operator should do. It is empty if no action is
	// needed.
	Remedy string
}

// Fields holds the typed details of one event. Zero fields are left out of the
// output.
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
	// Task and Run identify a run of the job whose id is in Request.
	Task string
	Run  int
	// Outcome is the result of the decision that the event records.
	Outcome string
	// AgeMS is the age of the input on which the decision was based, in
	// milliseconds.
	AgeMS int64
	// Shard and Epoch identify the shard owner that made the decision.
	Shard int
	Epoch int64
}

// Recorder records events. Record never blocks.
type Recorder interface {
	Record(n Number, f Fields)
}

// Discard is a Recorder that discards every event.
type Discard struct{}

// Record discards the event.
func (Discard) Record(Number, Fields) {}
