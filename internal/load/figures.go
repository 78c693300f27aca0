package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are figures of a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// histogram holds durations in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	microsInMilli   = 1000.0
)

func newHistogram() histogram {
	return histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// Values are bounded by the histogram's range, so this cannot fail.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / microsInMilli }
	if h.h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: h.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.h.Max()) / microsInMilli}
}

// ClassFigures are what the callers of one class saw.
type ClassFigures struct {
	Name     string `json:"name"`
	Kind     Kind   `json:"kind"`
	Offered  int    `json:"offered"`
	Complete int    `json:"complete"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// First is the wait for the first token, or for the answer of a plain call.
	First Quantiles `json:"first"`
	// Latency is the time of the whole answer.
	Latency Quantiles `json:"latency"`
	// Gaps are the times between token events.
	Gaps Quantiles `json:"gaps"`
	// StallSeconds is the time by which gaps over stallAfter exceeded gapTarget.
	StallSeconds float64 `json:"stall_s"`
}

// Figures are the result of one run.
type Figures struct {
	Classes []ClassFigures `json:"classes"`
	// Short is the wait of all short work, generations and lookups.
	Short Quantiles `json:"short_wait"`
	// Long are first token and gaps of long generations.
	LongFirst Quantiles `json:"long_first"`
	LongGaps  Quantiles `json:"long_gaps"`
	Gaps      Quantiles `json:"gaps"`
	First     Quantiles `json:"first"`
	Latency   Quantiles `json:"latency"`
	// StallSeconds is summed over all generations.
	StallSeconds float64 `json:"stall_s"`
	// GoodputTokens is the rate of output tokens of complete answers while
	// requests arrive, in 1/s.
	GoodputTokens float64 `json:"goodput_tokens_per_s"`
	// CrestGoodput is the same during the crest.
	CrestGoodput float64 `json:"crest_goodput_tokens_per_s,omitempty"`
	// CrestShort is the wait of short work that arrived during the crest.
	CrestShort Quantiles `json:"crest_short_wait"`
	// AfterFirst is of generations that arrived later than recoveryLimit after
	// the crest.
	AfterFirst Quantiles `json:"after_crest_first"`
	Refusals   Quantiles `json:"refusals"`
	// SendLag is how late requests were sent: the noise of the machine.
	SendLag     Quantiles `json:"send_lag"`
	Retries     int       `json:"retries"`
	Offered     int       `json:"offered"`
	Complete    int       `json:"complete"`
	Refused     int       `json:"refused"`
	Failed      int       `json:"failed"`
	Preemptions int64     `json:"preemptions"`
	Recomputed  int64     `json:"recomputed_tokens"`
	// Cancelled counts generations that engines were told to end early.
	Cancelled int `json:"cancelled"`
	// LookupsRun counts lookups that services ran; above the number answered
	// by what hedging and retries added.
	LookupsRun int `json:"lookups_run"`
	// CrossRegion is the number of bytes between regions.
	CrossRegion map[string]int64 `json:"cross_region_bytes"`
	// Faults are the kinds of failure seen.
	Faults map[string]int `json:"faults,omitempty"`
	// TokensPerSecond is the course of tokens delivered.
	TokensPerSecond []int `json:"tokens_by_second"`
}

// Bounds of what counts as a stall and as recovered.
const (
	gapTarget     = 50 * time.Millisecond
	stallAfter    = 200 * time.Millisecond
	recoveryLimit = 5 * time.Second
)

// collector sums outcomes up. Its owner serialises calls.
type collector struct {
	figures Figures
	shape   Shape
	warmUp  time.Duration
	classes map[*Class]*classHistograms
	all     map[string]histogram
	tokens  int
	crest   int
}

type classHistograms struct {
	figures              *ClassFigures
	first, latency, gaps histogram
}

func newCollector(d *Deployment, shape Shape, warmUp time.Duration) *collector {
	c := &collector{shape: shape, warmUp: warmUp, classes: map[*Class]*classHistograms{}, all: map[string]histogram{}}
	c.figures.Faults = map[string]int{}
	c.figures.Classes = make([]ClassFigures, len(d.Classes))
	for i := range d.Classes {
		f := &c.figures.Classes[i]
		f.Name, f.Kind = d.Classes[i].Name, d.Classes[i].Kind
		c.classes[&d.Classes[i]] = &classHistograms{figures: f, first: newHistogram(), latency: newHistogram(), gaps: newHistogram()}
	}
	for _, name := range []string{"short", "long_first", "long_gaps", "gaps", "first", "latency", "crest_short", "after_first", "refusals", "send_lag"} {
		c.all[name] = newHistogram()
	}
	return c
}

// add takes one outcome in. Requests of the warm-up count only as tokens of
// the course.
func (c *collector) add(o *Outcome) {
	c.course(o)
	if o.Arrival.At < c.warmUp {
		return
	}
	h := c.classes[o.Arrival.Class]
	h.figures.Offered++
	c.figures.Retries += o.Retries
	c.all["send_lag"].add(o.SendLag)
	switch {
	case o.Complete:
		h.figures.Complete++
	case o.Refused:
		h.figures.Refused++
		c.all["refusals"].add(o.RefusalTook)
	default:
		h.figures.Failed++
		c.figures.Faults[o.describe()]++
	}
	if o.First > 0 {
		c.addFirst(o, h)
	}
	if o.Complete {
		h.latency.add(o.End)
		c.all["latency"].add(o.End)
	}
	for _, g := range o.Gaps {
		c.addGap(o, h, g)
	}
}

func (o *Outcome) describe() string {
	if o.Code != 0 {
		return o.Code.Name()
	}
	return o.Fault
}

func (c *collector) addFirst(o *Outcome, h *classHistograms) {
	h.first.add(o.First)
	kind := o.Arrival.Class.Kind
	if kind == KindLong || kind == KindShort {
		c.all["first"].add(o.First)
	}
	if kind == KindLong {
		c.all["long_first"].add(o.First)
	}
	short := kind == KindShort || kind == KindLookup
	if short {
		c.all["short"].add(o.First)
	}
	if c.shape.Crest == 0 {
		return
	}
	end := c.shape.CrestAt + c.shape.CrestFor
	if short && o.Arrival.At >= c.shape.CrestAt && o.Arrival.At < end {
		c.all["crest_short"].add(o.First)
	}
	if o.Arrival.At >= end+recoveryLimit {
		c.all["after_first"].add(o.First)
	}
}

func (c *collector) addGap(o *Outcome, h *classHistograms, g time.Duration) {
	h.gaps.add(g)
	c.all["gaps"].add(g)
	if o.Arrival.Class.Kind == KindLong {
		c.all["long_gaps"].add(g)
	}
	if g > stallAfter {
		h.figures.StallSeconds += (g - gapTarget).Seconds()
	}
}

// course counts the delivered tokens by second.
func (c *collector) course(o *Outcome) {
	for _, e := range o.Events {
		second := int(e.at / time.Second)
		for len(c.figures.TokensPerSecond) <= second {
			c.figures.TokensPerSecond = append(c.figures.TokensPerSecond, 0)
		}
		c.figures.TokensPerSecond[second] += e.tokens
		if !o.Complete {
			continue
		}
		if e.at >= c.warmUp && e.at < c.shape.Duration {
			c.tokens += e.tokens
		}
		if c.shape.Crest > 0 && e.at >= c.shape.CrestAt && e.at < c.shape.CrestAt+c.shape.CrestFor {
			c.crest += e.tokens
		}
	}
}

// result returns the figures of all outcomes added.
func (c *collector) result() *Figures {
	f := &c.figures
	for _, h := range c.classes {
		h.figures.First, h.figures.Latency, h.figures.Gaps = h.first.quantiles(), h.latency.quantiles(), h.gaps.quantiles()
		f.Offered += h.figures.Offered
		f.Complete += h.figures.Complete
		f.Refused += h.figures.Refused
		f.Failed += h.figures.Failed
		f.StallSeconds += h.figures.StallSeconds
	}
	f.Short, f.LongFirst, f.LongGaps = c.all["short"].quantiles(), c.all["long_first"].quantiles(), c.all["long_gaps"].quantiles()
	f.Gaps, f.First, f.Latency = c.all["gaps"].quantiles(), c.all["first"].quantiles(), c.all["latency"].quantiles()
	f.CrestShort, f.AfterFirst = c.all["crest_short"].quantiles(), c.all["after_first"].quantiles()
	f.Refusals, f.SendLag = c.all["refusals"].quantiles(), c.all["send_lag"].quantiles()
	f.GoodputTokens = float64(c.tokens) / (c.shape.Duration - c.warmUp).Seconds()
	if c.shape.Crest > 0 {
		f.CrestGoodput = float64(c.crest) / c.shape.CrestFor.Seconds()
	}
	return f
}
