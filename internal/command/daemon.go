// Package command holds what the project's command lines share.
package command

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/settings"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Daemon describes a process that runs from a settings file.
type Daemon[S any] struct {
	Name     string
	Short    string
	Defaults func() S
	// VM returns the VM's name for the log.
	VM func(*S) string
	// MemoryMB returns the VM's memory in megabytes, nil or 0 for no limit;
	// MemoryPart is the part of it above which the garbage collector works harder.
	MemoryMB   func(*S) int
	MemoryPart float64
	// File returns the default settings file; nil selects the daemon's name with
	// the suffix .ini.
	File func() string
	// Run serves until ctx ends.
	Run func(ctx context.Context, s *S, logger log.Logger) error
}

// Command returns the daemon's command line.
func (d *Daemon[S]) Command() *cobra.Command {
	var file string
	var printDefaults bool
	cmd := &cobra.Command{
		Use:           d.Name,
		Short:         d.Short,
		Example:       "  " + d.Name + " --settings /etc/quetzalglade/" + d.Name + ".ini\n  " + d.Name + " --print-defaults",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := d.Defaults()
			if printDefaults {
				return settings.Print(cmd.OutOrStdout(), &s)
			}
			if err := settings.Load(file, &s); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out := telemetry.NewWriter(os.Stdout)
			defer func() { _ = out.Close() }()
			logger := telemetry.NewLogger(out, d.Name, d.VM(&s))
			d.limitMemory(&s)
			go d.watchReload(ctx, file, &s, logger)
			return d.Run(ctx, &s, logger)
		},
	}
	cmd.Flags().StringVar(&file, "settings", d.defaultFile(), "settings file in INI format")
	cmd.Flags().BoolVar(&printDefaults, "print-defaults", false, "print the settings with their defaults and exit")
	return cmd
}

// Main runs a command line and ends the process with its exit code.
func Main(cmd *cobra.Command) {
	cmd.SetOut(os.Stdout)
	err := cmd.ExecuteContext(context.Background())
	if err != nil {
		cmd.PrintErrln("error:", err)
	}
	os.Exit(ExitCode(err))
}

func (d *Daemon[S]) limitMemory(s *S) {
	if d.MemoryMB == nil || d.MemoryMB(s) == 0 {
		return
	}
	const bytesPerMB = 1 << 20
	debug.SetMemoryLimit(int64(d.MemoryPart * float64(d.MemoryMB(s)) * bytesPerMB))
}

func (d *Daemon[S]) defaultFile() string {
	if d.File != nil {
		return d.File()
	}
	return d.Name + ".ini"
}

// watchReload checks the settings file again at each SIGHUP. The settings of a
// running process do not change; a line tells whether the file differs.
func (d *Daemon[S]) watchReload(ctx context.Context, file string, running *S, logger log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		s := d.Defaults()
		if err := settings.Load(file, &s); err != nil {
			telemetry.Warn(logger, "reload", "file", file, "outcome", "invalid", "err", err)
			continue
		}
		outcome := "unchanged"
		if !reflect.DeepEqual(&s, running) {
			outcome = "changed, in force at the next start"
		}
		telemetry.Info(logger, "reload", "file", file, "outcome", outcome)
	}
}
