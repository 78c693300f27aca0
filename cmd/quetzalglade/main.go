// Command quetzalglade is the command line of the fleet's operators.
package main

import (
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/command"
)

func main() { command.Main(rootCommand()) }

func rootCommand() *cobra.Command {
	c := &clientOptions{}
	root := &cobra.Command{
		Use:   "quetzalglade",
		Short: "Operate a quetzalglade fleet",
		Long: `Operate a quetzalglade fleet: check and publish declarations, show the state of
the fleet, drain targets and explain the decisions about a request.

Exit codes: 0 success, 1 failure, 2 invalid declarations, 3 another publication
was first, 4 not in force everywhere yet, 5 not found.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.addFlags(root)
	root.AddCommand(
		checkCommand(), publishCommand(c), historyCommand(c), rollbackCommand(c),
		statusCommand(c), drainCommand(c, true), drainCommand(c, false), explainCommand(c),
		quarantineCommand(c), keyCommand(), demoCommand(), loadCommand(), versionCommand(), outcomesCommand(),
	)
	return root
}
