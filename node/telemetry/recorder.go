// Package telemetry records the events of a node in its structured log, its
// timeline and its metrics.
//
//	metrics, err := telemetry.NewMetrics()
//	rec := telemetry.NewRecorder(telemetry.Identity{Node: "entry-1", Zone: "a"}, logger, rings, clock, metrics)
//	rec.Record(events.NodeReady, events.Fields{})
package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

// NewLogger returns a logger that writes JSON lines. All processes use it.
func NewLogger(out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(newEventFormatter())
	logger.SetOutput(out)
	return logger
}

// Identity identifies the process that records events.
type Identity struct {
	Node string
	Zone string
}

// Rings holds the timeline of a node in two rings. Requests have a ring of their
// own, which takes the events of debug severity, so that traffic does not evict
// the events of the fleet.
type Rings struct {
	Fleet    *timeline.Ring
	Requests *timeline.Ring
}

func (r Rings) forEvent(d events.Definition) *timeline.Ring {
	if d.Severity == events.SeverityDebug {
		return r.Requests
	}
	return r.Fleet
}

// Select returns the matching entries of both rings, ordered by stamp.
func (r Rings) Select(f timeline.Filter) []timeline.Entry {
	merged := timeline.Merge(r.Fleet.Select(f), r.Requests.Select(f))
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return merged
}

// Recorder implements events.Recorder. It is safe for concurrent use.
type Recorder struct {
	identity   Identity
	logger     *logrus.Logger
	rings      Rings
	clock      *timeline.Clock
	metrics    *Metrics
	catalogue  map[events.Number]events.Definition
	violations atomic.Int64
}

// NewRecorder returns a recorder. The metrics may be nil.
func NewRecorder(identity Identity, logger *logrus.Logger, rings Rings, clock *timeline.Clock, metrics *Metrics) *Recorder {
	catalogue := map[events.Number]events.Definition{}
	for _, d := range events.Catalogue() {
		catalogue[d.Number] = d
	}
	return &Recorder{identity: identity, logger: logger, rings: rings, clock: clock, metrics: metrics, catalogue: catalogue}
}

// Violations returns the number of recorded invariant violations.
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
	r.rings.forEvent(definition).Add(r.entry(definition, f, detail))
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
	level := logLevel(d.Severity)
	if !r.logger.IsLevelEnabled(level) {
		return
	}
	r.logger.WithField(eventLineKey, eventLine{identity: r.identity, definition: d, fields: f, detail: detail}).Log(level, d.Meaning)
}

func logLevel(s events.Severity) logrus.Level {
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
