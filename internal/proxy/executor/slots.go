package executor

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// usableSlots returns the number of calls that may run at the upstream at once. The caller holds
// the lock.
func (e *Executor) usableSlots() int {
	slots := e.tracker.Current().Slots
	if e.unproven {
		return min(slots, unprovenSlots)
	}
	return slots
}

// advance gives slots to the calls that may start, and sets the timer for the next one. The caller
// holds the lock.
func (e *Executor) advance(now time.Time) {
	e.queue.Advance(now)
	e.scheduleAdvance(now)
}

// scheduleAdvance sets the timer for the next call that the rate limit delays. It must be called
// after each change of the queue. The caller holds the lock.
func (e *Executor) scheduleAdvance(now time.Time) {
	delay, waits := e.queue.NextStart(now)
	switch {
	case !waits:
	case e.wake == nil:
		e.wake = time.AfterFunc(delay, e.wakeQueue)
	default:
		e.wake.Reset(delay)
	}
}

func (e *Executor) wakeQueue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
}

// release frees the slot of a ticket. The caller holds the lock.
func (e *Executor) release(ticket *queuer.Ticket, answered bool, now time.Time) {
	e.queue.Release(ticket, answered, now)
	e.scheduleAdvance(now)
}

// abandon frees the slot of a ticket whose call was withdrawn. The caller holds the lock.
func (e *Executor) abandon(ticket *queuer.Ticket, now time.Time) {
	e.queue.Abandon(ticket, now)
	e.scheduleAdvance(now)
}

// enqueue adds the ticket to the queue. If the upstream can't take the call, it returns
// the refusal and true instead.
func (e *Executor) enqueue(ticket *queuer.Ticket, job Job, now time.Time) (carrier.Result, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(job.Service, now); reason != "" {
		return carrier.Refuse(reason), true
	}
	e.queue.Offer(ticket, now)
	e.scheduleAdvance(now)
	return carrier.Result{}, false
}

// awaitSlot waits until the ticket gets a slot. If it gets none, or if the context ends
// first, awaitSlot returns the refusal and true.
func (e *Executor) awaitSlot(ctx context.Context, ticket *queuer.Ticket) (carrier.Result, bool) {
	select {
	case refusal := <-ticket.Settled:
		return refusalResult(refusal)
	case <-ctx.Done():
	}
	e.mu.Lock()
	withdrawn := e.queue.Withdraw(ticket)
	e.mu.Unlock()
	if withdrawn {
		return carrier.Refuse(reasonOf(ctx)), true
	}
	// The queue has settled the ticket in the meantime. A slot is returned unused.
	result, wasRefused := refusalResult(<-ticket.Settled)
	if wasRefused {
		return result, true
	}
	e.mu.Lock()
	e.abandon(ticket, time.Now())
	e.mu.Unlock()
	return carrier.Refuse(reasonOf(ctx)), true
}

// refusalResult returns the result for a refusal of the queue; false if the ticket got
// a slot.
func refusalResult(refusal *queuer.Refusal) (carrier.Result, bool) {
	if refusal == nil {
		return carrier.Result{}, false
	}
	if refusal.Closed {
		return carrier.Refuse(carrier.Draining), true
	}
	return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Wait: refusal.Wait}, true
}
