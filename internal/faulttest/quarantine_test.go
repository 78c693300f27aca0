package faulttest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
)

// crashingPrompt makes a stand-in engine that runs it crash.
const crashingPrompt = "fault text <<crash>> <<len=50>>"

// crashedEngines returns the number of engines that crashed.
func (f *fleet) crashedEngines() int {
	count := 0
	for _, tg := range f.targets {
		if tg.engine != nil && tg.engine.Crashed() {
			count++
		}
	}
	return count
}

// sendUntilQuarantined sends a prompt through the entries in turn until it is
// refused as quarantined. It returns the number of requests sent and the last
// completion.
func (f *fleet) sendUntilQuarantined(ctx context.Context, promptText string, maxRequests int) (int, *completion) {
	var c *completion
	for i := range maxRequests {
		c = generate(ctx, f.entries[i%len(f.entries)].addr, "guide", promptText, nil, nil)
		if c.failure != nil && c.failure.Code == result.Quarantined {
			return i + 1, c
		}
	}
	return maxRequests, c
}

// TestCrashingRequest repeats a request that crashes engines through all entries
// while unrelated requests run. The request must be quarantined after two crashes,
// or its retries would crash every engine. The test runs with the store available
// and unavailable.
func TestCrashingRequest(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) { testCrashingRequest(t, outage) })
	}
}

func testCrashingRequest(t *testing.T, outage bool) {
	f := startFleet(t, fleetOptions{engines: 5, entries: 3, engineOptions: fastEngineOptions()})
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	f.store.SetFaults(standin.StoreFaults{AbortCalls: outage})
	Convey("The request crashes two engines at most; unrelated requests complete", t, func() {
		unrelated := make([]*completion, 10)
		var wg sync.WaitGroup
		for i := range unrelated {
			seed := int64(i)
			wg.Go(func() {
				unrelated[i] = generate(ctx, f.entries[i%3].addr, "guide", prompt(fmt.Sprintf("unrelated %d", i), 2500), &seed, nil)
			})
		}
		eventually(t, responseTimeout, "all unrelated requests run", func() bool { return f.startedGenerations() == len(unrelated) })
		_, refused := f.sendUntilQuarantined(ctx, crashingPrompt, 12)
		So(refused.failure, ShouldNotBeNil)
		So(refused.failure.Code, ShouldEqual, result.Quarantined)
		wg.Wait()
		So(f.crashedEngines(), ShouldEqual, 2)
		for _, c := range unrelated {
			So(c.failure, ShouldBeNil)
			So(c.complete, ShouldBeTrue)
			So(c.text, ShouldEqual, f.output(c.generationID))
		}
	})
	Convey("The quarantine survives a rolling restart of the entries", t, func() {
		for _, e := range f.entries {
			e.kill()
			e.restart()
			if !outage {
				eventually(t, startTimeout, "the entry is ready", e.ready)
				continue
			}
			f.store.SetFaults(standin.StoreFaults{})
			eventually(t, startTimeout, "the entry is ready", e.ready)
			f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
		}
		// Two of the five engines have crashed.
		eventually(t, startTimeout, "every entry has three usable targets", func() bool {
			return f.hasUsableTargets(f.entries[0], 3) && f.hasUsableTargets(f.entries[1], 3) && f.hasUsableTargets(f.entries[2], 3)
		})
		attempts, _ := f.sendUntilQuarantined(ctx, crashingPrompt, 1)
		So(attempts, ShouldEqual, 1)
		So(f.crashedEngines(), ShouldEqual, 2)
	})
	Convey("An operator lists and lifts the quarantine", t, func() {
		f.store.SetFaults(standin.StoreFaults{})
		quarantinedMarks := func() []quarantine.Mark {
			marks, err := quarantine.List(ctx, f.storeClient, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			var quarantined []quarantine.Mark
			for _, m := range marks {
				if m.Status(time.Now()) == quarantine.Quarantined {
					quarantined = append(quarantined, m)
				}
			}
			return quarantined
		}
		eventually(t, responseTimeout, "the mark is in the store", func() bool { return len(quarantinedMarks()) == 1 })
		So(quarantine.Lift(ctx, f.storeClient, quarantinedMarks()[0].Fingerprint, time.Now()), ShouldBeNil)
		So(quarantinedMarks(), ShouldBeEmpty)
		eventually(t, responseTimeout, "the content runs again", func() bool {
			generate(ctx, f.entries[0].addr, "guide", crashingPrompt, nil, nil)
			return f.crashedEngines() > 2
		})
	})
}

// startedGenerations returns the number of generations that engines have started.
func (f *fleet) startedGenerations() int {
	count := 0
	for _, tg := range f.targets {
		if tg.engine != nil {
			count += tg.engine.Stats().Started
		}
	}
	return count
}
