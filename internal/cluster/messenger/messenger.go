// Package messenger carries typed messages between nodes over net/rpc. It holds
// the wire types, a pool of client connections, the server, and the count of
// bytes.
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

// idleTimeout closes client connections that were not used for so long.
//
// Fingers and bridges are called more often than that, so only connections for
// single messages end; each costs its server tens of kilobytes.
const idleTimeout = 20 * time.Second

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// Scope says which kind of traffic bytes belong to.
type Scope string

// The scopes. Bytes of a connection are counted by both of its ends: by the
// node that opened it as Zone or Cross, by the other one as Served.
const (
	Zone   Scope = "zone"
	Cross  Scope = "cross"
	Served Scope = "served"
)

// Counter takes the counts of messages and bytes.
type Counter interface {
	CountBytes(scope Scope, out bool, bytes int)
	CountMessage(method string)
}

// Target is a node to call.
type Target struct {
	Address string
	Scope   Scope
}

// UnreachableError says that no answer came from a peer. The call may have
// been carried out.
type UnreachableError struct {
	Address string
	Method  string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "no answer from " + e.Address + " to " + e.Method + ": " + e.Cause.Error()
}

// Unwrap returns the connection's error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

type link struct {
	client *rpc.Client
	used   time.Time
}

// Messenger calls other nodes and serves their calls.
type Messenger struct {
	network  dialer.Network
	counter  Counter
	address  string
	server   *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	links  map[string]*link
	served map[net.Conn]struct{}
	closed bool
	group  sync.WaitGroup
}

// New returns a messenger that will listen on the given address.
func New(network dialer.Network, address string, counter Counter) *Messenger {
	return &Messenger{
		network: network, counter: counter, address: address, server: rpc.NewServer(),
		links: map[string]*link{}, served: map[net.Conn]struct{}{},
	}
}

// Handle registers a receiver whose methods peers may call. It is called before Start.
func (m *Messenger) Handle(name string, receiver any) error {
	return errors.Wrapf(m.server.RegisterName(name, receiver), "register %s", name)
}

// Name implements registrar.Service.
func (m *Messenger) Name() string { return "messenger" }

// Needs implements registrar.Service.
func (m *Messenger) Needs() []string { return nil }

// Start listens.
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

// Stop closes every connection and waits for their goroutines.
func (m *Messenger) Stop(context.Context) error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		_ = l.client.Close()
	}
	for conn := range m.served {
		_ = conn.Close()
	}
	m.links = map[string]*link{}
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

func (m *Messenger) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.served[conn] = struct{}{}
	return true
}

func (m *Messenger) serve(conn net.Conn) {
	m.server.ServeConn(&countedConn{Conn: conn, counter: m.counter, scope: Served})
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.served, conn)
}

// Call sends one request and waits for its reply. Its error is an
// *UnreachableError, or an rpc.ServerError that the peer returned. Every call
// gets a reply object of its own, so a late answer is never taken for another.
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
		m.drop(to.Address, client)
		return reply, &UnreachableError{Address: to.Address, Method: method, Cause: ctx.Err()}
	case <-call.Done:
	}
	var refused rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &refused) {
		return *pending, call.Error
	}
	m.drop(to.Address, client)
	return reply, &UnreachableError{Address: to.Address, Method: method, Cause: call.Error}
}

func (m *Messenger) client(ctx context.Context, to Target) (*rpc.Client, error) {
	m.mu.Lock()
	if l := m.links[to.Address]; l != nil {
		l.used = time.Now()
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
	return m.keep(to.Address, client)
}

// keep stores a new client unless another call was faster or the messenger is closed.
func (m *Messenger) keep(address string, client *rpc.Client) (*rpc.Client, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if l := m.links[address]; l != nil {
		_ = client.Close()
		return l.client, nil
	}
	m.links[address] = &link{client: client, used: time.Now()}
	return client, nil
}

func (m *Messenger) drop(address string, client *rpc.Client) {
	m.mu.Lock()
	if l := m.links[address]; l != nil && l.client == client {
		delete(m.links, address)
	}
	m.mu.Unlock()
	_ = client.Close()
}

// Forget closes the connection to a node that will not be called again soon. A
// call under way on it fails.
func (m *Messenger) Forget(address string) {
	m.mu.Lock()
	l := m.links[address]
	delete(m.links, address)
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
	for address, l := range m.links {
		if l.used.Before(limit) {
			delete(m.links, address)
			_ = l.client.Close()
		}
	}
}
