package assembler

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/platform"
)

const (
	// httpServerTimeout is the idle and header timeout of connections from the platform and the upstream, and
	// bounds the reading of a request, whose body is a heartbeat at most.
	httpServerTimeout = 30 * time.Second
	// httpHeadBytes bounds the head of their requests. net/http makes many times its size of it.
	httpHeadBytes = 4 << 10
	// callerConnections and peerConnections are the fractions of the memory for connections that those
	// of callers and of other nodes may hold, so that callers alone do not shut other nodes out.
	callerConnections = 0.75
	peerConnections   = 0.6
	// connectionRetryAfter is how long a caller waits whose connection was refused.
	connectionRetryAfter = time.Second
)

func (p *Proxy) serveHTTP(l net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, IdleTimeout: httpServerTimeout, ReadTimeout: httpServerTimeout, MaxHeaderBytes: httpHeadBytes,
	}
	p.servers = append(p.servers, server)
	// Serve returns when Close closes the server.
	go func() { _ = server.Serve(l) }()
	return server
}

// connectionRefusal returns the response to a connection beyond the limit. Nothing was read from it.
func connectionRefusal() string {
	var text bytes.Buffer
	// Writing to a buffer does not fail.
	_ = platform.HTTP{}.EncodeRefusal(bufio.NewWriter(&text), carrier.Call{Method: http.MethodGet},
		http.StatusServiceUnavailable, string(carrier.ConnectionLimit), connectionRetryAfter, true)
	return text.String()
}
