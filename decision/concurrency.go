package decision

import "time"

// Parameters of the concurrency limiter.
const (
	// samplesPerAdjustment is the number of inter-token latencies that one
	// adjustment needs.
	samplesPerAdjustment = 400
	// maxLateFraction is the fraction of inter-token latencies that may exceed
	// the latency target.
	maxLateFraction = 0.05
	// concurrencyDecrease multiplies the concurrency limit when latencies are
	// too long.
	concurrencyDecrease = 0.9
	// concurrencyIncreaseDivisor divides the concurrency limit to give its
	// increase, which is at least 1.
	concurrencyIncreaseDivisor = 32
	// minConcurrency is the lowest concurrency limit.
	minConcurrency = 4
	// maxMedianFraction is the fraction of the latency target that the median
	// latency may reach.
	maxMedianFraction = 0.85
	// Bounds and additive increase of the prefill budget, in prompt tokens per
	// decode step.
	minPrefillBudget  = 128.0
	maxPrefillBudget  = 16384.0
	prefillBudgetStep = 64.0
	// prefillBudgetDecrease multiplies the prefill budget when too many
	// latencies exceed the latency target.
	prefillBudgetDecrease = 0.8
)

// InterTokenStats summarizes the inter-token latencies since the previous summary.
type InterTokenStats struct {
	Count int
	// Late is the number of latencies above QueueLimits.InterTokenTarget.
	Late   int
	Median time.Duration
}

// concurrencyLimiter keeps the inter-token latency within latencyTarget. A
// latencyTarget of 0 means no limit. It limits the number of running requests and
// the prompt tokens that start within one decode step. The median latency grows with the batch and the tail grows with
// prefill, so the concurrency limit follows the median and the prefill budget the
// tail. The concurrency limit also shrinks when the tail is too long and the
// prefill budget is at its minimum.
type concurrencyLimiter struct {
	latencyTarget time.Duration
	maxSlots      int
	limit         float64
	prefillBudget float64
	// prefillCredit is the number of prompt tokens that may start now. It is
	// negative after a prompt that exceeds the credit.
	prefillCredit     float64
	interTokenLatency time.Duration
	refilledAt        time.Time
	// Sums since the last adjustment. latencySum adds each median times its
	// number of samples.
	sampleCount, lateCount int
	latencySum             time.Duration
}

func newConcurrencyLimiter(latencyTarget time.Duration, maxSlots int) concurrencyLimiter {
	return concurrencyLimiter{latencyTarget: latencyTarget, maxSlots: maxSlots, limit: float64(maxSlots), prefillBudget: maxPrefillBudget, prefillCredit: maxPrefillBudget}
}

// observe adds measured latencies and adjusts the limits once there are enough
// samples. The concurrency limit shrinks only after the number of running
// requests has fallen to it, because a smaller batch affects latencies with a
// delay. It grows only if limitReached is set, that is while it is the reason
// why work waits.
func (c *concurrencyLimiter) observe(stats InterTokenStats, running int, limitReached bool) {
	if stats.Count == 0 {
		return
	}
	c.interTokenLatency = stats.Median
	c.sampleCount += stats.Count
	c.lateCount += stats.Late
	c.latencySum += time.Duration(stats.Count) * stats.Median
	if c.latencyTarget == 0 || c.sampleCount < samplesPerAdjustment {
		return
	}
	tailTooLong := float64(c.lateCount) > maxLateFraction*float64(c.sampleCount)
	meanMedian := float64(c.latencySum) / float64(c.sampleCount)
	batchTooLarge := meanMedian > maxMedianFraction*float64(c.latencyTarget) || (tailTooLong && c.prefillBudget == minPrefillBudget)
	switch {
	case batchTooLarge && float64(running) <= c.limit+1:
		c.limit = max(min(c.limit, float64(running))*concurrencyDecrease, minConcurrency)
	case !tailTooLong && !batchTooLarge && limitReached:
		c.limit = min(c.limit+max(c.limit/concurrencyIncreaseDivisor, 1), float64(c.maxSlots))
	}
	if tailTooLong {
		c.prefillBudget = max(c.prefillBudget*prefillBudgetDecrease, minPrefillBudget)
	} else {
		c.prefillBudget = min(c.prefillBudget+prefillBudgetStep, maxPrefillBudget)
	}
	c.sampleCount, c.lateCount, c.latencySum = 0, 0, 0
}

// refill adds the prefill credit for the time since the last call: the prefill
// budget for each inter-token latency, up to one prefill budget in total.
func (c *concurrencyLimiter) refill(now time.Time) {
	if c.latencyTarget == 0 || c.interTokenLatency == 0 || c.refilledAt.IsZero() {
		c.refilledAt = now
		c.prefillCredit = c.prefillBudget
		return
	}
	c.prefillCredit = min(c.prefillCredit+c.prefillBudget*float64(now.Sub(c.refilledAt))/float64(c.interTokenLatency), c.prefillBudget)
	c.refilledAt = now
}

func (c *concurrencyLimiter) slots() int { return int(c.limit) }
