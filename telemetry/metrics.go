package telemetry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics is the OpenTelemetry meter of a process. It exports the metrics in the
// Prometheus format.
type Metrics struct {
	metric.Meter
	registry *prometheus.Registry
}

// NewMetrics returns a meter. The exported metric names start with the scope, for
// example quetzalglade_entry.
func NewMetrics(scope string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo(), otelprom.WithNamespace(scope))
	if err != nil {
		return nil, errors.Wrap(err, "create the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{Meter: provider.Meter(scope), registry: registry}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Counter returns a counter. It panics if the name is invalid.
func (m *Metrics) Counter(name, help string) metric.Int64Counter {
	counter, err := m.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		panic(err)
	}
	return counter
}

// Gauge registers a gauge that calls value when metrics are collected. It
// panics if the name is invalid.
func (m *Metrics) Gauge(name, help string, value func() int64) {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
	_, err := m.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	if err != nil {
		panic(err)
	}
}

// DurationHistogram returns a histogram of durations in seconds. bounds are the
// upper bounds of its buckets in seconds. It panics if the name is invalid.
func (m *Metrics) DurationHistogram(name, help string, bounds ...float64) metric.Float64Histogram {
	histogram, err := m.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		panic(err)
	}
	return histogram
}
