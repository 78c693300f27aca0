package registry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// entry returns the store entry of the incarnation with the given start time.
func entry(state string, start int) kvstore.KV {
	return kv("a", "s,"+state+","+strings.Repeat("x", start))
}

// Guards against a target that has stated that it leaves and gets new work again: because of
// an older list, an entry that is written again, a restored store or a message of another
// process. Guards also against a new incarnation that stays out for ever. Each seed plays
// another order of responses, lists, messages and restarts.
func TestDepartedTargetStaysOutUntilItsNextIncarnation(t *testing.T) {
	const seeds, steps = 300, 40
	convey.Convey("In no order of events is a departed incarnation ready, and the next one always is", t, func() {
		var violations []string
		for seed := range uint64(seeds) {
			k, now := newTestKeeper(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			newest, departed := 1, 0
			var history []string
			check := func() {
				k.flush()
				target := k.Snapshot().Target("a")
				ready := readyCount(k) > 0 && !target.Load.IsLeaving()
				if ready && target.StartMillis <= int64(departed) {
					violations = append(violations, fmt.Sprintf("seed %d: incarnation %d ready after the departure of %d: %v", seed, target.StartMillis, departed, history))
				}
			}
			for range steps {
				start := 1 + rng.IntN(newest)
				step := rng.IntN(8)
				history = append(history, fmt.Sprint(step, "/", start))
				switch step {
				case 0:
					k.Reset([]kvstore.KV{entry("ready", start)}, kvstore.Position{Revision: 5})
				case 1:
					k.Apply(kvstore.WatchBatch{Revision: 6, Events: []kvstore.Event{{KV: entry("ready", start)}}})
				case 2:
					k.Apply(kvstore.WatchBatch{Revision: 7, Events: []kvstore.Event{{KV: kv("a", ""), Deleted: true}}})
				case 3:
					k.Reset(nil, kvstore.Position{Revision: 8})
				case 4:
					k.flush()
					if target := k.Snapshot().Target("a"); target != nil {
						k.MarkDeparting(target, "response")
						departed = max(departed, int(target.StartMillis))
					}
				case 5:
					k.Depart("a", int64(start), "message")
					departed = max(departed, start)
				case 6:
					newest++
				case 7:
					k.updates <- func() { *now = now.Add(time.Second) }
				}
				check()
			}
			newest++
			k.Apply(kvstore.WatchBatch{Revision: 9, Events: []kvstore.Event{{KV: entry("ready", newest)}}})
			k.flush()
			if readyCount(k) != 1 || k.Snapshot().Target("a").Load.IsLeaving() {
				violations = append(violations, fmt.Sprintf("seed %d: incarnation %d is not ready: %v", seed, newest, history))
			}
		}
		convey.So(violations, convey.ShouldBeEmpty)
	})
}

// Guards against a departed target without start times that stays out for ever, and against
// work between a response and the next snapshot.
func TestDeparture(t *testing.T) {
	convey.Convey("A target without start times returns after departureRetention", t, func() {
		k, now := newTestKeeper(t)
		k.Depart("a", 0, "message")
		k.Reset([]kvstore.KV{entry("ready", 0)}, kvstore.Position{Revision: 5})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 0)
		k.Apply(kvstore.WatchBatch{Revision: 6, Events: []kvstore.Event{{KV: kv("a", ""), Deleted: true}}})
		k.updates <- func() { *now = now.Add(departureRetention + time.Second) }
		k.Reset([]kvstore.KV{entry("ready", 0)}, kvstore.Position{Revision: 7})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 1)
	})
	convey.Convey("A target is marked before the next snapshot", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{entry("ready", 1)}, kvstore.Position{Revision: 5})
		k.flush()
		target := k.Snapshot().Target("a")
		k.MarkDeparting(target, "response")
		convey.So(target.Load.IsLeaving(), convey.ShouldBeTrue)
	})
}
