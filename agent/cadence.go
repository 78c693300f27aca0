package agent

import (
	"slices"
	"sync"
	"time"
)

// cadenceWindow is the number of calls that count. Half of them and one decide:
// a call that a pause of this process made long does not, and a target that is
// only probed recovers within five probes.
const cadenceWindow = 9

// cadence is the median time of a plain service's latest calls. It is measured
// here, beside the target, so that a slow link between processes has no part in
// it. It may be used from any goroutine.
type cadence struct {
	mu     sync.Mutex
	recent [cadenceWindow]time.Duration
	calls  int
}

// add takes in the time of one call.
func (c *cadence) add(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.calls%cadenceWindow] = took
	c.calls++
}

// value returns the median, 0 before the first call.
func (c *cadence) value() time.Duration {
	c.mu.Lock()
	n := min(c.calls, cadenceWindow)
	recent := c.recent
	c.mu.Unlock()
	if n == 0 {
		return 0
	}
	slices.Sort(recent[:n])
	return recent[(n-1)/2]
}
