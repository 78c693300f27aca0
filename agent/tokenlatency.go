package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
)

// maxLatencySamples limits the number of samples kept between two summaries.
const maxLatencySamples = 2048

// tokenLatencyMeter collects the inter-token latencies of all generations. It is
// safe for concurrent use.
type tokenLatencyMeter struct {
	mu      sync.Mutex
	samples []time.Duration
}

func (m *tokenLatencyMeter) add(latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < maxLatencySamples {
		m.samples = append(m.samples, latency)
	}
}

// summarize returns a summary of the samples since the last call and removes
// them. Samples above targetLatency count as late.
func (m *tokenLatencyMeter) summarize(targetLatency time.Duration) decision.InterTokenStats {
	m.mu.Lock()
	samples := m.samples
	m.samples = make([]time.Duration, 0, len(samples))
	m.mu.Unlock()
	if len(samples) == 0 {
		return decision.InterTokenStats{}
	}
	slices.Sort(samples)
	firstLate, _ := slices.BinarySearch(samples, targetLatency+1)
	return decision.InterTokenStats{Count: len(samples), Late: len(samples) - firstLate, Median: samples[len(samples)/2]}
}
