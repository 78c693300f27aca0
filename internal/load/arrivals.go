package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the intended time of sending since the start of the run.
	At        time.Duration
	Class     *Class
	Workspace int
	Entry     int
	Prompt    string
	// OutputTokens is the length of the complete output in tokens, 0 for a call of a
	// plain service. A marker in the prompt passes it to the stand-in engine, and to
	// the agent in variants with known lengths.
	OutputTokens int
}

// Shape describes the arrival rate over the time of a run.
type Shape struct {
	// Rate is the mean rate outside the peak, in requests per second.
	Rate     float64
	Duration time.Duration
	// RateDeviation is the maximum random deviation of the rate relative to Rate,
	// before the rates are scaled so that their mean is Rate.
	RateDeviation float64
	// PeakFactor is the factor by which the rate is higher during the peak; 0 means
	// no peak.
	PeakFactor float64
	// PeakStart is the start of the peak since the start of the run.
	PeakStart time.Duration
	// PeakDuration is the duration of the peak.
	PeakDuration time.Duration
}

// ratePeriod is the time between two random changes of the arrival rate.
const ratePeriod = 1500 * time.Millisecond

// Schedule generates the random arrivals of a run, in the order of their time.
// The same seed generates the same schedule.
func Schedule(d *Deployment, shape Shape, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	factors := rateFactors(shape, rng)
	var arrivals []Arrival
	seconds := 0.0
	for {
		rate := shape.Rate * factors[int(time.Duration(seconds*float64(time.Second))/ratePeriod)]
		rate *= shape.peakFactor(time.Duration(seconds * float64(time.Second)))
		seconds += rng.ExpFloat64() / rate
		at := time.Duration(seconds * float64(time.Second))
		if at >= shape.Duration {
			return arrivals
		}
		arrivals = append(arrivals, d.arrival(at, rng))
	}
}

// rateFactors generates the factor of the mean arrival rate for each ratePeriod of a
// run. The mean of the factors is 1.
func rateFactors(shape Shape, rng *rand.Rand) []float64 {
	n := int(shape.Duration/ratePeriod) + 1
	factors := make([]float64, n)
	sum := 0.0
	for i := range factors {
		factors[i] = 1 + shape.RateDeviation*(2*rng.Float64()-1)
		sum += factors[i]
	}
	for i := range factors {
		factors[i] *= float64(n) / sum
	}
	return factors
}

func (s *Shape) peakFactor(at time.Duration) float64 {
	if s.PeakFactor > 0 && at >= s.PeakStart && at < s.PeakStart+s.PeakDuration {
		return s.PeakFactor
	}
	return 1
}

func (d *Deployment) arrival(at time.Duration, rng *rand.Rand) Arrival {
	c := &d.Classes[pickWeighted(rng, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })]
	a := Arrival{At: at, Class: c}
	a.Workspace = pickWeighted(rng, len(d.Workspaces), func(i int) float64 { return d.Workspaces[i] })
	a.Entry = pickWeighted(rng, len(d.EntryShare), func(i int) float64 { return d.EntryShare[i] })
	if c.Kind == KindLong || c.Kind == KindShort {
		a.OutputTokens = c.outputLength(rng)
		a.Prompt = c.prompt(a.Workspace, a.OutputTokens, rng)
	}
	return a
}

func (c *Class) outputLength(rng *rand.Rand) int {
	n := c.MedianTokens * math.Exp(c.Sigma*rng.NormFloat64())
	if rng.Float64() < c.StragglerShare {
		n *= c.StragglerFactor
	}
	return min(max(int(n), 1), maxOutputTokens)
}

const (
	// bytesPerToken is the assumed length of a prompt token; it equals that of the
	// stand-in engine.
	bytesPerToken = 4
	// prefixesPerWorkspace is the number of different prefixes of the prompts that a
	// workspace sends for one class.
	prefixesPerWorkspace = 3
)

// prompt generates a prompt that starts with one of the workspace's prefixes, like
// prompts from a text template, and contains the length marker.
func (c *Class) prompt(workspace, length int, rng *rand.Rand) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s template %d of workspace %d. ", c.Name, rng.IntN(prefixesPerWorkspace), workspace)
	size := int(float64(c.PromptTokens*bytesPerToken) * (0.5 + rng.Float64()))
	for b.Len() < size/2 {
		b.WriteString("pedal cable ")
	}
	fmt.Fprintf(&b, "case %d ", rng.Uint32())
	for b.Len() < size {
		b.WriteString("thread tension ")
	}
	fmt.Fprintf(&b, "<<len=%d>>", length)
	return b.String()
}

// pickWeighted returns a random index below n; the probability of an index is
// proportional to its weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := rng.Float64() * total
	for i := range n {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}
