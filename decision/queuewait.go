package decision

import (
	"hash/fnv"
	"math"
	"time"
)

// Parameters of the wait estimate.
const (
	// rateMemory is the time constant of the measured rate.
	rateMemory = 2 * time.Second
	// rateWindow is the shortest time over which work is counted.
	rateWindow = 100 * time.Millisecond
	// minRetryAfter is the shortest suggested delay, maxRetryAfter the longest.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
	// retrySpread is the part by which suggested delays differ, so that callers
	// who were refused together do not come back together.
	retrySpread = 0.5
)

// rate measures the work that a target does while it is busy, in cost units a
// second.
type rate struct {
	perSecond float64
	done      float64
	since     time.Time
}

func (r *rate) add(work float64) { r.done += work }

// roll closes a window. Windows in which nothing waited say nothing of what
// the target can do, unless it did more than was thought.
func (r *rate) roll(now time.Time, busy bool) {
	d := now.Sub(r.since)
	if r.since.IsZero() || d > rateMemory {
		r.since, r.done = now, 0
		return
	}
	if d < rateWindow {
		return
	}
	got := r.done / d.Seconds()
	r.since, r.done = now, 0
	switch {
	case r.perSecond == 0:
		r.perSecond = got
	case busy || got > r.perSecond:
		r.perSecond += (got - r.perSecond) * (1 - math.Exp(-float64(d)/float64(rateMemory)))
	}
}

// wait returns how long the given work takes.
func (r *rate) wait(work float64) time.Duration {
	if work <= 0 || r.perSecond <= 0 {
		return 0
	}
	return time.Duration(min(work/r.perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

// retryAfter returns the delay to suggest to a caller whose work would have
// waited for wait. Delays of different items are spread.
func retryAfter(id string, wait time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := 1 + retrySpread*float64(h.Sum32())/math.MaxUint32
	return min(time.Duration(float64(max(wait, minRetryAfter))*spread), maxRetryAfter)
}
