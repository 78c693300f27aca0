package load

import (
	"context"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Comparison holds the runs of several variants. For each seed the variants run one
// after another, so that changing load of the machine affects all of them.
type Comparison struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Runs       []*Run `json:"runs"`
	// Summaries has one summary for each variant.
	Summaries []Summary `json:"summaries"`
}

// Spread is the median, minimum and maximum of a figure over the seeds of a variant.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Summary holds the figures of one variant over all seeds.
type Summary struct {
	Label   string            `json:"label"`
	Figures map[string]Spread `json:"figures"`
}

// metric is a figure of a run that is part of summaries.
type metric struct {
	name  string
	value func(*Run) float64
}

// metrics are the figures of summaries, in the order of the rows in reports.
var metrics = []metric{
	{"stall s", func(r *Run) float64 { return r.Figures.StallSeconds }},
	{"preemptions", func(r *Run) float64 { return float64(r.Figures.Preemptions) }},
	{"gap p95 ms", func(r *Run) float64 { return r.Figures.Gaps.P95 }},
	{"gap p99 ms", func(r *Run) float64 { return r.Figures.Gaps.P99 }},
	{"first p95 ms", func(r *Run) float64 { return r.Figures.First.P95 }},
	{"first p99 ms", func(r *Run) float64 { return r.Figures.First.P99 }},
	{"short wait p50 ms", func(r *Run) float64 { return r.Figures.Short.P50 }},
	{"short wait p99 ms", func(r *Run) float64 { return r.Figures.Short.P99 }},
	{"latency p99 ms", func(r *Run) float64 { return r.Figures.Latency.P99 }},
	{"goodput tok/s", func(r *Run) float64 { return r.Figures.GoodputTokensPerSecond }},
	{"goodput / capacity", func(r *Run) float64 { return r.Figures.GoodputTokensPerSecond / r.Capacity.TokensPerSecond }},
	{"crest goodput / capacity", func(r *Run) float64 { return r.Figures.PeakGoodputTokensPerSecond / r.Capacity.TokensPerSecond }},
	{"crest short p99 ms", func(r *Run) float64 { return r.Figures.PeakShort.P99 }},
	{"first p95 after crest ms", func(r *Run) float64 { return r.Figures.FirstAfterPeak.P95 }},
	{"refused", func(r *Run) float64 { return float64(r.Figures.Refused) }},
	{"refusal max ms", func(r *Run) float64 { return r.Figures.Refusals.Max }},
	{"failed", func(r *Run) float64 { return float64(r.Figures.Failed) }},
	{"cross-region kB", func(r *Run) float64 { return r.crossRegionBytes() / 1000 }},
	{"send lag p99 ms", func(r *Run) float64 { return r.Figures.SendLag.P99 }},
}

func (r *Run) crossRegionBytes() float64 {
	total := 0.0
	for _, n := range r.Figures.CrossRegionBytes {
		total += float64(n)
	}
	return total
}

// Compare starts the runs of all variants for the first seed, then for the next, at
// most parallel runs at a time. It calls report after each run.
func Compare(ctx context.Context, scenario string, variants []Options, seeds []uint64, parallel int, report func(*Run)) (*Comparison, error) {
	if len(variants) == 0 {
		return nil, errors.New("nothing to compare")
	}
	c := &Comparison{Deployment: variants[0].Deployment.Name, Scenario: scenario, Runs: make([]*Run, len(seeds)*len(variants))}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	var mu sync.Mutex
	for i := range c.Runs {
		v := variants[i%len(variants)]
		v.Seed = seeds[i/len(variants)]
		group.Go(func() error {
			run, err := Do(ctx, v)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			c.Runs[i] = run
			report(run)
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	c.summarise()
	return c, nil
}

func (c *Comparison) summarise() {
	byLabel := map[string][]*Run{}
	var labels []string
	for _, r := range c.Runs {
		if byLabel[r.Label] == nil {
			labels = append(labels, r.Label)
		}
		byLabel[r.Label] = append(byLabel[r.Label], r)
	}
	for _, label := range labels {
		s := Summary{Label: label, Figures: map[string]Spread{}}
		for _, m := range metrics {
			s.Figures[m.name] = spread(byLabel[label], m.value)
		}
		c.Summaries = append(c.Summaries, s)
	}
}

func spread(runs []*Run, value func(*Run) float64) Spread {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	sort.Float64s(values)
	n := len(values)
	return Spread{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}
