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

// drawTargets draws targets in the region "home" and in another region, "away".
func drawTargets(t *rapid.T) []Target {
	n := rapid.IntRange(1, 20).Draw(t, "targets")
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			VM: fmt.Sprint("vm-", i), Region: rapid.SampledFrom([]string{"home", "away"}).Draw(t, "region"), Datacentre: "one",
			Running: rapid.IntRange(0, 64).Draw(t, "running"), Queued: rapid.IntRange(0, 64).Draw(t, "queued"),
			Sent: rapid.IntRange(0, 9).Draw(t, "sent"), EngineRequests: rapid.IntRange(0, 64).Draw(t, "reported"),
			Slow: rapid.Bool().Draw(t, "slow"),
		}
	}
	return targets
}

// TestRouteOrdersEveryTargetOnce guards against an order that leaves out a target,
// which would then get no retries, or that contradicts the scores.
func TestRouteOrdersEveryTargetOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		policy := rapid.SampledFrom(Policies()).Draw(t, "policy")
		turn := rapid.Uint64().Draw(t, "turn")
		rnd := rand.New(rand.NewPCG(turn, 0))
		choice := NewRouter(policy, "one", "home").Route(Work{}, targets, turn, rnd)
		seen := append([]int(nil), choice.Order...)
		sort.Ints(seen)
		for i, index := range seen {
			if i != index {
				t.Fatalf("order %v is not a permutation of %d targets", choice.Order, len(targets))
			}
		}
		if len(seen) != len(targets) {
			t.Fatalf("order %v does not contain all %d targets", choice.Order, len(targets))
		}
		for i := 1; i < len(choice.Order); i++ {
			if choice.Scores[choice.Order[i]] < choice.Scores[choice.Order[i-1]] {
				t.Fatalf("order %v contradicts scores %v", choice.Order, choice.Scores)
			}
		}
	})
}

// TestPolicyFirstChoice guards against policies that ignore one of their criteria:
// turn, engine report, load, distance or the mark of a slow target.
func TestPolicyFirstChoice(t *testing.T) {
	targets := []Target{
		{VM: "busy", Region: "home", Datacentre: "one", Running: 9, EngineRequests: 1},
		{VM: "idle", Region: "home", Datacentre: "one", EngineRequests: 5},
		{VM: "near", Region: "home", Datacentre: "two", EngineRequests: 2},
		{VM: "away", Region: "away", Datacentre: "far", EngineRequests: 3},
		{VM: "slow", Region: "home", Datacentre: "one", Slow: true, EngineRequests: 4},
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
			t.Errorf("policy %s, turn %d: first choice is %s, want %s", c.policy, c.turn, got, c.want)
		}
	}
}

// TestProbesDelayOtherRegion guards against work that leaves its region although a
// target there would have granted a reservation within the round trip time.
func TestProbesDelayOtherRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		limits := DefaultReservationLimits()
		limits.Count = rapid.IntRange(1, 5).Draw(t, "count")
		r := NewRouter(PolicyLateBinding, "one", "home")
		choice := r.Route(Work{}, targets, 0, rand.New(rand.NewPCG(1, 1)))
		probes := r.PlanReservations(choice, targets, limits)
		if len(probes) != min(limits.Count, len(targets)) {
			t.Fatalf("%d probes for %d targets", len(probes), len(targets))
		}
		if probes[0].After != 0 {
			t.Fatal("the first probe is delayed")
		}
		for i := 1; i < len(probes); i++ {
			if probes[i].After < probes[i-1].After+limits.Interval {
				t.Fatalf("probe %d is sent at %v, the one before at %v", i, probes[i].After, probes[i-1].After)
			}
			isCrossRegion := targets[probes[i].Target].Region != "home" && targets[probes[0].Target].Region == "home"
			if isCrossRegion && probes[i].After < limits.CrossRegionDelay {
				t.Fatalf("the other region is probed after only %v", probes[i].After)
			}
		}
	})
}

// TestLateBindingNeedsWaitingLongWork guards against reservations for work that
// would start at once, to which they only add a round trip.
func TestLateBindingNeedsWaitingLongWork(t *testing.T) {
	limits := DefaultReservationLimits()
	cases := []struct {
		policy Policy
		work   Work
		best   Target
		want   bool
	}{
		{PolicyLateBinding, Work{}, Target{Running: 9}, false},
		{PolicyLateBinding, Work{}, Target{Wait: 2 * limits.Interval}, true},
		{PolicyLateBinding, Work{}, Target{Queued: 1}, true},
		{PolicyLateBinding, Work{Short: true}, Target{Queued: 1}, false},
		{PolicyLeastWork, Work{}, Target{Queued: 1}, false},
	}
	for i, c := range cases {
		if got := NewRouter(c.policy, "one", "home").BindsLate(c.work, &c.best, limits); got != c.want {
			t.Errorf("case %d: bound late is %v, want the opposite", i, got)
		}
	}
}

var routingTestStart = time.Unix(1_700_000_000, 0)

// TestSlowDetector guards against a slow target that keeps its work, a target that
// counts as slow because of its batch size, and recovery after a single good or a
// repeated sample.
func TestSlowDetector(t *testing.T) {
	d := NewSlowDetector(DefaultSlowLimits())
	samplesAt := func(second int, latency time.Duration) []LatencySample {
		at := routingTestStart.Add(time.Duration(second) * time.Second)
		return []LatencySample{
			{VM: "a", Latency: 20 * time.Millisecond, ReportedAt: at},
			{VM: "b", Latency: 25 * time.Millisecond, ReportedAt: at},
			{VM: "c", Latency: 30 * time.Millisecond, ReportedAt: at},
			{VM: "d", Latency: latency, ReportedAt: at},
		}
	}
	if slow := d.Update(samplesAt(0, 60*time.Millisecond)); len(slow) != 0 {
		t.Fatalf("a target with a larger batch counts as slow: %v", slow)
	}
	if slow := d.Update(samplesAt(1, 125*time.Millisecond)); !slow["d"] || len(slow) != 1 {
		t.Fatalf("slow targets are %v, want only d", slow)
	}
	if d.Probe("d", routingTestStart.Add(time.Second)) || !d.Probe("d", routingTestStart.Add(5*time.Second)) || d.Probe("d", routingTestStart.Add(5*time.Second)) {
		t.Fatal("probes do not keep the probe period")
	}
	steps := []struct {
		latency time.Duration
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
		if got := d.Update(samplesAt(6+i, s.latency))["d"]; got != s.slow {
			t.Fatalf("step %d: slow is %v, want the opposite", i, got)
		}
	}
	// A repeated report is not a new sample.
	d.Update(samplesAt(20, 125*time.Millisecond))
	for range 5 {
		if !d.Update(samplesAt(21, 25*time.Millisecond))["d"] {
			t.Fatal("a repeated report counted as a new sample")
		}
	}
}

// A fast target that receives few calls may take longer for each call than its
// peers. Below the minimum latency it must recover even if its ratio to the
// median stays high.
func TestFastTargetRecoversFromSlow(t *testing.T) {
	limits := DefaultSlowLimits()
	d := NewSlowDetector(limits)
	samplesAt := func(second int, latency time.Duration) []LatencySample {
		at := routingTestStart.Add(time.Duration(second) * time.Second)
		fastLatency := limits.MinLatency / 4
		return []LatencySample{
			{VM: "a", Latency: fastLatency, ReportedAt: at}, {VM: "b", Latency: fastLatency, ReportedAt: at}, {VM: "c", Latency: fastLatency, ReportedAt: at}, {VM: "d", Latency: latency, ReportedAt: at},
		}
	}
	if !d.Update(samplesAt(0, time.Second))["d"] {
		t.Fatal("the slow target was not detected")
	}
	for i := range limits.RecoverySamples {
		if !d.Update(samplesAt(i, limits.MinLatency*3/4))["d"] && i+1 < limits.RecoverySamples {
			t.Fatal("recovered too early")
		}
	}
	if d.Update(samplesAt(limits.RecoverySamples+1, limits.MinLatency*3/4))["d"] {
		t.Error("the target is still slow below the minimum latency")
	}
}

// TestSlowDetectorNeedsPeers guards against a judgement on two targets, of which
// either may be the unusual one.
func TestSlowDetectorNeedsPeers(t *testing.T) {
	d := NewSlowDetector(DefaultSlowLimits())
	if slow := d.Update([]LatencySample{{VM: "a", Latency: 10 * time.Millisecond, ReportedAt: routingTestStart}, {VM: "b", Latency: time.Second, ReportedAt: routingTestStart}}); len(slow) != 0 {
		t.Fatalf("with only two targets none may count as slow, got %v", slow)
	}
}

// TestRetryBudgetBoundsRetries guards against retries that multiply the load while
// many requests fail.
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
			} else if b.TryRetry() {
				retries++
			}
		}
		if float64(retries) > reserve+ratio*float64(requests)+1e-6 {
			t.Fatalf("%d retries for %d requests exceed the budget", retries, requests)
		}
	})
}

// TestWorkspaceLimitCountsActiveRequests guards against a count that drifts, so that
// a workspace exceeds its limit or is refused below it.
func TestWorkspaceLimitCountsActiveRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewWorkspaceLimit()
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		active := map[string]int{}
		for _, w := range rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "-a", "-b"})).Draw(t, "events") {
			name, isRelease := strings.CutPrefix(w, "-")
			switch {
			case isRelease && active[name] > 0:
				l.Release(name)
				active[name]--
			case !isRelease && l.Acquire(name, limit):
				active[name]++
			case !isRelease && (limit == 0 || active[name] < limit):
				t.Fatalf("refused with %d active requests, limit %d", active[name], limit)
			}
			if l.Active(name) != active[name] || (limit > 0 && active[name] > limit) {
				t.Fatalf("%d active requests counted, want %d, limit %d", l.Active(name), active[name], limit)
			}
		}
	})
}

// TestHedgerStaysWithinBudget guards against second attempts that add more load than
// the budget allows, and against slow targets raising the hedge delay.
func TestHedgerStaysWithinBudget(t *testing.T) {
	h := NewHedger(DefaultHedgeLimits())
	if h.StartRequest() != 0 {
		t.Fatal("a hedge delay is returned before any latency is known")
	}
	h.ObserveLatency(10 * time.Millisecond)
	hedges := 0
	const requests = 1000
	for range requests {
		if wait := h.StartRequest(); wait < 5*time.Millisecond || wait > 60*time.Millisecond {
			t.Fatalf("hedge delay is %v, want 5 to 60 ms", wait)
		}
		if h.TryHedge() {
			hedges++
		}
		// One of four targets is slow.
		h.ObserveLatency(time.Second)
		for range 3 {
			h.ObserveLatency(10 * time.Millisecond)
		}
	}
	if hedges > hedgeReserve+requests/20+1 {
		t.Fatalf("%d hedges exceed the budget", hedges)
	}
}

// TestLinkBudgetBoundsBytes guards against sending more bytes to other regions than
// rate and burst allow, beyond the last work, which may overdraw the budget.
func TestLinkBudgetBoundsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, largest = 1000.0, 2000.0, 500
		l := NewLinkBudget(rate, burst)
		now, sent := routingTestStart, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(1, largest)).Draw(t, "bytes") {
			now = now.Add(time.Duration(step) * time.Millisecond / 10)
			if l.Open(now) {
				l.Spend(now, step)
				sent += step
			}
		}
		if limit := burst + rate*now.Sub(routingTestStart).Seconds() + largest; float64(sent) > limit {
			t.Fatalf("%d bytes sent, limit %.0f", sent, limit)
		}
	})
}
