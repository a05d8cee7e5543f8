// Package forwarder sends calls, member records and configurations between nodes by
// net/rpc, over one connection for each pair of nodes and direction.
//
// An attempt has an ID, and the receiver executes each ID at most once. If the
// connection breaks, the sender sends the attempt again with the same ID on a new
// connection: the receiver then joins the execution in progress or starts it. A
// restarted process has no record of earlier IDs, so an attempt names the process
// that its first message was sent to, and any other process rejects it.
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
	// cancelTimeout bounds the message that cancels an attempt.
	cancelTimeout = time.Second
	// resendDelay is the delay between sends of an attempt that a node may be executing.
	resendDelay = 100 * time.Millisecond
	// maxResendsBeforeFailover is how often an attempt is sent again if the call may fail
	// over to another node instead.
	maxResendsBeforeFailover = 1
)

// Forwarder is the sending side. It keeps one connection to each peer address.
type Forwarder struct {
	// sender identifies this process in attempt IDs.
	sender uint64
	dial   Dial
	// lastAttempt is the number of the latest attempt.
	lastAttempt atomic.Uint64
	// onUnresponsive is called with the address of a node that has become unresponsive;
	// nil until OnUnresponsive has set it.
	onUnresponsive atomic.Pointer[func(string)]

	mu    sync.Mutex
	peers map[string]*peer
}

// New returns a forwarder for the process of node that started at start, in Unix
// nanoseconds.
func New(node string, start int64, dial Dial) *Forwarder {
	return &Forwarder{
		sender: senderID(node, start),
		dial:   dial,
		peers:  map[string]*peer{},
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

func (f *Forwarder) peer(address string) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[address]
	if p == nil {
		p = &peer{address: address, dialFunc: f.dial, onUnresponsive: f.notifyUnresponsive}
		f.peers[address] = p
	}
	return p
}

// Forget closes the connection to an address at which there is no member any more.
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

// attempt is the state of one attempt until its result is known.
type attempt struct {
	args      RunArgs
	job       executor.Job
	startedAt time.Time
	// mayHaveArrived reports whether the receiver may have received the attempt.
	mayHaveArrived bool
}

// Forward forwards an attempt to a member and waits for its result. The context ends
// when the caller disconnects or its deadline passes. If canFailOver is set, the call
// may run at another node, so Forward returns after at most one resend if m is
// unresponsive. Otherwise only m can state the outcome, and the attempt is sent again
// until the context ends, m refuses connections, or its process is found replaced.
func (f *Forwarder) Forward(ctx context.Context, m balancer.Member, job executor.Job, canFailOver bool) RunReply {
	id := fencer.AttemptID{Sender: f.sender, Number: f.lastAttempt.Add(1)}
	a := &attempt{args: RunArgs{AttemptID: id, Start: m.Start}, job: job, startedAt: time.Now()}
	for sends := 1; ; sends++ {
		mayHaveRun := a.mayHaveArrived
		reply, err := f.send(ctx, m.Address, a)
		switch {
		case err == nil && reply.OtherProcess:
			// The addressed process has exited. It may have run the call only if an
			// earlier send reached it.
			return lostReply(mayHaveRun)
		case err == nil:
			return reply
		case ctx.Err() != nil:
			go f.cancel(m.Address, id)
			return RunReply{Result: cancelledResult(ctx, a.mayHaveArrived)}
		case isServerError(err):
			// The node can't take the message, as one of another version may. Run itself
			// returns no error.
			return lostReply(mayHaveRun)
		case !a.mayHaveArrived && errors.Is(err, errNotSent) && sends == 1:
			// The connection had been closed before; open a new one without delay.
			continue
		case !a.mayHaveArrived:
			return lostReply(false)
		case errors.Is(err, syscall.ECONNREFUSED), canFailOver && sends > maxResendsBeforeFailover:
			// A refused connection means that the process has exited.
			go f.cancel(m.Address, id)
			return lostReply(true)
		}
		f.notifyUnresponsive(m.Address)
		if sends > 1 && !pauser.Pause(ctx, resendDelay) {
			go f.cancel(m.Address, id)
			return RunReply{Result: cancelledResult(ctx, a.mayHaveArrived)}
		}
	}
}

// send sends the attempt on the open connection, or on a new one, and waits for its
// result.
func (f *Forwarder) send(ctx context.Context, address string, a *attempt) (RunReply, error) {
	p := f.peer(address)
	l, err := p.connect(ctx)
	if err != nil {
		return RunReply{}, err
	}
	elapsed := time.Since(a.startedAt)
	a.args.Job = a.job
	a.args.Job.Remaining -= elapsed
	a.args.Job.Objective -= elapsed
	reply := &RunReply{}
	err = p.call(ctx, l, "Run", &a.args, reply)
	a.mayHaveArrived = a.mayHaveArrived || !errors.Is(err, errNotSent)
	return replyOf(reply, err)
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

// lostReply returns the result of an attempt at a process that has exited or can't be
// reached. If mayHaveRun is not set, no message can have reached that process, so the
// call has not run: a process that has replaced it rejects even the first message.
func lostReply(mayHaveRun bool) RunReply {
	if !mayHaveRun {
		return RunReply{Result: carrier.Refuse(carrier.PeerUnreachable)}
	}
	return RunReply{Result: carrier.Result{Outcome: carrier.Unknown, Reason: carrier.PeerLost, Arrived: true}}
}

// cancelledResult returns the result of an attempt whose context has ended. Its reason
// is DeadlineExceeded, or CallerGone if the caller disconnected.
func cancelledResult(ctx context.Context, mayHaveRun bool) carrier.Result {
	reason := carrier.CallerGone
	if context.Cause(ctx) == context.DeadlineExceeded {
		reason = carrier.DeadlineExceeded
	}
	if !mayHaveRun {
		return carrier.Refuse(reason)
	}
	return carrier.Fail(reason)
}

func (f *Forwarder) cancel(address string, id fencer.AttemptID) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	// If this message is lost, the receiver ends the call at its own deadline.
	_ = f.Call(ctx, address, "Cancel", &CancelArgs{AttemptID: id}, &Empty{})
}

// Call calls an RPC method of the node at address. It returns an error if the node can't
// be reached, the connection fails, the method fails or the context ends. On an error
// other than that of the context, the connection is closed, and the next call opens a
// new one.
func (f *Forwarder) Call(ctx context.Context, address, method string, args, reply any) error {
	p := f.peer(address)
	l, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return p.call(ctx, l, method, args, reply)
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
