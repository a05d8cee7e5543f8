package executor

import (
	"bufio"
	"io"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// Outgoing is one call as it is sent to an upstream.
type Outgoing struct {
	Call carrier.Call
	// Instance is who must run the call; another upstream refuses it.
	Instance string
	// CallerService is the service on the VM where the call began.
	CallerService string
	// Remaining is the time that is left of the caller's.
	Remaining time.Duration
}

// Head is an upstream's answer up to its body.
type Head struct {
	Status int
	// ID is the call that the upstream says it answers.
	ID string
	// NotExecuted says that the upstream has not run the call.
	NotExecuted bool
	// Misdirected says that another instance has the address.
	Misdirected bool
	// Stamped says that the answer carries the upstream's signature.
	Stamped bool
	// Encoded says that the body has an encoding that nobody asked for.
	Encoded bool
	// Close says that the connection ends with this answer.
	Close bool
	// IdleTimeout is when the upstream closes an idle connection; 0 if unsaid.
	IdleTimeout time.Duration
	Fields      []carrier.Field
	Body        io.ReadCloser
}

// Dialect is how upstreams are spoken to.
type Dialect interface {
	// EncodeCall writes a call; the executor flushes.
	EncodeCall(w *bufio.Writer, o Outgoing) error
	// DecodeAnswer reads the head of the answer to a call of the given method.
	DecodeAnswer(r *bufio.Reader, method string) (Head, error)
}
