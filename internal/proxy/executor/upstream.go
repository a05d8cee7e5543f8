package executor

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// Heartbeat updates the state of the upstream from a heartbeat and returns what changed.
func (e *Executor) Heartbeat(h tracker.Heartbeat, now time.Time) tracker.Verdict {
	return e.updateUpstream(now, func() tracker.Verdict { return e.tracker.Accept(h, now) })
}

// Deregister deregisters an instance, which is draining from then on, and returns the incarnation
// that this concerns and what changed. Born is when the instance started, in Unix milliseconds; 0 if
// not specified.
func (e *Executor) Deregister(instance string, born int64, now time.Time) (tracker.Incarnation, tracker.Verdict) {
	var incarnation tracker.Incarnation
	verdict := e.updateUpstream(now, func() tracker.Verdict {
		incarnation = e.tracker.Resolve(instance, born)
		return e.tracker.MarkDraining(incarnation, now, now)
	})
	return incarnation, verdict
}

// MarkDraining records that an incarnation of the upstream has been draining since the
// given time, and returns what changed.
func (e *Executor) MarkDraining(incarnation tracker.Incarnation, since, now time.Time) tracker.Verdict {
	return e.updateUpstream(now, func() tracker.Verdict { return e.tracker.MarkDraining(incarnation, since, now) })
}

// updateUpstream updates the tracker and applies the new state. It returns the verdict of update,
// which is called with the lock held.
func (e *Executor) updateUpstream(now time.Time, update func() tracker.Verdict) tracker.Verdict {
	e.mu.Lock()
	before := e.tracker.Current()
	verdict := update()
	if verdict != tracker.Outdated {
		e.applyUpstream(before, now)
	}
	e.mu.Unlock()
	if verdict == tracker.Changed {
		e.config.Changed()
	}
	return verdict
}

// applyUpstream applies the latest state of the upstream to the queue and the
// connections. A new incarnation gets new connections; when an upstream begins to drain,
// the queued calls are refused. The caller holds the lock.
func (e *Executor) applyUpstream(before tracker.Upstream, now time.Time) {
	current := e.tracker.Current()
	if before.Instance != current.Instance || before.Born != current.Born {
		e.pool.drop()
		e.unreachableUntil = time.Time{}
		e.limit = limitState{}
		e.queue.UnlimitRate(now)
		e.unproven = e.unproven && before.Instance == ""
	}
	if current.State == tracker.Draining && before.State != tracker.Draining {
		e.queue.RefuseAll()
	}
	e.queue.Slots = e.usableSlots()
	e.advance(now)
}

// Upstream returns the latest known state of the upstream.
func (e *Executor) Upstream() tracker.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

// refusalReason returns why the upstream can't take calls of a service now; empty if it
// can. The caller holds the lock.
func (e *Executor) refusalReason(service string, now time.Time) carrier.Reason {
	current := e.tracker.Current()
	switch {
	case e.stopping:
		return carrier.Stopping
	case current.State == tracker.Absent:
		return carrier.NoEndpoint
	case current.Service != service:
		return carrier.WrongEndpoint
	case current.State == tracker.Draining && now.Sub(current.DrainingSince) > e.drainingTime():
		return carrier.Draining
	case now.Before(e.unreachableUntil):
		return carrier.UpstreamUnreachable
	}
	return ""
}

// drainingTime returns how long a draining upstream still gets calls.
func (e *Executor) drainingTime() time.Duration {
	return time.Duration(drainingFraction * float64(e.config.DrainTime))
}

// recordDrain marks the upstream as draining if an answer of it states so. Its heartbeats may say
// so later, or never.
func (e *Executor) recordDrain(upstream tracker.Upstream, stated bool) {
	if !stated || upstream.State == tracker.Draining {
		return
	}
	now := time.Now()
	if e.MarkDraining(upstream.Incarnation(), now, now) == tracker.Changed {
		e.config.Observe.DrainStated(e.Upstream())
	}
}

// markUnreachable starts the backoff after a connection could not be opened, unless the
// context has ended or another incarnation of the upstream has taken over meanwhile. It
// returns the refusal of the call.
func (e *Executor) markUnreachable(ctx context.Context, incarnation tracker.Incarnation, now time.Time) carrier.Result {
	if ctx.Err() != nil {
		return carrier.Refuse(reasonOf(ctx))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tracker.Current().Incarnation() == incarnation {
		e.unreachableUntil = now.Add(unreachableBackoff)
	}
	return carrier.Refuse(carrier.UpstreamUnreachable)
}

// markAbsent records that another instance has the address of an incarnation of the
// upstream, and refuses the queued calls. It does nothing if a later incarnation has taken
// over meanwhile.
func (e *Executor) markAbsent(incarnation tracker.Incarnation) {
	e.mu.Lock()
	marked := e.tracker.MarkAbsent(incarnation, time.Now())
	if marked {
		e.queue.RefuseAll()
	}
	e.mu.Unlock()
	if marked {
		e.config.Changed()
	}
}
