package faulttest

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// targetOf returns the target that a generation id names.
func (f *fleet) targetOf(generationID string) *target {
	vmName, _, _ := peer.ParseGenerationID(generationID)
	for _, tg := range f.targets {
		if tg.listedVM.Name == vmName {
			return tg
		}
	}
	f.t.Fatalf("generation %q names no target of the fleet", generationID)
	return nil
}

// failTargetOnce returns an onEvent function for generate. It calls fail once, with
// the generation's target, when about 100 tokens have arrived.
func (f *fleet) failTargetOnce(fail func(*target)) func(*completion) {
	hasFailed := false
	return func(c *completion) {
		if !hasFailed && c.lastEventID >= 100 {
			hasFailed = true
			fail(f.targetOf(c.generationID))
		}
	}
}

// TestReplay makes the target of a streaming generation fail after about 100
// tokens. If the request has a seed, the entry runs it again at another target; if
// that run generates the delivered tokens again, it completes the response.
// Otherwise the caller receives an error with the number of delivered tokens.
func TestReplay(t *testing.T) {
	seed := int64(7)
	failures := map[string]func(*target){
		"engine crash": func(tg *target) { tg.engine.Crash() },
		"agent kill":   func(tg *target) { tg.agent.kill() },
	}
	for name, failTarget := range failures {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{engines: 4, entries: 2, engineOptions: fastEngineOptions()})
			ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			defer cancel()
			Convey("A second run with equal output continues a seeded generation", t, func() {
				var firstGenerationID string
				failOnce := f.failTargetOnce(failTarget)
				c := generate(ctx, f.entries[0].addr, "guide", prompt(name, 1000), &seed, func(c *completion) {
					if firstGenerationID == "" {
						firstGenerationID = c.generationID
						go func() {
							// A concurrent reader of the failed generation may receive its tokens
							// or an error, but no complete response.
							resumed := (&completion{lastEventID: -1, generationID: firstGenerationID}).resume(ctx, f.entries[1].addr)
							if resumed.complete {
								t.Error("the generation of the failed target was reported as complete")
							}
						}()
					}
					failOnce(c)
				})
				So(c.err, ShouldBeNil)
				So(c.failure, ShouldBeNil)
				So(c.complete, ShouldBeTrue)
				So(c.outOfOrder, ShouldEqual, 0)
				So(c.lastEventID, ShouldEqual, 999)
				So(c.generationID, ShouldNotEqual, firstGenerationID)
				So(c.text, ShouldEqual, f.output(c.generationID))
				So(f.entries[0].grepLog(c.requestID, `"kind":"replay"`), ShouldNotBeEmpty)
			})
			Convey("Tokens of a second run that diverges are not delivered", t, func() {
				for _, tg := range f.targets {
					tg.engine.SetDivergence(50)
				}
				c := generate(ctx, f.entries[0].addr, "guide", prompt(name+" diverging", 1000), &seed, f.failTargetOnce(func(tg *target) {
					for _, other := range f.targets {
						if other != tg {
							other.engine.SetDivergence(60)
						}
					}
					failTarget(tg)
				}))
				So(c.complete, ShouldBeFalse)
				So(c.failure, ShouldNotBeNil)
				So(c.failure.Code, ShouldEqual, result.ReplayDiverged)
				So(c.failure.Ran, ShouldEqual, result.RanYes)
				So(c.failure.Delivered, ShouldEqual, c.lastEventID+1)
				So(strings.Count(c.text, " "), ShouldEqual, c.lastEventID+1)
			})
			Convey("Without a seed, the error reports the number of delivered tokens", t, func() {
				c := generate(ctx, f.entries[0].addr, "guide", prompt(name+" unseeded", 1000), nil, f.failTargetOnce(failTarget))
				So(c.complete, ShouldBeFalse)
				So(c.failure, ShouldNotBeNil)
				So(c.failure.Code, ShouldEqual, result.EngineLost)
				So(c.failure.Ran, ShouldEqual, result.RanYes)
				So(c.failure.Delivered, ShouldEqual, c.lastEventID+1)
			})
		})
	}
}

// awaitTarget polls without a time limit until find returns a target.
func awaitTarget(find func() *target) *target {
	for {
		if tg := find(); tg != nil {
			return tg
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRestartBeforeFirstToken crashes an engine, or drops the responses of an agent,
// before the caller has received any token. The request must run again at another
// target.
func TestRestartBeforeFirstToken(t *testing.T) {
	engine := fastEngineOptions()
	engine.StepBase = 20 * time.Millisecond
	f := startFleet(t, fleetOptions{engines: 3, entries: 1, engineOptions: engine})
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	findBusyTarget := func() *target {
		for _, tg := range f.targets {
			if stats := tg.engine.Stats(); stats.Started > stats.Completed+stats.Cancelled && tg.agent.ready() {
				return tg
			}
		}
		return nil
	}
	Convey("An unstreamed request restarts when its engine crashes", t, func() {
		crashed := make(chan struct{})
		go func() {
			defer close(crashed)
			tg := awaitTarget(findBusyTarget)
			for tg.engine.Stats().OutputTokens < 20 {
				time.Sleep(time.Millisecond)
			}
			tg.engine.Crash()
		}()
		c := generateUnstreamed(ctx, f.entries[0].addr, "guide", prompt("unstreamed", 100))
		<-crashed
		So(c.err, ShouldBeNil)
		So(c.failure, ShouldBeNil)
		So(c.complete, ShouldBeTrue)
		So(c.text, ShouldEqual, f.output(c.generationID))
		So(strings.Count(c.text, " "), ShouldEqual, 100)
	})
	Convey("A generation whose response is lost runs at another target and is cancelled at the first", t, func() {
		removeToxics := map[*target]func(){}
		for _, tg := range f.targets {
			removeToxics[tg] = tg.inbound.addToxic("timeout", "downstream", `"timeout":0`)
		}
		chosenTarget := make(chan *target, 1)
		go func() {
			chosen := awaitTarget(findBusyTarget)
			for tg, removeToxic := range removeToxics {
				if tg != chosen {
					removeToxic()
				}
			}
			chosenTarget <- chosen
		}()
		c := generate(ctx, f.entries[0].addr, "guide", prompt("lost response", 400), nil, nil)
		So(c.failure, ShouldBeNil)
		So(c.complete, ShouldBeTrue)
		So(c.text, ShouldEqual, f.output(c.generationID))
		chosen := <-chosenTarget
		So(f.targetOf(c.generationID).listedVM.Name, ShouldNotEqual, chosen.listedVM.Name)
		eventually(t, responseTimeout, "the generation is cancelled", func() bool { return chosen.engine.Stats().Cancelled == 1 })
		removeToxics[chosen]()
	})
}
