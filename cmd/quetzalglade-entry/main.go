// Command quetzalglade-entry runs the entry, the process behind the platform's
// load balancer that routes requests to targets.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/settings"
)

func main() {
	daemon := command.Daemon[entry.Settings]{
		Name:                "quetzalglade-entry",
		Short:               "Run the entry process",
		Defaults:            entry.DefaultSettings,
		VMName:              func(s *entry.Settings) string { return s.Process.VM },
		MemoryMB:            func(*entry.Settings) int { return settings.MemoryMB() },
		MemoryLimitFraction: memoryLimitFraction,
		Run:                 run,
	}
	command.Main(daemon.Command())
}

// memoryLimitFraction is the fraction of the VM's memory, if it is known, that the soft memory
// limit of the Go runtime allows; the rest is left for what the limit does not cover, such as
// socket buffers.
const memoryLimitFraction = 0.6

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
