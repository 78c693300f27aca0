package decision

import "time"

// LinkBudget is a token bucket of bytes for the link to other regions. Bytes
// are spent as they are seen, which may leave a debt; while there is one, new
// work stays in its region.
type LinkBudget struct {
	rate    float64
	burst   float64
	balance float64
	at      time.Time
}

// NewLinkBudget returns a full bucket that refills with rate bytes per second
// up to burst bytes.
func NewLinkBudget(rate, burst float64) *LinkBudget {
	return &LinkBudget{rate: rate, burst: burst, balance: burst}
}

// Spend counts bytes that cross.
func (l *LinkBudget) Spend(now time.Time, bytes int) {
	l.refill(now)
	l.balance -= float64(bytes)
}

// Open reports whether new work may cross.
func (l *LinkBudget) Open(now time.Time) bool {
	l.refill(now)
	return l.balance > 0
}

func (l *LinkBudget) refill(now time.Time) {
	if !now.After(l.at) {
		return
	}
	if !l.at.IsZero() {
		l.balance = min(l.balance+l.rate*now.Sub(l.at).Seconds(), l.burst)
	}
	l.at = now
}
