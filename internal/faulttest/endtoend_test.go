package faulttest

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndToEnd sends each kind of request through entry and agent processes without
// faults.
func TestEndToEnd(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plainServices: 1, entries: 2, engineOptions: fastEngineOptions()})
	ctx := context.Background()
	Convey("A streamed generation is complete and equals the engine's output", t, func() {
		c := generate(ctx, f.entries[0].addr, "guide", prompt("pedal", 300), nil, nil)
		So(c.err, ShouldBeNil)
		So(c.failure, ShouldBeNil)
		So(c.complete, ShouldBeTrue)
		So(c.outOfOrder, ShouldEqual, 0)
		So(c.lastEventID, ShouldEqual, 299)
		So(c.text, ShouldEqual, f.output(c.generationID))
	})
	Convey("A finished generation can be read again through another entry", t, func() {
		c := generate(ctx, f.entries[0].addr, "triage", prompt("verdict", 8), nil, nil)
		again := (&completion{lastEventID: -1, generationID: c.generationID}).resume(ctx, f.entries[1].addr)
		So(again.complete, ShouldBeTrue)
		So(again.text, ShouldEqual, c.text)
	})
	Convey("A non-idempotent call that is repeated with its key runs once", t, func() {
		status, first, _, err := invokeWithKey(ctx, f.entries[0].addr, http.MethodPost, "/s/booking/deposits", "k1", `{"amount":25}`)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		_, second, _, err := invokeWithKey(ctx, f.entries[1].addr, http.MethodPost, "/s/booking/deposits", "k1", `{"amount":25}`)
		So(err, ShouldBeNil)
		So(second, ShouldEqual, first)
		So(len(f.targets[2].plainService.Effects()), ShouldEqual, 1)
	})
	Convey("An idempotent lookup needs no key", t, func() {
		status, _, _, err := invokeWithKey(ctx, f.entries[0].addr, http.MethodGet, "/s/booking/visits/17", "", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// output returns the text that an engine generated for a generation, empty if no
// engine has a record of it.
func (f *fleet) output(generationID string) string {
	for _, tg := range f.targets {
		if tg.engine == nil {
			continue
		}
		if tokens := tg.engine.Output(generationID); tokens != nil {
			return strings.Join(tokens, "")
		}
	}
	return ""
}
