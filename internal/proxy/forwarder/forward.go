package forwarder

import (
	"context"
	"net/rpc"
	"strings"
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
	// largeBodyBytes is the size above which a body takes the connection for large bodies. A
	// link of 10 Mbit/s carries it in 13 ms.
	largeBodyBytes = 16 << 10
)

// attempt is the state of one attempt until its result is known.
type attempt struct {
	member balancer.Member
	node   *node
	// args is the message of the attempt. Its job is that of the time startedAt, and deadline the
	// end of the job's remaining time. It does not change once dated is set, which is when it
	// states the latest start.
	args      AttemptArgs
	startedAt time.Time
	deadline  time.Time
	dated     bool
	// mayHaveArrived reports whether the receiver may have received the attempt, earlier whether
	// it is of an earlier release.
	mayHaveArrived bool
	earlier        bool
	// offered reports whether the receiver may hold an offer of the body.
	offered bool
}

// now returns a time by the sender's steady clock.
func (f *Forwarder) now() time.Duration { return time.Since(f.opened) }

// Forward forwards an attempt to a member and waits for its result. The context ends
// when the caller disconnects or its deadline passes. If canFailOver is set, the call
// may run at another node, so Forward returns after at most one resend if m is
// unresponsive. Otherwise only m can state the outcome, and the attempt is sent again
// until the context ends, m refuses connections, or its process is found replaced.
func (f *Forwarder) Forward(ctx context.Context, m balancer.Member, job executor.Job, canFailOver bool) RunReply {
	now := time.Now()
	a := &attempt{
		member: m, node: f.node(m.Address), startedAt: now, deadline: now.Add(job.Remaining),
		args: AttemptArgs{AttemptID: fencer.AttemptID{Sender: f.sender, Number: f.lastAttempt.Add(1)}, Start: m.Start, Job: job, Repeat: job.Repeat},
	}
	for sends := 1; ; sends++ {
		mayHaveRun := a.mayHaveArrived
		reply, err := f.send(ctx, a)
		switch {
		case err == nil && reply.OtherProcess:
			// The addressed process has exited. It may have run the call only if an
			// earlier send reached it.
			return lostReply(mayHaveRun)
		case err == nil:
			return reply
		case ctx.Err() != nil, errors.Is(err, errTooLate):
			return f.abandon(ctx, a)
		case isServerError(err):
			// The node can't take the message, as one of another version may. Run itself
			// returns no error.
			if a.offered {
				// The receiver would keep the offer and the pieces of the body until the deadline.
				f.cancel(a)
			}
			return lostReply(mayHaveRun)
		case !a.mayHaveArrived && errors.Is(err, errNotSent) && sends == 1:
			// The connection had been closed before; open a new one without delay.
			continue
		case !a.mayHaveArrived:
			f.cancel(a)
			return lostReply(false)
		case errors.Is(err, syscall.ECONNREFUSED), canFailOver && sends > maxResendsBeforeFailover:
			// A refused connection means that the process has exited.
			f.cancel(a)
			return lostReply(true)
		}
		if !errors.Is(err, rpc.ErrShutdown) {
			// This process has closed the connection itself, and has reported why.
			f.notifyUnresponsive(m.Address)
		}
		if sends > 1 && !pauser.Pause(ctx, resendDelay) {
			return f.abandon(ctx, a)
		}
		// Forget may have closed the connections. Neither it nor Close would close a new one of theirs.
		a.node = f.node(m.Address)
	}
}

// send sends the attempt on the open connection, or on a new one, and waits for its
// result.
func (f *Forwarder) send(ctx context.Context, a *attempt) (RunReply, error) {
	p, granted := a.node.small, 0
	switch {
	case isLarge(a.args.Job):
		var reply RunReply
		var err error
		if reply, granted, err = f.offer(ctx, a); granted == 0 {
			return reply, err
		}
		p = a.node.large
	case a.args.Job.LargeBodies:
		p = a.node.large
	}
	l, err := f.connect(ctx, p, a)
	switch {
	case err != nil:
		return RunReply{}, err
	case l.earlier:
		return f.sendRun(ctx, p, l, a)
	case !a.isFor(l):
		return RunReply{OtherProcess: true}, nil
	}
	args := &a.args
	if granted < len(a.args.Job.Call.Body) && granted > 0 {
		offset, reply, err := f.sendPieces(ctx, l, a, granted)
		if offset == 0 {
			return reply, err
		}
		rest := a.args
		rest.Offset, rest.Job.Call.Body = offset, a.args.Job.Call.Body[offset:]
		args = &rest
	}
	reply := &AttemptReply{}
	mayHaveRun, sent := a.mayHaveArrived, f.now()
	err = p.call(ctx, l, "Attempt", args, reply, a.deadline)
	a.mayHaveArrived = a.mayHaveArrived || !errors.Is(err, errNotSent)
	received, err := replyOf(reply, err)
	return f.resultOf(a, received, mayHaveRun, sent), err
}

// resultOf returns the result that a reply to a message holds, and learns the receiver's clock from
// it. It returns an empty one as it is. The message was sent at the given time.
func (f *Forwarder) resultOf(a *attempt, reply AttemptReply, mayHaveRun bool, sent time.Duration) RunReply {
	if reply.Reading > 0 {
		a.node.clock.observe(a.member.Start, reply.Reading, sent, f.now())
	}
	if reply.Expired && !mayHaveRun {
		// Only the sender knows that this was the first message of the attempt.
		reply.Run.Result = carrier.Refuse(carrier.DeadlineExceeded)
	}
	return reply.Run
}

// sendPieces sends the body of an attempt in granted pieces, except for the last one, and returns
// its position. If the rest is refused, the position is 0 and sendPieces returns the result of the
// attempt or an error.
func (f *Forwarder) sendPieces(ctx context.Context, l *connection, a *attempt, granted int) (int, RunReply, error) {
	body, offset := a.args.Job.Call.Body, 0
	for offset+granted < len(body) {
		args := &PieceArgs{
			AttemptID: a.args.AttemptID, Start: a.args.Start, LatestStart: a.args.LatestStart,
			Offset: offset, Bytes: body[offset : offset+granted],
		}
		reply, sent := &OfferReply{}, f.now()
		err := a.node.large.call(ctx, l, "Piece", args, reply, a.deadline)
		received, err := replyOf(reply, err)
		result := f.resultOf(a, received.Attempt, a.mayHaveArrived, sent)
		if received.Granted == 0 {
			return 0, result, err
		}
		offset, granted = offset+granted, received.Granted
	}
	return offset, RunReply{}, nil
}

// offer offers the body of an attempt, if the receiver states the rate of its link, and waits until
// the offer is granted. It returns the number of bytes that may be sent. If that is 0, it returns the
// result of the attempt or an error.
func (f *Forwarder) offer(ctx context.Context, a *attempt) (RunReply, int, error) {
	bytes := len(a.args.Job.Call.Body)
	if a.member.LinkRate == 0 {
		return RunReply{}, bytes, nil
	}
	p := a.node.small
	l, err := f.connect(ctx, p, a)
	switch {
	case err != nil:
		return RunReply{}, 0, err
	case l.earlier:
		return RunReply{}, bytes, nil
	case !a.isFor(l):
		return RunReply{OtherProcess: true}, 0, nil
	}
	args := &OfferArgs{Attempt: a.args, Bytes: bytes}
	args.Attempt.Job.Call.Body = nil
	reply, sent := &OfferReply{}, f.now()
	a.offered = true
	err = p.call(ctx, l, "Offer", args, reply, a.deadline)
	received, err := replyOf(reply, err)
	return f.resultOf(a, received.Attempt, a.mayHaveArrived, sent), received.Granted, err
}

// isLarge reports whether the body of a job takes the connection for large bodies.
func isLarge(job executor.Job) bool { return len(job.Call.Body) > largeBodyBytes }

// connect returns an open connection whose receiver is known, and states the latest start of the
// attempt by the receiver's clock.
func (f *Forwarder) connect(ctx context.Context, p *peer, a *attempt) (*connection, error) {
	l, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.identify(ctx, a.node, p, l); err != nil {
		return nil, err
	}
	if l.identified.Load() && !l.earlier && l.process != a.member.Start {
		// The process behind the connection may have ended without a use of the connection since, which
		// would have shown that. A connection that works leads to another process than the member's.
		if err := f.readClock(ctx, a.node, p, l, true); err != nil {
			return nil, err
		}
	}
	if !a.dated && !l.earlier {
		a.args.LatestStart, a.dated = a.node.clock.convert(a.member.Start, a.deadline.Sub(f.opened), f.now())
	}
	return l, nil
}

// isFor reports whether a connection leads to the process that must run the attempt.
func (a *attempt) isFor(l *connection) bool { return a.dated && l.process == a.member.Start }

// sendRun sends the attempt by the method Run, on a connection to a receiver of an earlier release.
func (f *Forwarder) sendRun(ctx context.Context, p *peer, l *connection, a *attempt) (RunReply, error) {
	args := &RunArgs{AttemptID: a.args.AttemptID, Start: a.member.Start, Job: a.args.Job}
	elapsed := time.Since(a.startedAt)
	args.Job.Remaining -= elapsed
	args.Job.Objective -= elapsed
	reply := &RunReply{}
	a.earlier = true
	err := p.call(ctx, l, "Run", args, reply, a.deadline)
	a.mayHaveArrived = a.mayHaveArrived || !errors.Is(err, errNotSent)
	return replyOf(reply, err)
}

// identify learns the receiver's process and its clock, on a new connection and when the last
// reading of the clock is too old. It has no effect on attempts, so that its errors are errNotSent
// or that of a connection that did not respond.
func (f *Forwarder) identify(ctx context.Context, n *node, p *peer, l *connection) error {
	if f.isIdentified(n, l) {
		return nil
	}
	return f.readClock(ctx, n, p, l, false)
}

// readClock learns the receiver's process and its clock by an exchange. If again is not set, another
// exchange that has ended in the meantime is enough.
func (f *Forwarder) readClock(ctx context.Context, n *node, p *peer, l *connection, again bool) error {
	select {
	case l.identifying <- struct{}{}:
	case <-ctx.Done():
		return withdrawn(ctx)
	}
	defer func() { <-l.identifying }()
	if !again && f.isIdentified(n, l) {
		return nil
	}
	reply, sent := &ClockReply{}, f.now()
	err := p.call(ctx, l, "Clock", &Empty{}, reply, time.Time{})
	received, replyErr := replyOf(reply, err)
	switch {
	case replyErr == nil:
		n.clock.observe(received.Start, received.Reading, sent, f.now())
	case isUnknownMethod(err):
	case errors.Is(err, errUnresponsive), errors.Is(err, errNotSent), ctx.Err() != nil:
		return err
	default:
		return errClosed
	}
	if !l.identified.Load() {
		l.process, l.earlier = received.Start, err != nil
		l.identified.Store(true)
	}
	return nil
}

func (f *Forwarder) isIdentified(n *node, l *connection) bool {
	return l.identified.Load() && (l.earlier || n.clock.isCurrent(l.process, f.now()))
}

// isUnknownMethod reports whether an error is the reply of a node that does not have the method, as
// one of an earlier release.
func isUnknownMethod(err error) bool {
	return isServerError(err) && strings.HasPrefix(err.Error(), "rpc: can't find ")
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

// abandon cancels an attempt whose context or deadline has ended, and returns its result. The
// reason is CallerGone if the caller disconnected, else DeadlineExceeded.
func (f *Forwarder) abandon(ctx context.Context, a *attempt) RunReply {
	f.cancel(a)
	reason := carrier.DeadlineExceeded
	if ctx.Err() != nil && context.Cause(ctx) != context.DeadlineExceeded {
		reason = carrier.CallerGone
	}
	if !a.mayHaveArrived {
		return RunReply{Result: carrier.Refuse(reason)}
	}
	return RunReply{Result: carrier.Fail(reason)}
}

// cancel cancels an attempt at its receiver, unless no message of it was sent. It does not wait.
func (f *Forwarder) cancel(a *attempt) {
	if !a.mayHaveArrived && !a.offered {
		return
	}
	method, args := "Revoke", any(&RevokeArgs{AttemptID: a.args.AttemptID, Start: a.member.Start, LatestStart: a.args.LatestStart})
	if a.earlier {
		method, args = "Cancel", &CancelArgs{AttemptID: a.args.AttemptID}
	}
	go func() {
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		// If this message is lost, the receiver ends the call at its own deadline.
		_ = f.Call(ctx, a.member.Address, method, args, &Empty{})
	}()
}
