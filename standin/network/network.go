// Package network is an in-memory network for tests that can cut hosts off from each
// other and delay traffic. Its clock is package time, so that tests under
// testing/synctest are reproducible.
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

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       func(from, to string) bool
	delay     func(from, to string) time.Duration
	// silence ends the delivery of data on the connections that were opened before; it is
	// closed and replaced by Silence.
	silence chan struct{}
	// links holds the links of hosts with a limited rate.
	links map[string]*link
	// linger makes connections deliver what was written to them before they were closed.
	linger atomic.Bool
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cut:       func(string, string) bool { return false },
		delay:     func(string, string) time.Duration { return 0 },
		silence:   make(chan struct{}),
		links:     map[string]*link{},
	}
}

// link is the link of a host with a limited rate.
type link struct {
	bytesPerSecond float64
	// busyUntil is when the link has carried everything that was sent to the host, and carried the
	// number of those bytes.
	busyUntil time.Time
	carried   int
}

// Limit limits the rate at which data of other hosts arrives at a host, in bytes per second. The
// link carries the data of all connections in the order of the writes. It has an effect on
// connections with a delay only.
func (n *Network) Limit(host string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = &link{bytesPerSecond: bytesPerSecond}
}

// Carried returns the number of bytes that were sent to a host since Limit.
func (n *Network) Carried(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[host].carried
}

// transfer returns how long the link of a host needs until it has carried some more bytes.
func (n *Network) transfer(from, host string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[host]
	if l == nil || from == host {
		return 0
	}
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.carried += bytes
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.busyUntil.Sub(now)
}

// Silence ends the delivery of data on all open connections, without closing them. New ones
// work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.silence)
	n.silence = make(chan struct{})
}

// silenced returns the channel that is closed when the connections opened now fall silent.
func (n *Network) silenced() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silence
}

// Cut replaces the rule that reports whether two hosts are cut off from each other. A
// rule that holds in one direction cuts off both; nil reconnects all hosts. A
// connection that was written to while cut off stays broken.
func (n *Network) Cut(rule func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rule == nil {
		rule = func(string, string) bool { return false }
	}
	n.cut = rule
}

// Delay replaces the rule that returns the one-way delay between two hosts.
func (n *Network) Delay(rule func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = rule
}

// Linger makes all connections deliver the delayed data that was written to them before they were
// closed, as TCP does. Otherwise it is discarded.
func (n *Network) Linger() { n.linger.Store(true) }

// link reports whether two hosts are cut off from each other, and the delay from the
// first to the second.
func (n *Network) link(from, to string) (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.cut(to, from), n.delay(from, to)
}

// IsCut reports whether two hosts are cut off from each other now.
func (n *Network) IsCut(from, to string) bool {
	cut, _ := n.link(from, to)
	return cut
}

// Host returns a new network stack of the named host.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Host opens and accepts connections; it implements dialer.Network.
type Host struct {
	network *Network
	name    string

	// dialing counts the calls of Dial that are blocked on a host that is cut off.
	dialing atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Dialing returns how many calls of Dial are blocked on hosts that are cut off.
func (h *Host) Dialing() int64 { return h.dialing.Load() }

type listener struct {
	network *Network
	host    *Host
	address string
	// incoming passes connections from Dial to Accept.
	incoming  chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// Listen accepts connections to an address. It returns an error if the address is
// already in use.
func (h *Host) Listen(address string) (net.Listener, error) {
	l := &listener{network: h.network, host: h, address: address, incoming: make(chan net.Conn), done: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[address] != nil {
		return nil, errors.Newf("address %s is already in use", address)
	}
	h.network.listeners[address] = l
	return l, nil
}

// Dial opens a connection. It blocks until the context ends if the host is cut off, and
// returns an error that wraps syscall.ECONNREFUSED if nothing listens at the address. On
// a delayed link it takes one round trip, which the context does not interrupt.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.mu.Unlock()
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect to %s", address)
	}
	cut, delay := h.network.link(h.name, l.host.name)
	if cut {
		h.dialing.Add(1)
		defer h.dialing.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if delay > 0 {
		time.Sleep(2 * delay)
	}
	clientPipe, serverPipe := net.Pipe()
	broken := &atomic.Bool{}
	client := newConn(clientPipe, h.network, h.name, l.host.name, broken)
	server := newConn(serverPipe, h.network, l.host.name, h.name, broken)
	select {
	case l.incoming <- server:
	case <-l.done:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connect to %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.track(client)
	l.host.track(server)
	return client, nil
}

func (h *Host) track(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
}

// Crash closes all listeners and connections of the host.
func (h *Host) Crash() {
	h.network.mu.Lock()
	var owned []*listener
	for _, l := range h.network.listeners {
		if l.host == h {
			owned = append(owned, l)
		}
	}
	h.network.mu.Unlock()
	for _, l := range owned {
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
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
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

// conn discards what is written while its hosts are cut off from each other, and
// everything after that, like a connection that is about to be reset. Writes on a
// delayed link return at once and are delivered later, in order: a writer that slept
// while it held a lock would stop the simulated time of testing/synctest.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	// broken is shared by both ends of the connection.
	broken *atomic.Bool
	// silenced is closed when the connection falls silent.
	silenced <-chan struct{}

	startQueue sync.Once
	queue      chan delayedWrite
	// queued is set after queue.
	queued    atomic.Bool
	done      chan struct{}
	closeOnce sync.Once
}

type delayedWrite struct {
	due  time.Time
	data []byte
}

// queueLength is the maximum number of undelivered writes in one direction of a
// connection; more writes block.
const queueLength = 4096

func newConn(pipe net.Conn, n *Network, from, to string, broken *atomic.Bool) *conn {
	return &conn{Conn: pipe, network: n, from: from, to: to, broken: broken, silenced: n.silenced(), done: make(chan struct{})}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	cut, delay := c.network.link(c.from, c.to)
	select {
	case <-c.silenced:
		cut = true
	default:
	}
	if cut || c.broken.Load() {
		c.broken.Store(true)
		return len(p), nil
	}
	if delay > 0 {
		c.startQueue.Do(func() {
			c.queue = make(chan delayedWrite, queueLength)
			c.queued.Store(true)
			go c.deliver()
		})
	}
	if c.queue == nil {
		return c.Conn.Write(p)
	}
	select {
	case c.queue <- delayedWrite{due: time.Now().Add(delay + c.network.transfer(c.from, c.to, len(p))), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// deliver writes the queued data to the pipe when it is due. When the connection is closed, it
// discards the rest, or delivers it and closes the pipe if the network lingers.
func (c *conn) deliver() {
	for {
		select {
		case <-c.done:
			if c.network.linger.Load() {
				c.deliverRest()
			}
			return
		case next := <-c.queue:
			if !c.deliverOne(next) {
				return
			}
		}
	}
}

func (c *conn) deliverOne(next delayedWrite) bool {
	time.Sleep(time.Until(next.due))
	if c.network.linger.Load() {
		// The sender's deadline was for the write that has returned already.
		_ = c.SetWriteDeadline(time.Time{})
	}
	_, err := c.Conn.Write(next.data)
	return err == nil
}

func (c *conn) deliverRest() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case next := <-c.queue:
			if !c.deliverOne(next) {
				return
			}
		default:
			return
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	if c.queued.Load() && c.network.linger.Load() {
		// The end that closes reads no more; deliver closes the pipe.
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
