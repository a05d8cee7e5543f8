package forwarder

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// Neighbour is what a receiver needs of its node.
type Neighbour interface {
	// Heard takes in a member's word and returns the node's own.
	Heard(m balancer.Member) balancer.Member
	// Members returns the word of every member, its own included.
	Members() []balancer.Member
	// LeftAt is when a start of an upstream has left, in Unix milliseconds; 0 if the
	// node knows of no leaving.
	LeftAt(instance string, born int64) int64
	// NextConfiguration returns a configuration newer than have, waiting for one.
	NextConfiguration(ctx context.Context, have int64) ConfigurationReply
	// Version is the configuration version in force.
	Version() int64
	// Load is the load of the upstream beside the node.
	Load() balancer.Load
}

// Receiver is the receiving side.
type Receiver struct {
	start     int64
	executor  *executor.Executor
	neighbour Neighbour
	server    *rpc.Server

	mu     sync.Mutex
	fencer *fencer.Fencer
	conns  map[net.Conn]struct{}
	closed bool
}

// NewReceiver returns the receiver of the process that began at start.
func NewReceiver(start int64, e *executor.Executor, n Neighbour) (*Receiver, error) {
	r := &Receiver{
		start: start, executor: e, neighbour: n, server: rpc.NewServer(), fencer: fencer.New(),
		conns: map[net.Conn]struct{}{},
	}
	return r, r.server.RegisterName(serviceName, &methods{r})
}

// Serve takes connections until the listener is closed.
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
			r.server.ServeCodec(coder.NewServerCodec(conn))
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

// Close ends every connection.
func (r *Receiver) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// methods are what net/rpc exports; the receiver's own are not among them.
type methods struct{ r *Receiver }

// Run executes a hand-over, or joins it if it has begun already.
func (m *methods) Run(args *RunArgs, reply *RunReply) error {
	r := m.r
	if args.Start != r.start {
		reply.OtherStart = true
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	entry, isNew := r.fencer.Begin(args.HandOver, cancel, time.Now())
	r.mu.Unlock()
	if isNew {
		result, service := r.executor.Execute(ctx, args.Job)
		reply.Service = service
		r.mu.Lock()
		r.fencer.Finish(entry, result, time.Now())
		r.mu.Unlock()
	}
	<-entry.Done
	r.mu.Lock()
	reply.Result = entry.Result
	r.mu.Unlock()
	reply.Load, reply.Version = r.neighbour.Load(), r.neighbour.Version()
	return nil
}

// Cancel ends a hand-over, or keeps it from beginning.
func (m *methods) Cancel(args *CancelArgs, _ *Empty) error {
	m.r.mu.Lock()
	entry := m.r.fencer.Revoke(args.HandOver, time.Now())
	m.r.mu.Unlock()
	if entry != nil {
		entry.Cancel()
	}
	return nil
}

// Ping shows that the connection is alive.
func (m *methods) Ping(_ *Empty, _ *Empty) error { return nil }

// Tell takes in a member's word and answers with the node's own.
func (m *methods) Tell(member *balancer.Member, own *balancer.Member) error {
	*own = m.r.neighbour.Heard(*member)
	return nil
}

// Members returns the word of every member that the node knows.
func (m *methods) Members(_ *Empty, members *MemberList) error {
	*members = m.r.neighbour.Members()
	return nil
}

// Left says when a start of an upstream has left, for a process that began after it.
func (m *methods) Left(args *LeftArgs, reply *LeftReply) error {
	reply.At = m.r.neighbour.LeftAt(args.Instance, args.Born)
	return nil
}

// Configuration returns a configuration newer than the one that the asker has.
func (m *methods) Configuration(args *ConfigurationArgs, reply *ConfigurationReply) error {
	if args.Start != 0 && args.Start != m.r.start {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	*reply = m.r.neighbour.NextConfiguration(ctx, args.Have)
	reply.Start = m.r.start
	return nil
}
