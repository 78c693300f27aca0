package decision

import (
	"testing"

	"pgregory.net/rapid"
)

// pick draws n placements and counts them by target. Each one is not seen by
// the next, as with gateways that choose on the same reports.
func pick(c PlacementCosts, w PlacementWork, targets []PlacementTarget, n int) []int {
	counts := make([]int, len(targets))
	for i := range n {
		counts[c.Pick(w, targets, (float64(i)+0.5)/float64(n))]++
	}
	return counts
}

// Pattern: herd. Many gateways place work on the same reports at the same time.
func TestHerdSpreadsOverNearEqualTargets(t *testing.T) {
	targets := make([]PlacementTarget, 10)
	for i := range targets {
		targets[i] = PlacementTarget{Slots: 24, Requests: i % 3, MemoryTotal: 30000}
	}
	work := PlacementWork{PromptTokens: 2000, MemoryTokens: 3000}
	many := pick(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	for i, n := range many {
		if n == 0 || n > 300 {
			t.Errorf("target %d of ten near-equal ones got %d of 1000 among 28 gateways", i, n)
		}
	}
	few := pick(DefaultPlacementCosts().Shared(1, work), work, targets, 1000)
	if few[0] <= many[0] {
		t.Errorf("one gateway alone prefers the best target no more (%d) than 28 do (%d)", few[0], many[0])
	}
}

// Pattern: many gateways, short calls. Calls stay in their region while there is
// room, however many gateways there are.
func TestCallsStayInTheirRegion(t *testing.T) {
	targets := []PlacementTarget{{Slots: 6}, {Slots: 6, Distance: SameRegion}, {Slots: 6, Distance: OtherRegion}, {Slots: 6, Distance: OtherRegion}}
	work := PlacementWork{}
	got := pick(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	if far := got[2] + got[3]; far > 200 {
		t.Errorf("%d of 1000 calls crossed between regions although targets nearby were idle", far)
	}
	targets[0].Requests, targets[1].Requests = 9, 9
	got = pick(DefaultPlacementCosts().Shared(28, work), work, targets, 1000)
	if far := got[2] + got[3]; far < 900 {
		t.Errorf("only %d of 1000 calls went to the idle region while the near one was full", far)
	}
}

// Pattern: leaving engines, two regions. Long streams stay in their region, since a
// run that moves pauses longer for a client far away; a crowded region gives up some.
func TestLongStreamsStayInTheirRegion(t *testing.T) {
	near := PlacementTarget{Slots: 24, Requests: 4, Generating: 4, MemoryTotal: 30000, MemoryTokens: 12000}
	far := near
	far.Distance = OtherRegion
	targets := []PlacementTarget{near, near, far, far}
	work := PlacementWork{PromptTokens: 3000, MemoryTokens: 4000, Long: true}
	c := DefaultPlacementCosts().Shared(25, work)
	got := pick(c, work, targets, 1000)
	if crossed := got[2] + got[3]; crossed > 200 {
		t.Errorf("%d of 1000 long streams crossed between regions of equal load", crossed)
	}
	targets[0].PrefillTokens, targets[1].PrefillTokens = 9000, 9000
	got = pick(c, work, targets, 1000)
	if crossed := got[2] + got[3]; crossed < 800 {
		t.Errorf("only %d of 1000 long streams left the crowded region", crossed)
	}
}

// Pattern: slow engines. A part of the fleet needs longer for each step, so
// that a prompt read beside a stream makes a pause.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	targets := []PlacementTarget{
		{Slots: 24, Usual: 1.3, MemoryTotal: 30000},
		{Slots: 24, Usual: 1, Requests: 4, Generating: 4, MemoryTotal: 30000, MemoryTokens: 12000},
	}
	work := PlacementWork{PromptTokens: 3000, MemoryTokens: 4000, Long: true}
	c := DefaultPlacementCosts().Shared(4, work)
	long := pick(c, work, targets, 1000)
	if long[0] > 10 {
		t.Errorf("%d of 1000 long streams went to the slow engine", long[0])
	}
	short := pick(c, PlacementWork{PromptTokens: 2000, MemoryTokens: 2010}, targets, 1000)
	if short[0] < 900 {
		t.Errorf("only %d of 1000 short prompts went to the idle slow engine", short[0])
	}
}

// Pattern: crest. Some targets have no memory or slots left.
func TestFullTargetsAreLast(t *testing.T) {
	targets := []PlacementTarget{
		{Slots: 24, MemoryTotal: 30000, MemoryTokens: 29000},
		{Slots: 4, Requests: 4, MemoryTotal: 30000},
		{Slots: 24, Requests: 3, MemoryTotal: 30000, MemoryTokens: 10000, Distance: OtherRegion},
	}
	got := pick(DefaultPlacementCosts(), PlacementWork{PromptTokens: 3000, MemoryTokens: 4000}, targets, 1000)
	if got[2] < 950 {
		t.Errorf("the target with room got %d of 1000", got[2])
	}
}

// Pattern: shrinking fleet. Targets that no longer answer are used only if
// there is no other.
func TestLostTargetsAreChosenOnlyAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		targets := make([]PlacementTarget, n)
		alive := false
		for i := range targets {
			targets[i] = PlacementTarget{
				Slots: 24, MemoryTotal: 30000, Requests: rapid.IntRange(0, 60).Draw(t, "requests"), Lost: rapid.Bool().Draw(t, "lost"),
			}
			alive = alive || !targets[i].Lost
		}
		u := rapid.Float64Range(0, 0.999).Draw(t, "u")
		work := PlacementWork{PromptTokens: 1000, MemoryTokens: 1000}
		costs := DefaultPlacementCosts().Shared(4, work)
		got := costs.Pick(work, targets, u)
		if got < 0 || got >= n {
			t.Fatalf("index %d of %d", got, n)
		}
		if alive && targets[got].Lost {
			t.Fatal("a lost target was chosen although others answer")
		}
	})
	costs := DefaultPlacementCosts()
	if costs.Pick(PlacementWork{}, nil, 0.5) != -1 {
		t.Error("no target must give -1")
	}
}
