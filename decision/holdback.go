package decision

import (
	"math"
	"time"
)

// Holdback keeps less urgent work waiting in front of the engines as long as more of it
// would make urgent work miss its latency objective: an engine prefills the prompts that it
// has accepted one after the other, whatever their priority.
type Holdback struct {
	// UrgentObjective is the latency objective of the most urgent work of the service, and
	// UrgentPromptTokens the size of its prompts.
	UrgentObjective    time.Duration
	UrgentPromptTokens int
}

const (
	// urgentShare is the part of the urgent objective within which an urgent prompt must be
	// prefilled that arrives right after the held work. The rest is for slow engines.
	urgentShare = 0.8
	// ownShare is the part of its objective within which work that is not held back must be
	// prefilled.
	ownShare = 0.6
	// maxHoldbackFactor bounds the wait of held work, as a multiple of its objective. Clients
	// give up at four times the objective. maxHoldbackShare bounds it as a part of the time
	// within which the work must be done.
	maxHoldbackFactor = 2.5
	maxHoldbackShare  = 0.3
	// loadedTokenMillis is the time to prefill one prompt token beside a full batch.
	loadedTokenMillis = 0.2
)

// MaxBacklogTokens returns the largest backlog of prompt tokens at which held work may start
// at a target: an urgent prompt that arrives after it can still be on time.
func (h *Holdback) MaxBacklogTokens(w PlacementWork, t *PlacementTarget) int {
	return max(tokensWithin(time.Duration(urgentShare*float64(h.UrgentObjective)), t)-w.PromptTokens-h.UrgentPromptTokens, 0)
}

// MustStart reports whether held work starts although no target has room. limit is the time
// from its arrival within which it must be done.
func (h *Holdback) MustStart(waited, objective, limit time.Duration) bool {
	return waited > min(time.Duration(maxHoldbackFactor*float64(objective)), time.Duration(maxHoldbackShare*float64(limit)))
}

// MaxBacklogTokens returns the largest backlog of prompt tokens at which work with the given
// objective can be on time at a target.
func MaxBacklogTokens(w PlacementWork, objective time.Duration, t *PlacementTarget) int {
	return max(tokensWithin(time.Duration(ownShare*float64(objective)), t)-w.PromptTokens, 0)
}

// maxDetourMillis is how much worse than the best target one with room may be. An engine may
// have room because it is slow.
const maxDetourMillis = 300

// Acceptable reports for each target whether its score is near that of the best one.
func (c *PlacementCosts) Acceptable(w PlacementWork, targets []PlacementTarget) []bool {
	scores := make([]float64, len(targets))
	lowest := math.Inf(1)
	for i := range targets {
		scores[i] = c.Score(w, &targets[i])
		lowest = min(lowest, scores[i])
	}
	acceptable := make([]bool, len(targets))
	for i := range scores {
		acceptable[i] = scores[i] <= lowest+maxDetourMillis
	}
	return acceptable
}

// tokensWithin returns the number of prompt tokens that a target prefills within a time.
func tokensWithin(d time.Duration, t *PlacementTarget) int {
	return int(float64(d) / float64(time.Millisecond) / loadedTokenMillis / max(t.Slowdown, 1))
}
