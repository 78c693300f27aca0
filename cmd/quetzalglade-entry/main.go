// Command quetzalglade-entry runs the entry, the process behind the platform's
// load balancer that routes requests to targets.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/command"
)

func main() {
	daemon := command.Daemon[entry.Settings]{
		Name:     "quetzalglade-entry",
		Short:    "Run the entry process",
		Defaults: entry.DefaultSettings,
		VMName:   func(s *entry.Settings) string { return s.Process.VM },
		Run:      run,
	}
	command.Main(daemon.Command())
}

func run(ctx context.Context, s *entry.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	process, err := entry.New(opts)
	if err != nil {
		return err
	}
	return process.Serve(ctx)
}
