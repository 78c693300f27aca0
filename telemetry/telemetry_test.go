package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnknownFieldsAreLeftOut(t *testing.T) {
	Convey("Neither empty fields nor the age of what was never heard are logged", t, func() {
		var log bytes.Buffer
		metrics, err := NewMetrics("quetzalglade_unknown")
		So(err, ShouldBeNil)
		r := NewRecorder(NewLogger(&log, "test", "vm-1"), metrics, 3)
		var never time.Time
		r.Record(Decision{Kind: KindRoute, Request: "r", Choice: "vm-2", Reason: "least_work", Candidates: []Candidate{
			{Target: "vm-2", AgeMillis: AgeMillis(time.Since(never))}, {Target: "vm-3", AgeMillis: AgeMillis(5 * time.Millisecond)},
		}})
		var line map[string]any
		So(json.Unmarshal(log.Bytes(), &line), ShouldBeNil)
		for _, name := range []string{"attempt", "detail", "generation", "workspace", "took_us", "config_version"} {
			So(line, ShouldNotContainKey, name)
		}
		candidates := line["candidates"].([]any)
		So(candidates[0], ShouldNotContainKey, "age_ms")
		So(candidates[1].(map[string]any)["age_ms"], ShouldEqual, 5)
	})
}

func TestRecorder(t *testing.T) {
	Convey("Decisions are logged as JSON lines, counted, and the latest kept in order", t, func() {
		var log bytes.Buffer
		metrics, err := NewMetrics("quetzalglade_test")
		So(err, ShouldBeNil)
		r := NewRecorder(NewLogger(&log, "test", "vm-1"), metrics, 3)
		for i := range 5 {
			r.Record(Decision{Kind: KindRoute, Request: fmt.Sprint("req-", i), Choice: "vm-2", Reason: "least_work"})
		}
		kept := r.Find(func(*Decision) bool { return true })
		So(len(kept), ShouldEqual, 3)
		So(kept[0].Request, ShouldEqual, "req-2")
		So(kept[2].Request, ShouldEqual, "req-4")

		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		So(len(lines), ShouldEqual, 5)
		var line map[string]any
		So(json.Unmarshal([]byte(lines[0]), &line), ShouldBeNil)
		So(line["request"], ShouldEqual, "req-0")
		So(line["vm"], ShouldEqual, "vm-1")

		w := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		So(w.Body.String(), ShouldContainSubstring, `quetzalglade_test_decisions_total{kind="route",reason="least_work"} 5`)
	})
}

// failingOutput takes nothing while it fails.
type failingOutput struct {
	bytes.Buffer
	fails bool
}

func (o *failingOutput) Write(p []byte) (int, error) {
	if o.fails {
		return 0, errors.New("output is gone")
	}
	return o.Buffer.Write(p)
}

func TestWriterCountsLinesThatTheOutputRefuses(t *testing.T) {
	Convey("Refused lines are reported once the output takes lines again", t, func() {
		out := &failingOutput{fails: true}
		w := &Writer{out: out}
		for range 3 {
			_, err := w.Write([]byte("line\n"))
			So(err, ShouldBeNil)
		}
		reported := w.flush(0)
		So(reported, ShouldEqual, 0)
		So(w.Dropped(), ShouldEqual, 3)
		out.fails = false
		So(w.flush(reported), ShouldEqual, 3)
		So(out.String(), ShouldContainSubstring, `"dropped":3`)
	})
}
