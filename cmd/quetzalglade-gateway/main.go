// Command quetzalglade-gateway runs the gateway, which routes requests to the
// targets on the users' platform.
package main

import (
	"context"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/gateway"
	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/sidecar"
)

func main() {
	daemon := command.Daemon[gateway.Settings]{
		Name:                "quetzalglade-gateway",
		Short:               "Run the gateway, which routes requests to the targets on the users' platform",
		Defaults:            gateway.DefaultSettings,
		VMName:              func(s *gateway.Settings) string { return s.Process.VM },
		MemoryMB:            func(s *gateway.Settings) int { return s.Process.MemoryMB },
		MemoryLimitFraction: memoryLimitFraction,
		DefaultFile:         platform.SettingsFile,
		Run:                 run,
	}
	command.Main(daemon.Command())
}

// memoryLimitFraction is the fraction of the VM's memory that the soft memory limit
// of the Go runtime allows; the rest is left for what the limit does not cover, such
// as socket buffers.
const memoryLimitFraction = 0.6

func run(ctx context.Context, s *gateway.Settings, logger log.Logger) error {
	opts, err := s.Options(logger)
	if err != nil {
		return err
	}
	client := httpclient.New(httpclient.Options{IdlePerHost: 2})
	opts.Store = platform.NewStore(s.Store.Address, client, logger, s.Store.Timeout, s.Store.Watch)
	if s.Process.SidecarPort > 0 {
		opts.SidecarWatcher = sidecar.NewClient(httpclient.New(httpclient.Options{IdlePerHost: 2}))
	}
	opts.PeerClient = httpclient.New(httpclient.Options{IdlePerHost: 1})
	engines := platform.NewEngineClient(httpclient.New(httpclient.Options{IdlePerHost: 2}), s.Store.Timeout)
	opts.Migrator, opts.ColdProber, opts.RunReporter = engines, engines, engines
	if opts.LinkMbps == 0 {
		opts.LinkMbps = platform.LinkMbps()
	}
	opts.AdmissionControl = platform.AdmissionControl()
	var overValid, slackValid bool
	opts.ColdOver, overValid = platform.ColdOver()
	opts.ColdSlack, slackValid = platform.ColdSlack()
	opts.ColdSettingsIgnored = !overValid || !slackValid
	opts.Codec = platform.Codec{}
	opts.ReadyPath = platform.ReadyPath
	opts.TableKey = platform.ConfigKey
	opts.TargetPrefix = platform.TargetPrefix
	opts.EvacuationPrefix = platform.EvacuationPrefix
	opts.DecodeTable = platform.DecodeConfig
	opts.DecodeTarget = platform.DecodeTarget
	g, err := gateway.New(opts)
	if err != nil {
		return err
	}
	return g.Serve(ctx)
}
