package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended time since the start.
	At        time.Duration
	Class     *Class
	Workspace int
	Entry     int
	Prompt    string
	// Length is the length of the whole answer in tokens. Only the stand-in
	// engine learns it, from a marker in the prompt.
	Length int
}

// Shape is the course of the arrival rate.
type Shape struct {
	// Rate is the mean in requests per second.
	Rate     float64
	Duration time.Duration
	// Swing is the amplitude of the swings relative to the rate.
	Swing float64
	// Crest multiplies the rate from CrestAt for CrestFor; 0 is none.
	Crest    float64
	CrestAt  time.Duration
	CrestFor time.Duration
}

// swingPeriod is how long the arrival rate stays the same.
const swingPeriod = 1500 * time.Millisecond

// Schedule draws the arrivals of a run. The same seed gives the same schedule.
func Schedule(d *Deployment, shape Shape, seed uint64) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, 0))
	factors := swings(shape, rnd)
	var out []Arrival
	at := 0.0
	for {
		rate := shape.Rate * factors[int(time.Duration(at*float64(time.Second))/swingPeriod)]
		rate *= shape.crest(time.Duration(at * float64(time.Second)))
		at += rnd.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= shape.Duration {
			return out
		}
		out = append(out, d.arrival(when, rnd))
	}
}

// swings draws a factor for each period, with a mean of 1.
func swings(shape Shape, rnd *rand.Rand) []float64 {
	n := int(shape.Duration/swingPeriod) + 1
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = 1 + shape.Swing*(2*rnd.Float64()-1)
		sum += out[i]
	}
	for i := range out {
		out[i] *= float64(n) / sum
	}
	return out
}

func (s *Shape) crest(at time.Duration) float64 {
	if s.Crest > 0 && at >= s.CrestAt && at < s.CrestAt+s.CrestFor {
		return s.Crest
	}
	return 1
}

func (d *Deployment) arrival(at time.Duration, rnd *rand.Rand) Arrival {
	c := &d.Classes[pick(rnd, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })]
	a := Arrival{At: at, Class: c}
	a.Workspace = pick(rnd, len(d.Workspaces), func(i int) float64 { return d.Workspaces[i] })
	a.Entry = pick(rnd, len(d.EntryShare), func(i int) float64 { return d.EntryShare[i] })
	if c.Kind == KindLong || c.Kind == KindShort {
		a.Length = c.length(rnd)
		a.Prompt = c.prompt(a.Workspace, a.Length, rnd)
	}
	return a
}

func (c *Class) length(rnd *rand.Rand) int {
	n := c.Median * math.Exp(c.Sigma*rnd.NormFloat64())
	if rnd.Float64() < c.Stragglers {
		n *= c.StragglerFactor
	}
	return min(max(int(n), 1), maxOutput)
}

const (
	bytesPerToken  = 4
	prefixesOfEach = 3
)

// prompt builds a text that starts with one of a few prefixes of the
// workspace, as a text template does.
func (c *Class) prompt(workspace, length int, rnd *rand.Rand) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s template %d of workspace %d. ", c.Name, rnd.IntN(prefixesOfEach), workspace)
	size := int(float64(c.Prompt*bytesPerToken) * (0.5 + rnd.Float64()))
	for b.Len() < size/2 {
		b.WriteString("pedal cable ")
	}
	fmt.Fprintf(&b, "case %d ", rnd.Uint32())
	for b.Len() < size {
		b.WriteString("thread tension ")
	}
	fmt.Fprintf(&b, "<<len=%d>>", length)
	return b.String()
}

func pick(rnd *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rnd.Float64() * sum
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
