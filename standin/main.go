// Command standin runs stand-ins for the systems around the product, for examples
// and tests: the platform's key-value service and upstreams. It is not part of the
// product.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/standin/platform"
	"github.com/tamarackscale/tamarackscale/standin/upstream"
)

type platformCommand struct {
	Listen string `required:"" help:"IP:port."`
	Writes int    `default:"400" help:"Writes a second; 0 is no limit."`
	Reads  int    `default:"2000" help:"Reads a second; 0 is no limit."`
}

// Run serves the platform's key-value service until the context ends.
func (c *platformCommand) Run(ctx context.Context) error {
	engine := platform.New(platform.Limits{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads})
	return serve(ctx, c.Listen, engine.Handler())
}

type upstreamCommand struct {
	Listen      string        `required:"" help:"IP:port."`
	Admin       string        `required:"" help:"Admin address of the node on the same VM."`
	Service     string        `required:"" help:"Service to announce."`
	Slots       int           `default:"12"`
	Connections int           `default:"110"`
	Work        time.Duration `default:"5ms" help:"Mean service time."`
	Warm        time.Duration `default:"0s" help:"Time in state warming."`
	BodyBytes   int           `default:"256"`
}

// Run serves an upstream and sends its heartbeats to its node until the context ends.
func (c *upstreamCommand) Run(ctx context.Context) error {
	u := upstream.New(upstream.Config{
		Address: c.Listen, Service: c.Service, Slots: c.Slots, Connections: c.Connections,
		Work: c.Work, Warm: c.Warm, BodyBytes: c.BodyBytes,
	})
	go u.SendHeartbeats(ctx, &http.Client{Timeout: time.Second}, c.Admin)
	return serve(ctx, c.Listen, u)
}

// serve serves until the context ends, and then closes the listener and all connections.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	var commands struct {
		Platform platformCommand `cmd:"" help:"Play the platform's key-value service."`
		Upstream upstreamCommand `cmd:"" help:"Play an upstream."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	parsed := kong.Parse(&commands, kong.Name("standin"), kong.BindTo(ctx, (*context.Context)(nil)))
	err := parsed.Run()
	stop()
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}
