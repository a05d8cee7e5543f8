// Package connector implements the published HTTP protocol of the upstreams. Another
// kind of upstream requires replacing this file only.
package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

// Invoker sends calls to an upstream and returns its answers. Its error is a
// *framer.Refusal, whose outcome states whether the call may have been run.
type Invoker interface {
	Invoke(ctx context.Context, address string, call *framer.Call) (*framer.Answer, error)
}

// HTTP is the Invoker for upstreams that serve HTTP.
type HTTP struct{ transport http.RoundTripper }

// New returns an invoker on the given transport.
func New(transport http.RoundTripper) *HTTP { return &HTTP{transport: transport} }

// NewTransport returns a transport for calls to one upstream with at most
// maxConnections connections. It does not decompress answers, since they are forwarded
// unchanged.
func NewTransport(maxConnections int, dial verifier.Dial) *verifier.Transport {
	return verifier.New(&http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
}

// Invoke implements Invoker. The transport closes the connection of a cancelled request
// and never reuses it.
func (h *HTTP) Invoke(ctx context.Context, address string, call *framer.Call) (*framer.Answer, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Target, OneShot(call.Body))
	if err != nil {
		return nil, framer.Refuse(framer.BadRequest, "%s", err)
	}
	request.ContentLength = int64(len(call.Body))
	framer.CopyHeader(request.Header, call.Header)
	request.Header.Set(framer.RequestHeader, call.ID)
	request.Header.Set(framer.TenantHeader, call.Tenant)
	request.Header.Set(framer.DepthHeader, strconv.Itoa(call.Depth))
	request.Header.Set(framer.TimeoutHeader, time.Until(call.Deadline).String())
	if call.Key != "" {
		request.Header.Set(framer.KeyHeader, call.Key)
	}
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return nil, refusalOf(ctx, connected, err)
	}
	return answerOf(response, call)
}

// OneShot wraps a body so that the transport can never retry the request on its own.
// Empty bodies need this too: net/http regards requests with an Idempotency-Key and no
// body as replayable.
func OneShot(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewBuffer(body))
}

// refusalOf translates an error of the transport. Without a connection the call was not
// sent, so it was not run.
func refusalOf(ctx context.Context, connected bool, err error) error {
	if !connected {
		if ctx.Err() != nil {
			return framer.Refuse(framer.DeadlineExceeded, "no connection to the upstream in time")
		}
		return framer.Refuse(framer.UpstreamUnreachable, "no connection to the upstream: %s", err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return framer.RefuseUnknown(framer.DeadlineExceeded, "no answer from the upstream before the deadline")
	case ctx.Err() != nil:
		return framer.RefuseUnknown(framer.Cancelled, "the caller disconnected before the upstream answered")
	default:
		return framer.RefuseUnknown(framer.UpstreamAnswerBroken, "no usable answer from the upstream: %s", err)
	}
}

// answerOf translates an answer of the upstream. It returns a refusal if the upstream
// has not run the call, or if the answer belongs to another call.
func answerOf(response *http.Response, call *framer.Call) (*framer.Answer, error) {
	if outcome := response.Header.Get(framer.OutcomeHeader); outcome == string(framer.NotRun) {
		_ = response.Body.Close()
		refusal := framer.Refuse(framer.UpstreamShed, "the upstream did not run the call (HTTP status %d)", response.StatusCode)
		refusal.RetriesExhausted = response.Header.Get(framer.RetriesExhaustedHeader) != ""
		return nil, refusal
	}
	if id := response.Header.Get(framer.RequestHeader); id != "" && id != call.ID {
		_ = response.Body.Close()
		return nil, framer.RefuseUnknown(framer.UpstreamAnswerBroken, "the upstream's answer does not belong to this request")
	}
	answer := &framer.Answer{Status: response.StatusCode, Header: http.Header{}, Length: response.ContentLength, Body: response.Body}
	framer.CopyHeader(answer.Header, response.Header)
	answer.Header.Del(framer.OutcomeHeader)
	return answer, nil
}
