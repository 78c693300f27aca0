// Package command holds what the project's command lines share.
package command

import (
	"context"
	"os"
	"os/signal"
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
			return d.Run(ctx, &s, telemetry.NewLogger(os.Stderr, d.Name, d.VM(&s)))
		},
	}
	cmd.Flags().StringVar(&file, "settings", d.Name+".ini", "settings file in INI format")
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
