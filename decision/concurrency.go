package decision

import "time"

// Parameters of the concurrency controller.
const (
	// gapsPerDecision is the number of gaps that a decision needs.
	gapsPerDecision = 400
	// lateShare is the part of gaps that may exceed the target.
	lateShare = 0.05
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
	Count int
	// Late is the number of gaps longer than the target.
	Late   int
	Median time.Duration
}

// concurrency bounds the batch and the prompt tokens that join it within one
// step, so that the time between tokens stays within its target. The median
// gap grows with the batch, the tail with prompts that join: each bounds its
// cause, and the batch gives way where prompts cannot be spread further.
type concurrency struct {
	target time.Duration
	most   int
	limit  float64
	pace   float64
	// credit is the number of prompt tokens that may start now.
	credit  float64
	cadence time.Duration
	filled  time.Time
	// Sums since the last decision; the median is weighted by count.
	gaps, late int
	median     time.Duration
}

func newConcurrency(target time.Duration, most int) concurrency {
	return concurrency{target: target, most: most, limit: float64(most), pace: maxPace, credit: maxPace}
}

// observe takes measured gaps into account. The limit shrinks only once the
// running work has come down to it, since a smaller batch takes time to show,
// and grows only while it keeps work waiting.
func (c *concurrency) observe(g Gaps, running int, binding bool) {
	if g.Count == 0 {
		return
	}
	c.cadence = g.Median
	c.gaps += g.Count
	c.late += g.Late
	c.median += time.Duration(g.Count) * g.Median
	if c.target == 0 || c.gaps < gapsPerDecision {
		return
	}
	late := float64(c.late) > lateShare*float64(c.gaps)
	median := float64(c.median) / float64(c.gaps)
	slow := median > medianShare*float64(c.target) || (late && c.pace == minPace)
	switch {
	case slow && float64(running) <= c.limit+1:
		c.limit = max(min(c.limit, float64(running))*concurrencyBackoff, minConcurrency)
	case !late && !slow && binding:
		c.limit = min(c.limit+max(c.limit/concurrencyStep, 1), float64(c.most))
	}
	if late {
		c.pace = max(c.pace*paceBackoff, minPace)
	} else {
		c.pace = min(c.pace+paceStep, maxPace)
	}
	c.gaps, c.late, c.median = 0, 0, 0
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
