package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/standin/caller"
	"github.com/tamarackscale/tamarackscale/tools/launcher"
)

type pathCommand struct {
	Calls  int    `default:"4000" help:"Calls of each kind."`
	Folder string `default:"run/path" type:"path" help:"Folder for binaries, settings and logs."`
	Docs   string `default:"docs/measurements" type:"path" help:"Folder for the table."`
}

// Run sends the same calls directly to an upstream, through the node on the same VM, and
// through a node on another VM. It alternates between them, so that noise on the machine
// affects all of them alike.
func (c *pathCommand) Run(ctx context.Context) error {
	if err := launcher.Build(ctx, c.Folder); err != nil {
		return err
	}
	deployment := &launcher.Deployment{
		Name: "path", AvailabilityZones: []string{"kremnica-a", "kremnica-b", "kremnica-c", "kremnica-d"},
		Services: []launcher.Service{
			{Name: "catalogue", Endpoints: 1, Slots: 12, Connections: 110, Work: 0, BodyBytes: 512},
			{Name: "gifts", Endpoints: 4, Slots: 12, Connections: 110, Work: 0, BodyBytes: 512},
			{Name: "bookings", Endpoints: 3, Slots: 12, Connections: 110, Work: 0, BodyBytes: 512},
			{Name: "kilns", Endpoints: 4, Slots: 12, Connections: 110, Work: 0, BodyBytes: 512},
		},
	}
	fleet, err := launcher.Start(ctx, launcher.Config{Deployment: deployment, Folder: c.Folder, BasePort: 24000})
	if fleet != nil {
		defer func() { _ = fleet.Stop() }()
	}
	if err != nil {
		return err
	}
	joinCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := fleet.WaitMembers(joinCtx); err != nil {
		return err
	}
	if _, _, err := fleet.RollOut(ctx, "deployments/kremnica/bundle.yaml"); err != nil {
		return err
	}
	// The services in the bundle have a warm-up time of 5 s.
	time.Sleep(5 * time.Second)
	return c.measurePaths(ctx, fleet)
}

// callPath is one way to send a call to an upstream, with its measured latencies.
type callPath struct {
	name string
	// address receives the call; path is the path of its URL.
	address string
	path    string
	keyed   bool
	samples []time.Duration
}

// measurePaths sends c.Calls calls over each path, one call at a time, and writes the page.
// It returns an error if a call is not answered.
func (c *pathCommand) measurePaths(ctx context.Context, fleet *launcher.Fleet) error {
	// The endpoints are in the order of the services in Run: 0 is that of the catalogue, 1 to
	// 4 are those of gifts. Endpoint 4 is in the same availability zone as endpoint 0.
	catalogue := fleet.Endpoints[0]
	remote := fleet.Endpoints[4]
	callPaths := []*callPath{
		{name: "direct", address: catalogue.UpstreamAddress, path: "/catalogue"},
		{name: "node beside the upstream", address: catalogue.Settings.Listen.Callers, path: "/catalogue"},
		{name: "node of another VM", address: remote.Settings.Listen.Callers, path: "/catalogue"},
		{name: "keyed order, direct", address: fleet.Endpoints[1].UpstreamAddress, path: "/gifts", keyed: true},
		{name: "keyed order, claimed at three nodes", address: fleet.Endpoints[1].Settings.Listen.Callers, path: "/gifts", keyed: true},
	}
	client := caller.New(caller.NewTransport())
	for i := range c.Calls {
		for _, p := range callPaths {
			stream := caller.Stream{Name: "path", Tenant: "townHall", Method: http.MethodGet, Path: p.path, Timeout: time.Second}
			if p.keyed {
				stream.Method, stream.Keyed = http.MethodPost, true
			}
			start := time.Now()
			reply := client.Call(ctx, p.address, stream, fmt.Sprintf("%s-%d", p.name, i))
			if !reply.Answered {
				return fmt.Errorf("%s: call %d was not answered: %+v", p.name, i, reply)
			}
			p.samples = append(p.samples, time.Since(start))
		}
	}
	return c.writePage(callPaths)
}

// writePage writes the table of the latencies. The latency added by a path is relative to
// the nearest direct path at or before it in the list.
func (c *pathCommand) writePage(callPaths []*callPath) error {
	var page strings.Builder
	fmt.Fprintf(&page, "# Added time: measured\n\nWritten by `go run ./tools/measure path` on %s: %d calls per path, alternating, one at a time; header %s set.\n\n",
		time.Now().UTC().Format("2006-01-02 15:04 MST"), c.Calls, framer.TenantHeader)
	page.WriteString("| path | median | p99 | added at the median | added at p99 |\n|---|---|---|---|---|\n")
	var direct *callPath
	for _, p := range callPaths {
		sort.Slice(p.samples, func(i, j int) bool { return p.samples[i] < p.samples[j] })
		if strings.HasSuffix(p.name, "direct") {
			direct = p
		}
		percentile := func(p *callPath, percent int) time.Duration { return p.samples[len(p.samples)*percent/100] }
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s |\n", p.name, roundMicroseconds(percentile(p, 50)), roundMicroseconds(percentile(p, 99)),
			roundMicroseconds(percentile(p, 50)-percentile(direct, 50)), roundMicroseconds(percentile(p, 99)-percentile(direct, 99)))
	}
	fmt.Print(page.String())
	if err := os.MkdirAll(c.Docs, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Docs, "path.md"), []byte(page.String()), 0o644)
}

func roundMicroseconds(d time.Duration) time.Duration { return d.Round(time.Microsecond) }
