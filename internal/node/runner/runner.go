// Package runner runs a node as a process: it loads the settings, handles signals and
// returns an exit code.
package runner

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/node/assembler"
	"github.com/tamarackscale/tamarackscale/internal/serving/admitter"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
)

// Version is the product's version.
const Version = "0.1.0"

// Exit codes of the node. ExitSettings means that the settings file or the command line
// is invalid, ExitFailure that the settings file can't be read or that the node failed to
// start or stop.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	// gcPercent is the growth of the heap, in percent, that triggers a garbage
	// collection, regardless of GOGC. The live heap of a node is a few megabytes, so
	// frequent collections cost little.
	gcPercent = 40
	// softMemoryLimit is the memory of the Go runtime in bytes near which it collects
	// more often. A node may use 32 MB, of which the pages of the program, which the
	// limit does not count, take about 12 MB.
	softMemoryLimit = 18 << 20
	// programMegabytes is the memory of the process that the runtime does not count, some 12 MB for the
	// pages of the program, with a margin.
	programMegabytes = 20
)

// Options are the node's command-line flags.
type Options struct {
	Settings string           `required:"" type:"path" help:"YAML file with the node's settings."`
	Baseline bool             `hidden:"" help:"Serve first in, first out and choose endpoints at random, for measurements."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// UsageExit maps the exit code of the command-line parser to one of the node: invalid
// flags count as invalid settings.
func UsageExit(code int) int {
	if code == ExitOK {
		return ExitOK
	}
	return ExitSettings
}

// Run runs a node until SIGTERM or SIGINT and returns the exit code. The log goes to
// output; errors of the settings, the start and the stop go to errorOutput.
func Run(options Options, output, errorOutput io.Writer) int {
	settings, err := loader.Load(options.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, err)
		var findings collector.Findings
		if errors.As(err, &findings) {
			return ExitSettings
		}
		return ExitFailure
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimit)
	if limit := settings.Limits.Memory; limit > 0 {
		debug.SetMemoryLimit(int64(max(limit-programMegabytes, 1)) << 20)
	}
	config := assembler.Config{Settings: settings, Output: output}
	if options.Baseline {
		config.Discipline, config.Policy = admitter.FirstInFirstOut, picker.Random
	}
	node, err := assembler.New(config)
	if err == nil {
		err = serveUntilSignal(node, settings)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, err)
		return ExitFailure
	}
	return ExitOK
}

// serveUntilSignal starts the node, waits for a signal and stops the node within the
// grace period of the settings.
func serveUntilSignal(node *assembler.Node, settings *loader.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := node.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), settings.Shutdown.Grace.Std())
	defer cancel()
	return node.Stop(stopCtx)
}
