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

// poison is a prompt that stops the engine which runs it.
const poison = "fault text <<crash>> <<len=50>>"

// crashed returns the number of engines that died.
func (f *fleet) crashed() int {
	n := 0
	for _, tg := range f.targets {
		if tg.engine != nil && tg.engine.Crashed() {
			n++
		}
	}
	return n
}

// resend sends a prompt through the entries in turn until it is quarantined,
// and returns the number of tries.
func (f *fleet) resend(ctx context.Context, text string, tries int) (int, *answer) {
	var a *answer
	for i := range tries {
		a = generate(ctx, f.entries[i%len(f.entries)].addr, "guide", text, nil, nil)
		if a.failure != nil && a.failure.Code == result.Quarantined {
			return i + 1, a
		}
	}
	return tries, a
}

// TestCrashingRequest sends a request that stops engines again and again
// through all entries, next to innocent work.
func TestCrashingRequest(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) { crashingRequest(t, outage) })
	}
}

func crashingRequest(t *testing.T, outage bool) {
	f := startFleet(t, fleetOptions{engines: 5, entries: 3, engine: fastEngine()})
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	f.store.SetFaults(standin.StoreFaults{Down: outage})
	Convey("At most two engines die of it; innocent work completes", t, func() {
		innocent := make([]*answer, 10)
		var wg sync.WaitGroup
		for i := range innocent {
			seed := int64(i)
			wg.Go(func() {
				innocent[i] = generate(ctx, f.entries[i%3].addr, "guide", prompt(fmt.Sprintf("innocent %d", i), 2500), &seed, nil)
			})
		}
		eventually(t, answerWait, "innocent work runs", func() bool { return f.running() == len(innocent) })
		_, a := f.resend(ctx, poison, 12)
		So(a.failure, ShouldNotBeNil)
		So(a.failure.Code, ShouldEqual, result.Quarantined)
		wg.Wait()
		So(f.crashed(), ShouldEqual, 2)
		for _, in := range innocent {
			So(in.failure, ShouldBeNil)
			So(in.complete, ShouldBeTrue)
			So(in.text, ShouldEqual, f.output(in.generation))
		}
	})
	Convey("The quarantine survives the restart of every entry, one by one", t, func() {
		for _, e := range f.entries {
			e.kill()
			e.restart()
			if !outage {
				eventually(t, startWait, "entry ready", e.ready)
				continue
			}
			f.store.SetFaults(standin.StoreFaults{})
			eventually(t, startWait, "entry ready", e.ready)
			f.store.SetFaults(standin.StoreFaults{Down: true})
		}
		eventually(t, startWait, "entries see the targets", func() bool {
			return f.sees(f.entries[0], 3) && f.sees(f.entries[1], 3) && f.sees(f.entries[2], 3)
		})
		n, _ := f.resend(ctx, poison, 1)
		So(n, ShouldEqual, 1)
		So(f.crashed(), ShouldEqual, 2)
	})
	Convey("An operator lists and lifts it", t, func() {
		f.store.SetFaults(standin.StoreFaults{})
		listed := func() []quarantine.Mark {
			marks, err := quarantine.List(ctx, f.client, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			var out []quarantine.Mark
			for _, m := range marks {
				if m.Status(time.Now()) == quarantine.Quarantined {
					out = append(out, m)
				}
			}
			return out
		}
		eventually(t, answerWait, "mark in the store", func() bool { return len(listed()) == 1 })
		So(quarantine.Lift(ctx, f.client, listed()[0].Fingerprint, time.Now()), ShouldBeNil)
		So(listed(), ShouldBeEmpty)
		eventually(t, answerWait, "content runs again", func() bool {
			generate(ctx, f.entries[0].addr, "guide", poison, nil, nil)
			return f.crashed() > 2
		})
	})
}

// running returns the number of generations that have begun at live engines.
func (f *fleet) running() int {
	n := 0
	for _, tg := range f.targets {
		if tg.engine != nil {
			n += tg.engine.Stats().Started
		}
	}
	return n
}
