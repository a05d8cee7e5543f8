// Package fencer makes the forwarding of a call between two nodes idempotent. The
// sender identifies each attempt; the receiver executes an attempt at most once,
// also if its message is sent again on a new connection or arrives after the
// attempt was revoked.
package fencer

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// attemptRetention is how long a finished or revoked attempt is kept. It exceeds
	// the time for which a network partition can delay a message.
	attemptRetention = 20 * time.Second
	// answerRetention is how long the answer of an attempt is kept for a sender that
	// sends the message again.
	answerRetention = 2 * time.Second
)

// Entry is the receiver's state of one attempt.
type Entry struct {
	// Result is set before Done is closed. Its answer is dropped after answerRetention.
	Result carrier.Result
	// UpstreamTime is the time that the call took at the upstream, set with Result.
	UpstreamTime time.Duration
	Done         chan struct{}
	// Cancel cancels the execution; nil for an attempt that was revoked before its
	// message arrived.
	Cancel func()

	finished time.Time
	id       AttemptID
}

// Fencer holds the attempts that were received recently. It is not safe for
// concurrent use; its owner holds a lock.
type Fencer struct {
	entries map[AttemptID]*Entry
	// finished holds the entries that have a result, ordered by the time at which they
	// finished. The answers of the first answersDropped entries are no longer kept.
	finished       []*Entry
	answersDropped int
}

// New returns an empty fencer.
func New() *Fencer { return &Fencer{entries: map[AttemptID]*Entry{}} }

// Begin returns the entry of an attempt and reports whether it is new, in which
// case the caller must execute the attempt.
func (f *Fencer) Begin(id AttemptID, cancel func(), now time.Time) (*Entry, bool) {
	f.expire(now)
	if e, known := f.entries[id]; known {
		return e, false
	}
	e := &Entry{Done: make(chan struct{}), Cancel: cancel, id: id}
	f.entries[id] = e
	return e, true
}

// Finish sets the result of an entry and closes its Done channel. It must be called once
// for each new entry that Begin returned.
func (f *Fencer) Finish(e *Entry, result carrier.Result, now time.Time) {
	e.Result, e.finished = result, now
	close(e.Done)
	f.finished = append(f.finished, e)
}

// Revoke revokes an attempt. One that has not arrived yet will not be executed. If
// the attempt is being executed, Revoke returns its entry, else nil.
func (f *Fencer) Revoke(id AttemptID, now time.Time) *Entry {
	f.expire(now)
	e, known := f.entries[id]
	if !known {
		e = &Entry{Done: make(chan struct{}), id: id}
		f.entries[id] = e
		f.Finish(e, carrier.Refuse(carrier.CallerGone), now)
		return nil
	}
	if !e.finished.IsZero() {
		return nil
	}
	return e
}

// expire drops the answers that are older than answerRetention and the entries that are
// older than attemptRetention.
func (f *Fencer) expire(now time.Time) {
	for f.answersDropped < len(f.finished) && now.Sub(f.finished[f.answersDropped].finished) > answerRetention {
		f.finished[f.answersDropped].dropAnswer()
		f.answersDropped++
	}
	expired := 0
	for expired < f.answersDropped && now.Sub(f.finished[expired].finished) > attemptRetention {
		delete(f.entries, f.finished[expired].id)
		f.finished[expired] = nil
		expired++
	}
	f.finished = f.finished[expired:]
	f.answersDropped -= expired
}

// dropAnswer discards the answer of a call that has run. Its outcome becomes
// Unknown and never NotRun, so that the call is not executed again.
func (e *Entry) dropAnswer() {
	if e.Result.Outcome == carrier.Run {
		e.Result = carrier.Fail(carrier.AnswerBroken)
	}
}
