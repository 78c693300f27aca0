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

// holder returns the target that a generation id names.
func (f *fleet) holder(generation string) *target {
	vm, _, _ := peer.ParseGenerationID(generation)
	for _, tg := range f.targets {
		if tg.vm.Name == vm {
			return tg
		}
	}
	f.t.Fatalf("no target holds %q", generation)
	return nil
}

// lose returns a function for generate that takes the generation's target
// away after some tokens.
func (f *fleet) lose(how func(*target)) func(*answer) {
	done := false
	return func(a *answer) {
		if !done && a.last >= 100 {
			done = true
			how(f.holder(a.generation))
		}
	}
}

// TestReplay takes the target of a streamed generation away after its first
// tokens. With a seed the answer is completed by a second run that generated
// the same tokens; otherwise the caller gets a truthful error.
func TestReplay(t *testing.T) {
	seed := int64(7)
	losses := map[string]func(*target){
		"engine crash": func(tg *target) { tg.engine.Crash() },
		"agent kill":   func(tg *target) { tg.agent.kill() },
	}
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{engines: 4, entries: 2, engine: fastEngine()})
			ctx, cancel := context.WithTimeout(context.Background(), answerWait)
			defer cancel()
			Convey("A seeded generation goes on from an equal second run", t, func() {
				var first string
				lose := f.lose(loss)
				a := generate(ctx, f.entries[0].addr, "guide", prompt(name, 1000), &seed, func(a *answer) {
					if first == "" {
						first = a.generation
						go func() {
							// A caller that resumes meanwhile reads the same tokens or a truthful error.
							other := (&answer{last: -1, generation: first}).resume(ctx, f.entries[1].addr)
							if other.complete {
								t.Error("the lost generation was passed off as complete")
							}
						}()
					}
					lose(a)
				})
				So(a.err, ShouldBeNil)
				So(a.failure, ShouldBeNil)
				So(a.complete, ShouldBeTrue)
				So(a.disorder, ShouldEqual, 0)
				So(a.last, ShouldEqual, 999)
				So(a.generation, ShouldNotEqual, first)
				So(a.text, ShouldEqual, f.output(a.generation))
				So(f.entries[0].logged(a.request, `"kind":"replay"`), ShouldNotBeEmpty)
			})
			Convey("A second run that differs is not delivered", t, func() {
				for _, tg := range f.targets {
					tg.engine.SetDivergence(50)
				}
				a := generate(ctx, f.entries[0].addr, "guide", prompt(name+" diverging", 1000), &seed, f.lose(func(tg *target) {
					for _, other := range f.targets {
						if other != tg {
							other.engine.SetDivergence(60)
						}
					}
					loss(tg)
				}))
				So(a.complete, ShouldBeFalse)
				So(a.failure, ShouldNotBeNil)
				So(a.failure.Code, ShouldEqual, result.ReplayDiverged)
				So(a.failure.Ran, ShouldEqual, result.RanYes)
				So(a.failure.Delivered, ShouldEqual, a.last+1)
				So(strings.Count(a.text, " "), ShouldEqual, a.last+1)
			})
			Convey("Without a seed the caller learns what it got", t, func() {
				a := generate(ctx, f.entries[0].addr, "guide", prompt(name+" unseeded", 1000), nil, f.lose(loss))
				So(a.complete, ShouldBeFalse)
				So(a.failure, ShouldNotBeNil)
				So(a.failure.Code, ShouldEqual, result.EngineLost)
				So(a.failure.Ran, ShouldEqual, result.RanYes)
				So(a.failure.Delivered, ShouldEqual, a.last+1)
			})
		})
	}
}

// TestRestartBeforeFirstToken loses the target before anything was delivered.
func TestRestartBeforeFirstToken(t *testing.T) {
	engine := fastEngine()
	engine.Base = 20 * time.Millisecond
	f := startFleet(t, fleetOptions{engines: 3, entries: 1, engine: engine})
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	busy := func() *target {
		for _, tg := range f.targets {
			if s := tg.engine.Stats(); s.Started > s.Completed+s.Cancelled && tg.agent.ready() {
				return tg
			}
		}
		return nil
	}
	Convey("An answer that is not streamed begins anew when its engine is lost", t, func() {
		crash := make(chan struct{})
		go func() {
			defer close(crash)
			for busy() == nil || busy().engine.Stats().Tokens < 20 {
				time.Sleep(time.Millisecond)
			}
			busy().engine.Crash()
		}()
		a := generateWhole(ctx, f.entries[0].addr, "guide", prompt("whole", 100))
		<-crash
		So(a.err, ShouldBeNil)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
		So(a.text, ShouldEqual, f.output(a.generation))
		So(strings.Count(a.text, " "), ShouldEqual, 100)
	})
	Convey("A generation whose answer is swallowed runs elsewhere and is cancelled where it began", t, func() {
		heal := map[*target]func(){}
		for _, tg := range f.targets {
			heal[tg] = tg.inbound.toxic("timeout", "downstream", `"timeout":0`)
		}
		first := make(chan *target, 1)
		go func() {
			for busy() == nil {
				time.Sleep(time.Millisecond)
			}
			chosen := busy()
			for tg, remove := range heal {
				if tg != chosen {
					remove()
				}
			}
			first <- chosen
		}()
		a := generate(ctx, f.entries[0].addr, "guide", prompt("swallowed", 400), nil, nil)
		So(a.failure, ShouldBeNil)
		So(a.complete, ShouldBeTrue)
		So(a.text, ShouldEqual, f.output(a.generation))
		chosen := <-first
		So(f.holder(a.generation), ShouldNotEqual, chosen)
		eventually(t, answerWait, "the generation is cancelled", func() bool { return chosen.engine.Stats().Cancelled == 1 })
		heal[chosen]()
	})
}
