// Command tamarackscale-node is the node process with the product's own operators'
// interface. It runs on each upstream's VM, routes calls and protects the upstream.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/internal/node/runner"
)

func main() {
	var options runner.Options
	kong.Parse(&options,
		kong.Name("tamarackscale-node"),
		kong.Description("Routes calls to upstreams according to the accepted configuration and protects the upstream on its VM."),
		kong.Vars{"version": runner.Version},
		kong.Exit(func(code int) { os.Exit(runner.UsageExit(code)) }),
	)
	os.Exit(runner.Run(options, os.Stdout, os.Stderr))
}
