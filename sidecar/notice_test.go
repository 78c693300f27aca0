package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"
)

// countingEngine refuses every poll with an error and counts them.
type countingEngine struct {
	polls int
	err   error
}

func (e *countingEngine) Report(context.Context, string) (Report, error) {
	e.polls++
	return Report{}, e.err
}

func (e *countingEngine) Cold(context.Context, string) (time.Duration, error) { return 0, e.err }

func (e *countingEngine) Slowdown(context.Context, string) (float64, error) { return 0, e.err }

// Guards against polls of an engine that has stated for how long it wants no requests, and
// against a departure that a refused poll states and no gateway hears.
func TestRefusedPolls(t *testing.T) {
	convey.Convey("No poll follows until the end of the time that the engine states", t, func() {
		engine := &countingEngine{err: errors.Wrap(&RefusedError{Status: 503, RetryAfter: time.Hour}, "report")}
		s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
		for range 5 {
			s.poll(context.Background())
		}
		convey.So(engine.polls, convey.ShouldEqual, 1)
	})
	convey.Convey("A refusal that states a departure is passed on with the last report", t, func() {
		engine := &countingEngine{err: &RefusedError{Status: 503, Leaving: true}}
		s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
		s.latest = Line{Report: &Report{StartMillis: 7, KVTokens: 3}}
		s.poll(context.Background())
		line, _ := s.latestLine()
		convey.So(line.Report, convey.ShouldResemble, &Report{StartMillis: 7, KVTokens: 3, Draining: true})
	})
}

// Guards against a gateway that ends because of a line of a sidecar's stream: one that holds
// no report, or that is nested too deeply or is too long.
func TestOddLinesEndTheStream(t *testing.T) {
	for name, text := range map[string]string{
		"empty object": "{}", "null": "null", "no report": `{"report":null}`, "nested": strings.Repeat("[", 100_000), "number": `{"report":{"running":1e400}}`,
		"long": `{"report":{"born":1,"x":"` + strings.Repeat("x", 2*maxLineBytes) + `"}}`,
	} {
		convey.Convey("A line with "+name+" is an error, and the line before it is used", t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "{\"report\":{\"running\":1}}\n%s\n", text)
			}))
			defer server.Close()
			lines := 0
			err := NewClient(&http.Client{}).Watch(context.Background(), server.Listener.Addr().String(), func(line Line) {
				lines++
				convey.So(line.Report.Running, convey.ShouldEqual, 1)
			})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(lines, convey.ShouldEqual, 1)
		})
	}
}

// Guards against reservations that an engine cannot serve: beyond the limits of the request,
// while the engine leaves, or while it does not respond.
func TestReserve(t *testing.T) {
	engine := &fakeEngine{report: Report{StartMillis: 1, Running: 1, KVTokens: 1000, Requests: []RunningRequest{{ID: "old"}}}}
	s := New(Options{Engine: engine, Logger: log.NewNopLogger()})
	server := httptest.NewServer(http.HandlerFunc(s.handleReserve))
	defer server.Close()
	client := NewClient(&http.Client{})
	reserve := func(id string, maxPrefill int) ReservationResult {
		result, err := client.Reserve(context.Background(), server.Listener.Addr().String(),
			&Reservation{RequestID: id, PromptTokens: 3000, KVTokens: 4000, MaxPrefillTokens: maxPrefill, MaxKVTokens: -1})
		convey.So(err, convey.ShouldBeNil)
		return result
	}
	convey.Convey("An engine that has not responded grants nothing", t, func() {
		convey.So(reserve("a", 0), convey.ShouldResemble, ReservationResult{})
	})
	convey.Convey("The second request finds the backlog of the first one before that has arrived", t, func() {
		s.poll(context.Background())
		convey.So(reserve("a", 0).Granted, convey.ShouldBeTrue)
		denied := reserve("b", 2999)
		convey.So(denied.Granted, convey.ShouldBeFalse)
		convey.So(denied.Report.PrefillTokens, convey.ShouldEqual, 3000)
		convey.So(reserve("b", 3000).Granted, convey.ShouldBeTrue)
	})
	convey.Convey("A leaving engine grants nothing", t, func() {
		engine.set(Report{StartMillis: 1, Draining: true}, nil)
		s.poll(context.Background())
		convey.So(reserve("c", -1).Granted, convey.ShouldBeFalse)
	})
	convey.Convey("An invalid reservation is an error", t, func() {
		for _, in := range []Reservation{{}, {RequestID: "x", PromptTokens: -1}, {RequestID: strings.Repeat("x", 300)}, {RequestID: "x", KVTokens: 1 << 40}} {
			_, err := client.Reserve(context.Background(), server.Listener.Addr().String(), &in)
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
}
