package decision

import "time"

// Limits of the silence after which a target is taken as gone.
const (
	// MinSilence is the limit over a fast and even link.
	MinSilence = 2500 * time.Millisecond
	// MaxSilence bounds the limit over the worst link.
	MaxSilence = 4 * time.Second
	// deviationFactor weighs the spread of the gaps between messages.
	deviationFactor = 4
	// gapShare is the weight of the newest gap in the averages, as a divisor.
	gapShare = 8
)

// Silence estimates how long a target may be silent before it is taken as
// gone, from the gaps between its messages. Uneven gaps, as over a slow link,
// make it wait longer. The zero value is ready for use.
type Silence struct {
	mean      time.Duration
	deviation time.Duration
}

// Observe adds the gap between two messages.
func (s *Silence) Observe(gap time.Duration) {
	if gap > MaxSilence {
		return
	}
	if s.mean == 0 {
		s.mean = gap
		return
	}
	off := (gap - s.mean).Abs()
	s.deviation += (off - s.deviation) / gapShare
	s.mean += (gap - s.mean) / gapShare
}

// Limit returns the silence after which the target is taken as gone.
func (s *Silence) Limit() time.Duration {
	return min(max(s.mean+deviationFactor*s.deviation, MinSilence), MaxSilence)
}
