// Command quetzalglade-entry runs the entry process.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/command"
)

func main() {
	d := command.Daemon[entry.Settings]{
		Name:     "quetzalglade-entry",
		Short:    "Run the entry process",
		Defaults: entry.DefaultSettings,
		VM:       func(s *entry.Settings) string { return s.Process.VM },
		Run:      run,
	}
	command.Main(d.Command())
}

func run(ctx context.Context, s *entry.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	p, err := entry.New(opts)
	if err != nil {
		return err
	}
	return p.Serve(ctx)
}
