// Command measure measures the cost of the control plane, the quality of service under
// load and the added latency of calls, with separate processes on loopback. It writes
// tables and plots.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Control controlCommand `cmd:"" help:"Cost of distribution and membership at several sizes, against nodes that each watch the platform."`
		Serving servingCommand `cmd:"" help:"Service by rank under floods and losses, against the baseline policies."`
		Path    pathCommand    `cmd:"" help:"Time that the path adds to a call, against direct calls."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	parsed := kong.Parse(&commands, kong.Name("measure"), kong.BindTo(ctx, (*context.Context)(nil)))
	err := parsed.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
