// Package connector speaks the upstreams' published HTTP protocol. It is the one
// file to replace for another kind of upstream.
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

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

// Invoker runs a call at an upstream. Its error is a *framer.Refusal that says
// whether the call may have been run.
type Invoker interface {
	Invoke(ctx context.Context, address string, call *framer.Call) (*framer.Answer, error)
}

// HTTP implements Invoker.
type HTTP struct{ transport http.RoundTripper }

// New returns an invoker on the given transport.
func New(transport http.RoundTripper) *HTTP { return &HTTP{transport: transport} }

// NewTransport returns a transport for calls to one upstream, whose answers are
// passed on as they are.
func NewTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Invoke implements Invoker. A connection whose request was abandoned is closed
// by the transport and never used again.
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

// OneShot wraps a body so that the transport can never send it, and with it the
// request, a second time on its own. That holds for empty bodies too: requests
// with an Idempotency-Key and no body count as repeatable for net/http.
func OneShot(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewBuffer(body))
}

func refusalOf(ctx context.Context, connected bool, err error) error {
	if !connected {
		if ctx.Err() != nil {
			return framer.Refuse(framer.DeadlineExceeded, "no connection to the upstream in time")
		}
		return framer.Refuse(framer.UpstreamUnreachable, "no connection to the upstream: %s", err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return framer.RefuseUnknown(framer.DeadlineExceeded, "the upstream did not answer in time")
	case ctx.Err() != nil:
		return framer.RefuseUnknown(framer.Cancelled, "the caller went away while the upstream worked")
	default:
		return framer.RefuseUnknown(framer.UpstreamAnswerBroken, "the upstream's answer failed: %s", err)
	}
}

// answerOf checks that the answer belongs to the call.
func answerOf(response *http.Response, call *framer.Call) (*framer.Answer, error) {
	if outcome := response.Header.Get(framer.OutcomeHeader); outcome == string(framer.NotRun) {
		_ = response.Body.Close()
		refusal := framer.Refuse(framer.UpstreamShed, "the upstream refused the call (HTTP %d)", response.StatusCode)
		refusal.Exhausted = response.Header.Get(framer.ExhaustedHeader) != ""
		return nil, refusal
	}
	if id := response.Header.Get(framer.RequestHeader); id != "" && id != call.ID {
		_ = response.Body.Close()
		return nil, framer.RefuseUnknown(framer.UpstreamAnswerBroken, "the upstream answered another request")
	}
	answer := &framer.Answer{Status: response.StatusCode, Header: http.Header{}, Length: response.ContentLength, Body: response.Body}
	framer.CopyHeader(answer.Header, response.Header)
	answer.Header.Del(framer.OutcomeHeader)
	return answer, nil
}
