// Command lab starts deployments of monsoonthread on loopback, with stand-ins for the
// platform, the callers and the backend servers, and measures them under load.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use: "lab", Short: "Run deployments of monsoonthread on loopback", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(standinCommand(), upCommand(), demoCommand(), runCommand(), reportCommand(), soakCommand(), worthCommand())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}
