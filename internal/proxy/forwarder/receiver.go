package forwarder

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// Node is the interface of the receiver to the node that it belongs to. Its methods must
// be safe for concurrent use.
type Node interface {
	// ExchangeMember merges a member's record and returns the node's own record.
	ExchangeMember(m balancer.Member) balancer.Member
	// Members returns the records of all members, the node's own included.
	Members() []balancer.Member
	// DrainingSince returns when an incarnation of an upstream began to drain, in Unix
	// milliseconds; 0 if the node has no record of it.
	DrainingSince(instance string, born int64) int64
	// NextConfiguration waits for a configuration newer than version have and returns
	// it. The version of the reply is 0 if the context ends before there is one.
	NextConfiguration(ctx context.Context, have int64) ConfigurationReply
	// Version returns the configuration version in force.
	Version() int64
	// Load returns the load of the upstream on the node's VM.
	Load() balancer.Load
}

// Receiver is the receiving side. It serves the connections of other nodes.
type Receiver struct {
	// start is the start time of the process, in Unix nanoseconds.
	start int64
	// opened is the origin of the receiver's steady clock.
	opened   time.Time
	executor *executor.Executor
	node     Node
	server   *rpc.Server
	// account is where messages reserve memory; nil if they do not.
	account *accountant.Account
	// pending is the number of messages of which a byte has arrived and whose reply is not
	// written yet.
	pending atomic.Int64
	offers  *offers

	mu     sync.Mutex
	fencer *fencer.Fencer
	conns  map[net.Conn]struct{}
	closed bool
}

// NewReceiver returns the receiver of the process that started at start, in Unix
// nanoseconds. It fails if net/rpc does not accept the methods that it exports.
func NewReceiver(start int64, e *executor.Executor, n Node) (*Receiver, error) {
	r := &Receiver{
		start: start, opened: time.Now(), executor: e, node: n, server: rpc.NewServer(), fencer: fencer.New(),
		conns: map[net.Conn]struct{}{}, offers: newOffers(e),
	}
	return r, r.server.RegisterName(serviceName, &methods{r})
}

// Serve accepts connections until the listener or the receiver is closed.
func (r *Receiver) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !r.track(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			r.server.ServeCodec(r.newCodec(conn))
			r.untrack(conn)
		}()
	}
}

func (r *Receiver) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Receiver) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// Pending returns the number of messages that are being read or have no written reply yet.
// A request that waits for a newer configuration does not count.
func (r *Receiver) Pending() int { return int(r.pending.Load()) }

// Close closes all connections. Serve accepts none afterwards.
func (r *Receiver) Close() {
	r.offers.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// methods is the type whose methods net/rpc exports. It is separate so that those of
// Receiver are not exported.
type methods struct{ r *Receiver }

// Ping does nothing; its reply shows that the connection is alive.
func (m *methods) Ping(_ *Empty, _ *Empty) error { return nil }

// Tell merges a member's record and replies with the node's own record.
func (m *methods) Tell(member *balancer.Member, own *balancer.Member) error {
	*own = m.r.node.ExchangeMember(*member)
	return nil
}

// Members replies with all member records of the node.
func (m *methods) Members(_ *Empty, members *MemberList) error {
	*members = m.r.node.Members()
	return nil
}

// Left replies when an incarnation of an upstream began to drain. The upstream's node
// queries it after a restart, since its new process has no record of the drain.
func (m *methods) Left(args *DrainStartArgs, reply *DrainStartReply) error {
	reply.DrainStart = m.r.node.DrainingSince(args.Instance, args.Born)
	return nil
}

// Configuration replies with a configuration newer than the one that the requester
// holds. The reply is empty if the request is addressed to another process.
func (m *methods) Configuration(args *ConfigurationArgs, reply *ConfigurationReply) error {
	if args.Start != 0 && args.Start != m.r.start {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	m.r.pending.Add(-1)
	defer m.r.pending.Add(1)
	*reply = m.r.node.NextConfiguration(ctx, args.Have)
	reply.Start = m.r.start
	return nil
}
