package forwarder

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// reading returns a time by the receiver's steady clock.
func (r *Receiver) reading(now time.Time) time.Duration { return now.Sub(r.opened) }

// Clock replies with a reading of the receiver's clock. A sender calls it first on each connection.
func (m *methods) Clock(_ *Empty, reply *ClockReply) error {
	reply.Start, reply.Reading = m.r.start, m.r.reading(time.Now())
	return nil
}

// Attempt executes an attempt, or waits for its result if the execution has already begun. It
// starts nothing after the latest start.
func (m *methods) Attempt(args *AttemptArgs, reply *AttemptReply) error {
	r := m.r
	if args.Start != r.start {
		reply.Run.OtherProcess = true
		return nil
	}
	latest := r.opened.Add(args.LatestStart)
	args.Job = args.Job.At(time.Until(latest))
	args.Job.Repeat = args.Repeat
	reply.Expired = r.execute(args.AttemptID, latest, &reply.Run, func(ctx context.Context) (carrier.Result, time.Duration) {
		reserved, whole := r.joinBody(args)
		defer r.offers.release(reserved)
		if !whole {
			// No later message of the attempt is executed either, so the refusal is true.
			return carrier.Refuse(carrier.LinkBusy), 0
		}
		return r.executor.Execute(ctx, args.Job)
	})
	reply.Reading = r.reading(time.Now())
	return nil
}

// joinBody puts the pieces that were received before in front of the body, and returns the memory that
// is reserved for them and whether the body is whole. It makes the offer of the body void.
func (r *Receiver) joinBody(args *AttemptArgs) (int64, bool) {
	if args.Offset == 0 {
		if isLarge(args.Job) {
			r.offers.remove(args.AttemptID, carrier.CallerGone)
		}
		return 0, true
	}
	pieces, reserved, whole := r.offers.take(args.AttemptID, args.Offset)
	args.Job.Call.Body = append(pieces, args.Job.Call.Body...)
	return reserved, whole
}

// Run executes an attempt of a sender that states no latest start, as those of earlier releases. Its
// copies are recognized for a limited time only.
func (m *methods) Run(args *RunArgs, reply *RunReply) error {
	if args.Start != m.r.start {
		reply.OtherProcess = true
		return nil
	}
	m.r.execute(args.AttemptID, time.Time{}, reply, func(ctx context.Context) (carrier.Result, time.Duration) {
		return m.r.executor.Execute(ctx, args.Job)
	})
	return nil
}

// execute executes an attempt with run, unless it is known or its latest start has passed, and sets
// the reply to its result. It reports whether the message came too late to be recognized.
func (r *Receiver) execute(
	id fencer.AttemptID, latest time.Time, reply *RunReply, run func(ctx context.Context) (carrier.Result, time.Duration),
) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	entry, isNew := r.fencer.Begin(id, latest, cancel, time.Now())
	r.mu.Unlock()
	if isNew {
		result, upstreamTime := run(ctx)
		r.finish(entry, result, upstreamTime)
	}
	r.reportTo(entry, reply)
	return entry.Expired
}

// reportTo waits for the result of an attempt and sets the reply to it.
func (r *Receiver) reportTo(entry *fencer.Entry, reply *RunReply) {
	<-entry.Done
	r.mu.Lock()
	reply.Result, reply.UpstreamTime = entry.Result, entry.UpstreamTime
	r.mu.Unlock()
	reply.Load, reply.Version = r.node.Load(), r.node.Version()
}

// finish sets the result of an attempt.
func (r *Receiver) finish(entry *fencer.Entry, result carrier.Result, upstreamTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.UpstreamTime = upstreamTime
	r.fencer.Finish(entry, result, time.Now())
}

// Revoke cancels an attempt. One that has not begun will not begin later.
func (m *methods) Revoke(args *RevokeArgs, _ *Empty) error {
	if args.Start == m.r.start {
		m.r.revoke(args.AttemptID, m.r.opened.Add(args.LatestStart))
	}
	return nil
}

// Cancel cancels an attempt of Run.
func (m *methods) Cancel(args *CancelArgs, _ *Empty) error {
	m.r.revoke(args.AttemptID, time.Time{})
	return nil
}

func (r *Receiver) revoke(id fencer.AttemptID, latest time.Time) {
	r.mu.Lock()
	entry := r.fencer.Revoke(id, latest, time.Now())
	r.mu.Unlock()
	if entry != nil {
		entry.Cancel()
	}
	r.offers.remove(id, carrier.CallerGone)
}
