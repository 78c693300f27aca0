package main

import (
	"context"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"

	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/settings"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR...",
		Short:   "Check the declarations below the directories",
		Long:    "Check every " + operator.DeclarationFileName + " below the directories and print all faults with file and line.",
		Example: "  quetzalglade check examples/pedalia",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			docs, err := readDeclarations(args)
			if err != nil {
				return err
			}
			cmd.Printf("%d declaration files are valid\n", len(docs))
			return nil
		},
	}
}

// readDeclarations reads and checks the declarations below dirs. If they are
// invalid, the error has the exit code ExitInvalid.
func readDeclarations(dirs []string) ([]config.Document, error) {
	docs, err := operator.ReadDeclarations(dirs)
	var faults settings.FileErrors
	if errors.As(err, &faults) {
		return nil, command.WithExit(errors.Newf("%d faults\n%s", len(faults), faults.Error()), command.ExitInvalid)
	}
	return docs, err
}

// publication holds the flags and the state of a publish or rollback command.
type publication struct {
	cmd     *cobra.Command
	clients *clientOptions
	store   kvstore.Store
	dryRun  bool
	noWait  bool
	maxWait time.Duration
}

func (p *publication) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.BoolVar(&p.dryRun, "dry-run", false, "show the difference without changing anything")
	flags.BoolVar(&p.noWait, "no-wait", false, "do not wait until the version is in force everywhere")
	flags.DurationVar(&p.maxWait, "wait", 30*time.Second, "maximum wait until the version is in force everywhere")
}

func publishCommand(c *clientOptions) *cobra.Command {
	p := &publication{clients: c}
	cmd := &cobra.Command{
		Use:   "publish DIR...",
		Short: "Check declarations and put them into force",
		Long: `Check the declarations below the directories, show the difference to the
configuration in force, and put the declarations into force in one step. If
another operator published in the meantime, nothing is changed and the exit code
is 3.`,
		Example: "  quetzalglade publish --settings ops.ini examples/pedalia\n  quetzalglade publish --dry-run examples/pedalia",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			docs, err := readDeclarations(args)
			if err != nil {
				return err
			}
			return p.run(cmd, docs)
		},
	}
	p.addFlags(cmd)
	return cmd
}

func (p *publication) run(cmd *cobra.Command, docs []config.Document) error {
	p.cmd = cmd
	store, err := p.clients.openStore()
	if err != nil {
		return err
	}
	p.store = store
	ctx := cmd.Context()
	oldManifest, oldDocs, err := operator.CurrentConfig(ctx, store)
	if err != nil {
		return errors.Wrap(err, "cannot read the configuration in force; nothing was changed")
	}
	changes := operator.Diff(oldDocs, docs)
	p.printChanges(ctx, changes)
	if p.dryRun || len(changes) == 0 {
		cmd.Printf("version %d stays in force\n", oldManifest.Version)
		return nil
	}
	m, err := operator.Publish(ctx, store, docs, author(), time.Now())
	if result.Is(err, result.VersionConflict) {
		return p.reportConflict(ctx, err)
	}
	if err != nil {
		return errors.Wrap(err, "publication failed; run publish again to see what is in force")
	}
	cmd.Printf("published version %d\n", m.Version)
	return p.waitUntilInForce(ctx, m.Version)
}

// printChanges prints the changes and warns of removed services in use.
func (p *publication) printChanges(ctx context.Context, changes []operator.Change) {
	for _, change := range changes {
		p.cmd.Println(change)
		if change.Kind == operator.Removed && change.Item == "service" && p.wasUsedRecently(ctx, change.Name) {
			p.cmd.Printf("    warning: service %s was used recently; its callers will be refused\n", change.Name)
		}
	}
	if len(changes) == 0 {
		p.cmd.Println("no difference to what is in force")
	}
}

// wasUsedRecently reports whether a process still has a routing decision record of
// the service. It reports false if the processes cannot be queried.
func (p *publication) wasUsedRecently(ctx context.Context, service string) bool {
	if !p.clients.hasFleetSettings() {
		return false
	}
	fleet, err := p.clients.openFleet()
	if err != nil {
		return false
	}
	explanation, err := fleet.Explain(ctx, peer.DecisionQuery{Kind: telemetry.KindRoute})
	if err != nil {
		return false
	}
	for i := range explanation.Decisions {
		if explanation.Decisions[i].Service == service {
			return true
		}
	}
	return false
}

// reportConflict prints the current version, which another publication wrote, and
// returns cause with the exit code ExitConflict.
func (p *publication) reportConflict(ctx context.Context, cause error) error {
	if m, _, err := operator.CurrentConfig(ctx, p.store); err == nil {
		p.cmd.Printf("version %d by %s was published at %s\n", m.Version, m.Author, m.Published.Format(time.RFC3339))
	}
	return command.WithExit(errors.Wrap(cause, "nothing was changed; review the difference and publish again"), command.ExitConflict)
}

// waitUntilInForce waits until every process uses the version and prints the
// progress.
func (p *publication) waitUntilInForce(ctx context.Context, version int64) error {
	if p.noWait {
		return nil
	}
	if !p.clients.hasFleetSettings() {
		p.cmd.Println("not followed: no VM list and key are set")
		return nil
	}
	fleet, err := p.clients.openFleet()
	if err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, p.maxWait)
	defer cancel()
	lastDone := -1
	lagging, err := fleet.WaitForVersion(waitCtx, version, func(done, total int) {
		if done != lastDone {
			p.cmd.Printf("in force at %d of %d processes\n", done, total)
			lastDone = done
		}
	})
	if err != nil {
		return err
	}
	if len(lagging) > 0 {
		return command.WithExit(errors.Newf("not in force after %v at: %s", p.maxWait, strings.Join(lagging, ", ")), command.ExitNotPropagated)
	}
	return nil
}

// author returns the user name of the person who publishes.
func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func historyCommand(c *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the published versions, latest first",
		Example: "  quetzalglade history --settings ops.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := c.openStore()
			if err != nil {
				return err
			}
			manifests, err := operator.History(cmd.Context(), store)
			if err != nil {
				return err
			}
			return printHistory(cmd.OutOrStdout(), manifests)
		},
	}
}

func rollbackCommand(c *clientOptions) *cobra.Command {
	p := &publication{clients: c}
	var version int64
	cmd := &cobra.Command{
		Use:     "rollback --to VERSION",
		Short:   "Put the declarations of an earlier version into force as a new version",
		Example: "  quetzalglade rollback --to 41",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := c.openStore()
			if err != nil {
				return err
			}
			docs, err := operator.VersionDocuments(cmd.Context(), store, version)
			if err != nil {
				return command.WithExit(err, command.ExitNotFound)
			}
			return p.run(cmd, docs)
		},
	}
	p.addFlags(cmd)
	cmd.Flags().Int64Var(&version, "to", 0, "version to roll back to; see history")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}
