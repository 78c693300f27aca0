package decision

import (
	"hash/fnv"
	"math"
	"time"
)

// Parameters of the wait estimate and of the suggested retry delay.
const (
	// rateTimeConstant is the time constant of the moving average of the
	// completion rate.
	rateTimeConstant = 2 * time.Second
	// rateWindow is the shortest interval over which that rate is measured.
	rateWindow = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the suggested retry delay.
	// maxRetryAfter also bounds the estimated wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the largest fraction by which a suggested delay is extended,
	// so that callers that were refused at the same time do not retry at the same
	// time.
	retryJitter = 0.5
)

// workRate measures the rate at which a busy target completes work. Costs are in
// output tokens.
type workRate struct {
	perSecond   float64
	done        float64
	windowStart time.Time
}

func (r *workRate) add(cost float64) { r.done += cost }

// closeWindow ends a measurement interval once it is at least rateWindow long. An
// interval longer than rateTimeConstant is discarded. An interval without waiting
// work (busy is not set) does not show the capacity of the target, so it counts
// only if its rate is above the estimate.
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
// maxRetryAfter, and 0 while the rate is unknown.
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
