package telemetry

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics is the OpenTelemetry meter of a process with its Prometheus page.
type Metrics struct {
	metric.Meter
	registry *prometheus.Registry
}

// NewMetrics returns a meter whose instruments are named under scope.
func NewMetrics(scope string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{Meter: provider.Meter(scope), registry: registry}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Counter returns a counter. Invalid names are programming errors and panic.
func (m *Metrics) Counter(name, help string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		panic(err)
	}
	return c
}
