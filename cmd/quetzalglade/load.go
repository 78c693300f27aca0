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

// loadFlags are the flags of load and load compare.
type loadFlags struct {
	opts        load.Options
	deployment  string
	policy      string
	procs       int
	outputFile  string
	reportDir   string
	firstSeed   uint64
	policies    []string
	deployments []string
	scenarios   []string
	seedCount   int
	parallel    int
}

// engineOptions returns the defaults of the embedded engines. The KV cache, not
// MaxBatch, limits the batch: by load.CapacityOf it holds a mean of 21 sequences of
// the pedalia mix and 23 of the pwani mix.
func engineOptions() standin.EngineOptions {
	opts := standin.DefaultEngineOptions()
	opts.StepBase, opts.StepPerSequence = 12*time.Millisecond, 800*time.Microsecond
	opts.Blocks, opts.MaxBatch = 320, 32
	opts.ReportLag = time.Second
	return opts
}

func loadCommand() *cobra.Command {
	f := &loadFlags{}
	f.opts.Engine = engineOptions()
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Measure a fleet under a deployment's load",
		Example: "  quetzalglade load --deployment pwani --load 0.9 --output run.json\n  quetzalglade load --url http://10.0.0.7:8080 --load 0.5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.deployments, f.policies, f.seedCount, f.parallel = []string{f.deployment}, []string{f.policy}, 1, 1
			return f.run(cmd)
		},
	}
	f.addCommonFlags(cmd)
	cmd.Flags().StringVar(&f.deployment, "deployment", "pedalia", "request mix and fleet size: pedalia or pwani")
	cmd.Flags().StringVar(&f.policy, "policy", string(decision.PolicyLeastWork), "routing policy of the embedded fleet")
	cmd.Flags().StringSliceVar(&f.opts.URLs, "url", nil, "entries of a running fleet; if not set, a fleet is started in this process")
	cmd.AddCommand(loadCompareCommand())
	return cmd
}

func loadCompareCommand() *cobra.Command {
	f := &loadFlags{}
	f.opts.Engine = engineOptions()
	cmd := &cobra.Command{
		Use:     "compare",
		Short:   "Measure several routing policies with several seeds",
		Example: "  quetzalglade load compare --policies round_robin,least_work --seeds 3 --load 0.9 --report out",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.addCommonFlags(cmd)
	cmd.Flags().StringSliceVar(&f.deployments, "deployments", []string{"pedalia", "pwani"}, "deployments to measure")
	cmd.Flags().StringSliceVar(&f.policies, "policies", policyNames(), "routing policies; the suffix -admission, -slow, -hedge, -retry or -link switches that mechanism off, +told gives agents the output lengths in advance")
	cmd.Flags().IntVar(&f.parallel, "parallel", 1, "number of concurrent runs")
	cmd.Flags().IntVar(&f.seedCount, "seeds", 3, "number of seeds, counted from --seed")
	return cmd
}

func (f *loadFlags) addCommonFlags(cmd *cobra.Command) {
	opts, flags := &f.opts, cmd.Flags()
	flags.Float64Var(&opts.Load, "load", 0.9, "offered load relative to the engines' capacity")
	flags.DurationVar(&opts.Shape.Duration, "duration", 20*time.Second, "time during which requests arrive")
	flags.DurationVar(&opts.WarmUp, "warm-up", 3*time.Second, "initial time that the results leave out")
	flags.DurationVar(&opts.DrainTimeout, "drain", 25*time.Second, "maximum wait for answers after the last arrival")
	flags.Float64Var(&opts.Shape.RateDeviation, "swing", 0.5, "amplitude of the random variation of the arrival rate, relative to its mean")
	flags.Float64Var(&opts.Shape.PeakFactor, "crest", 0, "factor of the arrival rate during peak load, 0 for no peak")
	flags.DurationVar(&opts.Shape.PeakStart, "crest-at", 5*time.Second, "start of the peak load")
	flags.DurationVar(&opts.Shape.PeakDuration, "crest-for", 10*time.Second, "duration of the peak load")
	flags.Float64Var(&opts.SlowShare, "slow-share", 0, "share of the targets that are slowed down in the middle third of the run")
	flags.Float64Var(&opts.SlowFactor, "slow-factor", 5, "factor by which these targets are slowed down")
	flags.BoolVar(&opts.WithoutLong, "without-long", false, "leave out long generations")
	flags.BoolVar(&opts.Partition, "cut", false, "disconnect the regions in the middle third of the run")
	flags.IntVar(&opts.ImmediateRetries, "retry-at-once", 0, "number of immediate retries of a refused request by its caller")
	flags.IntVar(&opts.PlainSlots, "plain-slots", 4, "number of concurrent calls that a plain service serves")
	flags.DurationVar(&opts.PlainDelay, "plain-delay", 30*time.Millisecond, "duration of a call to a plain service")
	flags.DurationVar(&opts.Engine.StepBase, "engine-base", opts.Engine.StepBase, "duration of an engine's step without sequences")
	flags.DurationVar(&opts.Engine.StepPerSequence, "engine-per-sequence", opts.Engine.StepPerSequence, "time that each sequence adds to a step")
	flags.IntVar(&opts.Engine.Blocks, "engine-blocks", opts.Engine.Blocks, "number of blocks in an engine's KV cache")
	flags.IntVar(&opts.Engine.MaxBatch, "engine-batch", opts.Engine.MaxBatch, "maximum batch size of an engine")
	flags.DurationVar(&opts.Engine.ReportLag, "engine-report-lag", opts.Engine.ReportLag, "age of an engine's load report")
	flags.StringSliceVar(&f.scenarios, "scenarios", []string{"steady"}, scenarioHelp())
	flags.Uint64Var(&f.firstSeed, "seed", 1, "first seed")
	flags.IntVar(&f.procs, "procs", 3, "number of CPU cores to use")
	flags.StringVar(&f.outputFile, "output", "", "file for the results in JSON")
	flags.StringVar(&f.reportDir, "report", "", "directory for a Markdown report with plots")
}

func policyNames() []string {
	var names []string
	for _, p := range decision.Policies() {
		names = append(names, string(p))
	}
	return names
}

// scenarioHelp returns the help text of --scenarios.
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

// variants returns the options of each policy for a deployment and scenario.
func (f *loadFlags) variants(deployment, scenario string) ([]load.Options, error) {
	profile, ok := load.DeploymentByName(deployment)
	if !ok {
		return nil, errors.Newf("unknown deployment %q", deployment)
	}
	var variants []load.Options
	for _, label := range f.policies {
		opts := f.opts
		opts.Deployment = profile
		if err := load.ApplyVariant(label, &opts); err != nil {
			return nil, err
		}
		if err := load.ApplyScenario(scenario, &opts); err != nil {
			return nil, err
		}
		variants = append(variants, opts)
	}
	return variants, nil
}

// run measures all policies in each combination of deployment and scenario and
// prints a table for each combination.
func (f *loadFlags) run(cmd *cobra.Command) error {
	runtime.GOMAXPROCS(f.procs)
	seeds := make([]uint64, f.seedCount)
	for i := range seeds {
		seeds[i] = f.firstSeed + uint64(i)
	}
	var comparisons []*load.Comparison
	for _, deployment := range f.deployments {
		for _, scenario := range f.scenarios {
			variants, err := f.variants(deployment, scenario)
			if err != nil {
				return err
			}
			comparison, err := load.Compare(cmd.Context(), scenario, variants, seeds, f.parallel, func(r *load.Run) { load.WriteLine(cmd.ErrOrStderr(), r) })
			if err != nil {
				return err
			}
			comparisons = append(comparisons, comparison)
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "## %s, %s, %d seeds\n\n%s\n", deployment, scenario, f.seedCount, comparison.Table())
		}
	}
	return f.writeResults(comparisons)
}

func (f *loadFlags) writeResults(comparisons []*load.Comparison) error {
	if f.outputFile != "" {
		if err := load.WriteJSON(f.outputFile, comparisons); err != nil {
			return err
		}
	}
	if f.reportDir == "" {
		return nil
	}
	for _, comparison := range comparisons {
		if err := load.WriteReport(filepath.Join(f.reportDir, comparison.Deployment, comparison.Scenario), comparison); err != nil {
			return err
		}
	}
	return nil
}
