package forwarder

import (
	"context"
	"strings"
)

// Register adds a service to the receiver. Its exported methods that net/rpc accepts can be called by
// other nodes as "name.Method"; their arguments and replies must implement the interfaces of
// package coder. It must be called before Serve.
func (r *Receiver) Register(name string, service any) error {
	return r.server.RegisterName(name, service)
}

// CallService calls "name.Method" of a service that the node at address has registered. A node that
// does not have the service, such as one of an earlier release, replies an error for which
// IsServerError is true. The other errors are those of Call.
func (f *Forwarder) CallService(ctx context.Context, address, method string, args, reply any) error {
	return f.Call(ctx, address, method, args, reply)
}

// IsServerError reports whether an error is the reply of a node, which can be reached.
func IsServerError(err error) bool { return isServerError(err) }

// qualified returns a method with its service: that of the nodes themselves if it names none.
func qualified(method string) string {
	if strings.Contains(method, ".") {
		return method
	}
	return serviceName + "." + method
}
