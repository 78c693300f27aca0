package decision

import "time"

// Bounds and parameters of the heartbeat timeout, after which a target is
// considered unreachable.
const (
	// MinHeartbeatTimeout is the timeout for a link with regular heartbeats.
	MinHeartbeatTimeout = 2500 * time.Millisecond
	// MaxHeartbeatTimeout is the timeout for a link with the highest jitter.
	MaxHeartbeatTimeout = 4 * time.Second
	// deviationFactor multiplies the mean deviation of the intervals between
	// heartbeats, which is then added to their mean.
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
func (e *HeartbeatEstimator) Observe(interval time.Duration) {
	if interval > MaxHeartbeatTimeout {
		return
	}
	if e.mean == 0 {
		e.mean = interval
		return
	}
	difference := (interval - e.mean).Abs()
	e.deviation += (difference - e.deviation) / averagingDivisor
	e.mean += (interval - e.mean) / averagingDivisor
}

// Timeout returns the time without heartbeats after which the target is
// considered unreachable.
func (e *HeartbeatEstimator) Timeout() time.Duration {
	return min(max(e.mean+deviationFactor*e.deviation, MinHeartbeatTimeout), MaxHeartbeatTimeout)
}
