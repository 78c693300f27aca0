package main

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/quarantine"
)

func quarantineCommand(c *clientOptions) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List and lift the quarantine of request contents",
		Long: `A request content that crashed two engines is refused with result code 2005 until
its mark expires or is lifted. Contents are identified by their fingerprint and
never shown.`,
	}
	cmd.AddCommand(quarantineListCommand(c), quarantineLiftCommand(c))
	return cmd
}

func quarantineListCommand(c *clientOptions) *cobra.Command {
	var format outputFormat
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List suspect and quarantined contents",
		Example: "  quetzalglade quarantine list --settings ops.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.validate(); err != nil {
				return err
			}
			store, err := c.openStore()
			if err != nil {
				return err
			}
			now := time.Now()
			marks, err := quarantine.List(cmd.Context(), store, now)
			if err != nil {
				return errors.Wrap(err, "read the quarantine marks from the store")
			}
			if format == formatJSON {
				return printJSON(cmd.OutOrStdout(), marks)
			}
			return printMarks(cmd.OutOrStdout(), marks, now)
		},
	}
	format.addFlag(cmd)
	return cmd
}

func quarantineLiftCommand(c *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "lift FINGERPRINT...",
		Short:   "Lift the quarantine of contents",
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
	table := newTable(w, "FINGERPRINT", "STATUS", "DEATHS", "LAST DEATH")
	for i := range marks {
		mark := &marks[i]
		writeRow(table, mark.Fingerprint, mark.Status(now).String(), fmt.Sprint(len(mark.Crashes)), lastCrash(mark))
	}
	return table.Flush()
}

// lastCrash returns the time of the last engine crash that the mark records.
func lastCrash(mark *quarantine.Mark) string {
	var last int64
	for _, crashMillis := range mark.Crashes {
		last = max(last, crashMillis)
	}
	return time.UnixMilli(last).UTC().Format(time.RFC3339)
}
