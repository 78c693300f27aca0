package decision

import "time"

// Bounds of the heartbeat timeout, after which a target is considered
// unreachable.
const (
	// MinHeartbeatTimeout is the timeout for a link with regular heartbeats.
	MinHeartbeatTimeout = 2500 * time.Millisecond
	// MaxHeartbeatTimeout is the timeout for a link with the highest jitter.
	MaxHeartbeatTimeout = 4 * time.Second
	// deviationFactor is the weight of the mean deviation of the intervals
	// between heartbeats.
	deviationFactor = 4
	// averagingDivisor sets the weight of the newest interval in the averages to
	// 1/averagingDivisor.
	averagingDivisor = 8
)

// HeartbeatEstimator estimates the heartbeat timeout of a target from the intervals
// between its heartbeats. Jitter, as on a slow link, makes the timeout longer.
// The zero value is ready for use.
type HeartbeatEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

// Observe records the interval between two heartbeats. It ignores intervals
// above the maximum timeout.
func (s *HeartbeatEstimator) Observe(interval time.Duration) {
	if interval > MaxHeartbeatTimeout {
		return
	}
	if s.mean == 0 {
		s.mean = interval
		return
	}
	difference := (interval - s.mean).Abs()
	s.deviation += (difference - s.deviation) / averagingDivisor
	s.mean += (interval - s.mean) / averagingDivisor
}

// Timeout returns the time without heartbeats after which the target is
// considered unreachable.
func (s *HeartbeatEstimator) Timeout() time.Duration {
	return min(max(s.mean+deviationFactor*s.deviation, MinHeartbeatTimeout), MaxHeartbeatTimeout)
}
