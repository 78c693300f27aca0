package agent

import (
	"slices"
	"sync"
	"time"
)

// latencyWindow is the number of latest calls that the median covers. A few
// calls that a pause of this process delayed don't change the median, and the
// median of a recovered target that receives only probes drops within five
// probes.
const latencyWindow = 9

// callLatencyMeter computes the median latency of the latest calls to a plain
// service. The agent measures it next to the target, so that slow links between
// processes don't affect it. It is safe for concurrent use.
type callLatencyMeter struct {
	mu     sync.Mutex
	recent [latencyWindow]time.Duration
	total  int
}

// record adds the latency of one call.
func (c *callLatencyMeter) record(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.total%latencyWindow] = latency
	c.total++
}

// median returns the median latency, or 0 before the first call.
func (c *callLatencyMeter) median() time.Duration {
	c.mu.Lock()
	n := min(c.total, latencyWindow)
	recent := c.recent
	c.mu.Unlock()
	if n == 0 {
		return 0
	}
	slices.Sort(recent[:n])
	return recent[(n-1)/2]
}
