// Package program implements the command line of rattanhitch-standin.
package program

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/standin/platform"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
)

const headerTimeout = 10 * time.Second

// NewCommand returns the root command with a subcommand for each simulated component.
func NewCommand() *cobra.Command {
	root := &cobra.Command{Use: "rattanhitch-standin", Short: "Stand-ins for tests and demonstrations", SilenceUsage: true}
	root.AddCommand(platformCommand(), targetCommand())
	return root
}

func platformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Table, object store and host list in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, platform.NewHandler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8090", "IP number and port")
	return cmd
}

func targetCommand() *cobra.Command {
	var listen string
	var options target.Options
	cmd := &cobra.Command{
		Use:   "target",
		Short: "A target with a fixed number of slots",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, target.New(options))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "IP number and port")
	cmd.Flags().StringVar(&options.Name, "name", "target", "name that answers carry")
	cmd.Flags().IntVar(&options.Slots, "slots", 4, "requests served at the same time")
	cmd.Flags().DurationVar(&options.ColdFor, "cold-for", 0, "time after the start in which work is slow")
	cmd.Flags().Float64Var(&options.ColdFactor, "cold-factor", 1, "how many times longer work takes while cold")
	cmd.Flags().DurationVar(&options.LoadLag, "load-lag", 0, "age of load reports")
	return cmd
}

// serve runs an HTTP server until ctx is done or the process receives SIGTERM or SIGINT. It then closes open connections.
func serve(ctx context.Context, listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
