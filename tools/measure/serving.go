package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/tamarackscale/tamarackscale/standin/caller"
	"github.com/tamarackscale/tamarackscale/standin/history"
	"github.com/tamarackscale/tamarackscale/tools/launcher"
)

type servingCommand struct {
	Deployment string        `default:"kremnica" enum:"kremnica,kilimanjaro" help:"Example to load."`
	Duration   time.Duration `default:"6s" help:"Length of each run."`
	Slower     float64       `default:"10" help:"Factor for the upstreams' service times, so that one machine can offer ten times their capacity."`
	Seed       uint64        `default:"1" help:"Seed of the arrivals."`
	Folder     string        `default:"run/serving" type:"path" help:"Folder for binaries, settings and logs."`
	Docs       string        `default:"docs/measurements" type:"path" help:"Folder for the table."`
}

// scenario is one run of load.
type scenario struct {
	name string
	// load is the rate offered to the shared service by all streams together, as a
	// multiple of its capacity.
	load float64
	// adjusted names the stream whose rate is set so that the sum reaches load.
	adjusted string
	// killed selects the endpoints that are killed after a third of the run: "third" for
	// every third one, "zone" for those of the first availability zone, empty for none.
	killed string
}

// Run runs each scenario on a fleet with the product's policies and on one with the
// baseline policies, one after the other, and writes the table.
func (c *servingCommand) Run(ctx context.Context) error {
	if err := launcher.Build(ctx, c.Folder); err != nil {
		return err
	}
	source := filepath.Join("deployments", c.Deployment)
	var page strings.Builder
	fmt.Fprintf(&page, "# Service by rank, %s: measured\n\nWritten by `go run ./tools/measure serving --deployment %s` on %s: open loop, %s per run, seed %d, "+
		"service times %g times those of the example.\n\n", c.Deployment, c.Deployment,
		time.Now().UTC().Format("2006-01-02 15:04 MST"), c.Duration, c.Seed, c.Slower)
	page.WriteString("| scenario | policy | work | sent | good in time | not run | unknown | failed | median | p99 |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range scenariosOf(c.Deployment) {
		for _, baseline := range []bool{false, true} {
			rows, err := c.runScenario(ctx, source, s, baseline)
			if err != nil {
				return fmt.Errorf("%s: %w", s.name, err)
			}
			fmt.Print(rows)
			page.WriteString(rows)
		}
	}
	if err := os.MkdirAll(c.Docs, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Docs, "serving-"+c.Deployment+".md"), []byte(page.String()), 0o644)
}

// sharedServices holds, for each example, the service that streams of several ranks call,
// and the least urgent and the most urgent of these streams.
var sharedServices = map[string]struct{ service, leastUrgent, mostUrgent string }{
	"kremnica":    {"catalogue", "browse", "readGiftCasting"},
	"kilimanjaro": {"templates", "lookUpTemplate", "lookUpForOrder"},
}

// scenariosOf returns the scenarios of an example deployment.
func scenariosOf(deployment string) []scenario {
	s := sharedServices[deployment]
	return []scenario{
		{name: "0.7 times capacity", load: 0.7, adjusted: s.leastUrgent},
		{name: "1 times capacity", load: 1, adjusted: s.leastUrgent},
		{name: "2 times capacity", load: 2, adjusted: s.leastUrgent},
		{name: "10 times capacity", load: 10, adjusted: s.leastUrgent},
		{name: "most urgent at 3 times capacity", load: 3, adjusted: s.mostUrgent},
		{name: "third of the endpoints killed at 0.5", load: 0.5, adjusted: s.leastUrgent, killed: "third"},
		{name: "one zone killed at 0.5", load: 0.5, adjusted: s.leastUrgent, killed: "zone"},
	}
}

// prepareStreams multiplies the service times of the deployment by c.Slower and returns
// the streams of the scenario. It sets the rate of the adjusted stream so that the rates of
// all streams to the shared service add up to the scenario's multiple of its capacity,
// which is its number of slots divided by its mean service time.
func (c *servingCommand) prepareStreams(d *launcher.Deployment, s scenario) []caller.Stream {
	capacity := 0.0
	for i := range d.Services {
		service := &d.Services[i]
		service.Work = time.Duration(float64(service.Work) * c.Slower)
		if service.Name == sharedServices[c.Deployment].service {
			capacity = float64(service.Endpoints*service.Slots) / service.Work.Seconds()
		}
	}
	offered := 0.0
	for _, stream := range d.Streams {
		if strings.HasPrefix(stream.Path, "/"+sharedServices[c.Deployment].service) && stream.Name != s.adjusted {
			offered += stream.Rate
		}
	}
	var streams []caller.Stream
	for _, stream := range d.Streams {
		if stream.Name == s.adjusted {
			stream.Rate = s.load*capacity - offered
		}
		streams = append(streams, stream)
	}
	return streams
}

// runScenario runs a scenario on a new fleet and returns its rows of the table, followed by
// the violations that checkHistory found.
func (c *servingCommand) runScenario(ctx context.Context, source string, s scenario, baseline bool) (string, error) {
	deployment, err := launcher.LoadDeployment(filepath.Join(source, "deployment.yaml"))
	if err != nil {
		return "", err
	}
	streams := c.prepareStreams(deployment, s)
	fleet, err := launcher.Start(ctx, launcher.Config{
		Deployment: deployment, Folder: c.Folder, BasePort: 25000, Baseline: baseline,
	})
	if fleet != nil {
		defer func() { _ = fleet.Stop() }()
	}
	if err != nil {
		return "", err
	}
	joinCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := fleet.WaitMembers(joinCtx); err != nil {
		return "", err
	}
	if _, _, err := fleet.RollOut(ctx, filepath.Join(source, "bundle.yaml")); err != nil {
		return "", err
	}
	// By then the warm-up of the new endpoints has ended.
	time.Sleep(6 * time.Second)
	timer := time.AfterFunc(c.Duration/3, func() { killEndpoints(fleet, s) })
	defer timer.Stop()
	results, outcomes := caller.New(caller.NewTransport()).Run(ctx, caller.Load{
		Addresses: callerAddresses(fleet, s), Streams: streams, Duration: c.Duration, Scale: 1, Seed: c.Seed, Prefix: "serving",
	})
	violations := c.checkHistory(ctx, fleet, s, outcomes)
	return tableRows(s, baseline, results) + violations, nil
}

// endpointsToKill returns the endpoints that a scenario kills.
func endpointsToKill(fleet *launcher.Fleet, s scenario) []launcher.Endpoint {
	var list []launcher.Endpoint
	for i, endpoint := range fleet.Endpoints {
		inFirstZone := endpoint.Settings.Node.AvailabilityZone == fleet.Deployment.AvailabilityZones[0]
		if (s.killed == "third" && i%3 == 0) || (s.killed == "zone" && inFirstZone) {
			list = append(list, endpoint)
		}
	}
	return list
}

// killEndpoints kills the nodes and upstreams of the endpoints that the scenario kills.
func killEndpoints(fleet *launcher.Fleet, s scenario) {
	for _, endpoint := range endpointsToKill(fleet, s) {
		_ = fleet.Signal(endpoint.Settings.Node.ID, syscall.SIGKILL)
		_ = fleet.Signal("upstream-"+endpoint.Settings.Node.ID, syscall.SIGKILL)
	}
}

// callerAddresses returns the addresses to which callers send. It leaves out nodes that
// will be killed, since their callers would have to switch to another node themselves.
func callerAddresses(fleet *launcher.Fleet, s scenario) []string {
	excluded := map[string]bool{}
	for _, endpoint := range endpointsToKill(fleet, s) {
		excluded[endpoint.Settings.Node.ID] = true
	}
	var addresses []string
	for _, endpoint := range fleet.Endpoints {
		if !excluded[endpoint.Settings.Node.ID] {
			addresses = append(addresses, endpoint.Settings.Listen.Callers)
		}
	}
	return addresses
}

// checkHistory compares the callers' outcomes with the calls that the upstreams ran, and
// returns a line for the page if they disagree. It checks nothing if the scenario kills
// endpoints, because a killed upstream loses its record of calls.
func (c *servingCommand) checkHistory(ctx context.Context, fleet *launcher.Fleet, s scenario, outcomes []history.Outcome) string {
	if s.killed != "" {
		return ""
	}
	effects, err := fleet.Effects(ctx)
	if err != nil {
		return fmt.Sprintf("\nhistory not checked: %s\n", err)
	}
	violations := history.Check(outcomes, effects)
	if len(violations) > 0 {
		return fmt.Sprintf("\nVIOLATED GUARANTEES in the run above: %d, first: %s\n\n", len(violations), violations[0])
	}
	return ""
}

// tableRows returns one table row per stream.
func tableRows(s scenario, baseline bool, results []caller.Result) string {
	policy := "rank, two choices"
	if baseline {
		policy = "baseline: first in, first out; random"
	}
	var rows strings.Builder
	for _, r := range results {
		fmt.Fprintf(&rows, "| %s | %s | %s | %d | %.2f%% | %d | %d | %d | %s | %s |\n", s.name, policy, r.Name, r.Sent,
			100*r.FractionInTime(), r.NotRun, r.Unknown, r.Failed, r.Median.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond))
	}
	return rows.String()
}
