package decision

import (
	"math"
	"time"
)

// Policy is a method of choosing a target.
type Policy string

// The routing policies.
const (
	// PolicyRoundRobin chooses the targets in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastOutstanding chooses the target with the fewest requests in its
	// engine's own report.
	PolicyLeastOutstanding Policy = "least_outstanding"
	// PolicyTwoChoices chooses the better of two random targets by the score of
	// PolicyLeastWork.
	PolicyTwoChoices Policy = "two_choices"
	// PolicyLeastWork chooses the target with the lowest sum of load, expected wait
	// and distance.
	PolicyLeastWork Policy = "least_work"
	// PolicyLateBinding is PolicyLeastWork with late binding: a long request that
	// would wait is not queued at one target, but requests reservations at several
	// targets and goes to the first that grants one.
	PolicyLateBinding Policy = "late_binding"
)

// Policies returns all routing policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyLeastWork, PolicyLateBinding}
}

// Work describes a request for routing. The length of its answer is unknown.
type Work struct {
	Workspace    string
	Service      string
	Model        string
	PromptTokens int
	MaxTokens    int
	Priority     int
	// Short marks work with short answers.
	Short bool
	// Idempotent marks work that may be executed more than once.
	Idempotent bool
	// PrefixHash identifies the start of the prompt, for cache affinity.
	PrefixHash uint64
}

// Target is the load of one target as known to the router.
type Target struct {
	VM         string
	Datacentre string
	Region     string
	// Running and Queued are the agent's exact counts at the time of its load
	// report.
	Running int
	Queued  int
	// Sent is the number of requests that this router has sent since the load
	// report.
	Sent             int
	Slots            int
	KVTokens         int
	KVCapacityTokens int
	// EngineRequests is the number of requests in the engine's own report, which
	// is older than the agent's counts.
	EngineRequests int
	// Wait and ShortWait are the waits that the agent expects for long and short
	// work.
	Wait      time.Duration
	ShortWait time.Duration
	// InterTokenLatency is the target's recent inter-token latency, 0 if unknown.
	InterTokenLatency time.Duration
	// Age is the time since the load report.
	Age time.Duration
	// Slow marks a target that is much slower than its peers. Probe marks a slow
	// target to which this request should go, to measure its latency again.
	Slow  bool
	Probe bool
}

// Choice is the result of Route.
type Choice struct {
	// Order lists indexes of targets, best first. Scores lists the score of each
	// target in the order of the targets; lower is better.
	Order  []int
	Scores []float64
	Reason string
}

// Router chooses targets for a process in a data centre. It is immutable and
// safe for concurrent use.
type Router struct {
	policy     Policy
	datacentre string
	region     string
}

// NewRouter returns a router for a process in the given data centre.
func NewRouter(policy Policy, datacentre, region string) *Router {
	return &Router{policy: policy, datacentre: datacentre, region: region}
}

// Policy returns the router's policy.
func (r *Router) Policy() Policy { return r.policy }

// Route orders the targets for the work. turn is the sequence number of the
// request at this router.
func (r *Router) Route(w Work, targets []Target, turn uint64, rnd Random) Choice {
	scores := make([]float64, len(targets))
	for i := range targets {
		scores[i] = r.score(w, i, &targets[i], len(targets), turn, rnd)
	}
	if r.policy == PolicyTwoChoices {
		penalizeUnsampled(scores, rnd)
	}
	return Choice{Order: sortedByScore(scores), Scores: scores, Reason: string(r.policy)}
}

func (r *Router) score(w Work, i int, t *Target, n int, turn uint64, rnd Random) float64 {
	switch r.policy {
	case PolicyRoundRobin:
		return float64((uint64(i) + uint64(n) - turn%uint64(n)) % uint64(n))
	case PolicyLeastOutstanding:
		return float64(t.EngineRequests) + tieBreak*rnd.Float64()
	default:
		return r.distanceCost(t) + workScore(w, t) + tieBreak*rnd.Float64()
	}
}

// Score terms in milliseconds of expected wait. Each running request counts as
// one millisecond.
const (
	otherDatacentreCost = 2.0
	// otherRegionCost is the round trip time between regions, so that work leaves
	// its region only if that avoids a longer wait.
	otherRegionCost = 60.0
	// queuedWeight is the cost of a queued request.
	queuedWeight = 2.0
	// slowCost ranks slow targets after all others, and a slow target to be probed
	// before them.
	slowCost        = 1e5
	millisPerSecond = 1000
	// tieBreak is the upper bound of a random term that orders equal targets.
	tieBreak = 0.01
	// unsampledCost ranks the targets that PolicyTwoChoices did not draw after the
	// two that it drew.
	unsampledCost = 1e6
)

func (r *Router) distanceCost(t *Target) float64 {
	switch {
	case t.Region != r.region:
		return otherRegionCost
	case t.Datacentre != r.datacentre:
		return otherDatacentreCost
	}
	return 0
}

func workScore(w Work, t *Target) float64 {
	score := float64(t.Running) + queuedWeight*float64(t.Queued) + float64(t.Sent)
	wait := t.Wait
	if w.Short {
		wait = t.ShortWait
	}
	score += wait.Seconds() * millisPerSecond
	switch {
	case t.Probe:
		return -slowCost
	case t.Slow:
		score += slowCost
	}
	return score
}

// penalizeUnsampled draws two random targets and adds unsampledCost to the scores
// of all others.
func penalizeUnsampled(scores []float64, rnd Random) {
	if len(scores) <= 2 {
		return
	}
	a := rnd.IntN(len(scores))
	b := rnd.IntN(len(scores) - 1)
	if b >= a {
		b++
	}
	for i := range scores {
		if i != a && i != b {
			scores[i] += unsampledCost
		}
	}
}

// sortedByScore returns the indexes of scores from the lowest to the highest
// score.
func sortedByScore(scores []float64) []int {
	order := make([]int, len(scores))
	for i := range order {
		order[i] = i
	}
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && less(scores, order[j], order[j-1]); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}

// less reports whether target a has a lower score than target b. NaN is not lower
// than any score.
func less(scores []float64, a, b int) bool {
	if math.IsNaN(scores[a]) {
		return false
	}
	return scores[a] < scores[b]
}
