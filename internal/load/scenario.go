package load

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Scenario changes the options of a run to simulate one situation, for example peak
// load or slow targets.
type Scenario struct {
	Name  string
	Help  string
	apply func(*Options)
}

// Parameters of the scenarios. Loads are fractions of the capacity. slowShare is the
// fraction of the targets whose work takes slowFactor times as long. peakFactor is
// relative to peakBaseLoad, so that the load during the peak is twice the capacity;
// peakStart counts from the start of the run.
const (
	slowLoad        = 0.6
	slowShare       = 0.25
	slowFactor      = 5
	peakBaseLoad    = 0.7
	peakFactor      = 2 / peakBaseLoad
	peakStart       = 4 * time.Second
	peakDuration    = 10 * time.Second
	peakRunDuration = 24 * time.Second
	partitionLoad   = 0.6
	// unlimited is a queue limit that is never reached. It simulates targets without
	// admission control, as behind an ordinary load balancer.
	unlimited = 1 << 16
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", "swinging load as given by --load", func(*Options) {}},
		{"alone", "the short work of steady without the long", func(o *Options) { o.WithoutLong = true }},
		{"crest", "2 times the capacity for 10 s", func(o *Options) {
			o.Load = peakBaseLoad
			o.Shape.PeakFactor, o.Shape.PeakStart, o.Shape.PeakDuration, o.Shape.Duration = peakFactor, peakStart, peakDuration, peakRunDuration
		}},
		{"retry", "the crest with callers that repeat a refused request at once, 5 times", func(o *Options) {
			o.Load, o.ImmediateRetries = peakBaseLoad, 5
			o.Shape.PeakFactor, o.Shape.PeakStart, o.Shape.PeakDuration, o.Shape.Duration = peakFactor, peakStart, peakDuration, peakRunDuration
		}},
		{"even", "load 0.6 without disturbance, to compare slow and cut with", func(o *Options) { o.Load = slowLoad }},
		{"slow", "load 0.6, a quarter of the targets 5 times slower in the middle third", func(o *Options) {
			o.Load, o.SlowShare, o.SlowFactor = slowLoad, slowShare, slowFactor
		}},
		{"cut", "load 0.6, the regions separated in the middle third", func(o *Options) { o.Load, o.Partition = partitionLoad, true }},
	}
}

// ApplyScenario changes the options as the named scenario requires.
func ApplyScenario(name string, o *Options) error {
	for _, s := range Scenarios() {
		if s.Name == name {
			s.apply(o)
			return nil
		}
	}
	return errors.Newf("unknown scenario %q", name)
}

// knownLengthsSuffix marks a variant whose agents know every output length in
// advance.
const knownLengthsSuffix = "+told"

// ApplyVariant sets the options of the variant that label describes: a routing policy,
// the mechanisms that are disabled, and whether agents know every output length
// in advance. Examples are "late_binding-hedge-slow" and "least_work+told".
func ApplyVariant(label string, o *Options) error {
	name, knowLengths := strings.CutSuffix(label, knownLengthsSuffix)
	policy, disabled, _ := strings.Cut(name, "-")
	o.Label, o.Policy = label, decision.Policy(policy)
	if !slices.Contains(decision.Policies(), o.Policy) {
		return errors.Newf("unknown policy %q", policy)
	}
	var mechanisms entry.DisabledMechanisms
	admission := true
	for _, name := range strings.FieldsFunc(disabled, func(r rune) bool { return r == '-' }) {
		switch name {
		case "admission":
			admission = false
		case "slow":
			mechanisms.SlowDetection = true
		case "hedge":
			mechanisms.Hedging = true
		case "retry":
			mechanisms.RetryBudget = true
		case "link":
			mechanisms.LinkBudget = true
		default:
			return errors.Newf("unknown mechanism %q", name)
		}
	}
	o.AdjustFleet = func(d *demo.Options) {
		if !admission {
			d.EngineLimits = decision.QueueLimits{Slots: unlimited, MaxWaiting: unlimited}
			d.PlainLimits = decision.QueueLimits{Slots: d.PlainLimits.Slots, MaxWaiting: unlimited}
		}
		if knowLengths {
			d.AdjustAgent = func(a *agent.Options) { a.OutputTokens = standin.MarkedLength }
		}
		d.AdjustEntry = func(e *entry.Options) { e.Disabled = mechanisms }
	}
	return nil
}
