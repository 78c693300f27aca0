package decision

import "time"

// LinkBudget is a token bucket for the bytes sent to other regions. Bytes are
// counted when they are sent, so the balance can become negative. New work
// stays in its region until the balance is positive again.
type LinkBudget struct {
	rate       float64
	burst      float64
	balance    float64
	refilledAt time.Time
}

// NewLinkBudget returns a full bucket that refills at rate bytes per second up
// to burst bytes.
func NewLinkBudget(rate, burst float64) *LinkBudget {
	return &LinkBudget{rate: rate, burst: burst, balance: burst}
}

// Spend subtracts bytes that are sent to another region.
func (l *LinkBudget) Spend(now time.Time, bytes int) {
	l.refill(now)
	l.balance -= float64(bytes)
}

// Open reports whether new work may be sent to another region.
func (l *LinkBudget) Open(now time.Time) bool {
	l.refill(now)
	return l.balance > 0
}

func (l *LinkBudget) refill(now time.Time) {
	if !now.After(l.refilledAt) {
		return
	}
	if !l.refilledAt.IsZero() {
		l.balance = min(l.balance+l.rate*now.Sub(l.refilledAt).Seconds(), l.burst)
	}
	l.refilledAt = now
}
