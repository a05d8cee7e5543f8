// Command tamarackscale-proxy is the node process for the users' platform. It runs on each
// upstream's VM and forwards calls according to the accepted configuration.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/internal/proxy/runner"
)

func main() {
	var options runner.Options
	kong.Parse(&options, kong.Name("tamarackscale-proxy"),
		kong.Description("Forwards calls to upstreams according to the accepted configuration."))
	os.Exit(runner.Run(options, os.Stdout, os.Stderr))
}
