package decision

import "math"

// Distance is where a target stands as seen from the process that chooses.
type Distance int

// The distances.
const (
	SameDatacentre Distance = iota
	SameRegion
	OtherRegion
)

// PlacementTarget is what is known of one target when a request is placed.
type PlacementTarget struct {
	Distance Distance
	// Requests are in progress, Slots are the requests that run at once.
	Requests int
	Slots    int
	// PrefillTokens are prompt tokens still to be read, MemoryTokens the tokens
	// that the work in progress is expected to hold, of MemoryTotal; 0 for a
	// target without such memory.
	PrefillTokens int
	MemoryTokens  int
	MemoryTotal   int
	// CopyTokens are the part of MemoryTokens that holds copies of runs elsewhere.
	CopyTokens int
	// Slowdown is how long work takes compared with the usual; 0 is unknown.
	Slowdown float64
	// Usual is how long work takes compared with a target of full speed; 0 is
	// unknown. Generating are the streams in progress.
	Usual      float64
	Generating int
	// Warming targets have just started.
	Warming bool
	// Lost targets do not answer on their own machine; they are chosen only if
	// there is no other.
	Lost bool
}

// PlacementWork is the request to place.
type PlacementWork struct {
	PromptTokens int
	// MemoryTokens are the tokens that it is expected to hold at its end.
	MemoryTokens int
	// Long work streams for seconds, so that pauses matter.
	Long bool
}

// PlacementCosts are the parts of a target's score, in milliseconds.
type PlacementCosts struct {
	// PrefillTokenMillis is the time in which one prompt token is read while
	// others generate.
	PrefillTokenMillis float64
	// RequestMillis is what one running request adds to a request's time.
	RequestMillis float64
	// FullMillis is added for work beyond the slots or the memory, in proportion;
	// PreemptMillis for work that is likely to make a run lose its memory.
	FullMillis    float64
	PreemptMillis float64
	// RegionMillis and DatacentreMillis are added for other places.
	RegionMillis     float64
	DatacentreMillis float64
	// LongRegionMillis is added for long streams in another region: when a run goes
	// on at another target, the crossing back and forth adds to the pause. With
	// RegionMillis it is about the time of reading one prompt of 2900 tokens.
	LongRegionMillis float64
	// PauseMillis is added for work that makes pauses of long streams likely: at a
	// target of half the full speed, in proportion for others.
	PauseMillis float64
	// WarmingMillis is added for a target that has just started.
	WarmingMillis float64
	// SpreadMillis is the difference of scores that matters little.
	SpreadMillis float64
}

// DefaultPlacementCosts are those of an engine that reads a chunk of 112 tokens
// in a step of about 16 ms.
func DefaultPlacementCosts() PlacementCosts {
	return PlacementCosts{
		PrefillTokenMillis: 0.14, RequestMillis: 20, FullMillis: 2000, PreemptMillis: 1000,
		RegionMillis: 60, DatacentreMillis: 10, LongRegionMillis: 340, PauseMillis: 3000, WarmingMillis: 300, SpreadMillis: 30,
	}
}

// lostMillis puts a lost target behind all others.
const lostMillis = 1e6

// Score estimates the time in milliseconds that work takes longer at a target
// than at an idle one nearby.
func (c *PlacementCosts) Score(w PlacementWork, t *PlacementTarget) float64 {
	score := c.PrefillTokenMillis*float64(t.PrefillTokens) + c.RequestMillis*float64(t.Requests)
	if t.Slowdown > 1 {
		score = score*t.Slowdown + c.PrefillTokenMillis*float64(w.PromptTokens)*(t.Slowdown-1)
	}
	if t.Slots > 0 && t.Requests >= t.Slots {
		score += c.FullMillis * float64(t.Requests-t.Slots+1) / float64(t.Slots)
	}
	if over := t.MemoryTokens + w.MemoryTokens - t.MemoryTotal; t.MemoryTotal > 0 && over > 0 {
		score += c.PreemptMillis + c.FullMillis*float64(over)/float64(t.MemoryTotal)
	}
	switch t.Distance {
	case OtherRegion:
		score += c.RegionMillis
		if w.Long {
			score += c.LongRegionMillis
		}
	case SameRegion:
		score += c.DatacentreMillis
	case SameDatacentre:
	}
	score += c.pauses(w, t)
	if t.Warming {
		score += c.WarmingMillis
	}
	if t.Lost {
		score += lostMillis
	}
	return score
}

// pauses is the cost of pauses between events. A slow target that reads a
// prompt while its neighbours disturb it exceeds the pause that is on time: of
// the new stream, if it is long, and of those in progress.
func (c *PlacementCosts) pauses(w PlacementWork, t *PlacementTarget) float64 {
	if t.Usual <= 1 {
		return 0
	}
	const runPart = 0.25
	part := min(1, runPart*float64(t.Generating))
	if w.Long {
		part = 1
	}
	return c.PauseMillis * (t.Usual - 1) * part
}

// Shared returns the costs for a process that is one of so many that place work
// on the same reports: the more they are, the less a small difference matters. Work
// without memory is placed by the process's own requests, so that there is no report
// to share.
func (c PlacementCosts) Shared(members int, w PlacementWork) PlacementCosts {
	if w.MemoryTokens == 0 {
		return c
	}
	// Milliseconds for each process that shares the reports, and at most: within
	// the time of reading a prompt (364 ms) an idle target still wins. With 25
	// gateways 8 gave later first events, docs/MEASUREMENTS.md.
	const memberMillis, most = 4, 250
	c.SpreadMillis = min(max(c.SpreadMillis, memberMillis*float64(members)), most)
	return c
}

// Pick chooses a target, -1 if there is none. Other processes choose at the same
// time on the same reports, so the choice is random among those whose scores
// differ little: each Spread milliseconds more make a target less likely by the
// factor e. u is uniform in [0, 1).
func (c *PlacementCosts) Pick(w PlacementWork, targets []PlacementTarget, u float64) int {
	scores := make([]float64, len(targets))
	least := math.Inf(1)
	for i := range targets {
		scores[i] = c.Score(w, &targets[i])
		least = min(least, scores[i])
	}
	var total float64
	for i, score := range scores {
		scores[i] = math.Exp((least - score) / c.SpreadMillis)
		total += scores[i]
	}
	u *= total
	for i, weight := range scores {
		if u -= weight; u < 0 {
			return i
		}
	}
	return len(targets) - 1
}
