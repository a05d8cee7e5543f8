// Package recognizer detects refused calls that their caller sends again. The time of
// such a call counts from its first request, not from the newest one, and it stays with the
// service that it was split to. The package has no clock of its own: the current time is an
// argument.
//
// It matters under overload: when there are more calls than slots, every refused call
// is sent once more and would otherwise count as a new one. If it were split anew, the calls
// that one service of a split refuses would move to the others.
package recognizer

import "time"

const (
	// retention is how long after its refusal a call is recognised.
	retention = 3 * time.Second
	// maxRefusals bounds the refusals that are kept, including those whose call has been
	// recognised but that have not expired.
	maxRefusals = 4096
)

// Key identifies a call across the requests that a caller makes for it. The request ID is
// no part of it, since a caller sends a new one with each request. Nor is the caller, which
// nothing in a request identifies: of calls that have the same key, any may take the time of
// a refused one, but no more of them than were refused.
type Key struct {
	Method string
	Host   string
	Target string
}

// Refused is a call that was refused.
type Refused struct {
	// First is when the first request of the call was received.
	First time.Time
	// Service is the one that the call was split to.
	Service string
}

// refusal is the refusal of a call at a time.
type refusal struct {
	Refused
	key Key
	at  time.Time
}

// Recognizer keeps the recent refusals. It is not safe for concurrent use: its owner
// must hold a lock.
type Recognizer struct {
	// latest holds the latest refusal of each refused call.
	latest map[Key]refusal
	// refusals is ordered by the time of refusal, the oldest first.
	refusals []refusal
}

// New returns a Recognizer without refusals.
func New() *Recognizer { return &Recognizer{latest: map[Key]refusal{}} }

// RecordRefusal records the refusal of a call. It does nothing if the call is recorded already or
// the recognizer is full.
func (r *Recognizer) RecordRefusal(key Key, refused Refused, now time.Time) {
	r.expire(now)
	if _, known := r.latest[key]; known || len(r.refusals) >= maxRefusals {
		return
	}
	r.latest[key] = refusal{Refused: refused, key: key, at: now}
	r.refusals = append(r.refusals, r.latest[key])
}

// TakeRefusal returns the refusal of a call, and whether it was refused before. It removes the
// record, so each refusal is recognised once.
func (r *Recognizer) TakeRefusal(key Key, now time.Time) (Refused, bool) {
	r.expire(now)
	latest, known := r.latest[key]
	delete(r.latest, key)
	return latest.Refused, known
}

// expire removes the refusals that are older than the retention. It keeps the record of a
// call that was recognised and refused again meanwhile.
func (r *Recognizer) expire(now time.Time) {
	expired := 0
	for expired < len(r.refusals) && now.Sub(r.refusals[expired].at) > retention {
		old := r.refusals[expired]
		if r.latest[old.key] == old {
			delete(r.latest, old.key)
		}
		expired++
	}
	r.refusals = r.refusals[expired:]
}
