package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/load"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// loadFlags are the flags of a measurement.
type loadFlags struct {
	opts        load.Options
	deployment  string
	policy      string
	procs       int
	output      string
	report      string
	seed        uint64
	policies    []string
	deployments []string
	scenarios   []string
	seeds       int
	parallel    int
}

// measuredEngine is the embedded engine of measurements: a batch of sixteen
// mean sequences fills its memory.
func measuredEngine() standin.EngineOptions {
	e := standin.DefaultEngineOptions()
	e.Base, e.PerSequence = 12*time.Millisecond, 800*time.Microsecond
	e.Blocks, e.MaxBatch = 320, 32
	e.ReportLag = time.Second
	return e
}

func loadCommand() *cobra.Command {
	f := &loadFlags{}
	f.opts.Engine = measuredEngine()
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Measure a fleet under a deployment's load",
		Example: "  quetzalglade load --deployment pwani --load 0.9 --output run.json\n  quetzalglade load --url http://10.0.0.7:8080 --load 0.5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.deployments, f.policies, f.seeds, f.parallel = []string{f.deployment}, []string{f.policy}, 1, 1
			return f.compare(cmd)
		},
	}
	f.common(cmd)
	cmd.Flags().StringVar(&f.deployment, "deployment", "pedalia", "mix and sizes: pedalia or pwani")
	cmd.Flags().StringVar(&f.policy, "policy", string(decision.PolicyLeastWork), "routing policy of the embedded fleet")
	cmd.Flags().StringSliceVar(&f.opts.URLs, "url", nil, "entries of a running fleet; without it a fleet is started in this process")
	cmd.AddCommand(loadCompareCommand())
	return cmd
}

func loadCompareCommand() *cobra.Command {
	f := &loadFlags{}
	f.opts.Engine = measuredEngine()
	cmd := &cobra.Command{
		Use:     "compare",
		Short:   "Measure several routing policies in turn, with several seeds",
		Example: "  quetzalglade load compare --policies round_robin,least_work --seeds 3 --load 0.9 --report out",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.compare(cmd) },
	}
	f.common(cmd)
	cmd.Flags().StringSliceVar(&f.deployments, "deployments", []string{"pedalia", "pwani"}, "deployments to measure")
	cmd.Flags().StringSliceVar(&f.policies, "policies", policies(), "routing policies; -admission, -slow, -hedge, -retry or -link after a name switches that mechanism off, +told tells the lengths in advance")
	cmd.Flags().IntVar(&f.parallel, "parallel", 1, "runs at a time")
	cmd.Flags().IntVar(&f.seeds, "seeds", 3, "number of seeds, counted from --seed")
	return cmd
}

func (f *loadFlags) common(cmd *cobra.Command) {
	o, fl := &f.opts, cmd.Flags()
	fl.Float64Var(&o.Load, "load", 0.9, "offered load relative to the engines' capacity")
	fl.DurationVar(&o.Shape.Duration, "duration", 20*time.Second, "time in which requests arrive")
	fl.DurationVar(&o.WarmUp, "warm-up", 3*time.Second, "time at the start that is not counted")
	fl.DurationVar(&o.Drain, "drain", 25*time.Second, "longest wait for answers after the last arrival")
	fl.Float64Var(&o.Shape.Swing, "swing", 0.5, "amplitude of the swings of the arrival rate")
	fl.Float64Var(&o.Shape.Crest, "crest", 0, "factor of the arrival rate during the crest, 0 for none")
	fl.DurationVar(&o.Shape.CrestAt, "crest-at", 5*time.Second, "start of the crest")
	fl.DurationVar(&o.Shape.CrestFor, "crest-for", 10*time.Second, "length of the crest")
	fl.Float64Var(&o.SlowShare, "slow-share", 0, "part of the targets that are slowed in the middle third")
	fl.Float64Var(&o.SlowFactor, "slow-factor", 5, "how much slowed targets are slowed")
	fl.BoolVar(&o.WithoutLong, "without-long", false, "leave long generations out")
	fl.BoolVar(&o.Cut, "cut", false, "separate the regions in the middle third")
	fl.IntVar(&o.RetryAtOnce, "retry-at-once", 0, "how often callers repeat a refused request at once")
	fl.IntVar(&o.PlainSlots, "plain-slots", 4, "concurrent calls of a plain service")
	fl.DurationVar(&o.PlainDelay, "plain-delay", 30*time.Millisecond, "time of a plain call")
	fl.DurationVar(&o.Engine.Base, "engine-base", o.Engine.Base, "time of an engine's step without sequences")
	fl.DurationVar(&o.Engine.PerSequence, "engine-per-sequence", o.Engine.PerSequence, "time that each sequence adds to a step")
	fl.IntVar(&o.Engine.Blocks, "engine-blocks", o.Engine.Blocks, "blocks of an engine's memory")
	fl.IntVar(&o.Engine.MaxBatch, "engine-batch", o.Engine.MaxBatch, "largest batch of an engine")
	fl.DurationVar(&o.Engine.ReportLag, "engine-report-lag", o.Engine.ReportLag, "age of an engine's load report")
	fl.StringSliceVar(&f.scenarios, "scenarios", []string{"steady"}, scenarioHelp())
	fl.Uint64Var(&f.seed, "seed", 1, "first seed")
	fl.IntVar(&f.procs, "procs", 3, "cores that the measurement may use")
	fl.StringVar(&f.output, "output", "", "file for the result in JSON")
	fl.StringVar(&f.report, "report", "", "directory for a readable report with plots")
}

func policies() []string {
	var out []string
	for _, p := range decision.Policies() {
		out = append(out, string(p))
	}
	return out
}

func scenarioHelp() string {
	var b strings.Builder
	for i, s := range load.Scenarios() {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(s.Name + ": " + s.Help)
	}
	return b.String()
}

// variants are the runs to compare for a deployment in a scenario.
func (f *loadFlags) variants(deployment, scenario string) ([]load.Options, error) {
	d, ok := load.ByName(deployment)
	if !ok {
		return nil, errors.Newf("unknown deployment %q", deployment)
	}
	var out []load.Options
	for _, label := range f.policies {
		o := f.opts
		o.Deployment = d
		if err := load.Variant(label, &o); err != nil {
			return nil, err
		}
		if err := load.Apply(scenario, &o); err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

func (f *loadFlags) compare(cmd *cobra.Command) error {
	runtime.GOMAXPROCS(f.procs)
	seeds := make([]uint64, f.seeds)
	for i := range seeds {
		seeds[i] = f.seed + uint64(i)
	}
	var all []*load.Comparison
	for _, deployment := range f.deployments {
		for _, scenario := range f.scenarios {
			variants, err := f.variants(deployment, scenario)
			if err != nil {
				return err
			}
			c, err := load.Compare(cmd.Context(), scenario, variants, seeds, f.parallel, func(r *load.Run) { load.WriteLine(cmd.ErrOrStderr(), r) })
			if err != nil {
				return err
			}
			all = append(all, c)
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "## %s, %s, %d seeds\n\n%s\n", deployment, scenario, f.seeds, c.Table())
		}
	}
	return f.write(all)
}

func (f *loadFlags) write(all []*load.Comparison) error {
	if f.output != "" {
		if err := load.WriteJSON(f.output, all); err != nil {
			return err
		}
	}
	if f.report == "" {
		return nil
	}
	for _, c := range all {
		if err := load.WriteReport(filepath.Join(f.report, c.Deployment, c.Scenario), c); err != nil {
			return err
		}
	}
	return nil
}
