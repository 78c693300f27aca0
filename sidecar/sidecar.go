package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// PathWatch streams reports, one JSON object a line.
const PathWatch = "/sidecar/v1/watch"

// Engine answers for the engine beside this process.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	// Pace returns how long work takes at this moment compared with an engine of
	// full speed.
	Pace(ctx context.Context, addr string) (float64, error)
}

// Options configure a Sidecar.
type Options struct {
	// EngineAddr is the engine's "ip:port".
	EngineAddr string
	Engine     Engine
	Listener   net.Listener
	Logger     log.Logger
	// Period is the time between questions to the engine.
	Period time.Duration
}

// Line is one line of a stream: the newest report, or Lost if the engine does
// not answer.
type Line struct {
	Lost   bool    `json:"lost,omitempty"`
	Report *Report `json:"report,omitempty"`
}

// Sidecar asks its engine and tells those who watch.
type Sidecar struct {
	o Options

	mu      sync.Mutex
	line    Line
	changed chan struct{}

	// Owned by the poller: the usual pace of the engine that was born then.
	usual pace
}

// pace is the least of a few measurements: neighbours only slow an engine.
type pace struct {
	born     int64
	least    float64
	measured int
	at       time.Time
}

// Measurements of the pace: as many as leave little chance that a neighbour
// disturbs all of them, spaced further than one disturbance lasts. They cost
// the engine some work, so there are only a few for each of its starts.
const (
	paceMeasurements = 4
	pacePeriod       = 800 * time.Millisecond
)

// New returns a sidecar that is not yet serving.
func New(o Options) *Sidecar {
	return &Sidecar{o: o, line: Line{Lost: true}, changed: make(chan struct{})}
}

// stopLimit bounds the end of the streams at a stop.
const stopLimit = 200 * time.Millisecond

// Serve runs the sidecar until ctx ends.
func (s *Sidecar) Serve(ctx context.Context) error {
	telemetry.Info(s.o.Logger, "start", "engine", s.o.EngineAddr, "listen", s.o.Listener.Addr().String())
	mux := http.NewServeMux()
	mux.HandleFunc(PathWatch, s.handleWatch)
	tree := suture.New("sidecar", suture.Spec{EventHook: func(e suture.Event) {
		telemetry.Warn(s.o.Logger, "service ended", "event", e.String())
	}})
	tree.Add(httpserve.New("watch", s.o.Listener, mux, stopLimit))
	tree.Add(&poller{s: s})
	err := tree.Serve(ctx)
	telemetry.Info(s.o.Logger, "stop")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type poller struct{ s *Sidecar }

// Serve implements suture.Service.
func (p *poller) Serve(ctx context.Context) error {
	t := time.NewTicker(p.s.o.Period)
	defer t.Stop()
	for {
		p.s.poll(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (p *poller) String() string { return "engine poller" }

func (s *Sidecar) poll(ctx context.Context) {
	report, err := s.o.Engine.Report(ctx, s.o.EngineAddr)
	line := Line{Report: &report}
	if err != nil {
		line = Line{Lost: true}
	} else {
		report.Usual = s.measure(ctx, report.Born)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.line
	s.line = line
	stateChanged := otherState(&before, &line)
	if !stateChanged && !otherWork(&before, &line) {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if !stateChanged {
		return
	}
	telemetry.Info(s.o.Logger, "engine changed", "lost", line.Lost, "draining", report.Draining, "leaves_in_ms", report.LeavesInMillis,
		"born", report.Born, "running", report.Running, "queued", report.Queued, "err", err)
}

// measure returns the engine's usual pace, 0 if it is not known yet.
func (s *Sidecar) measure(ctx context.Context, born int64) float64 {
	u := &s.usual
	if u.born != born {
		*u = pace{born: born}
	}
	if u.measured >= paceMeasurements || time.Since(u.at) < pacePeriod {
		return u.least
	}
	u.at = time.Now()
	u.measured++
	p, err := s.o.Engine.Pace(ctx, s.o.EngineAddr)
	if err != nil {
		telemetry.Info(s.o.Logger, "pace not measured", "err", err)
		return u.least
	}
	if u.least == 0 || p < u.least {
		u.least = p
	}
	return u.least
}

// otherState reports whether the engine itself has changed.
func otherState(a, b *Line) bool {
	if a.Lost != b.Lost {
		return true
	}
	return !a.Lost && (a.Report.Draining != b.Report.Draining || a.Report.Born != b.Report.Born)
}

// otherWork reports whether requests have come, made their first event or ended.
// Gateways place work by that, so old reports send several requests to one engine.
func otherWork(a, b *Line) bool {
	if a.Lost || b.Lost {
		return false
	}
	return a.Report.Running != b.Report.Running || a.Report.Queued != b.Report.Queued || len(a.Report.Runs) != len(b.Report.Runs)
}

// Periods of a stream: a line follows at once if the engine or its work has
// changed, after linePeriod if only its memory has, after quietPeriod at most.
const (
	linePeriod   = 200 * time.Millisecond
	quietPeriod  = time.Second
	writeTimeout = 2 * time.Second
)

func (s *Sidecar) handleWatch(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	var last []byte
	var at time.Time
	for {
		line, changed := s.current()
		text, err := json.Marshal(line)
		if err != nil {
			telemetry.Warn(s.o.Logger, "encode report", "err", err)
			return
		}
		if now := time.Now(); string(text) != string(last) || now.Sub(at) >= quietPeriod {
			if rc.SetWriteDeadline(now.Add(writeTimeout)) != nil || enc.Encode(json.RawMessage(text)) != nil || rc.Flush() != nil {
				return
			}
			last, at = text, now
		}
		select {
		case <-changed:
		case <-time.After(linePeriod):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Sidecar) current() (Line, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line, s.changed
}
