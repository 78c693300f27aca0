package decision

import "time"

// Parameters of the concurrency controller.
const (
	// gapsPerDecision is the number of gaps that a decision needs.
	gapsPerDecision = 40
	// concurrencyBackoff multiplies the concurrency when gaps are too long.
	concurrencyBackoff = 0.9
	// concurrencyStep divides the concurrency to give its additive increase.
	concurrencyStep = 32
	minConcurrency  = 4
	// medianShare is the part of the target that the median gap may reach.
	medianShare = 0.85
	// Bounds and step of the prompt tokens that may start within one gap.
	minPace  = 128.0
	maxPace  = 16384.0
	paceStep = 64.0
	// paceBackoff multiplies the pace when the tail of gaps is too long.
	paceBackoff = 0.8
)

// Gaps summarises the times between tokens since the last summary.
type Gaps struct {
	Count  int
	Median time.Duration
	P95    time.Duration
}

// concurrency bounds the batch and the prompt tokens that join it within one
// step, so that the time between tokens stays within its target. The median
// gap grows with the batch, the tail with prompts that join: each bounds its
// cause.
type concurrency struct {
	target time.Duration
	most   int
	limit  float64
	pace   float64
	// credit is the number of prompt tokens that may start now.
	credit  float64
	cadence time.Duration
	filled  time.Time
	gaps    int
	median  time.Duration
	p95     time.Duration
}

func newConcurrency(target time.Duration, most int) concurrency {
	return concurrency{target: target, most: most, limit: float64(most), pace: maxPace, credit: maxPace}
}

// observe takes measured gaps into account. binding tells whether the limit
// kept work waiting, without which it does not grow.
func (c *concurrency) observe(g Gaps, binding bool) {
	if g.Count == 0 {
		return
	}
	c.cadence = g.Median
	c.gaps += g.Count
	c.median = max(c.median, g.Median)
	c.p95 = max(c.p95, g.P95)
	if c.target == 0 || c.gaps < gapsPerDecision {
		return
	}
	switch {
	case float64(c.median) > medianShare*float64(c.target):
		c.limit = max(c.limit*concurrencyBackoff, minConcurrency)
	case binding:
		c.limit = min(c.limit+max(c.limit/concurrencyStep, 1), float64(c.most))
	}
	if c.p95 > c.target {
		c.pace = max(c.pace*paceBackoff, minPace)
	} else {
		c.pace = min(c.pace+paceStep, maxPace)
	}
	c.gaps, c.median, c.p95 = 0, 0, 0
}

// refill adds the credit of the time since the last call.
func (c *concurrency) refill(now time.Time) {
	if c.target == 0 || c.cadence == 0 || c.filled.IsZero() {
		c.filled = now
		c.credit = c.pace
		return
	}
	c.credit = min(c.credit+c.pace*float64(now.Sub(c.filled))/float64(c.cadence), c.pace)
	c.filled = now
}

func (c *concurrency) slots() int { return int(c.limit) }
