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
	// Outdated: the message is older than the current state or does not concern it.
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
	// left holds since when incarnations have been draining. A heartbeat that was
	// sent before may arrive later, also at a node process that started in between.
	left map[Incarnation]time.Time
}

// drainingRetention is how long after an incarnation began to drain one of its
// heartbeats may still arrive.
const drainingRetention = 5 * time.Minute

// New returns a tracker without an upstream.
func New() *Tracker { return &Tracker{left: map[Incarnation]time.Time{}} }

// Current returns the latest known state of the upstream.
func (t *Tracker) Current() Upstream { return t.current }

// Accept updates the state from a heartbeat. The caller acknowledges the heartbeat
// whatever the verdict is, since sending an outdated one again has no use.
func (t *Tracker) Accept(r Heartbeat, now time.Time) Verdict {
	if t.outdated(r) {
		return Outdated
	}
	before := t.current
	next := Upstream{Heartbeat: r, State: Ready, ColdUntil: now.Add(r.ColdLeft)}
	sameStart := before.State != Absent && before.Instance == r.Instance && before.Born == r.Born
	if r.Draining {
		t.note(Incarnation{r.Instance, r.Born}, now, now)
	}
	if since, left := t.leftSince(Incarnation{r.Instance, r.Born}); left {
		next.State, next.DrainingSince = Draining, since
	}
	t.current = next
	if sameStart && before.State == next.State && before.Slots == r.Slots && before.Service == r.Service {
		return Refreshed
	}
	return Changed
}

// outdated reports whether a heartbeat is older than the current state: by the start
// of the instance first, by the sequence within one incarnation second.
func (t *Tracker) outdated(r Heartbeat) bool {
	c := t.current
	if c.State == Absent {
		return false
	}
	if c.Born != r.Born {
		return r.Born < c.Born
	}
	return c.Instance == r.Instance && r.Sequence <= c.Sequence
}

// Deregister marks an instance as draining from now on. Born is 0 if the message did
// not specify it, which means the current incarnation if the instance is the current
// one.
func (t *Tracker) Deregister(instance string, born int64, now time.Time) Verdict {
	if c := t.current; c.State != Absent && c.Instance == instance && born == 0 {
		born = c.Born
	}
	return t.MarkDraining(Incarnation{instance, born}, now, now)
}

// MarkDraining records that an incarnation has been draining since the given time. It
// may be one that never sent a heartbeat to this process.
func (t *Tracker) MarkDraining(s Incarnation, since, now time.Time) Verdict {
	t.note(s, since, now)
	c := &t.current
	if c.State != Ready || c.Instance != s.Instance || c.Born != s.Born {
		return Outdated
	}
	c.State, c.DrainingSince = Draining, t.left[s]
	return Changed
}

// note records since when an incarnation has been draining. The first recorded time is
// kept. Records older than drainingRetention are removed, except the current
// incarnation's.
func (t *Tracker) note(s Incarnation, since, now time.Time) {
	current := Incarnation{t.current.Instance, t.current.Born}
	for other, at := range t.left {
		if other != current && now.Sub(at) > drainingRetention {
			delete(t.left, other)
		}
	}
	if _, known := t.left[s]; !known {
		t.left[s] = since
	}
}

// leftSince returns since when an incarnation has been draining. A deregistration that
// did not specify an incarnation applies to those of the instance that started before
// it.
func (t *Tracker) leftSince(s Incarnation) (time.Time, bool) {
	if since, left := t.left[s]; left {
		return since, true
	}
	since, left := t.left[Incarnation{Instance: s.Instance}]
	return since, left && s.Born <= since.UnixMilli()
}

// MarkAbsent records that another instance answers at the address of the given one.
func (t *Tracker) MarkAbsent(instance string) {
	if t.current.Instance == instance {
		t.current.State = Absent
	}
}
