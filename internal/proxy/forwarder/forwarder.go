// Package forwarder carries calls, and what nodes tell each other, between
// nodes by net/rpc over one connection for each pair and direction.
//
// A hand-over has a name that the receiver begins at most once. When the
// connection breaks, the sender repeats the hand-over under the same name on a
// new one: it either joins the execution that began or starts it now. A process
// that started anew knows no names, so the repeat is bound to the process that
// the first message went to.
package forwarder

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

const (
	// cancelTimeout bounds the message that ends a hand-over.
	cancelTimeout = time.Second
	// rejoinPause is the pause between attempts to reach a node that holds a call.
	rejoinPause = 100 * time.Millisecond
	// maxRejoinsElsewhere bounds the attempts for calls that may run elsewhere.
	maxRejoinsElsewhere = 1
)

// Forwarder is the sending side.
type Forwarder struct {
	sender uint64
	dial   Dial
	number atomic.Uint64
	// onSilent is set once the node is put together.
	onSilent atomic.Pointer[func(string)]

	mu    sync.Mutex
	peers map[string]*peer
}

// New returns a forwarder of the process that began at start.
func New(node string, start int64, dial Dial) *Forwarder {
	return &Forwarder{
		sender: senderOf(node, start),
		dial:   dial,
		peers:  map[string]*peer{},
	}
}

// senderOf names a process in few bytes.
func senderOf(node string, start int64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", node, start)
	return h.Sum64()
}

// OnSilent sets who is told that the connection to a node has gone silent.
func (f *Forwarder) OnSilent(tell func(address string)) { f.onSilent.Store(&tell) }

func (f *Forwarder) tellSilent(address string) {
	if tell := f.onSilent.Load(); tell != nil {
		(*tell)(address)
	}
}

func (f *Forwarder) peer(address string) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[address]
	if p == nil {
		p = &peer{address: address, connectTo: f.dial, silent: f.tellSilent}
		f.peers[address] = p
	}
	return p
}

// Forget closes the connection to an address that is no member's any more.
func (f *Forwarder) Forget(address string) {
	f.mu.Lock()
	p := f.peers[address]
	delete(f.peers, address)
	f.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Close closes all connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		p.close()
	}
}

// attempt is one hand-over while its result is awaited.
type attempt struct {
	args  RunArgs
	job   executor.Job
	began time.Time
	// sent says that the receiver may have got the hand-over.
	sent bool
}

// Forward hands a call over and waits for its result. The context ends when the
// caller is gone or its deadline has passed. Elsewhere says that the call may run at
// another node if this one does not answer; otherwise only this one can still tell how
// it ended, and is asked again until the context ends.
func (f *Forwarder) Forward(ctx context.Context, m balancer.Member, job executor.Job, elsewhere bool) RunReply {
	name := fencer.HandOver{Sender: f.sender, Number: f.number.Add(1)}
	a := &attempt{args: RunArgs{HandOver: name, Start: m.Start}, job: job, began: time.Now()}
	for tries := 1; ; tries++ {
		wasSent := a.sent
		reply, err := f.try(ctx, m.Address, a)
		switch {
		case err == nil && reply.OtherStart:
			return lost(wasSent)
		case err == nil:
			return reply
		case ctx.Err() != nil:
			go f.cancel(m.Address, name)
			return RunReply{Result: ended(ctx, a.sent)}
		case !a.sent && errors.Is(err, errNotSent) && tries == 1:
			// The connection had ended before; a new one is tried at once.
			continue
		case !a.sent:
			return lost(false)
		case errors.Is(err, syscall.ECONNREFUSED), elsewhere && tries > maxRejoinsElsewhere:
			go f.cancel(m.Address, name)
			return lost(true)
		}
		f.tellSilent(m.Address)
		if tries > 1 && !pauser.Pause(ctx, rejoinPause) {
			return RunReply{Result: ended(ctx, a.sent)}
		}
	}
}

// try sends the hand-over on the open connection, or on a new one, and waits for
// its result.
func (f *Forwarder) try(ctx context.Context, address string, a *attempt) (RunReply, error) {
	var reply RunReply
	p := f.peer(address)
	l, err := p.connect(ctx)
	if err != nil {
		return reply, err
	}
	spent := time.Since(a.began)
	a.args.Job = a.job
	a.args.Job.Remaining -= spent
	a.args.Job.Objective -= spent
	err = p.call(ctx, l, "Run", &a.args, &reply)
	a.sent = a.sent || !errors.Is(err, errNotSent)
	return reply, err
}

// lost is the result when the process that was meant is gone. It never saw the
// call if the first message already met its successor.
func lost(mayHaveRun bool) RunReply {
	if !mayHaveRun {
		return RunReply{Result: carrier.Refuse(carrier.PeerUnreachable)}
	}
	return RunReply{Result: carrier.Result{Outcome: carrier.Unknown, Reason: carrier.PeerLost, Arrived: true}}
}

func ended(ctx context.Context, sent bool) carrier.Result {
	reason := carrier.CallerGone
	if context.Cause(ctx) == context.DeadlineExceeded {
		reason = carrier.DeadlineExceeded
	}
	if !sent {
		return carrier.Refuse(reason)
	}
	return carrier.Fail(reason)
}

func (f *Forwarder) cancel(address string, name fencer.HandOver) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	// The receiver's own deadline ends the call if this message is lost.
	_ = f.Call(ctx, address, "Cancel", &CancelArgs{HandOver: name}, &Empty{})
}

// Call makes a call that is no hand-over.
func (f *Forwarder) Call(ctx context.Context, address, method string, args, reply any) error {
	p := f.peer(address)
	l, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return p.call(ctx, l, method, args, reply)
}

// Tell gives the own word to a member and returns the member's.
func (f *Forwarder) Tell(ctx context.Context, address string, own balancer.Member) (balancer.Member, error) {
	var answer balancer.Member
	err := f.Call(ctx, address, "Tell", &own, &answer)
	return answer, err
}

// Members asks a node for the members that it knows.
func (f *Forwarder) Members(ctx context.Context, address string) ([]balancer.Member, error) {
	var members MemberList
	err := f.Call(ctx, address, "Members", &Empty{}, &members)
	return members, err
}

// Left asks a node when a start of an upstream has left; 0 if it knows of no leaving.
func (f *Forwarder) Left(ctx context.Context, address string, args LeftArgs) (int64, error) {
	var reply LeftReply
	err := f.Call(ctx, address, "Left", &args, &reply)
	return reply.At, err
}

// Configuration asks a node for a newer configuration.
func (f *Forwarder) Configuration(
	ctx context.Context, address string, args ConfigurationArgs,
) (ConfigurationReply, error) {
	var reply ConfigurationReply
	err := f.Call(ctx, address, "Configuration", &args, &reply)
	return reply, err
}
