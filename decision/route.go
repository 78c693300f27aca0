// Package decision holds the policies of quetzalglade: routing, admission,
// queueing, limits, retries and placement. It does no I/O, reads no clock,
// starts no goroutine, logs nothing and has no source of randomness of its
// own: time and random numbers are arguments, so that any bench can drive it.
// Its values are not safe for concurrent use; each has one owner.
package decision

import (
	"math"
	"time"
)

// Random yields uniform numbers; *rand.Rand of math/rand/v2 implements it.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Policy selects how a target is chosen.
type Policy string

// The routing policies.
const (
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastOutstanding Policy = "least_outstanding"
	PolicyTwoChoices       Policy = "two_choices"
	PolicyLeastWork        Policy = "least_work"
)

// Work is a request as the router sees it. No length of its answer is known.
type Work struct {
	Workspace    string
	Service      string
	Model        string
	PromptTokens int
	Priority     int
	// PrefixHash identifies the start of the prompt, for cache affinity.
	PrefixHash uint64
}

// Target is what the router knows of one target.
type Target struct {
	VM         string
	Datacentre string
	Region     string
	Running    int
	Queued     int
	// Sent counts the requests that this router sent since the report.
	Sent        int
	Slots       int
	UsedTokens  int
	TotalTokens int
	// Cadence is the target's recent time between tokens, 0 if unknown.
	Cadence time.Duration
	// Age is the time since the report.
	Age time.Duration
}

// Choice is an ordered list of targets to try, with the reason.
type Choice struct {
	// Order holds indexes into the targets, best first.
	Order  []int
	Scores []float64
	Reason string
}

// Router chooses targets. Its owner serialises calls.
type Router struct {
	policy     Policy
	datacentre string
	region     string
	next       int
}

// NewRouter returns a router for a process in the given data centre.
func NewRouter(policy Policy, datacentre, region string) *Router {
	return &Router{policy: policy, datacentre: datacentre, region: region}
}

// Route orders the targets for the work.
func (r *Router) Route(_ Work, targets []Target, rnd Random) Choice {
	scores := make([]float64, len(targets))
	for i := range targets {
		scores[i] = r.score(i, &targets[i], len(targets), rnd)
	}
	if r.policy == PolicyRoundRobin {
		r.next++
	}
	if r.policy == PolicyTwoChoices {
		keepTwo(scores, rnd)
	}
	return Choice{Order: ascending(scores), Scores: scores, Reason: string(r.policy)}
}

func (r *Router) score(i int, t *Target, n int, rnd Random) float64 {
	switch r.policy {
	case PolicyRoundRobin:
		return float64((i - r.next%n + n) % n)
	case PolicyLeastOutstanding:
		return float64(t.Running+t.Queued) + tieBreak*rnd.Float64()
	default:
		return r.distance(t) + work(t) + tieBreak*rnd.Float64()
	}
}

// Score terms, in units of one running request.
const (
	otherDatacentreCost = 1.0
	otherRegionCost     = 16.0
	queuedWeight        = 2.0
	tieBreak            = 0.01
	unsampledCost       = 1e6
)

func (r *Router) distance(t *Target) float64 {
	switch {
	case t.Region != r.region:
		return otherRegionCost
	case t.Datacentre != r.datacentre:
		return otherDatacentreCost
	}
	return 0
}

func work(t *Target) float64 {
	return float64(t.Running) + queuedWeight*float64(t.Queued) + float64(t.Sent)
}

func keepTwo(scores []float64, rnd Random) {
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

// ascending returns the indexes of scores from the lowest to the highest.
func ascending(scores []float64) []int {
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

func less(scores []float64, a, b int) bool {
	if math.IsNaN(scores[a]) {
		return false
	}
	return scores[a] < scores[b]
}
