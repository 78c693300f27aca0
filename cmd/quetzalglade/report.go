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
		Short: "Count what became of requests, by route and cause, from gateways' log lines",
		Long: `Count what became of requests, by route and cause, from gateways' log lines.
Without a file the lines are read from standard input. Lines may have a prefix.`,
		Example: "  quetzalglade outcomes gateway-1.log gateway-2.log",
		RunE: func(cmd *cobra.Command, files []string) error {
			o := report.New()
			if len(files) == 0 {
				if err := o.Read(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readFile(name, o.Read); err != nil {
					return err
				}
			}
			return o.Print(cmd.OutOrStdout())
		},
	}
}

func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = f.Close() }()
	return read(f)
}
