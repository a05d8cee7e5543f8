// Package forwarder sends calls, member records and configurations between nodes by
// net/rpc. For each pair of nodes and direction there is one connection, and another one
// for attempts with a large body, so that a cancel or a small call never waits behind one.
//
// An attempt has an ID, and the receiver executes each ID at most once. If the
// connection breaks, the sender sends the attempt again with the same ID on a new
// connection: the receiver then joins the execution in progress or starts it. A
// restarted process has no record of earlier IDs, so an attempt names the process
// that its first message was sent to, and any other process rejects it.
//
// A copy of an attempt may arrive at any later time. The sender therefore states the caller's
// deadline by a lower bound of the receiver's steady clock, which it learns from the replies, and
// the receiver starts nothing after that time and keeps the attempt until then.
package forwarder

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
)

// Forwarder is the sending side. It keeps the connections to each peer address.
type Forwarder struct {
	// sender identifies this process in attempt IDs.
	sender uint64
	// opened is the origin of the sender's steady clock.
	opened time.Time
	dial   Dial
	// lastAttempt is the number of the latest attempt.
	lastAttempt atomic.Uint64
	// onUnresponsive is called with the address of a node that has become unresponsive;
	// nil until OnUnresponsive has set it.
	onUnresponsive atomic.Pointer[func(string)]

	mu    sync.Mutex
	nodes map[string]*node
	// closed is set by Close. No connection is opened after that.
	closed bool
}

// New returns a forwarder for the process of the named node that started at start, in Unix
// nanoseconds.
func New(name string, start int64, dial Dial) *Forwarder {
	return &Forwarder{
		sender: senderID(name, start),
		opened: time.Now(),
		dial:   dial,
		nodes:  map[string]*node{},
	}
}

// senderID returns a 64-bit hash that identifies a process in attempt IDs.
func senderID(node string, start int64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", node, start)
	return h.Sum64()
}

// Sender returns the number that identifies this process among all others.
func (f *Forwarder) Sender() uint64 { return f.sender }

// OnUnresponsive sets the function that is called with the address of a node that has
// become unresponsive.
func (f *Forwarder) OnUnresponsive(notify func(address string)) { f.onUnresponsive.Store(&notify) }

func (f *Forwarder) notifyUnresponsive(address string) {
	if notify := f.onUnresponsive.Load(); notify != nil {
		(*notify)(address)
	}
}

// node is what the forwarder has for the node at one address.
type node struct {
	clock remoteClock
	// small is the connection for control messages and calls with small bodies, large that for
	// attempts with large bodies.
	small *peer
	large *peer
}

func (f *Forwarder) node(address string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[address]
	if n == nil {
		n = &node{
			small: &peer{address: address, dialFunc: f.open, onUnresponsive: f.notifyUnresponsive},
			large: &peer{address: address, dialFunc: f.open, onUnresponsive: f.notifyUnresponsive, large: true},
		}
		f.nodes[address] = n
	}
	return n
}

func (n *node) close() {
	n.small.close()
	n.large.close()
}

// open opens a connection, unless the forwarder is closed.
func (f *Forwarder) open(ctx context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	return f.dial(ctx, address)
}

// Forget closes the connections to an address at which there is no member any more.
func (f *Forwarder) Forget(address string) {
	f.mu.Lock()
	n := f.nodes[address]
	delete(f.nodes, address)
	f.mu.Unlock()
	if n != nil {
		n.close()
	}
}

// Close closes all connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, n := range f.nodes {
		n.close()
	}
}

// replyOf returns the reply of a call that has succeeded. After an error it does not read
// the reply, into which net/rpc may still be decoding.
func replyOf[T any](reply *T, err error) (T, error) {
	if err != nil {
		var none T
		return none, err
	}
	return *reply, nil
}

// Call calls an RPC method of the node at address. It returns an error if the node can't
// be reached, the connection fails, the method fails or the context ends. On an error
// other than that of the context, the connection is closed, and the next call opens a
// new one.
func (f *Forwarder) Call(ctx context.Context, address, method string, args, reply any) error {
	p := f.node(address).small
	l, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return p.call(ctx, l, method, args, reply, time.Time{})
}

// Announce sends the node's own record to the member at address and returns the member's.
func (f *Forwarder) Announce(ctx context.Context, address string, own balancer.Member) (balancer.Member, error) {
	reply := &balancer.Member{}
	return replyOf(reply, f.Call(ctx, address, "Tell", &own, reply))
}

// Members returns the member records of the node at address.
func (f *Forwarder) Members(ctx context.Context, address string) ([]balancer.Member, error) {
	members := &MemberList{}
	return replyOf(members, f.Call(ctx, address, "Members", &Empty{}, members))
}

// QueryDrainStart returns when an incarnation of an upstream began to drain, as recorded
// by the node at address, in Unix milliseconds. It is 0 if that node has no record of it.
func (f *Forwarder) QueryDrainStart(ctx context.Context, address string, args DrainStartArgs) (int64, error) {
	reply := &DrainStartReply{}
	received, err := replyOf(reply, f.Call(ctx, address, "Left", &args, reply))
	return received.DrainStart, err
}

// Configuration requests a newer configuration from the node at address. The version
// of the reply is 0 if there is none.
func (f *Forwarder) Configuration(
	ctx context.Context, address string, args ConfigurationArgs,
) (ConfigurationReply, error) {
	reply := &ConfigurationReply{}
	return replyOf(reply, f.Call(ctx, address, "Configuration", &args, reply))
}
