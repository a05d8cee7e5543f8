// Package tracker holds the state of a node's local upstream, as its heartbeats and
// deregistrations describe it. It has no side effects: the clock is passed in.
// Heartbeats may be late, duplicated or out of order.
package tracker

import "time"

// State is the state of an upstream.
type State uint8

// The states.
const (
	// Absent: no upstream is known.
	Absent State = iota
	Ready
	// Draining: the upstream is draining, or has deregistered and still serves calls
	// for a short time.
	Draining
)

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// Instance is the ID of the instance. It usually identifies one incarnation; Born
	// distinguishes incarnations that use the same ID.
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 if not specified.
	Born int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	Draining bool
	// ColdLeft is the time for which the upstream is still slow after its start.
	ColdLeft time.Duration
}

// Upstream is the latest known state of the node's local upstream.
type Upstream struct {
	Heartbeat
	State State
	// DrainingSince is when the node first acknowledged that the upstream is draining.
	DrainingSince time.Time
	// ColdUntil is when the upstream is no longer slow after its start.
	ColdUntil time.Time
}

// Incarnation returns the incarnation that sent the heartbeat.
func (h Heartbeat) Incarnation() Incarnation { return Incarnation{Instance: h.Instance, Born: h.Born} }

// Incarnation identifies one incarnation of an upstream.
type Incarnation struct {
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 if not specified.
	Born int64
}

// Verdict is what a heartbeat or a deregistration changed.
type Verdict uint8

// The verdicts.
const (
	// Outdated: the message did not update the current state, since it is older, concerns
	// another incarnation or repeats a deregistration.
	Outdated Verdict = iota
	// Refreshed: the heartbeat is newer, but instance, state, slots and service are
	// the same.
	Refreshed
	// Changed: instance, state, slots or service changed.
	Changed
)

// Tracker holds the state of one upstream. It is not safe for concurrent use; its
// owner holds a lock.
type Tracker struct {
	current Upstream
	// draining holds since when incarnations have been draining. A heartbeat that an
	// upstream sent before it began to drain may arrive afterwards, also at a node process
	// that started in between, and must not make the upstream ready again.
	draining map[Incarnation]time.Time
	// former is the incarnation that was replaced last, or the absent one. Its late heartbeats
	// must not count; if it sends them because it has not ended, they must in the end.
	former Incarnation
	// shownAt is when the current state was shown last, by a heartbeat or by another instance
	// at the address.
	shownAt time.Time
}

// drainingRetention is how long the record of a draining incarnation is kept. For that
// long, late heartbeats of the incarnation may still arrive.
const drainingRetention = 5 * time.Minute

// silentTime is how long nothing must have shown the current state before a heartbeat of the
// former incarnation counts again. It is some intervals between heartbeats.
const silentTime = 5 * time.Second

// New returns a tracker without an upstream.
func New() *Tracker { return &Tracker{draining: map[Incarnation]time.Time{}} }

// Current returns the latest known state of the upstream.
func (t *Tracker) Current() Upstream { return t.current }

// Accept updates the state from a heartbeat. The caller acknowledges the heartbeat
// whatever the verdict is, since it is of no use that the upstream sends an outdated one
// again. Of an outdated one only the drain counts, which no later one takes back.
func (t *Tracker) Accept(h Heartbeat, now time.Time) Verdict {
	switch {
	case t.outdated(h) && h.Draining:
		return t.MarkDraining(h.Incarnation(), now, now)
	case t.outdated(h):
		return Outdated
	}
	if h.Draining {
		t.recordDraining(h.Incarnation(), now, now)
	}
	if t.isLateFormer(h, now) {
		return Outdated
	}
	before := t.current
	next := Upstream{Heartbeat: h, State: Ready, ColdUntil: now.Add(h.ColdLeft)}
	sameIncarnation := before.State != Absent && before.Instance == h.Instance && before.Born == h.Born
	if since, draining := t.drainingSince(Incarnation{h.Instance, h.Born}); draining {
		next.State, next.DrainingSince = Draining, since
	}
	t.replaceFormer(before.Incarnation(), h.Incarnation())
	t.current, t.shownAt = next, now
	if sameIncarnation && before.State == next.State && before.Slots == h.Slots && before.Service == h.Service {
		return Refreshed
	}
	return Changed
}

// outdated reports whether a heartbeat is older than the current state: it was sent by an
// incarnation that started earlier, or earlier by the same incarnation. Two instances with
// the same start have no order; isLateFormer decides.
func (t *Tracker) outdated(h Heartbeat) bool {
	c := t.current
	if c.State == Absent {
		return false
	}
	if c.Born != h.Born {
		return h.Born < c.Born
	}
	return c.Instance == h.Instance && h.Sequence <= c.Sequence
}

// isLateFormer reports whether a heartbeat is probably a late one of the former incarnation.
func (t *Tracker) isLateFormer(h Heartbeat, now time.Time) bool {
	return h.Incarnation() == t.former && now.Sub(t.shownAt) < silentTime
}

// replaceFormer updates the former incarnation when a heartbeat has been accepted.
func (t *Tracker) replaceFormer(before, next Incarnation) {
	if t.former == next {
		t.former = Incarnation{}
	}
	if before != next {
		t.former = before
	}
}

// Resolve returns the incarnation that a deregistration concerns. Born is 0 if the message did
// not specify it, which means the current incarnation if the instance is the current one.
func (t *Tracker) Resolve(instance string, born int64) Incarnation {
	if c := t.current; c.State != Absent && c.Instance == instance && born == 0 {
		born = c.Born
	}
	return Incarnation{Instance: instance, Born: born}
}

// MarkDraining records that an incarnation has been draining since the given time. It
// may be one that never sent a heartbeat to this process: the verdict is then Outdated,
// but a later heartbeat of the incarnation finds it draining.
func (t *Tracker) MarkDraining(incarnation Incarnation, since, now time.Time) Verdict {
	t.recordDraining(incarnation, since, now)
	c := &t.current
	if c.State != Ready || c.Instance != incarnation.Instance || c.Born != incarnation.Born {
		return Outdated
	}
	c.State, c.DrainingSince = Draining, t.draining[incarnation]
	return Changed
}

// recordDraining records since when an incarnation has been draining. The first recorded
// time is kept. Records older than drainingRetention are removed, except the current
// incarnation's.
func (t *Tracker) recordDraining(incarnation Incarnation, since, now time.Time) {
	current := Incarnation{t.current.Instance, t.current.Born}
	for other, at := range t.draining {
		if other != current && now.Sub(at) > drainingRetention {
			delete(t.draining, other)
		}
	}
	if _, known := t.draining[incarnation]; !known {
		t.draining[incarnation] = since
	}
}

// drainingSince returns since when an incarnation has been draining, and reports whether
// it is. A deregistration that did not specify an incarnation applies to those of the
// instance that started before it.
func (t *Tracker) drainingSince(incarnation Incarnation) (time.Time, bool) {
	if since, draining := t.draining[incarnation]; draining {
		return since, true
	}
	since, draining := t.draining[Incarnation{Instance: incarnation.Instance}]
	return since, draining && incarnation.Born <= since.UnixMilli()
}

// MarkAbsent records that another instance answers at the address of the given incarnation,
// and reports whether that is the current one. The upstream is absent until the next
// heartbeat of any other incarnation.
func (t *Tracker) MarkAbsent(incarnation Incarnation, now time.Time) bool {
	if t.current.Incarnation() != incarnation {
		return false
	}
	t.current.State = Absent
	t.former, t.shownAt = incarnation, now
	return true
}
