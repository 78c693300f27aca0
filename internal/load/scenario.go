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

// Scenario changes the options of a run to bring one situation about.
type Scenario struct {
	Name  string
	Help  string
	apply func(*Options)
}

// Loads and factors of the scenarios.
const (
	slowedLoad    = 0.6
	slowedShare   = 0.25
	slowedFactor  = 5
	crestBase     = 0.7
	crestFactor   = 2 / crestBase
	crestAt       = 4 * time.Second
	crestFor      = 10 * time.Second
	crestDuration = 24 * time.Second
	cutLoad       = 0.6
	// unlimited stands for the bounds of a target behind a plain balancer.
	unlimited = 1 << 16
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", "swinging load as given by --load", func(*Options) {}},
		{"alone", "the short work of steady without the long", func(o *Options) { o.WithoutLong = true }},
		{"crest", "2 times the capacity for 10 s", func(o *Options) {
			o.Load = crestBase
			o.Shape.Crest, o.Shape.CrestAt, o.Shape.CrestFor, o.Shape.Duration = crestFactor, crestAt, crestFor, crestDuration
		}},
		{"retry", "the crest with callers that repeat a refused request at once, 5 times", func(o *Options) {
			o.Load, o.RetryAtOnce = crestBase, 5
			o.Shape.Crest, o.Shape.CrestAt, o.Shape.CrestFor, o.Shape.Duration = crestFactor, crestAt, crestFor, crestDuration
		}},
		{"even", "load 0.6 without disturbance, to compare slow and cut with", func(o *Options) { o.Load = slowedLoad }},
		{"slow", "load 0.6, a quarter of the targets 5 times slower in the middle third", func(o *Options) {
			o.Load, o.SlowShare, o.SlowFactor = slowedLoad, slowedShare, slowedFactor
		}},
		{"cut", "load 0.6, the regions separated in the middle third", func(o *Options) { o.Load, o.Cut = cutLoad, true }},
	}
}

// Apply sets the options of the named scenario.
func Apply(name string, o *Options) error {
	for _, s := range Scenarios() {
		if s.Name == name {
			s.apply(o)
			return nil
		}
	}
	return errors.Newf("unknown scenario %q", name)
}

// toldSuffix marks a variant whose agents are told every length in advance.
const toldSuffix = "+told"

// Variant sets the options of a policy, which may carry the mechanisms that are
// switched off, "late_binding-hedge-slow", or be told every length in advance,
// "least_work+told".
func Variant(label string, o *Options) error {
	name, told := strings.CutSuffix(label, toldSuffix)
	policy, off, _ := strings.Cut(name, "-")
	o.Label, o.Policy = label, decision.Policy(policy)
	if !slices.Contains(decision.Policies(), o.Policy) {
		return errors.Newf("unknown policy %q", policy)
	}
	var m entry.Mechanisms
	admission := true
	for _, name := range strings.FieldsFunc(off, func(r rune) bool { return r == '-' }) {
		switch name {
		case "admission":
			admission = false
		case "slow":
			m.Slow = true
		case "hedge":
			m.Hedge = true
		case "retry":
			m.RetryBudget = true
		case "link":
			m.Link = true
		default:
			return errors.Newf("unknown mechanism %q", name)
		}
	}
	o.Adjust = func(d *demo.Options) {
		if !admission {
			d.EngineLimits = decision.QueueLimits{Slots: unlimited, Length: unlimited}
			d.PlainLimits = decision.QueueLimits{Slots: d.PlainLimits.Slots, Length: unlimited}
		}
		if told {
			d.AdjustAgent = func(a *agent.Options) { a.Lengths = standin.MarkedLength }
		}
		d.AdjustEntry = func(e *entry.Options) { e.Off = m }
	}
	return nil
}
