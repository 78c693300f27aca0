package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarise a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// histogram records durations in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

const (
	// histogramMax is the largest value of a histogram in microseconds.
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision of a histogram in significant decimal digits.
	histogramDigits = 3
	microsPerMilli  = 1000.0
)

func newHistogram() histogram {
	return histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// The value is clamped to the range of the histogram, so this cannot fail.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (h histogram) quantiles() Quantiles {
	valueAt := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / microsPerMilli }
	if h.h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: h.h.TotalCount(), P50: valueAt(50), P95: valueAt(95), P99: valueAt(99), Max: float64(h.h.Max()) / microsPerMilli}
}

// ClassFigures are the results of one class of requests from the callers' side.
type ClassFigures struct {
	Name     string `json:"name"`
	Kind     Kind   `json:"kind"`
	Offered  int    `json:"offered"`
	Complete int    `json:"complete"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// First is the time to the first token, or to the response of a plain call.
	First Quantiles `json:"first"`
	// Latency is the time to the end of a complete response.
	Latency Quantiles `json:"latency"`
	// Gaps are the times between token events, the inter-token latency that callers
	// see.
	Gaps Quantiles `json:"gaps"`
	// StallSeconds is the total time by which gaps over stallThreshold exceeded
	// gapTarget.
	StallSeconds float64 `json:"stall_s"`
}

// Figures are the results of one run.
type Figures struct {
	Classes []ClassFigures `json:"classes"`
	// Short is the time to the first token or response of all short work: short
	// generations and lookups.
	Short Quantiles `json:"short_wait"`
	// LongFirst and LongGaps are the times to the first token and the gaps of
	// long generations.
	LongFirst Quantiles `json:"long_first"`
	LongGaps  Quantiles `json:"long_gaps"`
	// Gaps and First cover all generations, Latency all complete requests.
	Gaps    Quantiles `json:"gaps"`
	First   Quantiles `json:"first"`
	Latency Quantiles `json:"latency"`
	// StallSeconds is the sum of StallSeconds over all classes.
	StallSeconds float64 `json:"stall_s"`
	// GoodputTokensPerSecond is the rate of output tokens of complete responses, in
	// tokens per second, between the end of the warm-up and the end of the arrivals.
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_s"`
	// PeakGoodputTokensPerSecond is the same rate during the peak load.
	PeakGoodputTokensPerSecond float64 `json:"crest_goodput_tokens_per_s,omitempty"`
	// PeakShort is Short for requests that arrived during the peak load.
	PeakShort Quantiles `json:"crest_short_wait"`
	// FirstAfterPeak is the time to the first token, or to the response of a plain
	// call, of requests that arrived at least recoveryTime after the peak load.
	FirstAfterPeak Quantiles `json:"after_crest_first"`
	// Refusals are the values of Outcome.RefusalLatency of the requests that ended with
	// a refusal.
	Refusals Quantiles `json:"refusals"`
	// SendLag is how late requests were sent after their scheduled arrival. It grows
	// if the machine that runs the load tool is overloaded.
	SendLag          Quantiles `json:"send_lag"`
	Retries          int       `json:"retries"`
	Offered          int       `json:"offered"`
	Complete         int       `json:"complete"`
	Refused          int       `json:"refused"`
	Failed           int       `json:"failed"`
	Preemptions      int64     `json:"preemptions"`
	RecomputedTokens int64     `json:"recomputed_tokens"`
	// Cancelled is the number of generations that engines cancelled on request.
	Cancelled int `json:"cancelled"`
	// LookupsRun is the number of lookups that plain services ran. Hedging and retries
	// make it exceed the number of complete lookups.
	LookupsRun int `json:"lookups_run"`
	// CrossRegionBytes is the number of bytes sent between regions by direction.
	CrossRegionBytes map[string]int64 `json:"cross_region_bytes"`
	// Failures is the number of failed requests by the name of their result code or, if
	// they have none, by Outcome.Failure.
	Failures map[string]int `json:"faults,omitempty"`
	// TokensBySecond is the number of tokens that callers received in each second of
	// the run; the index is the second.
	TokensBySecond []int `json:"tokens_by_second"`
}

const (
	// gapTarget is the intended inter-token latency. Of a gap that counts as a stall,
	// the time beyond gapTarget is added to StallSeconds.
	gapTarget = 50 * time.Millisecond
	// stallThreshold is the length above which a gap counts as a stall.
	stallThreshold = 200 * time.Millisecond
	// recoveryTime is the time after the end of the peak load within which a fleet
	// should have recovered.
	recoveryTime = 5 * time.Second
)

// collector aggregates outcomes into figures. It is not safe for concurrent use.
type collector struct {
	figures       Figures
	shape         Shape
	warmUp        time.Duration
	classes       map[*Class]*classHistograms
	histograms    map[string]histogram
	goodputTokens int
	peakTokens    int
}

type classHistograms struct {
	figures              *ClassFigures
	first, latency, gaps histogram
}

func newCollector(d *Deployment, shape Shape, warmUp time.Duration) *collector {
	c := &collector{shape: shape, warmUp: warmUp, classes: map[*Class]*classHistograms{}, histograms: map[string]histogram{}}
	c.figures.Failures = map[string]int{}
	c.figures.Classes = make([]ClassFigures, len(d.Classes))
	for i := range d.Classes {
		f := &c.figures.Classes[i]
		f.Name, f.Kind = d.Classes[i].Name, d.Classes[i].Kind
		c.classes[&d.Classes[i]] = &classHistograms{figures: f, first: newHistogram(), latency: newHistogram(), gaps: newHistogram()}
	}
	for _, name := range []string{"short", "long_first", "long_gaps", "gaps", "first", "latency", "crest_short", "after_first", "refusals", "send_lag"} {
		c.histograms[name] = newHistogram()
	}
	return c
}

// add adds one outcome. Requests that arrive in the warm-up are left out, except for
// TokensBySecond and, for tokens received after the warm-up, the goodput.
func (c *collector) add(o *Outcome) {
	c.countTokens(o)
	if o.Arrival.At < c.warmUp {
		return
	}
	h := c.classes[o.Arrival.Class]
	h.figures.Offered++
	c.figures.Retries += o.Retries
	c.histograms["send_lag"].add(o.SendLag)
	switch {
	case o.Complete:
		h.figures.Complete++
	case o.Refused:
		h.figures.Refused++
		c.histograms["refusals"].add(o.RefusalLatency)
	default:
		h.figures.Failed++
		c.figures.Failures[o.failureKind()]++
	}
	if o.First > 0 {
		c.addFirst(o, h)
	}
	if o.Complete {
		h.latency.add(o.Latency)
		c.histograms["latency"].add(o.Latency)
	}
	for _, gap := range o.Gaps {
		c.addGap(o, h, gap)
	}
}

func (o *Outcome) failureKind() string {
	if o.Code != 0 {
		return o.Code.Name()
	}
	return o.Failure
}

// addFirst adds the time to the first token, or to the response of a plain call, to
// the histograms.
func (c *collector) addFirst(o *Outcome, h *classHistograms) {
	h.first.add(o.First)
	kind := o.Arrival.Class.Kind
	if kind == KindLong || kind == KindShort {
		c.histograms["first"].add(o.First)
	}
	if kind == KindLong {
		c.histograms["long_first"].add(o.First)
	}
	short := kind == KindShort || kind == KindLookup
	if short {
		c.histograms["short"].add(o.First)
	}
	if c.shape.PeakFactor == 0 {
		return
	}
	peakEnd := c.shape.PeakStart + c.shape.PeakDuration
	if short && o.Arrival.At >= c.shape.PeakStart && o.Arrival.At < peakEnd {
		c.histograms["crest_short"].add(o.First)
	}
	if o.Arrival.At >= peakEnd+recoveryTime {
		c.histograms["after_first"].add(o.First)
	}
}

func (c *collector) addGap(o *Outcome, h *classHistograms, gap time.Duration) {
	h.gaps.add(gap)
	c.histograms["gaps"].add(gap)
	if o.Arrival.Class.Kind == KindLong {
		c.histograms["long_gaps"].add(gap)
	}
	if gap > stallThreshold {
		h.figures.StallSeconds += (gap - gapTarget).Seconds()
	}
}

// countTokens adds the tokens of an outcome to TokensBySecond and, if the outcome is
// complete, to the goodput.
func (c *collector) countTokens(o *Outcome) {
	for _, e := range o.Events {
		second := int(e.at / time.Second)
		for len(c.figures.TokensBySecond) <= second {
			c.figures.TokensBySecond = append(c.figures.TokensBySecond, 0)
		}
		c.figures.TokensBySecond[second] += e.tokens
		if !o.Complete {
			continue
		}
		if e.at >= c.warmUp && e.at < c.shape.Duration {
			c.goodputTokens += e.tokens
		}
		if c.shape.PeakFactor > 0 && e.at >= c.shape.PeakStart && e.at < c.shape.PeakStart+c.shape.PeakDuration {
			c.peakTokens += e.tokens
		}
	}
}

// result returns the figures of the added outcomes.
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
	f.Short, f.LongFirst, f.LongGaps = c.histograms["short"].quantiles(), c.histograms["long_first"].quantiles(), c.histograms["long_gaps"].quantiles()
	f.Gaps, f.First, f.Latency = c.histograms["gaps"].quantiles(), c.histograms["first"].quantiles(), c.histograms["latency"].quantiles()
	f.PeakShort, f.FirstAfterPeak = c.histograms["crest_short"].quantiles(), c.histograms["after_first"].quantiles()
	f.Refusals, f.SendLag = c.histograms["refusals"].quantiles(), c.histograms["send_lag"].quantiles()
	f.GoodputTokensPerSecond = float64(c.goodputTokens) / (c.shape.Duration - c.warmUp).Seconds()
	if c.shape.PeakFactor > 0 {
		f.PeakGoodputTokensPerSecond = float64(c.peakTokens) / c.shape.PeakDuration.Seconds()
	}
	return f
}
