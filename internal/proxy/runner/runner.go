// Package runner runs a proxy as a process: it loads the settings, handles signals and
// returns an exit code.
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
	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/proxy/assembler"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
)

// Exit codes of the proxy. ExitSettings means that the settings file is invalid,
// ExitFailure that it can't be read or that the proxy can't start.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	// gcPercent lets the heap double between garbage collections. It overrides GOGC.
	gcPercent = 100
	// reloadInterval is how often the settings file is checked for a change that was
	// not announced by SIGHUP.
	reloadInterval = 2 * time.Second
)

// programMegabytes is the memory of the process that the Go runtime does not count, some 10 MB for the pages
// of the program, with a margin for what is allocated past the limit while a garbage collection runs. On a
// busy machine 10 MB were too little: a process of 80 MB took 87.
const programMegabytes = 28

// limitMemory makes the garbage collector keep the process within the given memory; 0 is no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(max(megabytes-programMegabytes, 1)) << 20)
	}
}

// Options are the proxy's command-line flags.
type Options struct {
	Settings string `env:"TAMARACKSCALE_BOOT" required:"" type:"path" help:"YAML file with the proxy's settings."`
}

// Run runs a proxy until SIGTERM or SIGINT and returns the exit code. The log goes to
// output, errors of the start go to errorOutput.
func Run(options Options, output, errorOutput io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	source := &file{path: options.Settings}
	settings, err := source.load()
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, err)
		var findings collector.Findings
		if errors.As(err, &findings) {
			return ExitSettings
		}
		return ExitFailure
	}
	limitMemory(settings.Limits.MemoryOrDefault())
	proxy, err := assembler.New(assembler.Config{Settings: settings, Output: output})
	if err == nil {
		err = proxy.Start(context.Background())
	}
	if err != nil {
		_, _ = fmt.Fprintln(errorOutput, err)
		return ExitFailure
	}
	serveUntilSignal(proxy, source, signals)
	return ExitOK
}

// process is the running proxy.
type process interface {
	Stop(reason string)
	Reload(s *reader.Settings)
	Reporter() *reporter.Reporter
}

// serveUntilSignal reloads the settings on SIGHUP and when their file changes, until
// another signal stops the proxy. The stop does not wait for a reload, which may block for
// as long as the file's disk does.
func serveUntilSignal(proxy process, source *file, signals <-chan os.Signal) {
	hangups, done := make(chan struct{}, 1), make(chan struct{})
	go watchSettings(proxy, source, hangups, done)
	for s := range signals {
		if s != syscall.SIGHUP {
			close(done)
			proxy.Stop(s.String())
			return
		}
		select {
		case hangups <- struct{}{}:
		default:
			// A reload that has yet to begin reads the change as well.
		}
	}
}

// watchSettings reloads the settings after each hangup and change of their file, until done
// is closed.
func watchSettings(proxy process, source *file, hangups, done <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-hangups:
			reload(proxy, source)
		case <-ticker.C:
			if source.changed() {
				reload(proxy, source)
			}
		}
	}
}

// file is a settings file.
type file struct {
	path string
	// modified is the time of the file's last modification, taken before it was read last, so
	// that a change while it is read, or until the proxy has started, is noticed.
	modified time.Time
}

// load reads and validates the file.
func (f *file) load() (*reader.Settings, error) {
	f.modified = modTime(f.path)
	return reader.Load(f.path)
}

// changed reports whether the file was modified after it was read last.
func (f *file) changed() bool {
	return !modTime(f.path).Equal(f.modified)
}

// modTime returns when the file was last modified; zero if it can't be read. That counts as
// a change, and so does the return of the file.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file to the running proxy. If the file is unreadable or
// invalid, the settings in use stay in force.
func reload(proxy process, f *file) {
	settings, err := f.load()
	if err == nil {
		proxy.Reload(settings)
	}
	proxy.Reporter().Reloaded(err)
}
