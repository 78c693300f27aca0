package main

import (
	"context"
	"net/http"
	"os"
	"os/user"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/platform"
)

const storeTimeout = 5 * time.Second

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR...",
		Short:   "Check the declarations below the directories",
		Example: "  quetzalglade check examples/pedalia",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			docs, err := operator.Collect(args)
			if err != nil {
				return err
			}
			cmd.Printf("%d declaration files are valid\n", len(docs))
			return nil
		},
	}
}

func publishCommand() *cobra.Command {
	var store string
	cmd := &cobra.Command{
		Use:     "publish DIR...",
		Short:   "Collect, check and put declarations into force",
		Example: "  quetzalglade publish --store http://10.0.0.5:2379 examples/pedalia",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			docs, err := operator.Collect(args)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), time.Minute)
			defer cancel()
			m, err := operator.Publish(ctx, platform.NewGateway(store, &http.Client{}, storeTimeout), docs, author(), time.Now())
			if err != nil {
				return err
			}
			cmd.Printf("published version %d\n", m.Version)
			return nil
		},
	}
	cmd.Flags().StringVar(&store, "store", "http://127.0.0.1:2379", "URL of the platform's key-value service")
	return cmd
}

// author names the person who publishes.
func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func demoCommand() *cobra.Command {
	var promptFile string
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run the whole path on embedded stand-ins and send one request of each kind",
		Example: "  quetzalglade demo --prompt fault.txt",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			prompt := ""
			if promptFile != "" {
				data, err := os.ReadFile(promptFile)
				if err != nil {
					return err
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
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			cmd.Println(version)
		},
	}
}
