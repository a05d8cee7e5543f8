// Package acceptor serves the connections of callers. Requests that follow one
// another on a connection run side by side; their answers keep the order.
package acceptor

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// Response is the answer to one call: an upstream's, or a failure of our own.
type Response struct {
	// Answer is an upstream's if Own is false.
	Answer carrier.Answer
	Own    bool
	// Status, Reason and Pause describe a failure of our own. Pause is when the
	// caller may come back; zero says nothing.
	Status int
	Reason string
	Pause  time.Duration
}

// Handler answers calls. The context ends when the caller is gone.
type Handler interface {
	Handle(ctx context.Context, call carrier.Call, received time.Time) Response
	// Nested says whether the upstream beside the node makes the call for one
	// that it runs.
	Nested(call carrier.Call) bool
	// Limits returns the limits in force.
	Limits() router.Limits
}

// Dialect is how callers are spoken to.
type Dialect interface {
	DecodeCall(r *http.Request, body []byte) carrier.Call
	EncodeAnswer(w *bufio.Writer, call carrier.Call, a carrier.Answer, last bool) error
	EncodeFailure(w *bufio.Writer, call carrier.Call, status int, reason string, pause time.Duration, last bool) error
}

// Acceptor serves callers.
type Acceptor struct {
	dialect Dialect
	handler Handler

	inFlight atomic.Int64
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// New returns an acceptor that has no listener yet.
func New(dialect Dialect, handler Handler) *Acceptor {
	return &Acceptor{dialect: dialect, handler: handler, conns: map[*conn]struct{}{}}
}

// Serve takes connections until the listener is closed.
func (a *Acceptor) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := newConn(a, raw)
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		go c.serve()
	}
}

func (a *Acceptor) forget(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// InFlight returns the number of calls that have no answer yet.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

// Stop makes each connection end with its next answer.
func (a *Acceptor) Stop() { a.stopping.Store(true) }

// CloseIdle closes the connections that have no call in flight.
func (a *Acceptor) CloseIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.open.Load() == 0 {
			_ = c.raw.Close()
		}
	}
}

// Close ends every connection.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.raw.Close()
	}
}
