// Package telemetry carries a node's events to its structured log, its time
// line and its metrics.
//
//	metrics, err := telemetry.NewMetrics()
//	rec := telemetry.NewRecorder(telemetry.Identity{Node: "entry-1", Zone: "a"}, logger, ring, clock, metrics)
//	rec.Record(events.NodeReady, events.Fields{})
package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

// NewLogger returns the logger of JSON lines that all processes use.
func NewLogger(out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(newLineFormatter())
	logger.SetOutput(out)
	return logger
}

// Identity names the process that records.
type Identity struct {
	Node string
	Zone string
}

// Rings are the two parts of a node's time line. Requests have a part of
// their own, so that traffic does not push out what happened to the fleet.
type Rings struct {
	Fleet    *timeline.Ring
	Requests *timeline.Ring
}

func (r Rings) of(d events.Definition) *timeline.Ring {
	if d.Severity == events.SeverityDebug {
		return r.Requests
	}
	return r.Fleet
}

// Select returns the entries of both parts in the order of their stamps.
func (r Rings) Select(f timeline.Filter) []timeline.Entry {
	merged := timeline.Merge(r.Fleet.Select(f), r.Requests.Select(f))
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return merged
}

// Recorder implements events.Recorder.
type Recorder struct {
	identity   Identity
	logger     *logrus.Logger
	rings      Rings
	clock      *timeline.Clock
	metrics    *Metrics
	catalogue  map[events.Number]events.Definition
	violations atomic.Int64
}

// NewRecorder returns a recorder; metrics may be nil.
func NewRecorder(identity Identity, logger *logrus.Logger, rings Rings, clock *timeline.Clock, metrics *Metrics) *Recorder {
	catalogue := map[events.Number]events.Definition{}
	for _, d := range events.Catalogue() {
		catalogue[d.Number] = d
	}
	return &Recorder{identity: identity, logger: logger, rings: rings, clock: clock, metrics: metrics, catalogue: catalogue}
}

// Violations returns the number of broken invariants recorded so far.
func (r *Recorder) Violations() int64 { return r.violations.Load() }

// Record implements events.Recorder.
func (r *Recorder) Record(n events.Number, f events.Fields) {
	definition, ok := r.catalogue[n]
	if !ok {
		definition = events.Definition{Number: n, Name: "not_in_catalogue", Severity: events.SeverityError}
	}
	if definition.Severity == events.SeverityViolation {
		r.violations.Add(1)
	}
	detail := f.Detail
	if f.Err != nil {
		detail = joinDetail(detail, f.Err.Error())
	}
	r.rings.of(definition).Add(r.entry(definition, f, detail))
	r.metrics.countEvent(definition)
	r.log(definition, f, detail)
}

func joinDetail(detail, err string) string {
	if detail == "" {
		return err
	}
	return detail + ": " + err
}

func (r *Recorder) entry(d events.Definition, f events.Fields, detail string) timeline.Entry {
	return timeline.Entry{
		Stamp:    r.clock.Now(),
		Node:     r.identity.Node,
		Zone:     r.identity.Zone,
		Number:   int(d.Number),
		Name:     d.Name,
		Severity: string(d.Severity),
		Offset:   f.Offset,
		Request:  f.Request,
		VM:       f.VM,
		Pool:     f.Pool,
		Service:  f.Service,
		Team:     f.Team,
		Peer:     f.Peer,
		Detail:   detail,
	}
}

func (r *Recorder) log(d events.Definition, f events.Fields, detail string) {
	level := levelOf(d.Severity)
	if !r.logger.IsLevelEnabled(level) {
		return
	}
	r.logger.WithField(lineKey, line{identity: r.identity, definition: d, fields: f, detail: detail}).Log(level, d.Meaning)
}

func levelOf(s events.Severity) logrus.Level {
	switch s {
	case events.SeverityDebug:
		return logrus.DebugLevel
	case events.SeverityInfo:
		return logrus.InfoLevel
	case events.SeverityWarning:
		return logrus.WarnLevel
	}
	return logrus.ErrorLevel
}
