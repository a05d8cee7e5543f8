package executor

import (
	"bufio"
	"io"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// UpstreamRequest is a call together with the values that the node adds to its request to
// the upstream.
type UpstreamRequest struct {
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
	// Stamped reports whether the answer carries the header field with which an upstream
	// marks its answers. A successful answer without it is not accepted as one.
	Stamped bool
	// Encoded reports whether the body has a content encoding. The node requests none.
	Encoded bool
	// Close reports whether the upstream closes the connection after this answer.
	Close bool
	// EndsWithConnection reports whether the body has no end other than that of the connection.
	EndsWithConnection bool
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if it is
	// not specified.
	IdleTimeout time.Duration
	// RateLimit is what the answer states about the rate of calls that the upstream takes.
	RateLimit RateLimit
	// Draining reports whether the answer states that the upstream is draining.
	Draining bool
	// Fields holds the header fields that are forwarded to the caller.
	Fields []carrier.Field
	// Body must be closed. Length is its length in bytes, negative if it is not declared.
	Body   io.ReadCloser
	Length int64
}

// Dialect encodes and decodes the protocol between a node and its upstream.
type Dialect interface {
	// EncodeCall writes a call. The executor flushes the writer.
	EncodeCall(w *bufio.Writer, request UpstreamRequest) error
	// DecodeAnswer reads the head of the answer to a call with the given method. The
	// connection can't be used after an error.
	DecodeAnswer(r *bufio.Reader, method string) (Head, error)
	// Account returns the name of the account on whose behalf a call with the header fields is made;
	// empty if there is none.
	Account(fields carrier.Fields) string
}
