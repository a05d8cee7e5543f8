// Package acceptor serves the connections of callers. Pipelined requests on a
// connection run concurrently; their responses are written in the order of the
// requests.
package acceptor

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// Response is what the caller of one call gets: an upstream's answer or a refusal by
// this node.
type Response struct {
	// Answer is the upstream's answer; it is not used if Refused is true.
	Answer carrier.Answer
	// Refused reports whether the response is a refusal by this node.
	Refused bool
	// Status, Reason and RetryAfter describe a refusal. RetryAfter is how long the caller
	// should wait before it retries; zero if unknown.
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Handler handles calls. The context ends when the caller has disconnected.
type Handler interface {
	Handle(ctx context.Context, call carrier.Call, received time.Time) Response
	// Nested reports whether the node's local upstream makes the call on behalf of one
	// that it runs.
	Nested(call carrier.Call) bool
	// Limits returns the limits in force.
	Limits() router.Limits
}

// Dialect encodes and decodes the protocol between callers and the node. The Encode
// methods flush the writer. If last is true, the response announces the end of the
// connection. A zero retryAfter is not sent.
type Dialect interface {
	DecodeCall(r *http.Request, body []byte) carrier.Call
	EncodeAnswer(w *bufio.Writer, call carrier.Call, a carrier.Answer, last bool) error
	EncodeRefusal(w *bufio.Writer, call carrier.Call, status int, reason string, retryAfter time.Duration, last bool) error
}

// Cause is why a call that was read got no response.
type Cause string

// The causes of unanswered calls.
const (
	// BehindLast is that the call was sent behind one whose response ends the connection.
	BehindLast Cause = "behindLast"
	// ConnectionEnded is that writing an earlier response on the connection had failed.
	ConnectionEnded Cause = "connectionEnded"
	// WriteFailed is that writing the response failed, mostly because the caller has left.
	WriteFailed Cause = "writeFailed"
)

// Observer is notified of calls that were read and got no response.
type Observer interface {
	Unanswered(call carrier.Call, cause Cause)
}

// Acceptor serves the connections of callers. It is safe for concurrent use.
type Acceptor struct {
	dialect Dialect
	handler Handler
	observe Observer
	account *accountant.Account

	inFlight atomic.Int64
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	// closing is set when connections are no longer accepted.
	closing bool
	// removed receives a value when a connection has ended.
	removed chan struct{}
}

// New returns an acceptor that reserves memory from the account. Serve must be called with a listener.
func New(dialect Dialect, handler Handler, observe Observer, account *accountant.Account) *Acceptor {
	return &Acceptor{
		dialect: dialect, handler: handler, observe: observe, account: account, conns: map[*conn]struct{}{},
		removed: make(chan struct{}, 1),
	}
}

// Serve accepts connections until the listener is closed. It bounds their number only if that is a
// listener of the account.
func (a *Acceptor) Serve(l net.Listener) {
	bounded, ok := l.(*accountant.Listener)
	if !ok {
		bounded = a.account.Listen(l, "callers", math.MaxInt, "")
	}
	for {
		raw, err := bounded.AcceptConn()
		if err != nil {
			return
		}
		c := newConn(a, raw)
		if !a.add(c) {
			_ = raw.Close()
			continue
		}
		go c.serve()
	}
}

// add records a connection. It returns false if none is accepted any more.
func (a *Acceptor) add(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing {
		return false
	}
	a.conns[c] = struct{}{}
	return true
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	select {
	case a.removed <- struct{}{}:
	default:
	}
}

// InFlight returns the number of calls whose response is not written yet, including those
// that are being read.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

// Stop makes the acceptor refuse further calls, except nested ones. Each connection ends
// after the response to the last call that was read from it.
func (a *Acceptor) Stop() { a.stopping.Store(true) }

// CloseIdle closes the connections on which no call is in flight or being read. Others are
// closed when that is the case.
func (a *Acceptor) CloseIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.state.retire(c.raw)
	}
}

// Shutdown accepts no further connections, closes each one when it is idle and returns when
// all are closed or the context ends. No request that was read is left without a response,
// except one sent behind the last response, or if the context ends.
func (a *Acceptor) Shutdown(ctx context.Context) {
	a.mu.Lock()
	a.closing = true
	a.mu.Unlock()
	a.CloseIdle()
	for a.open() > 0 {
		select {
		case <-a.removed:
		case <-ctx.Done():
			return
		}
	}
}

// open returns the number of open connections.
func (a *Acceptor) open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// Close closes all connections, which cancels the calls in flight.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.raw.Close()
	}
}
