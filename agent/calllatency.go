package agent

import (
	"slices"
	"sync"
	"time"
)

// latencyWindow is the number of latest calls that the median covers. Up to four
// calls that measured a pause of this process as latency don't change the median
// of the other five. The median of a recovered target that receives only probes
// drops within five probes.
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
func (m *callLatencyMeter) record(latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent[m.total%latencyWindow] = latency
	m.total++
}

// median returns the median latency, or 0 before the first call.
func (m *callLatencyMeter) median() time.Duration {
	m.mu.Lock()
	n := min(m.total, latencyWindow)
	recent := m.recent
	m.mu.Unlock()
	if n == 0 {
		return 0
	}
	slices.Sort(recent[:n])
	return recent[(n-1)/2]
}
