package agent

import (
	"testing"
	"time"
)

// TestCallLatencyIgnoresPause guards against a target that is treated as slow after
// a pause of the agent process: the calls in progress measure the pause as latency
// although the target is as fast as before, so the median must not change.
func TestCallLatencyIgnoresPause(t *testing.T) {
	var c callLatencyMeter
	for range latencyWindow {
		c.record(3 * time.Millisecond)
	}
	for range latencyWindow / 2 {
		c.record(4 * time.Second)
	}
	if got := c.median(); got != 3*time.Millisecond {
		t.Errorf("median latency after a pause: %v", got)
	}
}

// TestCallLatencyFollowsTarget guards against a median that remains high after a slow
// target has recovered, or that already drops while most calls were slow.
func TestCallLatencyFollowsTarget(t *testing.T) {
	var c callLatencyMeter
	if c.median() != 0 {
		t.Error("non-zero median latency without calls")
	}
	for range latencyWindow {
		c.record(3 * time.Second)
	}
	for i := range latencyWindow/2 + 1 {
		if c.median() != 3*time.Second {
			t.Errorf("median latency recovered after only %d fast calls", i)
		}
		c.record(3 * time.Millisecond)
	}
	if got := c.median(); got != 3*time.Millisecond {
		t.Errorf("median latency after most calls were fast: %v", got)
	}
}
