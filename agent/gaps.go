package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
)

// maxGaps bounds the gaps that are kept between two summaries.
const maxGaps = 2048

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
func (m *gapMeter) drain(target time.Duration) decision.Gaps {
	m.mu.Lock()
	gaps := m.gaps
	m.gaps = make([]time.Duration, 0, len(gaps))
	m.mu.Unlock()
	if len(gaps) == 0 {
		return decision.Gaps{}
	}
	slices.Sort(gaps)
	first, _ := slices.BinarySearch(gaps, target+1)
	return decision.Gaps{Count: len(gaps), Late: len(gaps) - first, Median: gaps[len(gaps)/2]}
}
