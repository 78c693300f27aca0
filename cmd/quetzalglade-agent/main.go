// Command quetzalglade-agent runs the agent process.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/internal/command"
)

func main() {
	d := command.Daemon[agent.Settings]{
		Name:     "quetzalglade-agent",
		Short:    "Run the agent process",
		Defaults: agent.DefaultSettings,
		VM:       func(s *agent.Settings) string { return s.Process.VM },
		Run:      run,
	}
	command.Main(d.Command())
}

func run(ctx context.Context, s *agent.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	p, err := agent.New(opts)
	if err != nil {
		return err
	}
	return p.Serve(ctx)
}
