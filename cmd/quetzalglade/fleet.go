package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// outputFormat is the format of a command's output.
type outputFormat string

const (
	formatText outputFormat = "text"
	formatJSON outputFormat = "json"
)

func (f *outputFormat) addFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar((*string)(f), "output", string(formatText), "output format: text or json")
}

func (f *outputFormat) validate() error {
	if *f != formatText && *f != formatJSON {
		return errors.Newf("invalid --output %q: must be text or json", string(*f))
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func statusCommand(c *clientOptions) *cobra.Command {
	var format outputFormat
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the fleet: targets, load, models and configuration versions",
		Example: "  quetzalglade status --settings ops.ini\n  quetzalglade status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.validate(); err != nil {
				return err
			}
			fleet, err := c.openFleet()
			if err != nil {
				return err
			}
			status, err := fleet.Status(cmd.Context(), time.Now())
			if err != nil {
				return errors.Wrap(err, "list the VMs of the fleet")
			}
			if format == formatJSON {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printStatus(cmd.OutOrStdout(), status, c.storeHealth(cmd.Context()))
		},
	}
	format.addFlag(cmd)
	return cmd
}

// drainCommand returns the drain command, or the undrain command if on is false.
func drainCommand(c *clientOptions, on bool) *cobra.Command {
	name, short := "undrain", "Let targets accept new work again"
	if on {
		name, short = "drain", "Let targets finish their work and accept no new work"
	}
	return &cobra.Command{
		Use:     name + " VM...",
		Short:   short,
		Example: "  quetzalglade " + name + " model-3",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet, err := c.openFleet()
			if err != nil {
				return err
			}
			for _, vm := range args {
				if err := fleet.SetDraining(cmd.Context(), vm, on); err != nil {
					return errors.Wrapf(err, "%s %s", name, vm)
				}
				cmd.Printf("%s: %s\n", vm, name)
			}
			return nil
		},
	}
}

func explainCommand(c *clientOptions) *cobra.Command {
	var format outputFormat
	var target string
	var placement bool
	cmd := &cobra.Command{
		Use:   "explain [REQUEST-ID]",
		Short: "Show the decisions about a request, a target or the placement of models",
		Long: `Collect the decision records of the fleet's processes: each routing and admission
decision with the state of its candidates, refusals, waits, retries, resumes and
the outcome. Each process keeps only its most recent records. VMs whose process
does not answer are listed.`,
		Example: "  quetzalglade explain req-5f0c\n  quetzalglade explain --target model-3\n  quetzalglade explain --placement",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := format.validate(); err != nil {
				return err
			}
			q, err := decisionQuery(args, target, placement)
			if err != nil {
				return err
			}
			return runExplain(cmd, c, q, format)
		},
	}
	format.addFlag(cmd)
	cmd.Flags().StringVar(&target, "target", "", "show the decisions about this VM")
	cmd.Flags().BoolVar(&placement, "placement", false, "show the decisions about the placement of models")
	return cmd
}

// decisionQuery returns the query for explain's argument and flags.
func decisionQuery(args []string, target string, placement bool) (peer.DecisionQuery, error) {
	q := peer.DecisionQuery{Target: target}
	if len(args) == 1 {
		q.ID = args[0]
	}
	if placement {
		q.Kind = telemetry.KindPlacement
	}
	if q == (peer.DecisionQuery{}) {
		return q, errors.New("nothing to explain: give a request ID, --target VM or --placement")
	}
	return q, nil
}

// runExplain prints the decision records that match q.
func runExplain(cmd *cobra.Command, c *clientOptions, q peer.DecisionQuery, format outputFormat) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	explanation, err := fleet.Explain(cmd.Context(), q)
	if err != nil {
		return errors.Wrap(err, "list the VMs of the fleet")
	}
	if format == formatJSON {
		return printJSON(cmd.OutOrStdout(), explanation)
	}
	if err := printExplanation(cmd.OutOrStdout(), explanation); err != nil {
		return err
	}
	if len(explanation.Decisions) == 0 {
		return command.WithExit(errors.New("no process has a matching decision record; search the logs"), command.ExitNotFound)
	}
	return nil
}
