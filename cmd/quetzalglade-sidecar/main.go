// Command quetzalglade-sidecar runs the sidecar, which reports the load of a
// model engine on the users' platform to the gateways.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/sidecar"
)

func main() {
	daemon := command.Daemon[sidecar.Settings]{
		Name:                "quetzalglade-sidecar",
		Short:               "Run the sidecar, which reports the load of a model engine on the users' platform",
		Defaults:            sidecar.DefaultSettings,
		VMName:              func(s *sidecar.Settings) string { return s.Process.VM },
		MemoryMB:            func(s *sidecar.Settings) int { return s.Process.MemoryMB },
		MemoryLimitFraction: memoryLimitFraction,
		DefaultFile:         platform.SettingsFile,
		Run:                 run,
	}
	command.Main(daemon.Command())
}

// memoryLimitFraction is the fraction of the VM's memory that the soft memory limit
// of the Go runtime allows; the rest is left for what the limit does not cover, such
// as socket buffers.
const memoryLimitFraction = 0.5

func run(ctx context.Context, s *sidecar.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	opts.Engine = platform.NewEngineClient(httpclient.New(httpclient.Options{IdlePerHost: 1}), s.Engine.Timeout)
	return sidecar.New(opts).Serve(ctx)
}
