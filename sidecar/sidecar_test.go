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

// fakeEngine is an engine whose account a test sets.
type fakeEngine struct {
	mu     sync.Mutex
	report Report
	err    error
	paces  []float64
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

func (e *fakeEngine) Pace(context.Context, string) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.paces) == 0 {
		return 0, errors.New("no pace")
	}
	p := e.paces[0]
	e.paces = e.paces[1:]
	return p, nil
}

func TestSidecarStreamsWhatItsEngineSays(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := &fakeEngine{report: Report{Born: 1, Running: 3}, paces: []float64{2.5}}
	s := New(Options{Engine: engine, EngineAddr: "engine", Listener: listener, Logger: log.NewNopLogger(), Period: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	lines := make(chan Line, 100)
	watched := make(chan error, 1)
	watch, stop := context.WithCancel(context.Background())
	go func() {
		watched <- NewClient(&http.Client{}).Watch(watch, listener.Addr().String(), func(l Line) { lines <- l })
	}()
	until := func(what string, cond func(Line) bool) {
		t.Helper()
		limit := time.After(20 * time.Second)
		for {
			select {
			case l := <-lines:
				if cond(l) {
					return
				}
			case <-limit:
				t.Fatalf("no line said that %s", what)
			}
		}
	}
	convey.Convey("Watchers learn of load, notice, loss and a new start", t, func() {
		until("three run", func(l Line) bool { return l.Report != nil && l.Report.Running == 3 && l.Report.Usual == 2.5 })
		engine.set(Report{Born: 1, Running: 3, Draining: true, LeavesInMillis: 1700}, nil)
		until("the engine leaves", func(l Line) bool { return l.Report != nil && l.Report.Draining && l.Report.LeavesInMillis == 1700 })
		engine.set(Report{}, errors.New("refused"))
		until("the engine is lost", func(l Line) bool { return l.Lost })
		engine.set(Report{Born: 2}, nil)
		until("another engine is there", func(l Line) bool { return l.Report != nil && l.Report.Born == 2 && l.Report.Usual == 0 })
		stop()
		convey.So(<-watched, convey.ShouldNotBeNil)
	})
}

// Pattern: herd. Gateways that place work on old reports send it to the same engine.
func TestNewWorkIsToldAtOnce(t *testing.T) {
	run := Run{Request: "r"}
	cases := []struct {
		name   string
		report Report
		told   bool
	}{
		{"nothing new", Report{Running: 2, Runs: []Run{run}}, false},
		{"memory", Report{Running: 2, Runs: []Run{run}, MemoryUsed: 900}, false},
		{"a request comes", Report{Running: 3, Runs: []Run{run}}, true},
		{"a request waits", Report{Running: 2, Runs: []Run{run}, Queued: 1}, true},
		{"a prompt has been read", Report{Running: 2, Runs: []Run{run, run}}, true},
		{"notice", Report{Running: 2, Runs: []Run{run}, Draining: true}, true},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			engine := &fakeEngine{report: Report{Running: 2, Runs: []Run{run}}}
			s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
			s.poll(context.Background())
			_, changed := s.current()
			engine.set(c.report, nil)
			s.poll(context.Background())
			told := false
			select {
			case <-changed:
				told = true
			default:
			}
			convey.So(told, convey.ShouldEqual, c.told)
		})
	}
}

func TestPaceIsTheLeastOfAFewMeasurements(t *testing.T) {
	convey.Convey("Neighbours only slow an engine; a new start is measured anew", t, func() {
		engine := &fakeEngine{paces: []float64{3.25, 1.3, 1.3, 3.25, 9, 2}}
		s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
		for range 6 {
			s.usual.at = time.Time{}
			s.measure(context.Background(), 1)
		}
		convey.So(s.usual.least, convey.ShouldEqual, 1.3)
		convey.So(s.measure(context.Background(), 2), convey.ShouldEqual, 9)
	})
}
