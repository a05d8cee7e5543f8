// Package dialer opens and accepts network connections. Tests replace TCP by an
// in-memory network.
package dialer

import (
	"context"
	"net"
)

// Network opens and accepts connections.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the Network that nodes use in production.
type TCP struct {
	// KeepAlive distinguishes an idle connection from one whose peer is unresponsive.
	// The zero value selects the defaults of net.Dialer.
	KeepAlive net.KeepAliveConfig
}

// Dial opens a TCP connection to the given address.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAliveConfig: t.KeepAlive}).DialContext(ctx, "tcp", address)
}

// Listen listens for TCP connections on the given address.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
