package decision

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawTargets(t *rapid.T) []Target {
	n := rapid.IntRange(1, 20).Draw(t, "targets")
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{
			VM: fmt.Sprint("vm-", i), Region: rapid.SampledFrom([]string{"home", "away"}).Draw(t, "region"), Datacentre: "one",
			Running: rapid.IntRange(0, 64).Draw(t, "running"), Queued: rapid.IntRange(0, 64).Draw(t, "queued"),
			Sent: rapid.IntRange(0, 9).Draw(t, "sent"), Reported: rapid.IntRange(0, 64).Draw(t, "reported"),
			Slow: rapid.Bool().Draw(t, "slow"),
		}
	}
	return out
}

func TestRouteOrdersEveryTargetOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		policy := rapid.SampledFrom(Policies()).Draw(t, "policy")
		turn := rapid.Uint64().Draw(t, "turn")
		rnd := rand.New(rand.NewPCG(turn, 0))
		choice := NewRouter(policy, "one", "home").Route(Work{}, targets, turn, rnd)
		seen := append([]int(nil), choice.Order...)
		sort.Ints(seen)
		for i, at := range seen {
			if i != at {
				t.Fatalf("order %v of %d targets", choice.Order, len(targets))
			}
		}
		if len(seen) != len(targets) {
			t.Fatalf("order %v of %d targets", choice.Order, len(targets))
		}
		for i := 1; i < len(choice.Order); i++ {
			if choice.Scores[choice.Order[i]] < choice.Scores[choice.Order[i-1]] {
				t.Fatalf("order %v contradicts scores %v", choice.Order, choice.Scores)
			}
		}
	})
}

func TestPolicies(t *testing.T) {
	targets := []Target{
		{VM: "busy", Region: "home", Datacentre: "one", Running: 9, Reported: 1},
		{VM: "idle", Region: "home", Datacentre: "one", Reported: 5},
		{VM: "near", Region: "home", Datacentre: "two", Reported: 2},
		{VM: "away", Region: "away", Datacentre: "far", Reported: 3},
		{VM: "slow", Region: "home", Datacentre: "one", Slow: true, Reported: 4},
	}
	cases := []struct {
		policy Policy
		turn   uint64
		want   string
	}{
		{PolicyRoundRobin, 0, "busy"},
		{PolicyRoundRobin, 3, "away"},
		{PolicyRoundRobin, 6, "idle"},
		{PolicyLeastOutstanding, 0, "busy"},
		{PolicyLeastWork, 0, "idle"},
		{PolicyLateBinding, 0, "idle"},
	}
	for _, c := range cases {
		choice := NewRouter(c.policy, "one", "home").Route(Work{}, targets, c.turn, rand.New(rand.NewPCG(1, 1)))
		if got := targets[choice.Order[0]].VM; got != c.want {
			t.Errorf("%s, turn %d: %s, want %s", c.policy, c.turn, got, c.want)
		}
	}
}

func TestProbesStayHomeForACrossing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		limits := DefaultProbeLimits()
		limits.Count = rapid.IntRange(1, 5).Draw(t, "count")
		r := NewRouter(PolicyLateBinding, "one", "home")
		choice := r.Route(Work{}, targets, 0, rand.New(rand.NewPCG(1, 1)))
		probes := r.Probes(choice, targets, limits)
		if len(probes) != min(limits.Count, len(targets)) {
			t.Fatalf("%d probes of %d targets", len(probes), len(targets))
		}
		if probes[0].After != 0 {
			t.Fatal("the first probe waits")
		}
		for i := 1; i < len(probes); i++ {
			if probes[i].After < probes[i-1].After+limits.Patience {
				t.Fatalf("probe %d follows at %v after %v", i, probes[i].After, probes[i-1].After)
			}
			crossed := targets[probes[i].Target].Region != "home" && targets[probes[0].Target].Region == "home"
			if crossed && probes[i].After < limits.Crossing {
				t.Fatalf("the other region is asked after %v", probes[i].After)
			}
		}
	})
}

func TestOnlyWaitingLongWorkIsBoundLate(t *testing.T) {
	limits := DefaultProbeLimits()
	cases := []struct {
		policy Policy
		work   Work
		best   Target
		want   bool
	}{
		{PolicyLateBinding, Work{}, Target{Running: 9}, false},
		{PolicyLateBinding, Work{}, Target{Wait: 2 * limits.Patience}, true},
		{PolicyLateBinding, Work{}, Target{Queued: 1}, true},
		{PolicyLateBinding, Work{Short: true}, Target{Queued: 1}, false},
		{PolicyLeastWork, Work{}, Target{Queued: 1}, false},
	}
	for i, c := range cases {
		if got := NewRouter(c.policy, "one", "home").Binds(c.work, &c.best, limits); got != c.want {
			t.Errorf("case %d: binds late: %v", i, got)
		}
	}
}

var epoch = time.Unix(1_700_000_000, 0)

func TestSlowDetector(t *testing.T) {
	d := NewSlowDetector(DefaultSlowLimits())
	paces := func(second int, last time.Duration) []Pace {
		at := epoch.Add(time.Duration(second) * time.Second)
		return []Pace{
			{VM: "a", Cadence: 20 * time.Millisecond, At: at},
			{VM: "b", Cadence: 25 * time.Millisecond, At: at},
			{VM: "c", Cadence: 30 * time.Millisecond, At: at},
			{VM: "d", Cadence: last, At: at},
		}
	}
	if slow := d.Update(paces(0, 60*time.Millisecond)); len(slow) != 0 {
		t.Fatalf("a larger batch counts as slow: %v", slow)
	}
	if slow := d.Update(paces(1, 125*time.Millisecond)); !slow["d"] || len(slow) != 1 {
		t.Fatalf("slow: %v", slow)
	}
	if d.Probe("d", epoch.Add(time.Second)) || !d.Probe("d", epoch.Add(5*time.Second)) || d.Probe("d", epoch.Add(5*time.Second)) {
		t.Fatal("probes are not spaced")
	}
	steps := []struct {
		cadence time.Duration
		slow    bool
	}{
		{25 * time.Millisecond, true},
		{26 * time.Millisecond, true},
		{90 * time.Millisecond, true},
		{25 * time.Millisecond, true},
		{25 * time.Millisecond, true},
		{25 * time.Millisecond, false},
	}
	for i, s := range steps {
		if got := d.Update(paces(6+i, s.cadence))["d"]; got != s.slow {
			t.Fatalf("step %d: slow %v", i, got)
		}
	}
	// The same report again is no second measurement.
	d.Update(paces(20, 125*time.Millisecond))
	for range 5 {
		if !d.Update(paces(21, 25*time.Millisecond))["d"] {
			t.Fatal("one report counted several times")
		}
	}
}

// A quick target that is rarely asked takes longer for each call than its peers;
// below the least cadence that counts that keeps no target slow.
func TestQuickTargetDoesNotStaySlow(t *testing.T) {
	limits := DefaultSlowLimits()
	d := NewSlowDetector(limits)
	paces := func(second int, last time.Duration) []Pace {
		at := epoch.Add(time.Duration(second) * time.Second)
		quick := limits.MinGap / 4
		return []Pace{
			{VM: "a", Cadence: quick, At: at}, {VM: "b", Cadence: quick, At: at}, {VM: "c", Cadence: quick, At: at}, {VM: "d", Cadence: last, At: at},
		}
	}
	if !d.Update(paces(0, time.Second))["d"] {
		t.Fatal("the slow target does not count as slow")
	}
	for i := range limits.Good {
		if !d.Update(paces(i, limits.MinGap*3/4))["d"] && i+1 < limits.Good {
			t.Fatal("recovered too early")
		}
	}
	if d.Update(paces(limits.Good+1, limits.MinGap*3/4))["d"] {
		t.Error("still slow below the least cadence that counts")
	}
}

func TestSlowNeedsPeers(t *testing.T) {
	d := NewSlowDetector(DefaultSlowLimits())
	if slow := d.Update([]Pace{{VM: "a", Cadence: 10 * time.Millisecond, At: epoch}, {VM: "b", Cadence: time.Second, At: epoch}}); len(slow) != 0 {
		t.Fatalf("two targets cannot tell which is slow: %v", slow)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		reserve := rapid.Float64Range(1, 20).Draw(t, "reserve")
		b := NewRetryBudget(ratio, reserve)
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if isRequest {
				b.Request()
				requests++
			} else if b.Take() {
				retries++
			}
		}
		if float64(retries) > reserve+ratio*float64(requests)+1e-6 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

func TestWorkspaceLimitCountsWhatEntered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewWorkspaceLimit()
		most := rapid.IntRange(0, 5).Draw(t, "most")
		active := map[string]int{}
		for _, w := range rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "-a", "-b"})).Draw(t, "events") {
			name, leaves := strings.CutPrefix(w, "-")
			switch {
			case leaves && active[name] > 0:
				l.Leave(name)
				active[name]--
			case !leaves && l.Enter(name, most):
				active[name]++
			case !leaves && (most == 0 || active[name] < most):
				t.Fatalf("refused with %d of %d", active[name], most)
			}
			if l.Active(name) != active[name] || (most > 0 && active[name] > most) {
				t.Fatalf("%d counted, %d entered, limit %d", l.Active(name), active[name], most)
			}
		}
	})
}

func TestHedgerKeepsItsBudget(t *testing.T) {
	h := NewHedger(DefaultHedgeLimits())
	if h.Begin() != 0 {
		t.Fatal("a hedge without a known latency")
	}
	h.End(10 * time.Millisecond)
	copies := 0
	const requests = 1000
	for range requests {
		if wait := h.Begin(); wait < 5*time.Millisecond || wait > 60*time.Millisecond {
			t.Fatalf("patience %v", wait)
		}
		if h.Take() {
			copies++
		}
		// One of four targets is slow.
		h.End(time.Second)
		for range 3 {
			h.End(10 * time.Millisecond)
		}
	}
	if copies > hedgeReserve+requests/20+1 {
		t.Fatalf("%d copies", copies)
	}
}

func TestLinkBudgetBoundsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, largest = 1000.0, 2000.0, 500
		l := NewLinkBudget(rate, burst)
		now, crossed := epoch, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(1, largest)).Draw(t, "bytes") {
			now = now.Add(time.Duration(step) * time.Millisecond / 10)
			if l.Open(now) {
				l.Spend(now, step)
				crossed += step
			}
		}
		if limit := burst + rate*now.Sub(epoch).Seconds() + largest; float64(crossed) > limit {
			t.Fatalf("%d bytes crossed, limit %.0f", crossed, limit)
		}
	})
}
