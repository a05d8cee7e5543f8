// Package listener runs an HTTP server as a service of the micro-kernel.
package listener

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

const (
	// headerTimeout limits how long reading the header of a request may take.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a header. net/http makes many times its size of it.
	maxHeaderBytes = 64 << 10
)

// Config configures a server.
type Config struct {
	// Name is the name under which the server is registered.
	Name string
	// Needs names the services that must be started before this one.
	Needs []string
	// Listen opens the network listener. It is called by Start.
	Listen func() (net.Listener, error)
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	Handler     http.Handler
	// Account is the account of the process, from which requests reserve memory, and Connections the number
	// of connections that may be open. Nil and 0 leave both without a bound.
	Account     *accountant.Account
	Connections int
	// AfterStop is called by Stop once the requests in flight have finished or the
	// context of Stop has ended; it may be nil.
	AfterStop func()
}

// Listener is an HTTP server that implements registrar.Service.
type Listener struct {
	config Config
	server *http.Server
}

// New returns a server that does not listen until Start is called.
func New(config Config) *Listener {
	if config.Account == nil {
		config.Account = accountant.New(0)
	}
	if config.Connections <= 0 {
		config.Connections = math.MaxInt
	}
	return &Listener{config: config, server: &http.Server{
		Handler: &accounted{config.Handler, config.Account}, IdleTimeout: config.IdleTimeout,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

// Name implements registrar.Service.
func (l *Listener) Name() string { return l.config.Name }

// Needs implements registrar.Service.
func (l *Listener) Needs() []string { return l.config.Needs }

// Start opens the listener and serves it in the background. It returns the error of
// Listen; a later error of the server is dropped.
func (l *Listener) Start(context.Context) error {
	listener, err := l.config.Listen()
	if err != nil {
		return errors.Wrapf(err, "listen for %s", l.config.Name)
	}
	bounded := l.config.Account.Listen(listener, l.config.Name, l.config.Connections, "")
	go func() { _ = l.server.Serve(bounded) }()
	return nil
}

// Stop shuts the server down gracefully: it accepts no new requests and waits until
// those in flight have finished. It returns the error of ctx if ctx ends first.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if l.config.AfterStop != nil {
		l.config.AfterStop()
	}
	return err
}

// Close closes the server and all its connections immediately.
func (l *Listener) Close() { _ = l.server.Close() }
