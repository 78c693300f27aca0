package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/report"
)

func outcomesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "outcomes [FILE]...",
		Short: "Count the outcomes of requests by route and cause from the gateways' log lines",
		Long: `Count the outcomes of requests by route and cause from the gateways' log lines.
Without a file the lines are read from standard input. Lines may have a prefix,
such as the time that a log collector adds.`,
		Example: "  quetzalglade outcomes gateway-1.log gateway-2.log",
		RunE: func(cmd *cobra.Command, files []string) error {
			outcomes := report.NewOutcomes()
			if len(files) == 0 {
				if err := outcomes.Read(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readFile(name, outcomes.Read); err != nil {
					return err
				}
			}
			return outcomes.Print(cmd.OutOrStdout())
		},
	}
}

// readFile calls read with the opened file.
func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open the log file")
	}
	defer func() { _ = f.Close() }()
	return read(f)
}
