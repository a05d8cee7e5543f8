// Package fencer makes the forwarding of a call between two nodes idempotent. The
// sender identifies each attempt; the receiver executes an attempt at most once,
// also if its message is sent again on a new connection or arrives after the
// attempt was revoked.
//
// An attempt has a latest start in the time of the receiver. It is kept until then. A
// message that arrives later is refused by its age, so the receiver needs no memory of the
// attempt, however long the network or the sender delays a copy. All messages of an attempt
// must state the same latest start.
package fencer

import (
	"container/heap"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

const (
	// unboundedRetention is how long a finished or revoked attempt without a latest start is
	// kept. Senders of earlier releases state none.
	unboundedRetention = 20 * time.Second
	// AnswerRetention is how long the answer of an attempt is kept for a sender that
	// sends the message again.
	AnswerRetention = 2 * time.Second
)

// Entry is the receiver's state of one attempt.
type Entry struct {
	// Result is set before Done is closed. Its answer is dropped after AnswerRetention.
	Result carrier.Result
	// UpstreamTime is the time that the call took at the upstream, set with Result.
	UpstreamTime time.Duration
	Done         chan struct{}
	// Cancel cancels the execution; nil for an attempt that was revoked before its
	// message arrived.
	Cancel func()
	// Expired reports that this message arrived after the latest start of an attempt that the
	// receiver does not know any more, if it ever did. Result is then unknown.
	Expired bool

	finished time.Time
	// latest is the latest start of the attempt; zero if none is known.
	latest time.Time
	id     AttemptID
}

// keepUntil returns the time after which a finished entry is not needed any more.
func (e *Entry) keepUntil() time.Time {
	if e.latest.IsZero() {
		return e.finished.Add(unboundedRetention)
	}
	return e.latest
}

// entryHeap holds entries, the one that expires next first. It implements heap.Interface.
type entryHeap []*Entry

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool { return h[i].keepUntil().Before(h[j].keepUntil()) }

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(e any) { *h = append(*h, e.(*Entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Fencer holds the attempts that were received recently. It is not safe for
// concurrent use; its owner holds a lock.
type Fencer struct {
	entries map[AttemptID]*Entry
	// finished holds the entries whose answer is kept, ordered by the time at which they
	// finished, and expiring those without an answer.
	finished []*Entry
	expiring entryHeap
}

// New returns an empty fencer.
func New() *Fencer { return &Fencer{entries: map[AttemptID]*Entry{}} }

// Begin returns the entry of an attempt and reports whether it is new, in which
// case the caller must execute the attempt. Latest is the latest start of the attempt by the
// clock of now; zero if the sender states none.
func (f *Fencer) Begin(id AttemptID, latest time.Time, cancel func(), now time.Time) (*Entry, bool) {
	if e, known := f.Find(id, latest, now); known {
		return e, false
	}
	e := &Entry{Done: make(chan struct{}), Cancel: cancel, id: id, latest: latest}
	f.entries[id] = e
	return e, true
}

// Find returns the entry of an attempt that Begin would return, and reports whether that is not a
// new one.
func (f *Fencer) Find(id AttemptID, latest, now time.Time) (*Entry, bool) {
	f.expire(now)
	if e, known := f.entries[id]; known {
		return e, true
	}
	if latest.IsZero() || !now.After(latest) {
		return nil, false
	}
	e := &Entry{Done: make(chan struct{}), id: id, latest: latest, Expired: true, Result: carrier.Fail(carrier.DeadlineExceeded)}
	close(e.Done)
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
// the attempt is being executed, Revoke returns its entry, else nil. Latest is that of Begin.
func (f *Fencer) Revoke(id AttemptID, latest, now time.Time) *Entry {
	f.expire(now)
	e, known := f.entries[id]
	switch {
	case !known && !latest.IsZero() && now.After(latest):
		return nil
	case !known:
		e = &Entry{Done: make(chan struct{}), id: id, latest: latest}
		f.entries[id] = e
		f.Finish(e, carrier.Refuse(carrier.CallerGone), now)
		return nil
	case !e.finished.IsZero():
		return nil
	}
	return e
}

// expire drops the answers that are older than AnswerRetention, and the entries without an
// answer whose messages are refused by their age.
func (f *Fencer) expire(now time.Time) {
	dropped := 0
	for dropped < len(f.finished) && now.Sub(f.finished[dropped].finished) > AnswerRetention {
		e := f.finished[dropped]
		e.dropAnswer()
		heap.Push(&f.expiring, e)
		f.finished[dropped] = nil
		dropped++
	}
	f.finished = f.finished[dropped:]
	for len(f.expiring) > 0 && now.After(f.expiring[0].keepUntil()) {
		delete(f.entries, heap.Pop(&f.expiring).(*Entry).id)
	}
}

// dropAnswer discards the answer of a call that has run. Its outcome becomes
// Unknown and never NotRun, so that the call is not executed again.
func (e *Entry) dropAnswer() {
	if e.Result.Outcome == carrier.Run {
		e.Result = carrier.Fail(carrier.AnswerBroken)
	}
}
