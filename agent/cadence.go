package agent

import (
	"sync/atomic"
	"time"
)

// cadenceShift sets the weight of one new gap in the average: 1/2^shift.
const cadenceShift = 4

// cadence is a moving average of the time between tokens at the target, or of
// a call. It is measured here, beside the target, so that a slow link between
// processes has no part in it. It may be used from any goroutine.
type cadence struct{ nanos atomic.Int64 }

// token takes in the gap before a generation's newest token.
func (c *cadence) token(g *generation, now time.Time) {
	if !g.lastToken.IsZero() {
		c.add(now.Sub(g.lastToken))
	}
	g.lastToken = now
}

// add takes in one gap. Concurrent additions may lose one, which an average
// bears.
func (c *cadence) add(gap time.Duration) {
	old := c.nanos.Load()
	if old == 0 {
		c.nanos.Store(int64(gap))
		return
	}
	c.nanos.Store(old + (int64(gap)-old)>>cadenceShift)
}

// value returns the average, 0 before the first gap.
func (c *cadence) value() time.Duration { return time.Duration(c.nanos.Load()) }
