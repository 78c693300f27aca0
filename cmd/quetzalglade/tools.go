package main

import (
	"crypto/rand"
	"encoding/base64"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/demo"
)

// keyBytes is the number of random bytes in a new workspace key.
const keyBytes = 24

func keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Generate workspace keys and their hashes"}
	cmd.AddCommand(
		&cobra.Command{
			Use:     "new",
			Short:   "Print a new key and the hash to declare",
			Example: "  quetzalglade key new",
			Args:    cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				raw := make([]byte, keyBytes)
				if _, err := rand.Read(raw); err != nil {
					return errors.Wrap(err, "generate a random key")
				}
				key := base64.RawURLEncoding.EncodeToString(raw)
				cmd.Printf("key      %s\nkey_hash %s\n", key, config.HashKey(key))
				return nil
			},
		},
		&cobra.Command{
			Use:     "hash KEY",
			Short:   "Print the hash of a key",
			Example: "  quetzalglade key hash pedalia-demo-key",
			Args:    cobra.ExactArgs(1),
			Run:     func(cmd *cobra.Command, args []string) { cmd.Println(config.HashKey(args[0])) },
		},
	)
	return cmd
}

func demoCommand() *cobra.Command {
	var promptFile string
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a fleet on embedded stand-ins and send one request of each kind",
		Example: "  quetzalglade demo --prompt fault.txt",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			prompt := ""
			if promptFile != "" {
				data, err := os.ReadFile(promptFile)
				if err != nil {
					return errors.Wrap(err, "read the prompt file")
				}
				prompt = string(data)
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), prompt)
		},
	}
	cmd.Flags().StringVar(&promptFile, "prompt", "", "file with the prompt for the repair guide")
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the command line",
		Example: "  quetzalglade version",
		Args:    cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			cmd.Println(version)
		},
	}
}
