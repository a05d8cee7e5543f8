package executor

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// RateLimit is what an answer states about the rate of calls that its upstream takes.
type RateLimit struct {
	// Stated reports whether the answer names a limit, and Valid whether it could be read.
	Stated bool
	Valid  bool
	// PerSecond is the number of calls per second, from all nodes together. It is finite and
	// not negative.
	PerSecond float64
}

// limitState is the rate limit of the upstream as its answers state it.
type limitState struct {
	RateLimit
	// statedAt is when the last answer that names a limit arrived.
	statedAt time.Time
}

// update applies the statement of an answer to a call that was sent at the given time, and reports
// whether the limit has changed. An answer without a limit ends it only if the call was sent after
// the last answer with one had arrived, since answers may overtake each other. A limit that can't
// be read says nothing about the one in force.
func (l *limitState) update(stated RateLimit, sent, now time.Time) bool {
	before := l.RateLimit
	switch {
	case stated.Valid:
		l.RateLimit, l.statedAt = stated, now
	case !stated.Stated && sent.After(l.statedAt):
		l.RateLimit = RateLimit{}
	}
	return l.RateLimit != before
}

// recordLimit applies the rate limit that the head of an answer states. The answer is of an
// incarnation of the upstream, to a call that was sent at the given time.
func (e *Executor) recordLimit(incarnation tracker.Incarnation, stated RateLimit, sent time.Time) {
	now := time.Now()
	e.mu.Lock()
	changed := e.tracker.Current().Incarnation() == incarnation && e.limit.update(stated, sent, now)
	limit := e.limit.RateLimit
	if changed {
		e.applyLimit(limit, now)
	}
	e.mu.Unlock()
	if changed {
		e.config.Observe.RateLimited(limit)
	}
}

// applyLimit limits the rate at which calls start. The caller holds the lock.
func (e *Executor) applyLimit(l RateLimit, now time.Time) {
	if l.Valid {
		e.queue.LimitRate(l.PerSecond, now)
	} else {
		e.queue.UnlimitRate(now)
	}
	e.scheduleAdvance(now)
}

// prove ends the caution after a restart of the node.
func (e *Executor) prove() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.unproven {
		return
	}
	e.unproven = false
	e.queue.Slots = e.usableSlots()
	e.advance(time.Now())
}
