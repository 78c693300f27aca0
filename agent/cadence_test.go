package agent

import (
	"testing"
	"time"
)

// A frozen agent measures its own pause in the calls that were in progress. The
// target is as quick as before, and the pause must not count for long.
func TestCadenceBearsAPause(t *testing.T) {
	var c cadence
	for range cadenceWindow {
		c.add(3 * time.Millisecond)
	}
	for range cadenceWindow / 2 {
		c.add(4 * time.Second)
	}
	if got := c.value(); got != 3*time.Millisecond {
		t.Errorf("cadence after a pause: %v", got)
	}
}

func TestCadenceFollowsTheTarget(t *testing.T) {
	var c cadence
	if c.value() != 0 {
		t.Error("a cadence without calls")
	}
	for range cadenceWindow {
		c.add(3 * time.Second)
	}
	for i := range cadenceWindow/2 + 1 {
		if c.value() != 3*time.Second {
			t.Errorf("recovered after %d quick calls", i)
		}
		c.add(3 * time.Millisecond)
	}
	if got := c.value(); got != 3*time.Millisecond {
		t.Errorf("cadence after most calls were quick: %v", got)
	}
}
