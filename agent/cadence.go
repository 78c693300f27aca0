package agent

import (
	"sync/atomic"
	"time"
)

// cadenceShift sets the weight of one new call in the average: 1/2^shift.
const cadenceShift = 2

// cadence is a moving average of the time of a plain service's calls. It is
// measured here, beside the target, so that a slow link between processes has
// no part in it. It may be used from any goroutine.
type cadence struct{ nanos atomic.Int64 }

// add takes in the time of one call. Concurrent additions may lose one, which
// an average bears.
func (c *cadence) add(took time.Duration) {
	old := c.nanos.Load()
	if old == 0 {
		c.nanos.Store(int64(took))
		return
	}
	c.nanos.Store(old + (int64(took)-old)>>cadenceShift)
}

// value returns the average, 0 before the first call.
func (c *cadence) value() time.Duration { return time.Duration(c.nanos.Load()) }
