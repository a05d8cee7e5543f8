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

// Start names one start of an upstream.
type Start struct {
	Instance string
	// Born is 0 if it was not said.
	Born int64
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
	// left holds since when the upstreams that have left did so: a report from before
	// may arrive after it, also at a process that began in between.
	left map[Start]time.Time
}

// leftMemory is how long after its leaving a report of an upstream may still arrive.
const leftMemory = 5 * time.Minute

// New returns a tracker that knows no upstream.
func New() *Tracker { return &Tracker{left: map[Start]time.Time{}} }

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
	if r.Leaving {
		t.note(Start{r.Instance, r.Born}, now, now)
	}
	if since, left := t.leftSince(Start{r.Instance, r.Born}); left {
		next.State, next.LeavingSince = Leaving, since
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
	if c := t.current; c.State != Absent && c.Instance == instance && born == 0 {
		born = c.Born
	}
	return t.Left(Start{instance, born}, now, now)
}

// Left takes in that a start of an upstream has left at some time, which may be one
// that never reported here.
func (t *Tracker) Left(s Start, since, now time.Time) Verdict {
	t.note(s, since, now)
	c := &t.current
	if c.State != Ready || c.Instance != s.Instance || c.Born != s.Born {
		return Outdated
	}
	c.State, c.LeavingSince = Leaving, t.left[s]
	return Changed
}

// note remembers since when a start of an upstream leaves; the first word of it holds.
func (t *Tracker) note(s Start, since, now time.Time) {
	current := Start{t.current.Instance, t.current.Born}
	for other, at := range t.left {
		if other != current && now.Sub(at) > leftMemory {
			delete(t.left, other)
		}
	}
	if _, known := t.left[s]; !known {
		t.left[s] = since
	}
}

// leftSince returns since when a start leaves. A sign-off that did not say which start
// it means stands for those that began before it.
func (t *Tracker) leftSince(s Start) (time.Time, bool) {
	if since, left := t.left[s]; left {
		return since, true
	}
	since, left := t.left[Start{Instance: s.Instance}]
	return since, left && s.Born <= since.UnixMilli()
}

// Lost takes in that another instance answers at the address.
func (t *Tracker) Lost(instance string) {
	if t.current.Instance == instance {
		t.current.State = Absent
	}
}
