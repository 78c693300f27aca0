// Command quetzalglade-standin runs one stand-in of the platform, for tests
// and trials: store, VM list, model engine or plain service.
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
	root := &cobra.Command{Use: "quetzalglade-standin", Short: "Run a stand-in of the platform", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&listen, "listen", "127.0.0.1:0", "ip:port to listen on")
	root.AddCommand(storeCommand(&listen), vmListCommand(&listen), engineCommand(&listen), plainCommand(&listen))
	command.Main(root)
}

// headerTimeout bounds slow senders.
const headerTimeout = 5 * time.Second

// serve prints the address that was bound and serves until the process ends.
func serve(cmd *cobra.Command, listen string, handler http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	cmd.Println(l.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.Serve(l)
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
		Use: "vmlist", Short: "Run a list of VMs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, *listen, standin.NewVMList(lag).Handler())
		},
	}
	cmd.Flags().DurationVar(&lag, "lag", 0, "age of the list")
	return cmd
}

func engineCommand(listen *string) *cobra.Command {
	opts := standin.DefaultEngineOptions()
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a model engine", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e := standin.NewEngine(opts)
			defer e.Close()
			return serve(cmd, *listen, e.Handler())
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&opts.Models, "models", opts.Models, "loaded models")
	f.DurationVar(&opts.Base, "base", opts.Base, "fixed time of a step")
	f.DurationVar(&opts.PerSequence, "per-sequence", opts.PerSequence, "time of a step for each sequence")
	f.DurationVar(&opts.PerPrefill, "per-prefill", opts.PerPrefill, "time of a step for each prompt token")
	f.IntVar(&opts.Blocks, "blocks", opts.Blocks, "blocks of memory")
	f.IntVar(&opts.BlockTokens, "block-tokens", opts.BlockTokens, "tokens in a block")
	f.IntVar(&opts.MaxBatch, "max-batch", opts.MaxBatch, "running sequences at most")
	f.DurationVar(&opts.ReportLag, "report-lag", opts.ReportLag, "age of the load report")
	f.IntVar(&opts.MedianLength, "median-length", opts.MedianLength, "median length of outputs")
	f.Uint64Var(&opts.Seed, "seed", opts.Seed, "seed of lengths and tokens")
	f.BoolVar(&opts.IgnoreFencing, "ignore-fencing", opts.IgnoreFencing, "take orders with old fencing numbers")
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
	cmd.Flags().DurationVar(&delay, "delay", 0, "time that a call takes")
	return cmd
}
