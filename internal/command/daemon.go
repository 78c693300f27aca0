// Package command provides the command line of the daemons and the exit codes
// that the project's commands share.
package command

import (
	"bytes"
	"context"
	stdlog "log"
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

// Daemon describes a long-running process that is configured by a settings file.
type Daemon[S any] struct {
	Name     string
	Short    string
	Defaults func() S
	// VMName returns the name of the VM from the settings, for log lines.
	VMName func(*S) string
	// MemoryMB returns the VM's memory in MiB; nil or a result of 0 sets no
	// limit.
	MemoryMB func(*S) int
	// MemoryLimitFraction is the fraction of the VM's memory that becomes the soft
	// memory limit of the Go runtime.
	MemoryLimitFraction float64
	// DefaultFile returns the path of the default settings file; nil selects the
	// daemon's name with the suffix .ini.
	DefaultFile func() string
	// Run runs the process until ctx ends.
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
			// SIGHUP stays caught until the process has ended: its default action would end
			// the process, also during the start and the stop.
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			// A write to a standard output or error that nothing reads any more would end the
			// process.
			signal.Ignore(syscall.SIGPIPE)
			s := d.Defaults()
			if printDefaults {
				return settings.Print(cmd.OutOrStdout(), &s)
			}
			if err := settings.Load(file, &s); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			logWriter := telemetry.NewAsyncWriter(os.Stdout)
			defer func() { _ = logWriter.Close() }()
			logger := telemetry.NewLogger(logWriter, d.Name, d.VMName(&s))
			// Servers report failures by the standard library's logger; a standard error that
			// nothing reads would hold them up.
			stdlog.SetFlags(0)
			stdlog.SetOutput(libraryLog{logger})
			d.setMemoryLimit(&s)
			ended := make(chan struct{})
			defer close(ended)
			go d.checkSettingsOnHangup(hangup, ended, file, &s, logger)
			return d.Run(ctx, &s, logger)
		},
	}
	cmd.Flags().StringVar(&file, "settings", d.defaultSettingsFile(), "settings file in INI format")
	cmd.Flags().BoolVar(&printDefaults, "print-defaults", false, "print the settings with their defaults and exit")
	return cmd
}

// Main executes a command and exits the process with the command's exit code.
func Main(cmd *cobra.Command) {
	cmd.SetOut(os.Stdout)
	err := cmd.ExecuteContext(context.Background())
	if err != nil {
		cmd.PrintErrln("error:", err)
	}
	os.Exit(ExitCode(err))
}

// setMemoryLimit sets the soft memory limit of the Go runtime if the VM's memory is
// known.
func (d *Daemon[S]) setMemoryLimit(s *S) {
	if d.MemoryMB == nil || d.MemoryMB(s) == 0 {
		return
	}
	const bytesPerMB = 1 << 20
	debug.SetMemoryLimit(int64(d.MemoryLimitFraction * float64(d.MemoryMB(s)) * bytesPerMB))
}

func (d *Daemon[S]) defaultSettingsFile() string {
	if d.DefaultFile != nil {
		return d.DefaultFile()
	}
	return d.Name + ".ini"
}

// checkSettingsOnHangup validates the settings file at each signal until ended is
// closed. It logs whether the file differs from the running settings, which do not
// change until the process restarts.
func (d *Daemon[S]) checkSettingsOnHangup(hangup <-chan os.Signal, ended <-chan struct{}, file string, running *S, logger log.Logger) {
	for {
		select {
		case <-hangup:
		case <-ended:
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

// libraryLog writes the messages of the standard library's logger to a daemon's log.
type libraryLog struct{ logger log.Logger }

// Write implements io.Writer. Each call passes one message.
func (l libraryLog) Write(message []byte) (int, error) {
	telemetry.Warn(l.logger, "library message", "text", string(bytes.TrimSpace(message)))
	return len(message), nil
}
