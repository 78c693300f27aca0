package faulttest

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWholePath serves each kind of request by separate processes.
func TestWholePath(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plains: 1, entries: 2, engine: fastEngine()})
	ctx := context.Background()
	Convey("A streamed generation arrives whole and equals the engine's output", t, func() {
		a := generate(ctx, f.entries[0].addr, "guide", prompt("pedal", 300), nil, nil)
		So(a.err, ShouldBeNil)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
		So(a.disorder, ShouldEqual, 0)
		So(a.last, ShouldEqual, 299)
		So(a.text, ShouldEqual, f.output(a.generation))
	})
	Convey("A finished generation is read again through the other entry", t, func() {
		a := generate(ctx, f.entries[0].addr, "triage", prompt("verdict", 8), nil, nil)
		again := (&answer{last: -1, generation: a.generation}).resume(ctx, f.entries[1].addr)
		So(again.complete, ShouldBeTrue)
		So(again.text, ShouldEqual, a.text)
	})
	Convey("A non-idempotent call runs once for a repeated key", t, func() {
		status, first, _, err := invoke(ctx, f.entries[0].addr, http.MethodPost, "/s/booking/deposits", "k1", `{"amount":25}`)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		_, second, _, err := invoke(ctx, f.entries[1].addr, http.MethodPost, "/s/booking/deposits", "k1", `{"amount":25}`)
		So(err, ShouldBeNil)
		So(second, ShouldEqual, first)
		So(len(f.targets[2].plain.Effects()), ShouldEqual, 1)
	})
	Convey("An idempotent lookup needs no key", t, func() {
		status, _, _, err := invoke(ctx, f.entries[0].addr, http.MethodGet, "/s/booking/visits/17", "", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// output returns the text that an engine generated.
func (f *fleet) output(generation string) string {
	for _, tg := range f.targets {
		if tg.engine == nil {
			continue
		}
		if tokens := tg.engine.Output(generation); tokens != nil {
			return strings.Join(tokens, "")
		}
	}
	return ""
}
