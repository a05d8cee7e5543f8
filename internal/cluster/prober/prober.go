// Package prober decides when a member counts as dead. It does no I/O.
//
// A member that does not reply is probed through other members before it counts
// as dead, so that one bad connection does not get a member declared dead. Source:
// the indirect probes of Das, Gupta and Motivala, "SWIM", DSN 2002. Unlike SWIM,
// suspicion is not gossiped: every member is probed by log2(n) others, and a member
// that was declared dead in error refutes it with a higher incarnation.
package prober

import "time"

// Timings of probes. A round is a direct probe and, if it fails, an indirect one. A
// crashed member is declared dead about Interval + FailedRounds*2*Timeout after the
// crash. An unreachable helper extends a round by up to one Timeout.
const (
	// Interval is the mean interval between the probes that a node sends.
	Interval = time.Second
	// Timeout limits one direct or indirect probe.
	Timeout = 400 * time.Millisecond
	// FailedRounds is the number of consecutive failed rounds after which a
	// member is declared dead.
	FailedRounds = 2
	// Helpers is the number of members asked to probe a member indirectly.
	Helpers = 2
)

// Verdict is the result of a round of probes for a member.
type Verdict int

// The verdicts.
const (
	// Responsive means that the member replied, directly or to a helper.
	Responsive Verdict = iota
	// Undecided means that the round failed and another must follow immediately.
	Undecided
	// Unresponsive means that the member is to be declared dead.
	Unresponsive
)

// Tracker counts consecutive failed rounds per member. It is not safe for concurrent
// use; its owner holds a lock.
type Tracker struct {
	failures map[string]int
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{failures: map[string]int{}} }

// RecordRound records the result of one round of probes and returns the verdict.
func (t *Tracker) RecordRound(id string, replied bool) Verdict {
	if replied {
		delete(t.failures, id)
		return Responsive
	}
	t.failures[id]++
	if t.failures[id] < FailedRounds {
		return Undecided
	}
	delete(t.failures, id)
	return Unresponsive
}
