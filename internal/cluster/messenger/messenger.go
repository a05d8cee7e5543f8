// Package messenger sends typed messages between nodes over net/rpc. It defines
// the wire types and provides a pool of client connections, the server, and the
// counting of bytes and messages.
package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
)

// idleTimeout is how long a client connection may stay unused before it is closed.
//
// Fingers and bridges are called more often than that, so only connections opened
// for single messages are closed; each costs its server tens of kilobytes of memory.
const idleTimeout = 20 * time.Second

// dialTimeout limits how long opening a connection may take.
const dialTimeout = time.Second

// Scope is the kind of traffic that bytes are counted under.
type Scope string

// The scopes. Both ends of a connection count its bytes: the node that opened it
// as Zone or Cross, the other node as Served.
const (
	// Zone is traffic to a member of the same zone.
	Zone Scope = "zone"
	// Cross is traffic to a member of another zone, or to a seed, whose zone is unknown.
	Cross Scope = "cross"
	// Served is traffic on connections that peers opened.
	Served Scope = "served"
)

// Counter counts messages and bytes. Its methods may be called concurrently.
type Counter interface {
	// CountBytes counts bytes that were sent, if out is set, or received.
	CountBytes(scope Scope, out bool, bytes int)
	// CountMessage counts a request that this node sends.
	CountMessage(method string)
}

// Target is a node to call.
type Target struct {
	// Address is the control address, IP:port.
	Address string
	// Scope is what the traffic of a connection opened for the call is counted under.
	Scope Scope
}

// UnreachableError is returned when no reply came from a peer. The peer may have
// processed the request.
type UnreachableError struct {
	Address string
	Method  string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "no reply from " + e.Address + " to " + e.Method + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error of the connection or context.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// pooledClient is an open connection to a node, which concurrent calls share.
type pooledClient struct {
	client   *rpc.Client
	lastUsed time.Time
}

// Messenger calls other nodes and serves their calls.
type Messenger struct {
	network  dialer.Network
	counter  Counter
	address  string
	server   *rpc.Server
	listener net.Listener

	mu       sync.Mutex
	clients  map[string]*pooledClient
	accepted map[net.Conn]struct{}
	closed   bool
	group    sync.WaitGroup
}

// New returns a messenger that listens on the given address once started.
func New(network dialer.Network, address string, counter Counter) *Messenger {
	return &Messenger{
		network: network, counter: counter, address: address, server: rpc.NewServer(),
		clients: map[string]*pooledClient{}, accepted: map[net.Conn]struct{}{},
	}
}

// Handle registers a receiver whose methods peers may call under the given name. It must
// be called before Start. It returns an error if net/rpc does not accept the receiver.
func (m *Messenger) Handle(name string, receiver any) error {
	return errors.Wrapf(m.server.RegisterName(name, receiver), "register %s", name)
}

// Name implements registrar.Service.
func (m *Messenger) Name() string { return "messenger" }

// Needs implements registrar.Service.
func (m *Messenger) Needs() []string { return nil }

// Start implements registrar.Service. It listens, and serves peers in the background
// until Stop. It closes idle client connections until the context ends. Its error is that
// of the listen.
func (m *Messenger) Start(ctx context.Context) error {
	listener, err := m.network.Listen(m.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", m.address)
	}
	m.listener = listener
	m.group.Add(2)
	go m.accept()
	go m.closeIdle(ctx)
	return nil
}

// Stop implements registrar.Service. It closes the listener and all connections, so that
// calls in flight fail. It does not wait for the goroutines.
func (m *Messenger) Stop(context.Context) error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.clients {
		_ = l.client.Close()
	}
	for conn := range m.accepted {
		_ = conn.Close()
	}
	m.clients = map[string]*pooledClient{}
	m.mu.Unlock()
	err := m.listener.Close()
	return err
}

func (m *Messenger) accept() {
	defer m.group.Done()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		if !m.track(conn) {
			_ = conn.Close()
			return
		}
		go m.serve(conn)
	}
}

// track records an accepted connection, so that Stop closes it. It returns false if the
// messenger is closed.
func (m *Messenger) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.accepted[conn] = struct{}{}
	return true
}

func (m *Messenger) serve(conn net.Conn) {
	m.server.ServeConn(&countedConn{Conn: conn, counter: m.counter, scope: Served})
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, conn)
}

// Call sends one request and waits for its reply. The error is an
// *UnreachableError, or an rpc.ServerError that the peer returned. When the context
// ends first, the connection is closed and other calls in flight on it fail too. Every
// call decodes into its own object, which is returned only if the call has ended, so a
// late reply is neither taken for that of another call nor written to a returned value.
func Call[Q, R any](ctx context.Context, m *Messenger, to Target, method string, request Q) (R, error) {
	var reply R
	client, err := m.client(ctx, to)
	if err != nil {
		return reply, &UnreachableError{Address: to.Address, Method: method, Cause: err}
	}
	m.counter.CountMessage(method)
	pending := new(R)
	call := client.Go(method, request, pending, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		m.discard(to.Address, client)
		return reply, &UnreachableError{Address: to.Address, Method: method, Cause: ctx.Err()}
	case <-call.Done:
	}
	var serverError rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &serverError) {
		return *pending, call.Error
	}
	m.discard(to.Address, client)
	return reply, &UnreachableError{Address: to.Address, Method: method, Cause: call.Error}
}

// client returns the pooled client of a node, or connects to the node.
func (m *Messenger) client(ctx context.Context, to Target) (*rpc.Client, error) {
	m.mu.Lock()
	if l := m.clients[to.Address]; l != nil {
		l.lastUsed = time.Now()
		m.mu.Unlock()
		return l.client, nil
	}
	closed := m.closed
	m.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.network.Dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(&countedConn{Conn: conn, counter: m.counter, scope: to.Scope})
	return m.addClient(to.Address, client)
}

// addClient adds a new client to the pool. It closes the client instead if a concurrent
// call added one for the same address, or if the messenger is closed.
func (m *Messenger) addClient(address string, client *rpc.Client) (*rpc.Client, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if l := m.clients[address]; l != nil {
		_ = client.Close()
		return l.client, nil
	}
	m.clients[address] = &pooledClient{client: client, lastUsed: time.Now()}
	return client, nil
}

// discard closes a client and removes it from the pool if it is still there.
func (m *Messenger) discard(address string, client *rpc.Client) {
	m.mu.Lock()
	if l := m.clients[address]; l != nil && l.client == client {
		delete(m.clients, address)
	}
	m.mu.Unlock()
	_ = client.Close()
}

// Disconnect closes the connection to a node that will not be called again soon.
// Calls in flight on it fail.
func (m *Messenger) Disconnect(address string) {
	m.mu.Lock()
	l := m.clients[address]
	delete(m.clients, address)
	m.mu.Unlock()
	if l != nil {
		_ = l.client.Close()
	}
}

func (m *Messenger) closeIdle(ctx context.Context) {
	defer m.group.Done()
	ticker := time.NewTicker(idleTimeout / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.closeIdleBefore(time.Now().Add(-idleTimeout))
		}
	}
}

func (m *Messenger) closeIdleBefore(limit time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.clients {
		if l.lastUsed.Before(limit) {
			delete(m.clients, address)
			_ = l.client.Close()
		}
	}
}
