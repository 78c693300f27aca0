package telemetry

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// DecisionKind is the kind of a decision, for example a route or a retry.
type DecisionKind string

// The kinds of decision.
const (
	KindRoute     DecisionKind = "route"
	KindAdmit     DecisionKind = "admit"
	KindRefuse    DecisionKind = "refuse"
	KindRetry     DecisionKind = "retry"
	KindResume    DecisionKind = "resume"
	KindReplay    DecisionKind = "replay"
	KindHedge     DecisionKind = "hedge"
	KindCancel    DecisionKind = "cancel"
	KindFinish    DecisionKind = "finish"
	KindPlacement DecisionKind = "placement"
	KindClaim     DecisionKind = "claim"
	KindDrain     DecisionKind = "drain"
)

// Candidate is a target that a decision considered, with the state that was known
// of it.
type Candidate struct {
	Target string `json:"target"`
	// Score ranks the candidates; the lowest score is the best.
	Score   float64 `json:"score"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	// AgeMillis is the age of the target's state in milliseconds, nil if
	// none was ever received.
	AgeMillis *int64 `json:"age_ms,omitempty"`
	Note      string `json:"note,omitempty"`
}

// AgeMillis converts the age of a target's state for Candidate.AgeMillis. It
// returns nil for the maximum duration, which time.Since returns for the zero time
// of a target from which nothing was ever received.
func AgeMillis(age time.Duration) *int64 {
	if age == math.MaxInt64 {
		return nil
	}
	millis := age.Milliseconds()
	return &millis
}

// Decision is the record of a routing, admission or placement decision. It is
// logged and kept for the operators' explain command.
type Decision struct {
	Time       time.Time    `json:"time"`
	Kind       DecisionKind `json:"kind"`
	Request    string       `json:"request,omitempty"`
	Attempt    string       `json:"attempt,omitempty"`
	Generation string       `json:"generation,omitempty"`
	Workspace  string       `json:"workspace,omitempty"`
	Service    string       `json:"service,omitempty"`
	Target     string       `json:"target,omitempty"`
	// Choice is the result of the decision. Reason must be one of a small set of
	// constant strings, since it is a label value of the decisions metric.
	Choice string `json:"choice"`
	Reason string `json:"reason"`
	// Detail is additional text, such as an error message.
	Detail     string      `json:"detail,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// TookMicros is the duration in microseconds of the decision or, if the decision
	// ends an attempt or another step of a request, of that step.
	TookMicros    int64 `json:"took_us,omitempty"`
	ConfigVersion int64 `json:"config_version,omitempty"`
}

// Recorder logs decisions and keeps the most recent ones in a ring buffer. It is
// safe for concurrent use.
type Recorder struct {
	logger log.Logger
	count  metric.Int64Counter
	mu     sync.Mutex
	// ring is the ring buffer and next the index of its next write. wrapped is true
	// once all its elements have been written.
	ring    []Decision
	next    int
	wrapped bool
}

// NewRecorder returns a recorder that keeps the last size decisions and counts
// all of them by kind and reason.
func NewRecorder(logger log.Logger, metrics *Metrics, size int) *Recorder {
	return &Recorder{
		logger: logger,
		count:  metrics.Counter("decisions", "Routing, admission and placement decisions by kind and reason."),
		ring:   make([]Decision, size),
	}
}

// Record logs and counts d and stores it in the ring buffer. It replaces a zero
// Time by the current time.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	r.keep(d)
	r.count.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(d.Kind)), attribute.String("reason", d.Reason)))
	Info(r.logger, "decision", d.logFields()...)
}

// logFields returns the keys and values of d for the log, without the empty
// fields.
func (d *Decision) logFields() []any {
	fields := []any{"kind", d.Kind, "choice", d.Choice, "reason", d.Reason}
	for _, field := range []struct{ name, value string }{
		{"request", d.Request},
		{"attempt", d.Attempt},
		{"generation", d.Generation},
		{"workspace", d.Workspace},
		{"service", d.Service},
		{"target", d.Target},
		{"detail", d.Detail},
	} {
		if field.value != "" {
			fields = append(fields, field.name, field.value)
		}
	}
	if len(d.Candidates) > 0 {
		fields = append(fields, "candidates", d.Candidates)
	}
	if d.TookMicros > 0 {
		fields = append(fields, "took_us", d.TookMicros)
	}
	if d.ConfigVersion > 0 {
		fields = append(fields, "config_version", d.ConfigVersion)
	}
	return fields
}

// keep stores d in the ring buffer. If the buffer is full, d replaces the oldest
// decision.
func (r *Recorder) keep(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = d
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.wrapped = true
	}
}

// Find returns the kept decisions for which match returns true, oldest first.
func (r *Recorder) Find(match func(*Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	start, count := 0, r.next
	if r.wrapped {
		start, count = r.next, len(r.ring)
	}
	for i := range count {
		d := &r.ring[(start+i)%len(r.ring)]
		if match(d) {
			found = append(found, *d)
		}
	}
	return found
}
