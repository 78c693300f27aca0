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

// output selects the form of an answer.
type output string

const (
	outputText output = "text"
	outputJSON output = "json"
)

func (o *output) flag(cmd *cobra.Command) {
	cmd.Flags().StringVar((*string)(o), "output", string(outputText), "text or json")
}

func (o *output) check() error {
	if *o != outputText && *o != outputJSON {
		return errors.Newf("--output %q is neither text nor json", string(*o))
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func statusCommand(c *connection) *cobra.Command {
	var form output
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the fleet: targets, load, models and configuration versions",
		Example: "  quetzalglade status --settings ops.ini\n  quetzalglade status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := form.check(); err != nil {
				return err
			}
			fleet, err := c.openFleet()
			if err != nil {
				return err
			}
			status, err := fleet.Status(cmd.Context(), time.Now())
			if err != nil {
				return errors.Wrap(err, "the VM list did not answer")
			}
			if form == outputJSON {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printStatus(cmd.OutOrStdout(), status, c.storeHealth(cmd.Context()))
		},
	}
	form.flag(cmd)
	return cmd
}

func drainCommand(c *connection, on bool) *cobra.Command {
	name, short := "undrain", "Let targets take new work again"
	if on {
		name, short = "drain", "Let targets finish their work and take no new work"
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
				if err := fleet.Drain(cmd.Context(), vm, on); err != nil {
					return errors.Wrapf(err, "%s %s", name, vm)
				}
				cmd.Printf("%s: %s\n", vm, name)
			}
			return nil
		},
	}
}

func explainCommand(c *connection) *cobra.Command {
	var form output
	var target string
	var placement bool
	cmd := &cobra.Command{
		Use:   "explain [REQUEST-ID]",
		Short: "Tell the story of a request, a target or the placement",
		Long: `Collect what the fleet's processes remember: each routing and admission decision
with what was known of the candidates, refusals, waits, retries, resumes and the
outcome. The memory is bounded; parts of the fleet that do not answer are named.`,
		Example: "  quetzalglade explain req-5f0c\n  quetzalglade explain --target model-3\n  quetzalglade explain --placement",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := form.check(); err != nil {
				return err
			}
			q, err := query(args, target, placement)
			if err != nil {
				return err
			}
			return explain(cmd, c, q, form)
		},
	}
	form.flag(cmd)
	cmd.Flags().StringVar(&target, "target", "", "decisions that concern this VM")
	cmd.Flags().BoolVar(&placement, "placement", false, "decisions on where models are loaded")
	return cmd
}

func query(args []string, target string, placement bool) (peer.DecisionQuery, error) {
	q := peer.DecisionQuery{Target: target}
	if len(args) == 1 {
		q.ID = args[0]
	}
	if placement {
		q.Kind = telemetry.KindPlacement
	}
	if q == (peer.DecisionQuery{}) {
		return q, errors.New("give a request id, --target VM or --placement")
	}
	return q, nil
}

func explain(cmd *cobra.Command, c *connection, q peer.DecisionQuery, form output) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	story, err := fleet.Explain(cmd.Context(), q)
	if err != nil {
		return errors.Wrap(err, "the VM list did not answer")
	}
	if form == outputJSON {
		return printJSON(cmd.OutOrStdout(), story)
	}
	if err := printStory(cmd.OutOrStdout(), story); err != nil {
		return err
	}
	if len(story.Steps) == 0 {
		return command.WithExit(errors.New("no process remembers it; the logs may"), command.ExitNotFound)
	}
	return nil
}
