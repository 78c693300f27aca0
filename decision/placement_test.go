package decision

import (
	"testing"

	"pgregory.net/rapid"
)

// countPicks makes n placements and counts them by target. The targets do not
// change between placements, like with gateways that use the same load reports.
func countPicks(c PlacementCosts, w PlacementWork, targets []PlacementTarget, n int) []int {
	counts := make([]int, len(targets))
	for i := range n {
		counts[c.Pick(w, targets, (float64(i)+0.5)/float64(n))]++
	}
	return counts
}

// Many gateways place work based on the same load reports at the same time.
// They must not all choose the same target.
func TestSimultaneousPlacementsSpread(t *testing.T) {
	targets := make([]PlacementTarget, 10)
	for i := range targets {
		targets[i] = PlacementTarget{Slots: 24, Requests: i % 3, KVCapacityTokens: 30000}
	}
	work := PlacementWork{PromptTokens: 2000, KVTokens: 3000}
	manyGateways := countPicks(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	for i, n := range manyGateways {
		if n == 0 || n > 300 {
			t.Errorf("target %d of ten nearly equal targets got %d of 1000 placements from 28 gateways", i, n)
		}
	}
	oneGateway := countPicks(DefaultPlacementCosts().Shared(1, work), work, targets, 1000)
	if oneGateway[0] <= manyGateways[0] {
		t.Errorf("a single gateway chose the best target %d times, not more often than 28 gateways (%d)", oneGateway[0], manyGateways[0])
	}
}

// Short calls stay in their region while it has headroom, for any number of
// gateways.
func TestCallsStayInTheirRegion(t *testing.T) {
	targets := []PlacementTarget{{Slots: 6}, {Slots: 6, Distance: SameRegion}, {Slots: 6, Distance: OtherRegion}, {Slots: 6, Distance: OtherRegion}}
	work := PlacementWork{}
	got := countPicks(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	if crossRegion := got[2] + got[3]; crossRegion > 200 {
		t.Errorf("%d of 1000 calls left their region although it has idle targets", crossRegion)
	}
	targets[0].Requests, targets[1].Requests = 9, 9
	got = countPicks(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	if crossRegion := got[2] + got[3]; crossRegion < 900 {
		t.Errorf("only %d of 1000 calls went to the idle region while their own was full", crossRegion)
	}
}

// Long streams stay in their region, because a failover pauses a stream longer if
// the stream runs in another region. They leave a region whose prefill queue is
// long.
func TestLongStreamsStayInTheirRegion(t *testing.T) {
	near := PlacementTarget{Slots: 24, Requests: 4, DecodingStreams: 4, KVCapacityTokens: 30000, KVTokens: 12000}
	far := near
	far.Distance = OtherRegion
	targets := []PlacementTarget{near, near, far, far}
	work := PlacementWork{PromptTokens: 3000, KVTokens: 4000, Long: true}
	c := DefaultPlacementCosts().Shared(25, work)
	got := countPicks(c, work, targets, 1000)
	if crossRegion := got[2] + got[3]; crossRegion > 200 {
		t.Errorf("%d of 1000 long streams left their region although both regions have the same load", crossRegion)
	}
	targets[0].PrefillTokens, targets[1].PrefillTokens = 9000, 9000
	got = countPicks(c, work, targets, 1000)
	if crossRegion := got[2] + got[3]; crossRegion < 800 {
		t.Errorf("only %d of 1000 long streams left the overloaded region", crossRegion)
	}
}

// A slow engine pauses its streams when it prefills a prompt, so long streams
// avoid it.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	targets := []PlacementTarget{
		{Slots: 24, BaselineSlowdown: 1.3, KVCapacityTokens: 30000},
		{Slots: 24, BaselineSlowdown: 1, Requests: 4, DecodingStreams: 4, KVCapacityTokens: 30000, KVTokens: 12000},
	}
	work := PlacementWork{PromptTokens: 3000, KVTokens: 4000, Long: true}
	c := DefaultPlacementCosts().Shared(4, work)
	long := countPicks(c, work, targets, 1000)
	if long[0] > 10 {
		t.Errorf("%d of 1000 long streams went to the slow engine", long[0])
	}
	short := countPicks(c, PlacementWork{PromptTokens: 2000, KVTokens: 2010}, targets, 1000)
	if short[0] < 900 {
		t.Errorf("only %d of 1000 short prompts went to the idle slow engine", short[0])
	}
}

// At peak load some targets have no free KV cache or slots. Work at them would
// wait or cause preemptions, so it goes to a target with headroom even in another
// region.
func TestFullTargetsAreAvoided(t *testing.T) {
	targets := []PlacementTarget{
		{Slots: 24, KVCapacityTokens: 30000, KVTokens: 29000},
		{Slots: 4, Requests: 4, KVCapacityTokens: 30000},
		{Slots: 24, Requests: 3, KVCapacityTokens: 30000, KVTokens: 10000, Distance: OtherRegion},
	}
	got := countPicks(DefaultPlacementCosts(), PlacementWork{PromptTokens: 3000, KVTokens: 4000}, targets, 1000)
	if got[2] < 950 {
		t.Errorf("the target with headroom got %d of 1000 placements", got[2])
	}
}

// Unreachable targets are chosen only if no other target exists.
func TestUnreachableTargetsAreLastResort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		targets := make([]PlacementTarget, n)
		anyReachable := false
		for i := range targets {
			targets[i] = PlacementTarget{
				Slots: 24, KVCapacityTokens: 30000, Requests: rapid.IntRange(0, 60).Draw(t, "requests"), Unreachable: rapid.Bool().Draw(t, "unreachable"),
			}
			anyReachable = anyReachable || !targets[i].Unreachable
		}
		u := rapid.Float64Range(0, 0.999).Draw(t, "u")
		work := PlacementWork{PromptTokens: 1000, KVTokens: 1000}
		costs := DefaultPlacementCosts().Shared(4, work)
		got := costs.Pick(work, targets, u)
		if got < 0 || got >= n {
			t.Fatalf("Pick returned index %d for %d targets", got, n)
		}
		if anyReachable && targets[got].Unreachable {
			t.Fatal("an unreachable target was chosen although others are reachable")
		}
	})
	costs := DefaultPlacementCosts()
	if costs.Pick(PlacementWork{}, nil, 0.5) != -1 {
		t.Error("Pick without targets must return -1")
	}
}
