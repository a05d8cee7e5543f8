package executor

import (
	"bufio"
	"io"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// Outgoing is a call with what its request to an upstream carries in addition.
type Outgoing struct {
	Call carrier.Call
	// Instance is the instance that must run the call; any other instance refuses it.
	Instance string
	// CallerService is the service on the VM where the call began.
	CallerService string
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Head is the head of an upstream's answer, with a reader for its body.
type Head struct {
	Status int
	// ID is the request ID in the answer. It identifies the call that was answered.
	ID string
	// NotExecuted reports whether the upstream states that it has not run the call.
	NotExecuted bool
	// Misdirected reports whether another instance than the expected one has the
	// address.
	Misdirected bool
	// Stamped reports whether the answer carries the upstream's stamp.
	Stamped bool
	// Encoded reports whether the body has a content encoding. None was requested.
	Encoded bool
	// Close reports whether the upstream closes the connection after this answer.
	Close bool
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if it is
	// not specified.
	IdleTimeout time.Duration
	Fields      []carrier.Field
	Body        io.ReadCloser
}

// Dialect encodes and decodes the protocol between a node and its upstream.
type Dialect interface {
	// EncodeCall writes a call. The executor flushes the writer.
	EncodeCall(w *bufio.Writer, o Outgoing) error
	// DecodeAnswer reads the head of the answer to a call with the given method.
	DecodeAnswer(r *bufio.Reader, method string) (Head, error)
}
