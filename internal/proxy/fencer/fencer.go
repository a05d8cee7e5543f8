// Package fencer makes the handing over of a call between two nodes idempotent.
// The sender names each hand-over; the receiver begins each name at most once,
// whether the message comes again on a new connection or after it was revoked.
package fencer

import (
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// memory is how long a finished or revoked hand-over is remembered. It exceeds
	// the time for which a cut can hold up a message.
	memory = 20 * time.Second
	// answerMemory is how long its answer is kept for a sender that repeats it.
	answerMemory = 2 * time.Second
)

// Entry is one hand-over at the receiver. Done is closed when Result is set.
type Entry struct {
	Result carrier.Result
	Done   chan struct{}
	// Cancel ends the execution; nil for one that was revoked before it came.
	Cancel func()

	revoked  bool
	finished time.Time
	name     HandOver
}

// Fencer remembers hand-overs. It is used under its owner's lock.
type Fencer struct {
	entries map[HandOver]*Entry
	// finished is in the order of time; the first answerless of it keep no answer.
	finished   []*Entry
	answerless int
}

// New returns an empty fencer.
func New() *Fencer { return &Fencer{entries: map[HandOver]*Entry{}} }

// Begin returns the entry of a hand-over and whether it is new, in which case
// the caller executes it.
func (f *Fencer) Begin(name HandOver, cancel func(), now time.Time) (*Entry, bool) {
	f.forget(now)
	if e, known := f.entries[name]; known {
		return e, false
	}
	e := &Entry{Done: make(chan struct{}), Cancel: cancel, name: name}
	f.entries[name] = e
	return e, true
}

// Finish records the result of an entry.
func (f *Fencer) Finish(e *Entry, result carrier.Result, now time.Time) {
	e.Result, e.finished = result, now
	close(e.Done)
	f.finished = append(f.finished, e)
}

// Revoke ends a hand-over: one that has not come yet will never begin. It
// returns the entry if it is being executed.
func (f *Fencer) Revoke(name HandOver, now time.Time) *Entry {
	f.forget(now)
	e, known := f.entries[name]
	if !known {
		e = &Entry{Done: make(chan struct{}), name: name, revoked: true}
		f.entries[name] = e
		f.Finish(e, carrier.Refuse(carrier.CallerGone), now)
		return nil
	}
	if !e.finished.IsZero() {
		return nil
	}
	e.revoked = true
	return e
}

func (f *Fencer) forget(now time.Time) {
	for f.answerless < len(f.finished) && now.Sub(f.finished[f.answerless].finished) > answerMemory {
		f.finished[f.answerless].dropAnswer()
		f.answerless++
	}
	gone := 0
	for gone < f.answerless && now.Sub(f.finished[gone].finished) > memory {
		delete(f.entries, f.finished[gone].name)
		f.finished[gone] = nil
		gone++
	}
	f.finished = f.finished[gone:]
	f.answerless -= gone
}

// dropAnswer leaves of a run call only that it has run.
func (e *Entry) dropAnswer() {
	if e.Result.Outcome == carrier.Run {
		e.Result = carrier.Fail(carrier.AnswerBroken)
	}
}
