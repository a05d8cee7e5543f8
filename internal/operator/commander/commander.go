// Package commander implements the operators' command tamarackscale: its subcommands,
// flags and exit codes.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/input/collector"
	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/operator/follower"
	"github.com/tamarackscale/tamarackscale/internal/operator/printer"
	"github.com/tamarackscale/tamarackscale/internal/platform/connector"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
)

// Exit codes of the operators' command.
const (
	ExitOK = 0
	// ExitFailure is the code of errors that have no code of their own.
	ExitFailure = 1
	// ExitInput means that a file, argument or flag is invalid; the findings are printed.
	ExitInput = 2
	// ExitConflict means that the state of the version or of the rollout does not permit
	// the command, such as after a concurrent change by another operator.
	ExitConflict = 3
	// ExitPlatform means that the platform was unavailable or the outcome of a write is
	// unknown.
	ExitPlatform = 4
	// ExitAborted means that the rollout was aborted and its version is not in force.
	ExitAborted = 5
	// ExitTimeout means that the command timed out waiting; the rollout continues.
	ExitTimeout = 6
	// ExitRefused means that the node would refuse the request.
	ExitRefused = 7
)

// Globals holds the flags that every command accepts.
type Globals struct {
	Platform string           `default:"127.0.0.1:18000" env:"TAMARACKSCALE_PLATFORM" help:"Address of the platform's service, IP:port."`
	Timeout  time.Duration    `default:"5s" help:"Longest wait for one answer of the platform."`
	Output   printer.Format   `default:"table" enum:"table,json" short:"o" help:"Output: ${enum}."`
	Operator string           `env:"TAMARACKSCALE_OPERATOR" help:"Name of the operator who acts."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Commands defines the command line for package kong.
type Commands struct {
	Globals
	Bundle   bundleCommands   `cmd:"" help:"Check, create, sign and compare versions."`
	Rollout  rolloutCommands  `cmd:"" help:"Roll versions out and follow them."`
	Release  releaseCommands  `cmd:"" help:"Look at rollouts of services' versions."`
	Node     nodeCommands     `cmd:"" help:"Look at nodes."`
	Explain  explainCommand   `cmd:"" help:"Show where a node would send a request now and why, without sending it."`
	Key      keyCommands      `cmd:"" help:"Make operators' keys."`
	Settings settingsCommands `cmd:"" help:"Check settings of nodes."`
	Console  consoleCommand   `cmd:"" help:"Serve the operators' HTTP interface."`
	Docs     docsCommand      `cmd:"" hidden:"" help:"Write the page of commands."`
}

// session holds what the Run methods of the commands depend on.
type session struct {
	context   context.Context
	globals   Globals
	printer   *printer.Printer
	publisher *publisher.Publisher
	store     keeper.Store
	// client requests pages of nodes.
	client *http.Client
}

// UsageError is returned for invalid or missing flags and for files that cannot be read.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// Run parses the arguments, runs the command and returns the exit code. It writes
// results to stdout and errors to stderr.
func Run(ctx context.Context, version string, arguments []string, stdout, stderr io.Writer) int {
	var commands Commands
	// kong requests the exit code in a callback after --help or --version.
	parserExit := -1
	parser, err := kong.New(&commands,
		kong.Name("tamarackscale"),
		kong.Description("Checks, signs and rolls out versions of a service mesh's configuration."),
		kong.Vars{"version": version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { parserExit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	parsed, err := parser.Parse(arguments)
	if parserExit >= 0 {
		return parserExit
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "tamarackscale:", err)
		return ExitInput
	}
	err = checkGlobals(commands.Globals)
	if err == nil {
		err = parsed.Run(newSession(ctx, commands.Globals, stdout))
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

// checkGlobals returns a *UsageError for an invalid flag. It rejects host names, since
// the platform is addressed by IP only.
func checkGlobals(globals Globals) error {
	if _, err := netip.ParseAddrPort(globals.Platform); err != nil {
		return &UsageError{fmt.Sprintf("--platform: %q is not an address of the form IP:port", globals.Platform)}
	}
	if globals.Timeout <= 0 {
		return &UsageError{"--timeout must be above 0s"}
	}
	return nil
}

func newSession(ctx context.Context, globals Globals, stdout io.Writer) *session {
	transport := verifier.New(&http.Transport{Proxy: http.ProxyFromEnvironment})
	store := connector.New(connector.Config{Address: globals.Platform, Timeout: globals.Timeout}, transport)
	return &session{
		context: ctx, globals: globals, printer: printer.New(globals.Output, stdout),
		publisher: publisher.New(store, time.Now), store: store, client: &http.Client{Transport: transport, Timeout: globals.Timeout},
	}
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if hasType[collector.Findings](err) || hasType[*UsageError](err) {
		return ExitInput
	}
	if hasType[*publisher.AlreadySignedError](err) || hasType[*publisher.NotSignedError](err) ||
		hasType[*publisher.HomeMovedError](err) || hasType[*decider.ActiveError](err) ||
		hasType[*decider.OldVersionError](err) || hasType[*keeper.ConflictError](err) {
		return ExitConflict
	}
	if hasType[*keeper.UnknownOutcomeError](err) || hasType[*keeper.UnavailableError](err) {
		return ExitPlatform
	}
	if hasType[*follower.AbortedError](err) {
		return ExitAborted
	}
	if hasType[*follower.TimeoutError](err) {
		return ExitTimeout
	}
	if hasType[*RefusedError](err) {
		return ExitRefused
	}
	return ExitFailure
}

// hasType reports whether err or an error that it wraps is of type T.
func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// operator returns the name of the operator, or a *UsageError if there is none.
func (s *session) operator() (string, error) {
	if s.globals.Operator == "" {
		return "", &UsageError{"--operator (or TAMARACKSCALE_OPERATOR) is required; the operator's name is recorded"}
	}
	return s.globals.Operator, nil
}
