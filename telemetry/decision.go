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

// DecisionKind classifies a logged decision.
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

// Candidate is what was known of one target when a decision was made.
type Candidate struct {
	Target  string  `json:"target"`
	Score   float64 `json:"score"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	// AgeMillis is the age of that knowledge, nil if the target was never heard.
	AgeMillis *int64 `json:"age_ms,omitempty"`
	Note      string `json:"note,omitempty"`
}

// AgeMillis returns an age for a Candidate. An age that time.Since has saturated
// is that of the zero time, of a target that was never heard.
func AgeMillis(age time.Duration) *int64 {
	if age == math.MaxInt64 {
		return nil
	}
	millis := age.Milliseconds()
	return &millis
}

// Decision is one routing or placement decision, as logged and as kept for
// explain.
type Decision struct {
	Time       time.Time    `json:"time"`
	Kind       DecisionKind `json:"kind"`
	Request    string       `json:"request,omitempty"`
	Attempt    string       `json:"attempt,omitempty"`
	Generation string       `json:"generation,omitempty"`
	Workspace  string       `json:"workspace,omitempty"`
	Service    string       `json:"service,omitempty"`
	Target     string       `json:"target,omitempty"`
	// Choice is what was decided, Reason a short stable word for why; reasons
	// are a bounded set, since they label a metric.
	Choice string `json:"choice"`
	Reason string `json:"reason"`
	// Detail is free text for readers, such as the message of an error.
	Detail     string      `json:"detail,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// TookMicros is the time the decision or the step it ends took.
	TookMicros int64 `json:"took_us,omitempty"`
	Version    int64 `json:"config_version,omitempty"`
}

// Recorder logs decisions and keeps the most recent ones. It may be used from
// any goroutine.
type Recorder struct {
	logger log.Logger
	count  metric.Int64Counter
	mu     sync.Mutex
	ring   []Decision
	next   int
	full   bool
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

// Record logs d and keeps it. A zero time is set to now.
func (r *Recorder) Record(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	r.keep(d)
	r.count.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(d.Kind)), attribute.String("reason", d.Reason)))
	Info(r.logger, "decision", d.fields()...)
}

// fields returns the names and values that are known.
func (d *Decision) fields() []any {
	fields := []any{"kind", d.Kind, "choice", d.Choice, "reason", d.Reason}
	for _, f := range []struct{ name, value string }{
		{"request", d.Request},
		{"attempt", d.Attempt},
		{"generation", d.Generation},
		{"workspace", d.Workspace},
		{"service", d.Service},
		{"target", d.Target},
		{"detail", d.Detail},
	} {
		if f.value != "" {
			fields = append(fields, f.name, f.value)
		}
	}
	if len(d.Candidates) > 0 {
		fields = append(fields, "candidates", d.Candidates)
	}
	if d.TookMicros > 0 {
		fields = append(fields, "took_us", d.TookMicros)
	}
	if d.Version > 0 {
		fields = append(fields, "config_version", d.Version)
	}
	return fields
}

func (r *Recorder) keep(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = d
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

// Find returns the kept decisions that match, oldest first.
func (r *Recorder) Find(match func(*Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Decision
	start, n := 0, r.next
	if r.full {
		start, n = r.next, len(r.ring)
	}
	for i := range n {
		d := &r.ring[(start+i)%len(r.ring)]
		if match(d) {
			out = append(out, *d)
		}
	}
	return out
}
