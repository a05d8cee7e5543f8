// Command tamarackscale-proxy is the process beside each upstream on the users'
// platform: it forwards calls by the accepted configuration.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/internal/proxy/runner"
)

func main() {
	var options runner.Options
	kong.Parse(&options, kong.Name("tamarackscale-proxy"),
		kong.Description("Forwards calls to upstreams by the accepted configuration."))
	os.Exit(runner.Run(options, os.Stdout, os.Stderr))
}
