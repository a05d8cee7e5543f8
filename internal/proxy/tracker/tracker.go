// Package tracker keeps what the upstream beside a node says of itself. It is
// pure: the clock is passed in, and reports may be late, repeated or out of
// order.
package tracker

import "time"

// State is what an upstream says it does.
type State uint8

// The states.
const (
	// Absent: nothing is known of an upstream.
	Absent State = iota
	Ready
	// Leaving: the upstream drains, or has signed off and serves a little longer.
	Leaving
)

// Report is one heartbeat of an upstream.
type Report struct {
	// Instance identifies a start of the upstream, mostly; see Born.
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 if unsaid.
	Born int64
	// Sequence grows with each report of one start.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	Leaving  bool
	// ColdLeft is how much longer the upstream is slow after its start.
	ColdLeft time.Duration
}

// Upstream is the newest knowledge about the upstream beside this node.
type Upstream struct {
	Report
	State State
	// LeavingSince is when its leaving was first acknowledged.
	LeavingSince time.Time
	// ColdUntil is when it stops to be slow.
	ColdUntil time.Time
}

// Verdict says what a report changed.
type Verdict uint8

// The verdicts.
const (
	// Outdated: the report is older than what is known.
	Outdated Verdict = iota
	// Refreshed: nothing but the time of the last report changed.
	Refreshed
	// Changed: instance, state or slots changed.
	Changed
)

// Tracker holds one upstream. It is used under its owner's lock.
type Tracker struct {
	current Upstream
}

// New returns a tracker that knows no upstream.
func New() *Tracker { return &Tracker{} }

// Current returns what is known now.
func (t *Tracker) Current() Upstream { return t.current }

// Accept takes in a report. The caller acknowledges it whatever the verdict: an
// outdated report needs no second sending.
func (t *Tracker) Accept(r Report, now time.Time) Verdict {
	if t.outdated(r) {
		return Outdated
	}
	before := t.current
	next := Upstream{Report: r, State: Ready, ColdUntil: now.Add(r.ColdLeft)}
	sameStart := before.State != Absent && before.Instance == r.Instance && before.Born == r.Born
	if r.Leaving || (sameStart && before.State == Leaving) {
		next.State, next.LeavingSince = Leaving, now
	}
	if sameStart && before.State == Leaving {
		next.LeavingSince = before.LeavingSince
	}
	t.current = next
	if sameStart && before.State == next.State && before.Slots == r.Slots && before.Service == r.Service {
		return Refreshed
	}
	return Changed
}

// outdated compares starts first and reports of one start second.
func (t *Tracker) outdated(r Report) bool {
	c := t.current
	if c.State == Absent {
		return false
	}
	if c.Born != r.Born {
		return r.Born < c.Born
	}
	return c.Instance == r.Instance && r.Sequence <= c.Sequence
}

// SignOff takes in that an instance ends. Born is 0 if the message did not say.
func (t *Tracker) SignOff(instance string, born int64, now time.Time) Verdict {
	c := &t.current
	if c.State != Ready || c.Instance != instance || (born != 0 && born != c.Born) {
		return Outdated
	}
	c.State, c.LeavingSince = Leaving, now
	return Changed
}

// Lost takes in that another instance answers at the address.
func (t *Tracker) Lost(instance string) {
	if t.current.Instance == instance {
		t.current.State = Absent
	}
}
