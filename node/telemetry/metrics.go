package telemetry

import (
	"context"
	"net/http"

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

// Instrument describes one metric; docs/METRICS.md is written from the list.
type Instrument struct {
	Name string
	Unit string
	Kind string
	// Labels are the attribute keys, comma separated.
	Labels  string
	Meaning string
	// Alarm says when an operator should be told; empty means never.
	Alarm string
}

// Metrics is the set of OpenTelemetry instruments of one node.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	events   metric.Int64Counter
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "set up the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{registry: registry, meter: provider.Meter(meterName)}
	m.events, err = m.meter.Int64Counter("wigeonwinch_events", metric.WithDescription("Events recorded."))
	return m, errors.Wrap(err, "create the events counter")
}

// Handler serves the metrics in the usual scrape format.
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

// Reading is one value of an observed metric.
type Reading struct {
	// Labels are attribute keys and values.
	Labels []attribute.KeyValue
	Value  float64
}

// Label returns one attribute of a reading.
func Label(key, value string) attribute.KeyValue { return attribute.String(key, value) }

// Observe registers a metric that is read when it is scraped. Its kind is
// counter or gauge.
func (m *Metrics) Observe(in Instrument, read func() []Reading) error {
	callback := func(_ context.Context, o metric.Float64Observer) error {
		for _, r := range read() {
			o.Observe(r.Value, metric.WithAttributes(r.Labels...))
		}
		return nil
	}
	var err error
	if in.Kind == "counter" {
		_, err = m.meter.Float64ObservableCounter(in.Name, metric.WithDescription(in.Meaning), metric.WithUnit(in.Unit), metric.WithFloat64Callback(callback))
	} else {
		_, err = m.meter.Float64ObservableGauge(in.Name, metric.WithDescription(in.Meaning), metric.WithUnit(in.Unit), metric.WithFloat64Callback(callback))
	}
	return errors.Wrapf(err, "register metric %s", in.Name)
}
