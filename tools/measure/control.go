package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
	"github.com/tamarackscale/tamarackscale/internal/input/decoder"
	"github.com/tamarackscale/tamarackscale/standin/platform"
	"github.com/tamarackscale/tamarackscale/tools/baseline"
	"github.com/tamarackscale/tamarackscale/tools/fitter"
	"github.com/tamarackscale/tamarackscale/tools/launcher"
)

// The size of the target deployment.
const (
	targetNodes    = 710
	targetZones    = 6
	targetServices = 27
)

type controlCommand struct {
	Sizes   []int         `default:"24,48,96,144" help:"Numbers of nodes."`
	Zones   int           `default:"6" help:"Availability zones."`
	Name    string        `default:"control" help:"Name of the table and the plot."`
	Idle    time.Duration `default:"20s" help:"How long the idle fleet is watched."`
	Changes int           `default:"5" help:"Versions rolled out at each size."`
	Folder  string        `default:"run/measure" type:"path" help:"Folder for binaries, settings and logs."`
	Docs    string        `default:"docs/measurements" type:"path" help:"Folder for the table and the plot."`
}

// controlRow is the cost measured at one fleet size. Values per node are means over the
// nodes; the fields named after the worst node are maxima.
type controlRow struct {
	nodes               int
	memory, memoryWorst float64       // bytes
	cpu, cpuWorst       float64       // cores
	bytes, bytesWorst   float64       // bytes per second, idle, in and out
	crossBytes          float64       // bytes per second, idle, sum over all nodes
	messages            float64       // messages per second and node, idle
	platformIdle        float64       // calls per second of the whole fleet
	platformChange      float64       // calls per change of the whole fleet
	changeBytes         float64       // bytes per node and change, in and out
	changeCross         float64       // bytes per change between zones
	median, p99, worst  time.Duration // convergence, each the maximum over the changes
	baseline            baseline.Result
}

// Run measures the product and the baseline at each size and writes the table and the plot.
func (c *controlCommand) Run(ctx context.Context) error {
	if err := launcher.Build(ctx, c.Folder); err != nil {
		return err
	}
	var rows []controlRow
	for i, size := range c.Sizes {
		row, err := c.measure(ctx, size, 20000+i)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", size, err)
		}
		row.baseline, err = baseline.Measure(ctx, size, c.bundleContent)
		if err != nil {
			return err
		}
		fmt.Printf("%+v\n", row)
		rows = append(rows, row)
	}
	return c.writePage(rows)
}

// targetDeployment returns a deployment of size endpoints, spread evenly over the services
// of the target and the given number of zones.
func targetDeployment(size, zones int) *launcher.Deployment {
	d := &launcher.Deployment{Name: "target"}
	for zone := range zones {
		d.AvailabilityZones = append(d.AvailabilityZones, fmt.Sprintf("zone-%d", zone))
	}
	for service := range targetServices {
		count := size / targetServices
		if service < size%targetServices {
			count++
		}
		d.Services = append(d.Services, launcher.Service{Name: fmt.Sprintf("service-%02d", service), Endpoints: count})
	}
	return d
}

// targetBundle returns a bundle with as many services and routes as the target's. The
// number sets the deadline of one route, so that versions differ.
func targetBundle(zones []string, number int) *parser.Bundle {
	b := &parser.Bundle{FormatVersion: parser.FormatVersion, Name: "target", AvailabilityZones: zones}
	for i := range 6 {
		b.Ranks = append(b.Ranks, parser.Rank{Name: fmt.Sprintf("rank-%d", i), Floor: 0.05, MaxQueue: 64})
	}
	for i := range targetServices {
		name := fmt.Sprintf("service-%02d", i)
		b.Services = append(b.Services, parser.Service{
			Name: name, EndpointPolicy: parser.EndpointPolicy{MaxSlots: 12, MaxConnections: 110},
		})
		for j := range 8 {
			b.Routes = append(b.Routes, parser.Route{
				Name: fmt.Sprintf("route-%02d-%d", i, j), Method: "*", PathPrefix: fmt.Sprintf("/%s/%d", name, j),
				Service: name, Rank: fmt.Sprintf("rank-%d", j%6), Idempotent: true,
				Deadline: decoder.Duration(time.Second), Retry: parser.RetryPolicy{MaxAttempts: 2, Budget: 0.1},
			})
		}
	}
	b.Routes[number%len(b.Routes)].Deadline = decoder.Duration(time.Duration(number+2) * time.Second)
	return b
}

// bundleContent returns the canonical form of the bundle of a change.
func (c *controlCommand) bundleContent(number int) ([]byte, error) {
	return parser.Canonical(targetBundle(targetDeployment(0, c.Zones).AvailabilityZones, number))
}

// writeBundle writes the bundle file of a change and returns its path.
func (c *controlCommand) writeBundle(zones []string, number int) (string, error) {
	data, err := yaml.Marshal(targetBundle(zones, number))
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Folder, "bundle.yaml")
	return path, os.WriteFile(path, data, 0o600)
}

// measure starts a fleet of size nodes on ports from port upwards and measures it first
// idle, then during changes.
func (c *controlCommand) measure(ctx context.Context, size, port int) (controlRow, error) {
	deployment := targetDeployment(size, c.Zones)
	fleet, err := launcher.Start(ctx, launcher.Config{
		Deployment: deployment, Folder: c.Folder, BasePort: port, NoUpstreams: true,
	})
	if fleet != nil {
		defer func() { _ = fleet.Stop() }()
	}
	if err != nil {
		return controlRow{}, err
	}
	joinCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := fleet.WaitMembers(joinCtx); err != nil {
		return controlRow{}, err
	}
	row := controlRow{nodes: size}
	if _, err := c.rollOut(ctx, fleet, 0); err != nil {
		return row, err
	}
	// By then the member exchanges and the assignment of seats at startup have ended.
	time.Sleep(5 * time.Second)
	if err := c.measureIdle(ctx, fleet, &row); err != nil {
		return row, err
	}
	return row, c.measureChanges(ctx, fleet, &row)
}

// rollOut rolls out the bundle of a change and returns how fast it came into force.
func (c *controlCommand) rollOut(ctx context.Context, fleet *launcher.Fleet, number int) (launcher.Convergence, error) {
	path, err := c.writeBundle(fleet.Deployment.AvailabilityZones, number)
	if err != nil {
		return launcher.Convergence{}, err
	}
	version, _, err := fleet.RollOut(ctx, path)
	if err != nil {
		return launcher.Convergence{}, err
	}
	return fleet.Convergence(ctx, version)
}

// snapshot holds the metrics of all nodes and the platform's call counts at one time.
type snapshot struct {
	at       time.Time
	nodes    []launcher.Sample
	platform platform.Calls
}

// takeSnapshot requests the metrics of one node after the other, and then the call counts.
// Its time is that of the first request.
func takeSnapshot(ctx context.Context, fleet *launcher.Fleet) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, endpoint := range fleet.Endpoints {
		sample, err := launcher.Metrics(ctx, endpoint)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, sample)
	}
	calls, err := fleet.PlatformCalls(ctx)
	s.platform = calls
	return s, err
}

func totalCalls(c platform.Calls) float64 { return float64(c.Total()) }

// increases returns the increase of a metric on each node between two snapshots.
func increases(before, after snapshot, metric string, labels ...string) []float64 {
	perNode := make([]float64, len(after.nodes))
	for i := range after.nodes {
		perNode[i] = after.nodes[i].Sum(metric, labels...) - before.nodes[i].Sum(metric, labels...)
	}
	return perNode
}

// meanAndWorst returns the mean and the maximum of values that are not negative.
func meanAndWorst(values []float64) (mean, worst float64) {
	for _, value := range values {
		mean += value / float64(len(values))
		worst = max(worst, value)
	}
	return mean, worst
}

// measureIdle measures the idle fleet and fills in the row's values for it.
func (c *controlCommand) measureIdle(ctx context.Context, fleet *launcher.Fleet, row *controlRow) error {
	before, err := takeSnapshot(ctx, fleet)
	if err != nil {
		return err
	}
	time.Sleep(c.Idle)
	after, err := takeSnapshot(ctx, fleet)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	row.cpu, row.cpuWorst = meanAndWorst(increases(before, after, "process_cpu_seconds_total"))
	row.bytes, row.bytesWorst = meanAndWorst(increases(before, after, "tamarackscale_control_bytes_total"))
	cross, _ := meanAndWorst(increases(before, after, "tamarackscale_control_bytes_total", `scope="cross"`))
	row.messages, _ = meanAndWorst(increases(before, after, "tamarackscale_control_messages_total"))
	row.cpu, row.cpuWorst = row.cpu/seconds, row.cpuWorst/seconds
	row.bytes, row.bytesWorst = row.bytes/seconds, row.bytesWorst/seconds
	row.crossBytes = cross * float64(row.nodes) / seconds
	row.messages /= seconds
	row.platformIdle = (totalCalls(after.platform) - totalCalls(before.platform)) / seconds
	var memory []float64
	for _, sample := range after.nodes {
		memory = append(memory, sample.Sum("process_resident_memory_bytes"))
	}
	row.memory, row.memoryWorst = meanAndWorst(memory)
	return nil
}

// measureChanges rolls out c.Changes versions and fills in the row's values per change. It
// subtracts the traffic and the calls of the idle fleet, so measureIdle must run first.
func (c *controlCommand) measureChanges(ctx context.Context, fleet *launcher.Fleet, row *controlRow) error {
	before, err := takeSnapshot(ctx, fleet)
	if err != nil {
		return err
	}
	for number := range c.Changes {
		convergence, err := c.rollOut(ctx, fleet, number+1)
		if err != nil {
			return err
		}
		row.median = max(row.median, convergence.Median)
		row.p99, row.worst = max(row.p99, convergence.P99), max(row.worst, convergence.Worst)
	}
	after, err := takeSnapshot(ctx, fleet)
	if err != nil {
		return err
	}
	seconds, changes := after.at.Sub(before.at).Seconds(), float64(c.Changes)
	transferred, _ := meanAndWorst(increases(before, after, "tamarackscale_control_bytes_total"))
	cross, _ := meanAndWorst(increases(before, after, "tamarackscale_control_bytes_total", `scope="cross"`))
	row.changeBytes = (transferred - row.bytes*seconds) / changes
	row.changeCross = (cross*float64(row.nodes) - row.crossBytes*seconds) / changes
	row.platformChange = (totalCalls(after.platform) - totalCalls(before.platform) - row.platformIdle*seconds) / changes
	return nil
}

// writePage writes the tables of the measured and the fitted values, and the plot.
func (c *controlCommand) writePage(rows []controlRow) error {
	if err := os.MkdirAll(c.Docs, 0o755); err != nil {
		return err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Control: measured\n\nWritten by `go run ./tools/measure control` on %s: %d changes per size, idle measured for %s, "+
		"bundle of %d services and %d routes, %d zones.\n\n", time.Now().UTC().Format("2006-01-02 15:04 MST"), c.Changes, c.Idle,
		targetServices, 8*targetServices, c.Zones)
	page.WriteString("| nodes | RSS MB mean / worst | CPU % of a core mean / worst, idle | control B/s per node mean / worst, idle | messages/s per node | cross-zone B/s, fleet | platform calls/s idle | platform calls per change | control B per node and change | cross-zone B per change | convergence median / p99 / worst |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&page, "| %d | %.1f / %.1f | %.2f / %.2f | %.0f / %.0f | %.2f | %.0f | %.2f | %.1f | %.0f | %.0f | %s / %s / %s |\n",
			r.nodes, r.memory/1e6, r.memoryWorst/1e6, 100*r.cpu, 100*r.cpuWorst, r.bytes, r.bytesWorst, r.messages,
			r.crossBytes, r.platformIdle, r.platformChange, r.changeBytes, r.changeCross, r.median, r.p99, r.worst)
	}
	page.WriteString("\nBaseline in the same run: every node watches the platform and renews its own lease.\n\n")
	page.WriteString("| nodes | platform calls/s idle | platform calls per change | bytes from the platform per change | convergence worst | calls refused |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&page, "| %d | %.1f | %.0f | %.0f | %s | %.1f%% |\n",
			r.nodes, r.baseline.Idle, r.baseline.Change, r.baseline.Bytes, r.baseline.Worst, 100*r.baseline.Refused)
	}
	series := seriesOf(rows)
	page.WriteString("\nFitted lines (least squares) and their value at 710 nodes:\n\n| quantity | intercept | slope per node | R2 | at 710 |\n|---|---|---|---|---|\n")
	for _, s := range series {
		line := s.Line()
		fmt.Fprintf(&page, "| %s (%s) | %.4g | %.4g | %.2f | %.4g |\n", s.Name, s.Unit, line.Intercept, line.Slope, line.R2, line.At(targetNodes))
	}
	page.WriteString("\n![plot](" + c.Name + ".svg)\n")
	if err := os.WriteFile(filepath.Join(c.Docs, c.Name+".md"), []byte(page.String()), 0o644); err != nil {
		return err
	}
	return fitter.Draw(filepath.Join(c.Docs, c.Name+".svg"), "Control cost by fleet size", series)
}

// seriesOf returns the quantities to which lines are fitted, with one value per row.
func seriesOf(rows []controlRow) []fitter.Series {
	quantities := []struct {
		name, unit string
		value      func(controlRow) float64
	}{
		{"RSS, worst node", "MB", func(r controlRow) float64 { return r.memoryWorst / 1e6 }},
		{"CPU idle, worst node", "% of a core", func(r controlRow) float64 { return 100 * r.cpuWorst }},
		{"control bytes idle, worst node", "B/s", func(r controlRow) float64 { return r.bytesWorst }},
		{"messages idle", "1/s per node", func(r controlRow) float64 { return r.messages }},
		{"control bytes per change", "B per node", func(r controlRow) float64 { return r.changeBytes }},
		{"cross-zone bytes per change", "B", func(r controlRow) float64 { return r.changeCross }},
		{"platform calls idle", "1/s", func(r controlRow) float64 { return r.platformIdle }},
		{"platform calls per change", "calls", func(r controlRow) float64 { return r.platformChange }},
		{"convergence, worst", "ms", func(r controlRow) float64 { return float64(r.worst.Milliseconds()) }},
	}
	var series []fitter.Series
	for _, q := range quantities {
		s := fitter.Series{Name: q.name, Unit: q.unit}
		for _, r := range rows {
			s.Sizes = append(s.Sizes, float64(r.nodes))
			s.Values = append(s.Values, q.value(r))
		}
		series = append(series, s)
	}
	return series
}
