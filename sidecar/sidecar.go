package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// PathWatch is the HTTP path of the stream of load reports, with one JSON
// object per line.
const PathWatch = "/sidecar/v1/watch"

// Engine is the client of the engine beside this process.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	// Slowdown returns the factor by which the engine's work currently takes
	// longer than at the reference speed.
	Slowdown(ctx context.Context, addr string) (float64, error)
	// Cold returns how long the engine stays cold. A value out of range is ErrInvalidCold.
	Cold(ctx context.Context, addr string) (time.Duration, error)
}

// Options configures a Sidecar.
type Options struct {
	// EngineAddr is the engine's "ip:port".
	EngineAddr string
	Engine     Engine
	Listener   net.Listener
	// Guard is the account of what the process holds for others, nil for none.
	Guard  *connguard.Guard
	Logger log.Logger
	// PollPeriod is the time between polls of the engine.
	PollPeriod time.Duration
}

// Line is one line of a stream: the newest load report, or the information that
// the engine does not respond to polls.
type Line struct {
	EngineUnreachable bool    `json:"lost,omitempty"`
	Report            *Report `json:"report,omitempty"`
}

// Sidecar polls its engine and streams the load reports to the gateways that
// watch.
type Sidecar struct {
	opts Options

	mu     sync.Mutex
	latest Line
	// reservations is the account of the work that gateways send to the engine.
	reservations decision.Reservations
	cold         coldEngine
	// coldDemand wakes the coldPoller.
	coldDemand chan struct{}
	// coldAnswered is closed and replaced when the engine has answered the coldPoller, or
	// has failed to.
	coldAnswered chan struct{}
	// changed is closed and replaced when watchers must be notified at once.
	changed chan struct{}

	// baseline and hold are used only by the poller's goroutine.
	baseline baselineSlowdown
	hold     decision.ShedHold
}

// baselineSlowdown holds the slowdown of one engine incarnation without the
// influence of other load on its host. It is the minimum of several
// measurements, since other load can only increase a measurement.
type baselineSlowdown struct {
	startTime int64
	// lowest is the lowest measurement, 0 if none has succeeded. measurements
	// counts the attempts, including failed ones.
	lowest       float64
	measurements int
	measuredAt   time.Time
}

// Measurements of the baseline slowdown of one engine incarnation. With
// baselineMeasurements it is unlikely that other load on the host disturbs all
// of them; more would cost the engine more work. baselinePeriod, the time
// between two measurements, is longer than one such disturbance.
const (
	baselineMeasurements = 4
	baselinePeriod       = 800 * time.Millisecond
)

// New returns a sidecar that is not yet serving.
func New(opts Options) *Sidecar {
	return &Sidecar{
		opts: opts, latest: Line{EngineUnreachable: true}, changed: make(chan struct{}),
		cold: coldEngine{grants: decision.NewRateWindow(time.Now())}, coldDemand: make(chan struct{}, 1), coldAnswered: make(chan struct{}),
	}
}

// bodyFactor is the memory that a request takes for each byte of its body.
const bodyFactor = 2

// stopTimeout limits how long a stop waits for open streams.
const stopTimeout = 200 * time.Millisecond

// Serve runs the sidecar until ctx ends.
func (s *Sidecar) Serve(ctx context.Context) error {
	telemetry.Info(s.opts.Logger, "start", "engine", s.opts.EngineAddr, "listen", s.opts.Listener.Addr().String())
	mux := http.NewServeMux()
	mux.HandleFunc(PathWatch, s.handleWatch)
	mux.HandleFunc("POST "+PathReserve, s.handleReserve)
	supervisor := suture.New("sidecar", suture.Spec{EventHook: func(e suture.Event) {
		telemetry.Warn(s.opts.Logger, "supervisor event", "event", e.String())
	}})
	server := httpserve.New("watch", s.opts.Listener, mux, stopTimeout)
	server.SetGuard(s.opts.Guard, bodyFactor, false)
	supervisor.Add(server)
	supervisor.Add(&poller{s: s})
	supervisor.Add(&coldPoller{s: s})
	err := supervisor.Serve(ctx)
	telemetry.Info(s.opts.Logger, "stop")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// poller polls the engine periodically. It is a suture service.
type poller struct{ s *Sidecar }

// Serve implements suture.Service.
func (p *poller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(p.s.opts.PollPeriod)
	defer ticker.Stop()
	for {
		p.s.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (p *poller) String() string { return "engine poller" }

// poll fetches a load report and notifies the watchers if the state or the work
// of the engine has changed.
func (s *Sidecar) poll(ctx context.Context) {
	startedAt := time.Now()
	if !s.hold.TryStart(startedAt) {
		return
	}
	report, err := s.opts.Engine.Report(ctx, s.opts.EngineAddr)
	line := Line{Report: &report}
	leaving := s.applyRefusal(err)
	if err != nil {
		line = Line{EngineUnreachable: true}
	} else {
		s.hold.Accepted(startedAt)
		report.BaselineSlowdown = s.measureBaseline(ctx, report.StartMillis)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.latest
	if leaving && previous.Report != nil {
		report = *previous.Report
		report.Draining = true
		line = Line{Report: &report}
	}
	if line.Report != nil {
		s.observe(line.Report, time.Now())
		s.cold.setIncarnation(line.Report.StartMillis)
		line.Report.ColdMillis = s.cold.remainingMillis(time.Now(), s.maxStatementAge())
	}
	s.latest = line
	stateChanged := engineChanged(&previous, &line)
	if !stateChanged && !workChanged(&previous, &line) {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if !stateChanged {
		return
	}
	telemetry.Info(s.opts.Logger, "engine state changed", "lost", line.EngineUnreachable, "draining", report.Draining, "leaves_in_ms", report.LeavesInMillis,
		"born", report.StartMillis, "running", report.Running, "queued", report.Queued, "err", err)
}

// applyRefusal holds the polls if the engine has turned one away and stated for how long
// it wants no further ones. It reports whether the engine states that it leaves.
func (s *Sidecar) applyRefusal(err error) (leaving bool) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	if refused.RetryAfter > 0 {
		telemetry.Info(s.opts.Logger, "engine sheds load, polls held", "retry_after_ms", refused.RetryAfter.Milliseconds())
		s.hold.Shed(time.Now(), refused.RetryAfter, 0)
	}
	return refused.Leaving
}

// measureBaseline returns the engine's baseline slowdown, 0 if it is not known
// yet. It makes a new measurement if one is due.
func (s *Sidecar) measureBaseline(ctx context.Context, startTime int64) float64 {
	b := &s.baseline
	if b.startTime != startTime {
		*b = baselineSlowdown{startTime: startTime}
	}
	if b.measurements >= baselineMeasurements || time.Since(b.measuredAt) < baselinePeriod {
		return b.lowest
	}
	b.measuredAt = time.Now()
	b.measurements++
	slowdown, err := s.opts.Engine.Slowdown(ctx, s.opts.EngineAddr)
	s.applyRefusal(err)
	if err != nil {
		telemetry.Info(s.opts.Logger, "measuring the slowdown failed", "err", err)
		return b.lowest
	}
	if b.lowest == 0 || slowdown < b.lowest {
		b.lowest = slowdown
	}
	return b.lowest
}

// engineChanged reports whether the engine became reachable or unreachable,
// started to drain or restarted.
func engineChanged(a, b *Line) bool {
	if a.EngineUnreachable != b.EngineUnreachable {
		return true
	}
	return !a.EngineUnreachable && (a.Report.Draining != b.Report.Draining || a.Report.StartMillis != b.Report.StartMillis)
}

// workChanged reports whether the number of running, queued or decoding requests
// has changed, because requests arrived, generated their first event or ended.
// Gateways place requests by these numbers: with outdated reports, several of
// them would choose the same engine.
func workChanged(a, b *Line) bool {
	if a.EngineUnreachable || b.EngineUnreachable {
		return false
	}
	return a.Report.Running != b.Report.Running || a.Report.Queued != b.Report.Queued || len(a.Report.Requests) != len(b.Report.Requests)
}

// Timing of a stream. A line is sent immediately if the engine's state or work
// has changed. Every kvUpdatePeriod, a line is sent if anything else in the
// report has changed, such as the use of the KV cache, or if the last line is
// keepalivePeriod old. writeTimeout limits the writing of one line.
const (
	kvUpdatePeriod  = 200 * time.Millisecond
	keepalivePeriod = time.Second
	writeTimeout    = 2 * time.Second
)

// handleWatch serves a stream of load reports until the client disconnects or a
// write fails.
func (s *Sidecar) handleWatch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	var lastText []byte
	var sentAt time.Time
	for {
		line, changed := s.latestLine()
		text, err := json.Marshal(line)
		if err != nil {
			telemetry.Warn(s.opts.Logger, "encoding a load report failed", "err", err)
			return
		}
		if now := time.Now(); string(text) != string(lastText) || now.Sub(sentAt) >= keepalivePeriod {
			if controller.SetWriteDeadline(now.Add(writeTimeout)) != nil || encoder.Encode(json.RawMessage(text)) != nil || controller.Flush() != nil {
				return
			}
			lastText, sentAt = text, now
		}
		select {
		case <-changed:
		case <-time.After(kvUpdatePeriod):
		case <-r.Context().Done():
			return
		}
	}
}

// latestLine returns the latest line and a channel that is closed when watchers
// must be notified of a newer one.
func (s *Sidecar) latestLine() (Line, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.changed
}
