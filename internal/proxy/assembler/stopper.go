package assembler

import (
	"context"
	"time"
)

const (
	// These delays count from the start of Stop. After announceDelay, the node announces
	// to the others that it drains. After refuseForwardedDelay, it refuses the attempts
	// that they still forward; until then its upstream serves as before.
	announceDelay        = 1600 * time.Millisecond
	refuseForwardedDelay = 2100 * time.Millisecond
	// After refuseCallersDelay, the node refuses calls of callers. By then two readiness
	// checks of the platform have found it not ready.
	refuseCallersDelay = 2300 * time.Millisecond
	// exitMargin is the time at the end of the grace period that is reserved for the exit
	// of the process.
	exitMargin = 150 * time.Millisecond
	// callMargin is the time before exitMargin in which no call runs any more, so that the
	// answer that its upstream sends at the call's deadline is written.
	callMargin = 100 * time.Millisecond
	// idleWindow is how long nothing must have been in flight before the node ends.
	idleWindow = 200 * time.Millisecond
	// idlePollInterval is the interval between checks for calls in flight.
	idlePollInterval = 20 * time.Millisecond
)

// Stop drains the node and closes it. The node reports not ready at once but serves as
// before at first. It then announces the drain, so that other nodes forward no more
// attempts here, refuses those that still arrive, and finally refuses the calls of
// callers. Calls that the upstream makes on behalf of calls still in flight are served
// to the end. Stop returns when nothing is in flight, at the latest shortly before the
// grace period ends.
func (p *Proxy) Stop(reason string) {
	start := time.Now()
	p.stopStart.Store(&start)
	p.telemetry.Stopping(reason)
	p.stopping.Store(true)
	time.Sleep(announceDelay)
	p.draining.Store(true)
	p.publishSelf()
	time.Sleep(refuseForwardedDelay - announceDelay)
	p.executor.Stop()
	time.Sleep(refuseCallersDelay - refuseForwardedDelay)
	p.acceptor.Stop()
	p.acceptor.CloseIdle()
	deadline := p.stopDeadline(start)
	awaitIdle(deadline, idleWindow, p.busy)
	// What was accepted since the last look is completed too; nothing new is accepted.
	p.closeListeners()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.acceptor.Shutdown(ctx)
	awaitIdle(deadline, 0, p.busy)
	p.acknowledgeControl(deadline)
	p.telemetry.Stopped(p.acceptor.InFlight())
	p.Close()
}

// stopDeadline is when a stop that began at start closes what is still in flight.
func (p *Proxy) stopDeadline(start time.Time) time.Time {
	return start.Add(p.bounds.Grace.Std() - exitMargin)
}

// callsEnd returns the time by which calls that are accepted now must have ended; zero while
// the node is not stopping.
func (p *Proxy) callsEnd() time.Time {
	start := p.stopStart.Load()
	if start == nil {
		return time.Time{}
	}
	return p.stopDeadline(*start).Add(-callMargin)
}

// acknowledgeControl waits until the control calls of the upstream that have arrived are
// answered, at most until the deadline.
func (p *Proxy) acknowledgeControl(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// Close ends what has no answer by then.
	_ = p.control.Shutdown(ctx)
}

// awaitIdle waits until busy has reported false throughout a window, at most until the
// deadline. It counts the looks instead of the time: a process that was stalled between two
// looks must first get to write what has become ready meanwhile.
func awaitIdle(deadline time.Time, window time.Duration, busy func() bool) {
	for idleLooks := 0; time.Now().Before(deadline); time.Sleep(idlePollInterval) {
		if busy() {
			idleLooks = 0
			continue
		}
		if idleLooks++; idleLooks > int(window/idlePollInterval) {
			return
		}
	}
}

// busy reports whether anything is in flight or queued: a caller's call, a message of another
// node, or a call at the upstream.
func (p *Proxy) busy() bool {
	return p.acceptor.InFlight() > 0 || p.receiver.Pending() > 0 || p.executor.Busy()
}
