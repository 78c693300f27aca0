package faulttest

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestReadyEntryServes starts an entry whose targets answer with a delay. The
// entry must not report ready before it can route a request to a target.
func TestReadyEntryServes(t *testing.T) {
	opts := fleetOptions{engines: 2, entries: 1, engineOptions: fastEngineOptions()}
	f := startFleet(t, opts)
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	Convey("A new entry reports ready only when it can use its targets", t, func() {
		for _, tg := range f.targets {
			removeToxic := tg.inbound.addToxic("latency", "downstream", `"latency":600`)
			defer removeToxic()
		}
		entry := f.addEntry("entry-2", opts)
		eventually(t, startTimeout, "entry-2 is ready", entry.ready)
		c := generate(ctx, entry.addr, "guide", prompt("at once", 20), nil, nil)
		So(c.failure, ShouldBeNil)
		So(c.complete, ShouldBeTrue)
	})
}
