package decision

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetHoldsInEveryWindow guards against more retries in some window than
// the budget allows, as when targets that leave at the same time cause a burst of
// retries across the bounds of the budget's parts.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, reserve, window = 0.2, 3.0, 10 * time.Second
		b := NewWindowBudget(ratio, window)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 900), 1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if b.TryRetry(now, reserve) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.Request(now)
			events = append(events, event{now, false})
		}
		for i := range events {
			requests, retries := 0, 0
			// Requests up to one part before the window count as well, because the
			// oldest part counts until the whole of it is outside the window.
			for _, e := range events {
				age := events[i].at.Sub(e.at)
				if age >= 0 && age <= window && e.retry {
					retries++
				}
				if age >= 0 && age <= window+window/windowParts && !e.retry {
					requests++
				}
			}
			if limit := ratio*float64(requests) + reserve; float64(retries) > limit {
				t.Fatalf("%d retries for %d requests within %v of event %d", retries, requests, window, i)
			}
		}
	})
}

// TestWindowBudgetReplenishes guards against a budget that allows no retries any
// more after its reserve was used once.
func TestWindowBudgetReplenishes(t *testing.T) {
	b := NewWindowBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if !b.TryRetry(now, 1) || b.TryRetry(now, 1) {
		t.Fatal("a reserve of 1 must allow exactly one retry")
	}
	for range 5 {
		b.Request(now)
	}
	if !b.TryRetry(now, 1) || b.TryRetry(now, 1) {
		t.Fatal("five requests must allow exactly one more retry")
	}
	if !b.TryRetry(now.Add(12*time.Second), 1) {
		t.Fatal("the reserve is not available again after the window")
	}
}
