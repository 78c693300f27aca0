package main

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/quarantine"
)

func quarantineCommand(c *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List and lift quarantined contents",
		Long: `Contents that stopped two engines are refused with result code 2005 until the
mark expires or is lifted. Contents are named by fingerprint, never shown.`,
	}
	cmd.AddCommand(quarantineListCommand(c), quarantineLiftCommand(c))
	return cmd
}

func quarantineListCommand(c *connection) *cobra.Command {
	var form output
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the contents under suspicion or in quarantine",
		Example: "  quetzalglade quarantine list --settings ops.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := form.check(); err != nil {
				return err
			}
			store, err := c.openStore()
			if err != nil {
				return err
			}
			now := time.Now()
			marks, err := quarantine.List(cmd.Context(), store, now)
			if err != nil {
				return errors.Wrap(err, "the store did not answer")
			}
			if form == outputJSON {
				return printJSON(cmd.OutOrStdout(), marks)
			}
			return printMarks(cmd.OutOrStdout(), marks, now)
		},
	}
	form.flag(cmd)
	return cmd
}

func quarantineLiftCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:     "lift FINGERPRINT...",
		Short:   "Let contents run again",
		Example: "  quetzalglade quarantine lift 9f86d081884c7d65",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			store, err := c.openStore()
			if err != nil {
				return err
			}
			for _, fingerprint := range args {
				if err := quarantine.Lift(cmd.Context(), store, fingerprint, time.Now()); err != nil {
					return errors.Wrapf(err, "lift %s", fingerprint)
				}
				cmd.Printf("%s: lifted\n", fingerprint)
			}
			return nil
		},
	}
}

func printMarks(w io.Writer, marks []quarantine.Mark, now time.Time) error {
	t := newTable(w, "FINGERPRINT", "STATUS", "DEATHS", "LAST DEATH")
	for i := range marks {
		m := &marks[i]
		row(t, m.Fingerprint, m.Status(now).String(), fmt.Sprint(len(m.Deaths)), lastDeath(m))
	}
	return t.Flush()
}

// lastDeath returns when the content last stopped an engine.
func lastDeath(m *quarantine.Mark) string {
	var last int64
	for _, at := range m.Deaths {
		last = max(last, at)
	}
	return time.UnixMilli(last).UTC().Format(time.RFC3339)
}
