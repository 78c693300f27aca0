// Command quetzalglade is the operators' tool.
package main

import (
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/command"
)

func main() {
	root := &cobra.Command{
		Use:           "quetzalglade",
		Short:         "Operate a quetzalglade fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(checkCommand(), publishCommand(), demoCommand(), loadCommand(), versionCommand())
	command.Main(root)
}
