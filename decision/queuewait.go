package decision

import (
	"hash/fnv"
	"math"
	"time"
)

// Parameters of the wait estimate.
const (
	// rateTimeConstant is the time constant of the measured rate.
	rateTimeConstant = 2 * time.Second
	// rateWindow is the shortest interval over which the rate is measured.
	rateWindow = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the suggested retry delay.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the fraction by which suggested delays vary, so that
	// callers that were refused at the same time do not retry at the same time.
	retryJitter = 0.5
)

// workRate measures the rate at which a busy target completes work, in cost
// units per second.
type workRate struct {
	perSecond   float64
	done        float64
	windowStart time.Time
}

func (r *workRate) add(cost float64) { r.done += cost }

// closeWindow ends a measurement interval. An interval without waiting work
// does not show the capacity of the target, so it counts only if the rate is
// above the estimate.
func (r *workRate) closeWindow(now time.Time, busy bool) {
	elapsed := now.Sub(r.windowStart)
	if r.windowStart.IsZero() || elapsed > rateTimeConstant {
		r.windowStart, r.done = now, 0
		return
	}
	if elapsed < rateWindow {
		return
	}
	measured := r.done / elapsed.Seconds()
	r.windowStart, r.done = now, 0
	switch {
	case r.perSecond == 0:
		r.perSecond = measured
	case busy || measured > r.perSecond:
		r.perSecond += (measured - r.perSecond) * (1 - math.Exp(-float64(elapsed)/float64(rateTimeConstant)))
	}
}

// duration returns the time that work of the given cost takes, at most
// maxRetryAfter.
func (r *workRate) duration(cost float64) time.Duration {
	if cost <= 0 || r.perSecond <= 0 {
		return 0
	}
	return time.Duration(min(cost/r.perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

// retryAfter returns the retry delay to suggest to a caller whose work would
// have waited for wait. The jitter depends on the item's ID.
func retryAfter(id string, wait time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	jitter := 1 + retryJitter*float64(h.Sum32())/math.MaxUint32
	return min(time.Duration(float64(max(wait, minRetryAfter))*jitter), maxRetryAfter)
}
