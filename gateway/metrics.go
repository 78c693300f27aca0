package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

type metrics struct {
	*telemetry.Metrics
	activeRequests  atomic.Int64
	responses       metric.Int64Counter
	attempts        metric.Int64Counter
	holds           metric.Int64Counter
	admissions      metric.Int64Counter
	sourceStops     metric.Int64Counter
	reruns          metric.Int64Counter
	slowReaders     metric.Int64Counter
	coldGrants      metric.Int64Counter
	coldDenials     metric.Int64Counter
	ignored         metric.Int64Counter
	firstByte       metric.Float64Histogram
	requestDuration metric.Float64Histogram
}

// latencyBounds are the upper bounds, in seconds, of the buckets of the latency
// histograms. They cover the range from a cached lookup to the longest stream.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24, 48}

func newMetrics() (*metrics, error) {
	base, err := telemetry.NewMetrics("quetzalglade_gateway")
	if err != nil {
		return nil, err
	}
	m := &metrics{
		Metrics:         base,
		responses:       base.Counter("answers", "Answers to clients by route, status and outcome."),
		attempts:        base.Counter("attempts", "Attempts at targets by service and outcome."),
		holds:           base.Counter("target_holds", "Times that a target turned a request away and wanted no further ones for some time, by service."),
		admissions:      base.Counter("admissions", "Decisions about streams at inference engines by route, decision and reason."),
		sourceStops:     base.Counter("source_stops", "Calls that stop a request at its source before it continues elsewhere, by service, whether the source confirmed the stop, and what is known about it."),
		reruns:          base.Counter("stream_reruns", "Broken resumable streams without a copy of their KV cache, by service, whether the client had received events, and whether another target ran the stream again."),
		slowReaders:     base.Counter("slow_readers", "Times that reading from a target went ahead of a client that reads slowly (began), and that a limit stopped it (full), by service."),
		coldGrants:      base.Counter("cold_grants", "Requests that were allowed to cold targets, by service and by who allowed them: sidecar or share."),
		coldDenials:     base.Counter("cold_denials", "Requests that were not sent to a cold target, by service and by who denied them: sidecar or share."),
		ignored:         base.Counter("ignored_values", "Values out of range that were ignored, by where they stood."),
		firstByte:       base.DurationHistogram("first_byte", "Time to the first byte of a target's answer.", latencyBounds...),
		requestDuration: base.DurationHistogram("request", "Time to the end of an answer.", latencyBounds...),
	}
	base.Gauge("requests_active", "Requests in progress.", m.activeRequests.Load)
	return m, nil
}

func (m *metrics) recordResponse(route string, status int, outcome string, duration time.Duration) {
	attrs := metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status), attribute.String("outcome", outcome))
	m.responses.Add(context.Background(), 1, attrs)
	m.requestDuration.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

func (m *metrics) recordAttempt(service, outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

func (m *metrics) recordHold(service string) {
	m.holds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) recordAdmission(route string, action decision.AdmissionAction, reason string) {
	m.admissions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.String("decision", string(action)), attribute.String("reason", reason)))
}

func (m *metrics) recordCold(service, by string, granted bool) {
	counter := m.coldDenials
	if granted {
		counter = m.coldGrants
	}
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("by", by)))
}

func (m *metrics) recordIgnored(where string) {
	m.ignored.Add(context.Background(), 1, metric.WithAttributes(attribute.String("where", where)))
}

func (m *metrics) recordSourceStop(service string, state sourceState) {
	m.sourceStops.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Bool("confirmed", state == sourceStopped),
		attribute.String("state", state.String())))
}

func (m *metrics) recordRerun(service string, afterEvents bool, verdict string) {
	m.reruns.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Bool("after_events", afterEvents), attribute.String("verdict", verdict)))
}

func (m *metrics) recordSlowReader(service, event string) {
	m.slowReaders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("event", event)))
}
