package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"wigeonwinch/node/events"
)

// meterName is the name of the instrumentation scope.
const meterName = "wigeonwinch"

// Instrument describes a metric. docs/METRICS.md is generated from the lists of
// instruments.
type Instrument struct {
	Name string
	Unit string
	Kind string
	// Labels are the attribute keys, separated by commas.
	Labels  string
	Meaning string
	// AlertCondition is the condition under which to alert an operator. Empty
	// means never.
	AlertCondition string
}

// Metrics holds the OpenTelemetry instruments of a node.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	events   metric.Int64Counter
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{registry: registry, meter: provider.Meter(meterName)}
	m.events, err = m.meter.Int64Counter("wigeonwinch_events", metric.WithDescription("Events recorded."))
	return m, errors.Wrap(err, "create the events counter")
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus
// exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) countEvent(d events.Definition) {
	if m == nil {
		return
	}
	m.events.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("event", d.Name),
		attribute.String("severity", string(d.Severity)),
	))
}

// Reading is one value of a metric that is read on each scrape.
type Reading struct {
	// Labels are the attribute keys and values.
	Labels Labels
	Value  float64
}

// Labels are the attributes of a reading.
type Labels []attribute.KeyValue

// Label returns an attribute of a reading.
func Label(key, value string) attribute.KeyValue { return attribute.String(key, value) }

// Readings maps metric names to their current values.
type Readings map[string][]Reading

// Histogram records durations. A nil Histogram discards them.
type Histogram struct{ instrument metric.Float64Histogram }

// Observe records a duration, in milliseconds.
func (h *Histogram) Observe(d time.Duration, labels ...attribute.KeyValue) {
	if h != nil {
		h.instrument.Record(context.Background(), float64(d.Microseconds())/1000, metric.WithAttributes(labels...))
	}
}

// latencyBoundsMS are the upper bounds of the histogram buckets in
// milliseconds. They range from an answer within a zone to the longest time
// that a caller waits.
var latencyBoundsMS = []float64{2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// Histogram creates the histogram of an instrument. It returns nil if m is nil.
func (m *Metrics) Histogram(in Instrument) (*Histogram, error) {
	if m == nil {
		return nil, nil
	}
	h, err := m.meter.Float64Histogram(in.Name, metric.WithDescription(in.Meaning), metric.WithUnit(in.Unit),
		metric.WithExplicitBucketBoundaries(latencyBoundsMS...))
	return &Histogram{h}, errors.Wrapf(err, "register metric %s", in.Name)
}

// Observe registers counters and gauges whose values are read together, by one
// call of read, on each scrape.
func (m *Metrics) Observe(instruments []Instrument, read func() Readings) error {
	observed := make(map[string]metric.Float64Observable, len(instruments))
	all := make([]metric.Observable, 0, len(instruments))
	for _, in := range instruments {
		o, err := m.observable(in)
		if err != nil {
			return errors.Wrapf(err, "register metric %s", in.Name)
		}
		observed[in.Name] = o
		all = append(all, o)
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, readings := range read() {
			for _, r := range readings {
				o.ObserveFloat64(observed[name], r.Value, metric.WithAttributes(r.Labels...))
			}
		}
		return nil
	}, all...)
	return errors.Wrap(err, "register the metrics callback")
}

func (m *Metrics) observable(in Instrument) (metric.Float64Observable, error) {
	if in.Kind == "counter" {
		return m.meter.Float64ObservableCounter(in.Name, metric.WithDescription(in.Meaning), metric.WithUnit(in.Unit))
	}
	return m.meter.Float64ObservableGauge(in.Name, metric.WithDescription(in.Meaning), metric.WithUnit(in.Unit))
}
