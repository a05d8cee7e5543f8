// Command tamarackscale is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tamarackscale/tamarackscale/internal/node/runner"
	"github.com/tamarackscale/tamarackscale/internal/operator/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := commander.Run(ctx, runner.Version, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
