package faulttest

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMemoryAdmission fills a small engine with generations that outgrow it,
// once the agent has seen as many.
func TestMemoryAdmission(t *testing.T) {
	const generations, length = 24, 300
	batch := func(f *fleet) (complete int) {
		var wg sync.WaitGroup
		whole := make(chan bool, generations)
		for range generations {
			wg.Go(func() {
				a := generate(context.Background(), f.entries[0].addr, "guide", prompt("pedal", length), nil, nil)
				whole <- a.complete && a.last == length-1
			})
		}
		wg.Wait()
		close(whole)
		for ok := range whole {
			if ok {
				complete++
			}
		}
		return complete
	}
	run := func(agentSettings string) (preemptions int64, complete int) {
		engine := fastEngine()
		engine.Base = time.Millisecond
		engine.Blocks = 128
		f := startFleet(t, fleetOptions{engines: 1, entries: 1, engine: engine, agentSettings: agentSettings})
		complete = batch(f)
		before := f.targets[0].engine.Stats().Preemptions
		complete += batch(f)
		after := f.targets[0].engine.Stats().Preemptions
		t.Logf("preemptions: %d in the first batch, %d in the second (%q)", before, after-before, agentSettings)
		return after - before, complete
	}
	Convey("An agent that forecasts memory keeps its engine from preempting", t, func() {
		without, complete := run("[admission]\nmemory = no\nmax_wait = 0\n")
		So(complete, ShouldEqual, 2*generations)
		So(without, ShouldBeGreaterThanOrEqualTo, 10)
		with, complete := run("[admission]\nmax_wait = 0\n")
		So(complete, ShouldEqual, 2*generations)
		So(with, ShouldBeLessThanOrEqualTo, without/10)
	})
}
