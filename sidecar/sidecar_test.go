package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"
)

// fakeEngine is an engine whose load report and slowdown measurements are set by
// a test. Each measurement is returned once.
type fakeEngine struct {
	mu        sync.Mutex
	report    Report
	err       error
	slowdowns []float64
	cold      time.Duration
	coldErr   error
	coldAsked int
}

func (e *fakeEngine) setCold(d time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold, e.coldErr = d, err
}

func (e *fakeEngine) Cold(context.Context, string) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldAsked++
	return e.cold, e.coldErr
}

// timesAsked returns how often the engine was asked how long it stays cold.
func (e *fakeEngine) timesAsked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coldAsked
}

func (e *fakeEngine) set(r Report, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, e.err = r, err
}

func (e *fakeEngine) Report(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, e.err
}

func (e *fakeEngine) Slowdown(context.Context, string) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.slowdowns) == 0 {
		return 0, errors.New("no measurement available")
	}
	slowdown := e.slowdowns[0]
	e.slowdowns = e.slowdowns[1:]
	return slowdown, nil
}

// Guards against gateways that work with a wrong state of an engine, because a
// drain, a failure or a restart does not reach them, or because a restarted
// engine keeps the baseline of the previous incarnation.
func TestSidecarStreamsEngineReports(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := &fakeEngine{report: Report{StartMillis: 1, Running: 3}, slowdowns: []float64{2.5}}
	s := New(Options{Engine: engine, EngineAddr: "engine", Listener: listener, Logger: log.NewNopLogger(), PollPeriod: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	defer func() {
		cancel()
		<-served
	}()
	lines := make(chan Line, 100)
	watchEnded := make(chan error, 1)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	go func() {
		watchEnded <- NewClient(&http.Client{}).Watch(watchCtx, listener.Addr().String(), func(line Line) { lines <- line })
	}()
	waitForLine := func(description string, matches func(Line) bool) {
		t.Helper()
		timeout := time.After(20 * time.Second)
		for {
			select {
			case line := <-lines:
				if matches(line) {
					return
				}
			case <-timeout:
				t.Fatalf("no line received: %s", description)
			}
		}
	}
	convey.Convey("Watchers receive the load, the drain notice, the failure and the restart of the engine", t, func() {
		waitForLine("three running requests", func(l Line) bool { return l.Report != nil && l.Report.Running == 3 && l.Report.BaselineSlowdown == 2.5 })
		engine.set(Report{StartMillis: 1, Running: 3, Draining: true, LeavesInMillis: 1700}, nil)
		waitForLine("the engine drains", func(l Line) bool { return l.Report != nil && l.Report.Draining && l.Report.LeavesInMillis == 1700 })
		engine.set(Report{}, errors.New("refused"))
		waitForLine("the engine is unreachable", func(l Line) bool { return l.EngineUnreachable })
		engine.set(Report{StartMillis: 2}, nil)
		waitForLine("the engine has restarted", func(l Line) bool {
			return l.Report != nil && l.Report.StartMillis == 2 && l.Report.BaselineSlowdown == 0
		})
		stopWatch()
		convey.So(<-watchEnded, convey.ShouldNotBeNil)
	})
}

// Guards against a sidecar that reports changed work too late: gateways that place
// requests by the same outdated report send them to the same engine.
func TestChangedWorkNotifiesWatchersImmediately(t *testing.T) {
	running := RunningRequest{ID: "r"}
	cases := []struct {
		name     string
		report   Report
		notified bool
	}{
		{"no change", Report{Running: 2, Requests: []RunningRequest{running}}, false},
		{"KV cache use changes", Report{Running: 2, Requests: []RunningRequest{running}, KVTokens: 900}, false},
		{"a request arrives", Report{Running: 3, Requests: []RunningRequest{running}}, true},
		{"a request waits", Report{Running: 2, Requests: []RunningRequest{running}, Queued: 1}, true},
		{"prefill ends", Report{Running: 2, Requests: []RunningRequest{running, running}}, true},
		{"the engine drains", Report{Running: 2, Requests: []RunningRequest{running}, Draining: true}, true},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			engine := &fakeEngine{report: Report{Running: 2, Requests: []RunningRequest{running}}}
			s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
			s.poll(context.Background())
			_, changed := s.latestLine()
			engine.set(c.report, nil)
			s.poll(context.Background())
			notified := false
			select {
			case <-changed:
				notified = true
			default:
			}
			convey.So(notified, convey.ShouldEqual, c.notified)
		})
	}
}

// Guards against a baseline that includes other load on the host, which only some
// of the measurements contain. Calls after the fourth measurement must not
// measure again: they would consume the measurements of the restarted engine.
func TestBaselineSlowdownIsLowestMeasurement(t *testing.T) {
	convey.Convey("The baseline is the lowest measurement; a restarted engine is measured anew", t, func() {
		engine := &fakeEngine{slowdowns: []float64{3.25, 1.3, 1.3, 3.25, 9, 2}}
		s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
		for range 6 {
			s.baseline.measuredAt = time.Time{}
			s.measureBaseline(context.Background(), 1)
		}
		convey.So(s.baseline.lowest, convey.ShouldEqual, 1.3)
		convey.So(s.measureBaseline(context.Background(), 2), convey.ShouldEqual, 9)
	})
}
