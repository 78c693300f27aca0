package result

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCodeTable guards against a table in docs/RESULT-CODES.md that differs from
// the defined codes, after only one of them was changed.
func TestCodeTable(t *testing.T) {
	Convey("The page lists exactly the defined codes", t, func() {
		page, err := os.ReadFile(filepath.Join("..", "docs", "RESULT-CODES.md"))
		So(err, ShouldBeNil)
		var rows []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
				rows = append(rows, line)
			}
		}
		var want []string
		for _, c := range All() {
			want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s | %s |", c, c.Name(), c.Status(), c.Retry(), c.Help()))
		}
		So(strings.Join(rows, "\n"), ShouldEqual, strings.Join(want, "\n"))
	})
}

// TestErrorOnTheWire guards against errors that lose fields between two processes,
// and against Retry-After being rounded down, with which a caller would retry too
// early.
func TestErrorOnTheWire(t *testing.T) {
	Convey("An error is unchanged after Write and Decode, and Retry-After is in whole seconds", t, func() {
		e := New(Overloaded, RanNo, "busy").RetryAfter(1200*time.Millisecond).ForGeneration("gen-a.b.c", 3)
		w := httptest.NewRecorder()
		Write(w, e)
		So(w.Code, ShouldEqual, Overloaded.Status())
		So(w.Header().Get("Retry-After"), ShouldEqual, "2")
		So(Decode(w.Body.Bytes()), ShouldResemble, e)
	})
	Convey("An error without a code becomes Internal with RanUnknown", t, func() {
		e := From(json.Unmarshal([]byte("{"), &struct{}{}))
		So(e.Code, ShouldEqual, Internal)
		So(e.Ran, ShouldEqual, RanUnknown)
		So(From(nil), ShouldBeNil)
	})
}
