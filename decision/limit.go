package decision

import (
	"math"
	"time"
)

// ThrottleLimits set when an entry refuses work by itself.
type ThrottleLimits struct {
	// Excess is how many requests are passed on for each one accepted.
	Excess float64
	// Window is the time constant over which both are counted.
	Window time.Duration
	// Floor is the number of requests in the window below which all pass.
	Floor float64
}

// DefaultThrottleLimits returns limits that pass half as much again as targets
// accept.
func DefaultThrottleLimits() ThrottleLimits {
	return ThrottleLimits{Excess: 1.5, Window: time.Second, Floor: 20}
}

// Throttle refuses at the entry part of the work that targets would refuse
// anyway, so that callers who repeat at once do not load them. It counts one
// workspace's requests of one priority and how many of them targets refused;
// entries need no coordination, since each sees its own share of both.
type Throttle struct {
	limits   ThrottleLimits
	requests float64
	accepted float64
	at       time.Time
}

// NewThrottle returns a throttle that passes everything.
func NewThrottle(limits ThrottleLimits) *Throttle { return &Throttle{limits: limits} }

// Pass counts a request and reports whether it may go to the targets; random
// is a uniform number in [0, 1).
func (t *Throttle) Pass(now time.Time, random float64) bool {
	t.decay(now)
	t.requests++
	excess := (t.requests - t.limits.Excess*max(t.accepted, 1)) / t.requests
	if t.requests > t.limits.Floor && random < excess {
		return false
	}
	t.accepted++
	return true
}

// Refuse counts the refusal of a request that had passed.
func (t *Throttle) Refuse(now time.Time) {
	t.decay(now)
	t.accepted = max(t.accepted-1, 0)
}

// decay forgets in proportion to the time passed.
func (t *Throttle) decay(now time.Time) {
	if !now.After(t.at) {
		return
	}
	keep := 0.0
	if !t.at.IsZero() {
		keep = math.Exp(-float64(now.Sub(t.at)) / float64(t.limits.Window))
	}
	t.requests *= keep
	t.accepted *= keep
	t.at = now
}
