// Package runner runs a proxy as a process: settings, signals, exit codes.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/proxy/assembler"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
)

// Exit codes of the proxy.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	// gcPercent lets the heap double between collections.
	gcPercent = 100
	// reloadInterval is how often the settings file is looked at for a change
	// that no signal tells of.
	reloadInterval = 2 * time.Second
)

// Options are the proxy's flags.
type Options struct {
	Settings string `env:"TAMARACKSCALE_BOOT" required:"" type:"path" help:"YAML file with the proxy's settings."`
}

// Run runs a proxy until SIGTERM or SIGINT and returns the exit code.
func Run(options Options, output, failures io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	settings, err := reader.Load(options.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(failures, err)
		var findings collector.Findings
		if errors.As(err, &findings) {
			return ExitSettings
		}
		return ExitFailure
	}
	proxy, err := assembler.New(assembler.Config{Settings: settings, Output: output})
	if err == nil {
		err = proxy.Start(context.Background())
	}
	if err != nil {
		_, _ = fmt.Fprintln(failures, err)
		return ExitFailure
	}
	serve(proxy, options.Settings, signals)
	return ExitOK
}

// serve handles signals until one asks the process to stop.
func serve(proxy *assembler.Proxy, path string, signals <-chan os.Signal) {
	look := time.NewTicker(reloadInterval)
	defer look.Stop()
	changed := changedAt(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				proxy.Stop(s.String())
				return
			}
			changed = changedAt(path)
			reload(proxy, path)
		case <-look.C:
			if at := changedAt(path); !at.Equal(changed) {
				changed = at
				reload(proxy, path)
			}
		}
	}
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// The next look tells; the settings in use hold meanwhile.
		return time.Time{}
	}
	return info.ModTime()
}

func reload(proxy *assembler.Proxy, path string) {
	settings, err := reader.Load(path)
	if err == nil {
		proxy.Reload(settings)
	}
	proxy.Reporter().Reloaded(err)
}
