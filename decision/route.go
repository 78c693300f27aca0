package decision

import (
	"math"
	"time"
)

// Policy selects how a target is chosen.
type Policy string

// The routing policies.
const (
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastOutstanding Policy = "least_outstanding"
	PolicyTwoChoices       Policy = "two_choices"
	PolicyLeastWork        Policy = "least_work"
	PolicyLateBinding      Policy = "late_binding"
)

// Policies returns all routing policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyLeastWork, PolicyLateBinding}
}

// Work is a request as the router sees it. No length of its answer is known.
type Work struct {
	Workspace    string
	Service      string
	Model        string
	PromptTokens int
	MaxTokens    int
	Priority     int
	// Short marks work whose answers are short.
	Short bool
	// Idempotent marks work that may be repeated.
	Idempotent bool
	// PrefixHash identifies the start of the prompt, for cache affinity.
	PrefixHash uint64
}

// Target is what the router knows of one target.
type Target struct {
	VM         string
	Datacentre string
	Region     string
	// Running and Queued are the agent's exact account when it reported.
	Running int
	Queued  int
	// Sent counts the requests that this router sent since the report.
	Sent        int
	Slots       int
	UsedTokens  int
	TotalTokens int
	// Reported is the number of requests in the engine's own, lagging report.
	Reported int
	// Wait and ShortWait are the agent's expected waits for long and short work.
	Wait      time.Duration
	ShortWait time.Duration
	// Cadence is the target's recent time between tokens, 0 if unknown.
	Cadence time.Duration
	// Age is the time since the report.
	Age time.Duration
	// Slow marks a target that is much slower than its peers, Probe one that
	// this work is to probe.
	Slow  bool
	Probe bool
}

// Choice is an ordered list of targets to try, with the reason.
type Choice struct {
	// Order holds indexes into the targets, best first.
	Order  []int
	Scores []float64
	Reason string
}

// Router chooses targets for a process in a data centre. It is immutable and
// may be used from any goroutine.
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

// Route orders the targets for the work. Turn numbers the router's requests.
func (r *Router) Route(w Work, targets []Target, turn uint64, rnd Random) Choice {
	scores := make([]float64, len(targets))
	for i := range targets {
		scores[i] = r.score(w, i, &targets[i], len(targets), turn, rnd)
	}
	if r.policy == PolicyTwoChoices {
		keepTwo(scores, rnd)
	}
	return Choice{Order: ascending(scores), Scores: scores, Reason: string(r.policy)}
}

func (r *Router) score(w Work, i int, t *Target, n int, turn uint64, rnd Random) float64 {
	switch r.policy {
	case PolicyRoundRobin:
		return float64((uint64(i) + uint64(n) - turn%uint64(n)) % uint64(n))
	case PolicyLeastOutstanding:
		return float64(t.Reported) + tieBreak*rnd.Float64()
	default:
		return r.distance(t) + work(w, t) + tieBreak*rnd.Float64()
	}
}

// Score terms, in milliseconds of wait. A running request counts as one, so
// that work leaves its region only for a wait that exceeds the crossing.
const (
	otherDatacentreCost = 2.0
	otherRegionCost     = 60.0
	queuedWeight        = 2.0
	slowCost            = 1e5
	millisPerSecond     = 1000
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

func work(w Work, t *Target) float64 {
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
