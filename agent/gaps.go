package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
)

// maxGaps bounds the gaps that are kept between two summaries.
const maxGaps = 2048

// tailQuantile is the quantile of gaps that the targets are stated for.
const tailQuantile = 0.95

// gapMeter collects the times between tokens of all generations. It may be
// used from any goroutine.
type gapMeter struct {
	mu   sync.Mutex
	gaps []time.Duration
}

func (m *gapMeter) add(gap time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.gaps) < maxGaps {
		m.gaps = append(m.gaps, gap)
	}
}

// drain returns the summary of the gaps since the last call.
func (m *gapMeter) drain() decision.Gaps {
	m.mu.Lock()
	gaps := m.gaps
	m.gaps = make([]time.Duration, 0, len(gaps))
	m.mu.Unlock()
	if len(gaps) == 0 {
		return decision.Gaps{}
	}
	slices.Sort(gaps)
	last := len(gaps) - 1
	return decision.Gaps{
		Count: len(gaps), Median: gaps[len(gaps)/2], P95: gaps[min(int(tailQuantile*float64(len(gaps))), last)],
	}
}
