package faulttest

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestReadyEntryServes starts an entry whose targets take a while to answer.
// From the moment that it is ready it must serve.
func TestReadyEntryServes(t *testing.T) {
	o := fleetOptions{engines: 2, entries: 1, engine: fastEngine()}
	f := startFleet(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	Convey("A new entry is ready only when it knows its targets", t, func() {
		for _, tg := range f.targets {
			heal := tg.inbound.toxic("latency", "downstream", `"latency":600`)
			defer heal()
		}
		e := f.addEntry("entry-2", o)
		eventually(t, startWait, "entry-2 ready", e.ready)
		a := generate(ctx, e.addr, "guide", prompt("at once", 20), nil, nil)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
	})
}
