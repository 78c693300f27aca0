package decision

import "math"

// Distance classifies how far a target is from the process that chooses it.
type Distance int

// The distance classes.
const (
	SameDatacentre Distance = iota
	SameRegion
	OtherRegion
)

// PlacementTarget is the state of one target when a request is placed.
type PlacementTarget struct {
	Distance Distance
	// Requests is the number of active requests. Slots is the number of requests
	// that the target runs at the same time.
	Requests int
	Slots    int
	// PrefillTokens is the number of prompt tokens that are not prefilled yet.
	PrefillTokens int
	// KVTokens is the size in tokens of the KV cache that the active requests are
	// expected to need.
	KVTokens int
	// KVCapacityTokens is the size in tokens of the target's KV cache, 0 for a
	// target without one.
	KVCapacityTokens int
	// KVCopyTokens is the part of KVTokens that holds backups of requests running
	// at other targets.
	KVCopyTokens int
	// Slowdown is the slowdown that the target reported with its latest response;
	// 1 is normal, 0 means unknown.
	Slowdown float64
	// BaselineSlowdown is the slowdown of the target's engine without the influence
	// of other load on its host; 1 is normal, 0 means unknown.
	BaselineSlowdown float64
	// DecodingStreams is the number of streams that the target is decoding.
	DecodingStreams int
	// Warming marks a target that has just started.
	Warming bool
	// Unreachable marks a target whose engine does not answer on its own VM. It is
	// chosen only if all targets are marked.
	Unreachable bool
	// Unreported marks a target without a load report: the counts contain only the
	// requests of this process.
	Unreported bool
}

// AssumeMeanLoad raises the load of the targets without a report to the mean of the targets
// with one. Without it, all processes would send their work to a target that has just been
// added, until its first report arrives. It changes nothing if no target has a report.
func AssumeMeanLoad(targets []PlacementTarget) {
	var requests, prefillTokens, kvTokens, reported int
	for i := range targets {
		if t := &targets[i]; !t.Unreported && !t.Unreachable {
			requests += t.Requests
			prefillTokens += t.PrefillTokens
			kvTokens += t.KVTokens
			reported++
		}
	}
	if reported == 0 {
		return
	}
	for i := range targets {
		if t := &targets[i]; t.Unreported {
			t.Requests = max(t.Requests, requests/reported)
			t.PrefillTokens = max(t.PrefillTokens, prefillTokens/reported)
			t.KVTokens = max(t.KVTokens, kvTokens/reported)
		}
	}
}

// PlacementWork describes the request to place.
type PlacementWork struct {
	PromptTokens int
	// KVTokens is the KV cache in tokens that the request is expected to
	// need at its end.
	KVTokens int
	// Long marks work that streams for seconds, so that pauses are noticeable.
	Long bool
}

// PlacementCosts are the weights of a target's score, in milliseconds.
type PlacementCosts struct {
	// PrefillTokenMillis is the time to prefill one prompt token while other
	// requests decode.
	PrefillTokenMillis float64
	// RequestMillis is the time that each active request adds.
	RequestMillis float64
	// FullMillis is added for load above the slots or the KV cache, multiplied by
	// the excess as a fraction of the slots or the KV cache.
	FullMillis float64
	// PreemptMillis is added for work that exceeds the KV cache and so is likely to
	// cause a preemption.
	PreemptMillis float64
	// RegionMillis is added for a target in another region, DatacentreMillis for
	// one in another data centre of the same region.
	RegionMillis     float64
	DatacentreMillis float64
	// LongRegionMillis is added for a long stream at a target in another region,
	// because the round trip between regions lengthens the pause of a failover.
	// Together with RegionMillis it is about the time to prefill a prompt of 2900
	// tokens.
	LongRegionMillis float64
	// PauseMillis is added for work that is likely to cause pauses of long streams
	// at a slow target, multiplied by BaselineSlowdown - 1.
	PauseMillis float64
	// WarmingMillis is added for a target that has just started.
	WarmingMillis float64
	// SpreadMillis is the score difference at which the probability of choosing
	// a target falls by the factor e.
	SpreadMillis float64
}

// DefaultPlacementCosts returns the costs for an engine that prefills a chunk
// of 112 tokens in a step of about 16 ms.
func DefaultPlacementCosts() PlacementCosts {
	return PlacementCosts{
		PrefillTokenMillis: 0.14, RequestMillis: 20, FullMillis: 2000, PreemptMillis: 1000,
		RegionMillis: 60, DatacentreMillis: 10, LongRegionMillis: 340, PauseMillis: 3000, WarmingMillis: 300, SpreadMillis: 30,
	}
}

// unreachableMillis ranks unreachable targets after all others.
const unreachableMillis = 1e6

// Score estimates how many milliseconds longer the work takes at the target than
// at an idle target in the same data centre. Other disadvantages of the target
// count as additional time.
func (c *PlacementCosts) Score(w PlacementWork, t *PlacementTarget) float64 {
	score := c.PrefillTokenMillis*float64(t.PrefillTokens) + c.RequestMillis*float64(t.Requests)
	if t.Slowdown > 1 {
		score = score*t.Slowdown + c.PrefillTokenMillis*float64(w.PromptTokens)*(t.Slowdown-1)
	}
	if t.Slots > 0 && t.Requests >= t.Slots {
		score += c.FullMillis * float64(t.Requests-t.Slots+1) / float64(t.Slots)
	}
	if excess := t.KVTokens + w.KVTokens - t.KVCapacityTokens; t.KVCapacityTokens > 0 && excess > 0 {
		score += c.PreemptMillis + c.FullMillis*float64(excess)/float64(t.KVCapacityTokens)
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
	score += c.pauseCost(w, t)
	if t.Warming {
		score += c.WarmingMillis
	}
	if t.Unreachable {
		score += unreachableMillis
	}
	return score
}

// pauseCost returns the cost of pauses between the events of streams. While a
// slow target prefills a prompt, the streams that it decodes pause for longer than
// their latency objective allows. This affects the active streams and, when later
// prompts are prefilled, the new stream if it is long.
func (c *PlacementCosts) pauseCost(w PlacementWork, t *PlacementTarget) float64 {
	if t.BaselineSlowdown <= 1 {
		return 0
	}
	// streamFraction is the cost of one active stream relative to that of a new
	// long stream.
	const streamFraction = 0.25
	affected := min(1, streamFraction*float64(t.DecodingStreams))
	if w.Long {
		affected = 1
	}
	return c.PauseMillis * (t.BaselineSlowdown - 1) * affected
}

// Shared returns the costs for one of several processes that place work based on
// the same load reports; members is their number. The more processes there are,
// the less small score differences count. Work that needs no KV cache is placed by
// the process's own request counts, which no other process uses, so its costs are
// unchanged.
func (c PlacementCosts) Shared(members int, w PlacementWork) PlacementCosts {
	if w.KVTokens == 0 {
		return c
	}
	// millisPerMember is the part of SpreadMillis for each process, and
	// maxSpreadMillis the limit of SpreadMillis. The limit stays below the time to
	// prefill a prompt (364 ms for 2600 tokens), so that an idle target is still
	// preferred. With 25 gateways, 8 ms per process delayed first events
	// (docs/MEASUREMENTS.md).
	const millisPerMember, maxSpreadMillis = 4, 250
	c.SpreadMillis = min(max(c.SpreadMillis, millisPerMember*float64(members)), maxSpreadMillis)
	return c
}

// Pick returns the index of the chosen target, or -1 if there is none. Other
// processes choose at the same time based on the same load reports, so the
// choice is random: the probability of a target falls by the factor e for each
// SpreadMillis of score. u is uniform in [0, 1).
func (c *PlacementCosts) Pick(w PlacementWork, targets []PlacementTarget, u float64) int {
	scores := make([]float64, len(targets))
	lowest := math.Inf(1)
	for i := range targets {
		scores[i] = c.Score(w, &targets[i])
		lowest = min(lowest, scores[i])
	}
	var total float64
	for i, score := range scores {
		scores[i] = math.Exp((lowest - score) / c.SpreadMillis)
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
