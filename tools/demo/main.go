// Command demo starts an example deployment on loopback, rolls out a bundle, sends mixed
// load through it, prints the results, compares them with what the upstreams ran, and
// stops all processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/standin/caller"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/tools/launcher"
)

type options struct {
	Deployment string        `default:"kremnica" enum:"kremnica,kilimanjaro" help:"Example to run."`
	Duration   time.Duration `default:"5s" help:"How long to drive load."`
	Scale      float64       `default:"1" help:"Factor for the rates of the load."`
	Folder     string        `default:"run" type:"path" help:"Folder for binaries, settings, keys and logs."`
	BasePort   int           `default:"20000" help:"First port to use."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs an example deployment on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	source := filepath.Join("deployments", o.Deployment)
	deployment, err := launcher.LoadDeployment(filepath.Join(source, "deployment.yaml"))
	if err != nil {
		return err
	}
	if err := launcher.Build(ctx, o.Folder); err != nil {
		return err
	}
	fleet, err := launcher.Start(ctx, launcher.Config{
		Deployment: deployment, Folder: o.Folder, BasePort: o.BasePort, Output: os.Stdout,
	})
	if err == nil {
		err = rollOutAndLoad(ctx, o, fleet, filepath.Join(source, "bundle.yaml"))
	}
	if fleet != nil {
		if stopErr := fleet.Stop(); err == nil {
			err = stopErr
		}
	}
	if err == nil {
		fmt.Println("all processes exited cleanly")
	}
	return err
}

// rollOutAndLoad waits until the fleet is ready, rolls out the bundle and sends load. It
// returns an error if the callers' outcomes and the effects at the upstreams disagree.
func rollOutAndLoad(ctx context.Context, o options, fleet *launcher.Fleet, bundle string) error {
	joinCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := fleet.WaitMembers(joinCtx); err != nil {
		return err
	}
	fmt.Printf("all %d nodes are members of the fleet\n\n", len(fleet.Endpoints))
	version, output, err := fleet.RollOut(ctx, bundle)
	if err != nil {
		return err
	}
	fmt.Println(output)
	convergence, err := fleet.Convergence(ctx, version)
	if err != nil {
		return err
	}
	fmt.Printf("version %d in force on all nodes: median %s, worst %s after acceptance\n\n",
		version, convergence.Median, convergence.Worst)
	results, outcomes := caller.New(caller.NewTransport()).Run(ctx, caller.Load{
		Addresses: fleet.CallerAddresses(), Streams: fleet.Deployment.Streams, Duration: o.Duration,
		Scale: o.Scale, Seed: 1, Prefix: "demo",
	})
	printResults(results)
	effects, err := fleet.Effects(ctx)
	if err != nil {
		return err
	}
	violations := history.Check(outcomes, effects)
	for _, line := range violations {
		fmt.Println("BROKEN:", line)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d guarantees were violated", len(violations))
	}
	fmt.Printf("%d outcomes agree with %d effects at the upstreams\n", len(outcomes), len(effects))
	return nil
}

func printResults(results []caller.Result) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "WORK\tSENT\tIN TIME\tNOT RUN\tUNKNOWN\tFAILED\tMEDIAN\tP99\tWORST\t")
	for _, r := range results {
		fmt.Fprintf(writer, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%s\t%s\t%s\t\n", r.Name, r.Sent, 100*r.FractionInTime(),
			r.NotRun, r.Unknown, r.Failed, roundDuration(r.Median), roundDuration(r.P99), roundDuration(r.Worst))
		if len(r.Codes) > 0 {
			fmt.Fprintf(writer, "  %v\t\t\t\t\t\t\t\t\t\n", r.Codes)
		}
	}
	writer.Flush()
}

func roundDuration(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
