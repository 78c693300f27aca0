// Command quetzalglade-standin runs a stand-in for one service of the platform,
// for tests and trials: key-value store, VM list, model engine or plain service.
package main

import (
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

func main() {
	var listen string
	root := &cobra.Command{Use: "quetzalglade-standin", Short: "Run a stand-in for a service of the platform", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port to listen on")
	root.AddCommand(storeCommand(&listen), vmListCommand(&listen), engineCommand(&listen), plainCommand(&listen))
	command.Main(root)
}

// headerTimeout limits the time in which a client sends the request headers.
const headerTimeout = 5 * time.Second

// serve listens on an address, prints the bound ip:port and serves requests until
// the process ends.
func serve(cmd *cobra.Command, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	cmd.Println(listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}

func storeCommand(listen *string) *cobra.Command {
	return &cobra.Command{
		Use: "store", Short: "Run a key-value store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, *listen, standin.NewStore().Handler())
		},
	}
}

func vmListCommand(listen *string) *cobra.Command {
	var lag time.Duration
	cmd := &cobra.Command{
		Use: "vmlist", Short: "Run a VM list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, *listen, standin.NewVMList(lag).Handler())
		},
	}
	cmd.Flags().DurationVar(&lag, "lag", 0, "delay until a change appears in the list")
	return cmd
}

func engineCommand(listen *string) *cobra.Command {
	opts := standin.DefaultEngineOptions()
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a model engine", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			engine := standin.NewEngine(opts)
			defer engine.Close()
			return serve(cmd, *listen, engine.Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.Models, "models", opts.Models, "loaded models")
	flags.DurationVar(&opts.StepBase, "base", opts.StepBase, "duration of a step without sequences")
	flags.DurationVar(&opts.StepPerSequence, "per-sequence", opts.StepPerSequence, "time that each sequence adds to a step")
	flags.DurationVar(&opts.StepPerPromptToken, "per-prefill", opts.StepPerPromptToken, "time that each prefilled prompt token adds to a step")
	flags.IntVar(&opts.Blocks, "blocks", opts.Blocks, "number of blocks in the KV cache")
	flags.IntVar(&opts.BlockTokens, "block-tokens", opts.BlockTokens, "number of tokens in a block")
	flags.IntVar(&opts.MaxBatch, "max-batch", opts.MaxBatch, "maximum number of running sequences")
	flags.DurationVar(&opts.ReportLag, "report-lag", opts.ReportLag, "age of the load report")
	flags.IntVar(&opts.MedianOutputTokens, "median-length", opts.MedianOutputTokens, "median output length in tokens")
	flags.Uint64Var(&opts.Seed, "seed", opts.Seed, "seed for output lengths and tokens")
	flags.BoolVar(&opts.IgnoreFencing, "ignore-fencing", opts.IgnoreFencing, "accept orders with outdated fencing numbers")
	return cmd
}

func plainCommand(listen *string) *cobra.Command {
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "plain", Short: "Run a plain service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, *listen, standin.NewPlain(delay).Handler())
		},
	}
	cmd.Flags().DurationVar(&delay, "delay", 0, "duration of a call")
	return cmd
}
