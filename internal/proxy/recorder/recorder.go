// Package recorder keeps records of drains: since when incarnations of upstreams have been
// draining. A restarted node has lost what its former process acknowledged, and a heartbeat sent
// before the drain, which may still arrive, would make the upstream take calls again. The records
// are therefore kept in the node's entry in the store and at other nodes. The package has no clock
// of its own: the current time is an argument.
package recorder

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// TTL is how long a record is kept after it was received last. It exceeds the delay of any
// heartbeat.
const TTL = time.Minute

// MaxOwnDrains is the largest number of drains that a node keeps of the upstreams on its VM.
const MaxOwnDrains = 32

// Drain is the drain of one incarnation of an upstream. It is part of a node's entry in the store.
type Drain struct {
	Instance string `json:"instance"`
	// Born is when the incarnation started, in Unix milliseconds; 0 means every incarnation of
	// the instance that started before the drain.
	Born int64 `json:"born"`
	// Start is when the drain began, in Unix milliseconds by the clock of the upstream's node.
	Start int64 `json:"start"`
}

// Incarnation returns the incarnation that drains.
func (d Drain) Incarnation() tracker.Incarnation {
	return tracker.Incarnation{Instance: d.Instance, Born: d.Born}
}

// Recorder holds the records of drains. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// limit is the largest number of records; the one received longest ago is dropped first.
	limit   int
	records map[tracker.Incarnation]record
}

// record is what is known of one drain.
type record struct {
	// start is in Unix milliseconds by the clock of the draining node, receivedAt by this node's.
	start      int64
	receivedAt time.Time
	// kept reports whether the record outlives the process.
	kept bool
}

// NotKeptError reports that a drain is known to this process only. It must not be acknowledged.
type NotKeptError struct{ Drain Drain }

func (e *NotKeptError) Error() string {
	return fmt.Sprintf("drain of instance %q: neither the store nor another node has recorded it", e.Drain.Instance)
}

// New returns a recorder that holds up to limit records.
func New(limit int) *Recorder {
	return &Recorder{limit: limit, records: map[tracker.Incarnation]record{}}
}

// Record stores a drain. The first start recorded for an incarnation is kept. Records older than
// TTL are dropped.
func (r *Recorder) Record(d Drain, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	stored, known := r.records[d.Incarnation()]
	if !known {
		stored.start = d.Start
		r.makeRoom()
	}
	stored.receivedAt = now
	r.records[d.Incarnation()] = stored
}

// expire drops the records older than TTL. The caller holds the lock.
func (r *Recorder) expire(now time.Time) {
	for incarnation, stored := range r.records {
		if now.Sub(stored.receivedAt) > TTL {
			delete(r.records, incarnation)
		}
	}
}

// makeRoom drops the record received longest ago if there is no room for another one. The caller
// holds the lock.
func (r *Recorder) makeRoom() {
	if len(r.records) < r.limit {
		return
	}
	var oldest tracker.Incarnation
	var receivedAt time.Time
	for incarnation, stored := range r.records {
		if receivedAt.IsZero() || stored.receivedAt.Before(receivedAt) {
			oldest, receivedAt = incarnation, stored.receivedAt
		}
	}
	delete(r.records, oldest)
}

// Start returns when the drain of an incarnation began, in Unix milliseconds; 0 if there is no
// record. A record without an incarnation's start applies to those that started before the drain.
func (r *Recorder) Start(incarnation tracker.Incarnation) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored, known := r.records[incarnation]; known {
		return stored.start
	}
	stored := r.records[tracker.Incarnation{Instance: incarnation.Instance}]
	if incarnation.Born > stored.start {
		return 0
	}
	return stored.start
}

// MarkKept notes that the record of an incarnation outlives the process. It does nothing if there is
// none.
func (r *Recorder) MarkKept(incarnation tracker.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored, known := r.records[incarnation]; known {
		stored.kept = true
		r.records[incarnation] = stored
	}
}

// Kept reports whether there is a record of an incarnation that outlives the process.
func (r *Recorder) Kept(incarnation tracker.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[incarnation].kept
}

// Drains returns all records, ordered by instance and start of the incarnation.
func (r *Recorder) Drains() []Drain {
	r.mu.Lock()
	defer r.mu.Unlock()
	drains := make([]Drain, 0, len(r.records))
	for incarnation, stored := range r.records {
		drains = append(drains, Drain{Instance: incarnation.Instance, Born: incarnation.Born, Start: stored.start})
	}
	slices.SortFunc(drains, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born))
	})
	return drains
}
