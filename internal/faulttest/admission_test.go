package faulttest

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestKVCacheAdmission sends more generations at once than fit into the KV cache of
// a small engine, so that the engine preempts running requests. The agent learns
// the output lengths from a first batch. In a second, equal batch, its KV cache
// forecast must reduce the preemptions to a tenth of those without the forecast.
func TestKVCacheAdmission(t *testing.T) {
	const generations, length = 24, 300
	runBatch := func(f *fleet) (complete int) {
		var wg sync.WaitGroup
		results := make(chan bool, generations)
		for range generations {
			wg.Go(func() {
				c := generate(context.Background(), f.entries[0].addr, "guide", prompt("pedal", length), nil, nil)
				results <- c.complete && c.lastEventID == length-1
			})
		}
		wg.Wait()
		close(results)
		for ok := range results {
			if ok {
				complete++
			}
		}
		return complete
	}
	runFleet := func(agentSettings string) (preemptions int64, complete int) {
		engine := fastEngineOptions()
		engine.StepBase = time.Millisecond
		engine.Blocks = 128
		f := startFleet(t, fleetOptions{engines: 1, entries: 1, engineOptions: engine, agentSettings: agentSettings})
		complete = runBatch(f)
		firstBatch := f.targets[0].engine.Stats().Preemptions
		complete += runBatch(f)
		total := f.targets[0].engine.Stats().Preemptions
		t.Logf("%d preemptions in the first batch, %d in the second, agent settings %q", firstBatch, total-firstBatch, agentSettings)
		return total - firstBatch, complete
	}
	Convey("An agent that forecasts KV cache use keeps its engine from preempting", t, func() {
		preemptionsWithout, complete := runFleet("[admission]\nmemory = no\nmax_wait = 0\n")
		So(complete, ShouldEqual, 2*generations)
		So(preemptionsWithout, ShouldBeGreaterThanOrEqualTo, 10)
		preemptionsWith, complete := runFleet("[admission]\nmax_wait = 0\n")
		So(complete, ShouldEqual, 2*generations)
		So(preemptionsWith, ShouldBeLessThanOrEqualTo, preemptionsWithout/10)
	})
}
