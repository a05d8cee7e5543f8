package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails for a broken answer: RoundTrip for a head that breaks the
// protocol, and the last read of a body for one that ends with its connection and is not known to be whole.
type Transport struct{ base *http.Transport }

// Dial opens a connection to a network address, as that of an http.Transport does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a transport on a base, which it takes over: connections of the base serve only the requests
// that are sent through the result. The base must have its DialContext, if any, before.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base}
}

// CloseIdleConnections closes the connections that no request uses. Package http looks for this method.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. Its error is a *HeadError or that of the base.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { e.begin(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { e.wrote(info.Err) },
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if headErr := e.headError(); headErr != nil {
		if err == nil {
			_ = response.Body.Close()
		}
		return nil, headErr
	}
	if err != nil {
		return nil, err
	}
	if EndsWithConnection(response, request.Method) {
		response.Body = &unframedBody{ReadCloser: response.Body, exchange: e}
	}
	return response, nil
}
