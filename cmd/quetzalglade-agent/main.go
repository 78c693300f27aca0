// Command quetzalglade-agent runs the agent, the process beside one target that
// queues and admits the target's work.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/settings"
)

func main() {
	daemon := command.Daemon[agent.Settings]{
		Name:                "quetzalglade-agent",
		Short:               "Run the agent process",
		Defaults:            agent.DefaultSettings,
		VMName:              func(s *agent.Settings) string { return s.Process.VM },
		MemoryMB:            func(*agent.Settings) int { return settings.MemoryMB() },
		MemoryLimitFraction: memoryLimitFraction,
		Run:                 run,
	}
	command.Main(daemon.Command())
}

// memoryLimitFraction is the fraction of the VM's memory, if it is known, that the soft memory
// limit of the Go runtime allows; the rest is left for what the limit does not cover, such as
// socket buffers.
const memoryLimitFraction = 0.6

func run(ctx context.Context, s *agent.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	process, err := agent.New(opts)
	if err != nil {
		return err
	}
	return process.Serve(ctx)
}
