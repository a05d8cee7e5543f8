// Package carrier forwards calls from the node that routes them to the node on the
// upstream's VM. It uses HTTP, which streams bodies and propagates cancellation.
package carrier

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/upstream/connector"
)

// Client runs calls at other nodes.
type Client struct{ transport http.RoundTripper }

// NewClient returns a client that uses the given transport.
func NewClient(transport http.RoundTripper) *Client { return &Client{transport: transport} }

// NewTransport returns the transport for calls to other nodes. Its idle timeout is
// shorter than the server's, so that no call is sent on a connection that the server is
// closing.
func NewTransport(dial verifier.Dial) *verifier.Transport {
	return verifier.New(&http.Transport{
		DialContext:         dial,
		MaxIdleConns:        1024,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,
	})
}

const (
	clientIdleTimeout = 30 * time.Second
	// ServerIdleTimeout is the time after which a node closes an idle connection of a
	// peer.
	ServerIdleTimeout = 3 * time.Minute
)

// Execute runs a call at the node with the given IP:port. The error is a
// *framer.Refusal or a *RefusalWithLoad. The caller must close the answer's body.
func (c *Client) Execute(ctx context.Context, address string, call *framer.Call) (*framer.Answer, error) {
	connected := false
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(
		traced, call.Method, "http://"+address+call.Target, connector.OneShot(call.Body))
	if err != nil {
		cancel()
		return nil, framer.Refuse(framer.BadRequest, "%s", err)
	}
	request.ContentLength = int64(len(call.Body))
	writeCall(request.Header, call)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		defer cancel()
		return nil, refusalOf(ctx, connected, err)
	}
	answer, err := readAnswer(response, call)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancellingBody{answer.Body, cancel}
	return answer, nil
}

// writeCall encodes a call in the headers of a request to another node. The idempotency
// key moves from KeyHeader to NodeKeyHeader.
func writeCall(h http.Header, call *framer.Call) {
	framer.CopyHeader(h, call.Header)
	h.Set(framer.RequestHeader, call.ID)
	h.Set(framer.TenantHeader, call.Tenant)
	h.Set(framer.ServiceHeader, call.Service)
	h.Set(framer.RankHeader, call.Rank)
	h.Set(framer.TimeoutHeader, time.Until(call.Deadline).String())
	h.Set(framer.DepthHeader, strconv.Itoa(call.Depth))
	h.Set(framer.VersionHeader, strconv.FormatInt(call.Version, 10))
	h.Set(framer.NodeHeader, call.Node)
	h.Del(framer.KeyHeader)
	if call.Key != "" {
		h.Set(framer.NodeKeyHeader, call.Key)
	}
}

// refusalOf returns the refusal for a failed round trip. Without a connection the call
// was certainly not run; otherwise its outcome is unknown.
func refusalOf(ctx context.Context, connected bool, err error) error {
	if !connected {
		return framer.Refuse(framer.PeerUnreachable, "no connection to the endpoint's node: %s", err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return framer.RefuseUnknown(framer.DeadlineExceeded, "no answer before the deadline")
	case ctx.Err() != nil:
		return framer.RefuseUnknown(framer.Cancelled, "the caller disconnected")
	default:
		return framer.RefuseUnknown(framer.PeerAnswerBroken, "connection to the endpoint's node failed: %s", err)
	}
}

// RefusalWithLoad is a refusal by another node, with the load of that node's endpoint.
type RefusalWithLoad struct {
	*framer.Refusal
	Load framer.Load
}

// Unwrap returns the *framer.Refusal, for errors.As.
func (r *RefusalWithLoad) Unwrap() error { return r.Refusal }

// readAnswer turns a response of another node into an answer or a refusal. Instead of an
// answer without a valid load or with the ID of another request, it returns a refusal
// with code PeerAnswerBroken.
func readAnswer(response *http.Response, call *framer.Call) (*framer.Answer, error) {
	load, wellFormed := framer.ParseLoad(response.Header.Get(framer.LoadHeader))
	if response.Header.Get(framer.OutcomeHeader) != "" {
		defer response.Body.Close()
		refusal := framer.ReadRefusal(response.Header, response.Body)
		if !wellFormed {
			return nil, refusal
		}
		return nil, &RefusalWithLoad{Refusal: refusal, Load: load}
	}
	if !wellFormed || response.Header.Get(framer.RequestHeader) != call.ID {
		_ = response.Body.Close()
		return nil, framer.RefuseUnknown(framer.PeerAnswerBroken, "the node's response does not belong to this request")
	}
	answer := &framer.Answer{
		Status: response.StatusCode, Header: http.Header{}, Body: response.Body, Length: response.ContentLength, Load: load,
	}
	answer.QueueTime, answer.UpstreamTime = parseTimes(response.Header.Get(framer.TimesHeader))
	framer.CopyHeader(answer.Header, response.Header)
	return answer, nil
}

// formatTimes encodes framer.TimesHeader, in microseconds.
func formatTimes(queueTime, upstreamTime time.Duration) string {
	return fmt.Sprintf("%d/%d", queueTime.Microseconds(), upstreamTime.Microseconds())
}

// parseTimes decodes framer.TimesHeader; a malformed number counts as 0.
func parseTimes(text string) (queueTime, upstreamTime time.Duration) {
	first, second, _ := strings.Cut(text, "/")
	a, _ := strconv.ParseInt(first, 10, 64)
	b, _ := strconv.ParseInt(second, 10, 64)
	return time.Duration(a) * time.Microsecond, time.Duration(b) * time.Microsecond
}
