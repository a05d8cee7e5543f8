// Package recognizer knows callers again that were refused and come back. Their
// time runs from their first attempt, whatever the new one says. The package is
// pure: the clock is passed in.
//
// The load it answers: more calls than slots, where every refused call returns
// once and would otherwise count as a new one.
package recognizer

import "time"

const (
	// memory is how long a refused call is expected back.
	memory = 3 * time.Second
	// capacity bounds the calls that are remembered.
	capacity = 4096
)

// Key is what an attempt has in common with the one before it.
type Key struct {
	Method string
	Host   string
	Target string
}

type refusal struct {
	key   Key
	first time.Time
	at    time.Time
}

// Recognizer remembers refused calls. It is used under its owner's lock.
type Recognizer struct {
	first map[Key]time.Time
	// order holds the refusals, the oldest first.
	order []refusal
}

// New returns a recognizer that knows nobody.
func New() *Recognizer { return &Recognizer{first: map[Key]time.Time{}} }

// Refused remembers a call whose first attempt came at the given time.
func (r *Recognizer) Refused(key Key, first, now time.Time) {
	r.forget(now)
	if _, known := r.first[key]; known || len(r.order) >= capacity {
		return
	}
	r.first[key] = first
	r.order = append(r.order, refusal{key: key, first: first, at: now})
}

// Returned says when the first attempt of a call came, if it was refused before.
// Each refusal is recognised once.
func (r *Recognizer) Returned(key Key, now time.Time) (time.Time, bool) {
	r.forget(now)
	first, known := r.first[key]
	delete(r.first, key)
	return first, known
}

func (r *Recognizer) forget(now time.Time) {
	gone := 0
	for gone < len(r.order) && now.Sub(r.order[gone].at) > memory {
		old := r.order[gone]
		if r.first[old.key].Equal(old.first) {
			delete(r.first, old.key)
		}
		gone++
	}
	r.order = r.order[gone:]
}
