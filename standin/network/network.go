// Package network is a network in memory for tests: it can cut hosts off from
// each other and delay traffic. Its time is the time package's, which
// testing/synctest replaces, so verdicts repeat.
package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Network connects hosts.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       func(from, to string) bool
	delay     func(from, to string) time.Duration
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cut:       func(string, string) bool { return false },
		delay:     func(string, string) time.Duration { return 0 },
	}
}

// Cut replaces the rule that says which hosts cannot reach each other; nil
// heals the network. A connection that was used while cut stays dead.
func (n *Network) Cut(rule func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rule == nil {
		rule = func(string, string) bool { return false }
	}
	n.cut = rule
}

// Delay sets the one-way delay between hosts.
func (n *Network) Delay(rule func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = rule
}

func (n *Network) rules(from, to string) (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.cut(to, from), n.delay(from, to)
}

// IsCut says whether two hosts cannot reach each other now.
func (n *Network) IsCut(from, to string) bool {
	cut, _ := n.rules(from, to)
	return cut
}

// Host returns the network as the named host sees it.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Host opens and takes connections; it implements dialer.Network.
type Host struct {
	network *Network
	name    string

	// dialing counts the attempts at hosts that are cut off.
	dialing atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Dialing returns how many attempts to connect wait at hosts that are cut off.
func (h *Host) Dialing() int64 { return h.dialing.Load() }

type listener struct {
	network *Network
	host    *Host
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen takes connections to an address.
func (h *Host) Listen(address string) (net.Listener, error) {
	l := &listener{network: h.network, host: h, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[address] != nil {
		return nil, errors.Newf("%s is in use", address)
	}
	h.network.listeners[address] = l
	return l, nil
}

// Dial opens a connection. To a host that is cut off it hangs until the context ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.mu.Unlock()
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect to %s", address)
	}
	cut, delay := h.network.rules(h.name, l.host.name)
	if cut {
		h.dialing.Add(1)
		defer h.dialing.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if delay > 0 {
		time.Sleep(2 * delay)
	}
	near, far := net.Pipe()
	dead := &atomic.Bool{}
	client := newConn(near, h.network, h.name, l.host.name, dead)
	server := newConn(far, h.network, l.host.name, h.name, dead)
	select {
	case l.queue <- server:
	case <-l.done:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect to %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.keep(client)
	l.host.keep(server)
	return client, nil
}

func (h *Host) keep(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
}

// Crash closes all connections and listeners of the host at once.
func (h *Host) Crash() {
	h.network.mu.Lock()
	var mine []*listener
	for _, l := range h.network.listeners {
		if l.host == h {
			mine = append(mine, l)
		}
	}
	h.network.mu.Unlock()
	for _, l := range mine {
		_ = l.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.conns = nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// conn loses what is written while its hosts are cut off from each other, and
// everything after that, like a connection that will be reset. Delayed writes
// return at once and are delivered in order later: a writer that slept with a
// lock held would stop the bubble's time.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	dead     *atomic.Bool

	once  sync.Once
	queue chan delayed
	done  chan struct{}
	end   sync.Once
}

type delayed struct {
	due  time.Time
	data []byte
}

// queueLength bounds the writes on their way on one connection.
const queueLength = 4096

func newConn(pipe net.Conn, n *Network, from, to string, dead *atomic.Bool) *conn {
	return &conn{Conn: pipe, network: n, from: from, to: to, dead: dead, done: make(chan struct{})}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	cut, delay := c.network.rules(c.from, c.to)
	if cut || c.dead.Load() {
		c.dead.Store(true)
		return len(p), nil
	}
	if delay > 0 {
		c.once.Do(func() {
			c.queue = make(chan delayed, queueLength)
			go c.deliver()
		})
	}
	if c.queue == nil {
		return c.Conn.Write(p)
	}
	select {
	case c.queue <- delayed{due: time.Now().Add(delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *conn) deliver() {
	for {
		select {
		case <-c.done:
			return
		case next := <-c.queue:
			time.Sleep(time.Until(next.due))
			if _, err := c.Conn.Write(next.data); err != nil {
				return
			}
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end.Do(func() { close(c.done) })
	return c.Conn.Close()
}
