package decision

import "time"

// Bounds of the heartbeat timeout, after which a target is considered
// unreachable.
const (
	// MinSilence is the timeout for a link with regular heartbeats.
	MinSilence = 2500 * time.Millisecond
	// MaxSilence is the timeout for a link with the highest jitter.
	MaxSilence = 4 * time.Second
	// deviationFactor is the weight of the mean deviation of the intervals
	// between heartbeats.
	deviationFactor = 4
	// averagingDivisor sets the weight of the newest interval in the averages to
	// 1/averagingDivisor.
	averagingDivisor = 8
)

// Silence estimates the heartbeat timeout of a target from the intervals
// between its heartbeats. Jitter, as on a slow link, makes the timeout longer.
// The zero value is ready for use.
type Silence struct {
	mean      time.Duration
	deviation time.Duration
}

// Observe records the interval between two heartbeats. It ignores intervals
// above the maximum timeout.
func (s *Silence) Observe(interval time.Duration) {
	if interval > MaxSilence {
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

// Limit returns the time without heartbeats after which the target is
// considered unreachable.
func (s *Silence) Limit() time.Duration {
	return min(max(s.mean+deviationFactor*s.deviation, MinSilence), MaxSilence)
}
