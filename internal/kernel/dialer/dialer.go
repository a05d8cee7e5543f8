// Package dialer opens and takes connections. Tests put a network in memory in
// the place of TCP.
package dialer

import (
	"context"
	"net"
)

// Network opens and takes connections.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the Network of real nodes.
type TCP struct {
	// KeepAlive tells a connection that has gone silent from an idle one. The
	// zero value is that of net.Dialer.
	KeepAlive net.KeepAliveConfig
}

// Dial opens a TCP connection.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAliveConfig: t.KeepAlive}).DialContext(ctx, "tcp", address)
}

// Listen listens for TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
