// Package metastore is a stand-in for the platform's metadata store. It serves the
// published protocol over HTTP, and its faults can be switched on and off. Its
// clock is package time, which testing/synctest simulates.
package metastore

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is one key as the store stores and sends it, or an event about it.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Rev is the revision of the last write, Created that of the write that created the key.
	Rev     int64 `json:"rev"`
	Created int64 `json:"created,omitempty"`
	// Lease is the ID of the lease that the key is bound to; 0 if there is none.
	Lease int64 `json:"lease,omitempty"`
	// At is the revision of the store when a single item was read.
	At      int64 `json:"at,omitempty"`
	Deleted bool  `json:"tombstone,omitempty"`
}

// Faults selects the faults that the store shows.
type Faults struct {
	// Unavailable fails every call with status 503; Unresponsive leaves every call without a
	// response.
	Unavailable  bool
	Unresponsive bool
	// Delay delays every call before it takes effect.
	Delay time.Duration
	// LoseWrites executes writes but closes their connections without a response.
	LoseWrites bool
	// StallWatches prevents changes from waking open watches.
	StallWatches bool
	// Stale is the state that stale ranges show; nil means the newest.
	Stale *Snapshot
}

// Calls counts calls by operation; those with a stale read are counted under "stale "
// and the operation.
type Calls map[string]int

// lease expires ttl after it was granted or last renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	rev   int64
	items map[string]Item
	// history holds the events since compactedRev in the order of their revisions.
	history []Item
	// compactedRev is the newest revision whose event is no longer retained.
	compactedRev int64
	leases       map[int64]*lease
	faults       Faults
	calls        Calls
	// changed is closed and replaced at every change, except under Faults.StallWatches.
	changed chan struct{}
	// era starts at 1 and increases by one at each Restore, which closes and replaces ended.
	era   int64
	ended chan struct{}
}

// New returns a store without keys, leases or faults.
func New() *Store {
	return &Store{
		rev: 1, items: map[string]Item{}, leases: map[int64]*lease{}, calls: Calls{}, changed: make(chan struct{}),
		era: 1, ended: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Calls{}
	for operation, n := range s.calls {
		counts[operation] = n
	}
	return counts
}

// Put writes a key without a lease, as an operator does, and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(Item{Key: key, Value: value})
	return s.rev
}

// Keys returns the sorted keys that have a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, item := range s.withPrefix(prefix) {
		keys = append(keys, item.Key)
	}
	return keys
}

// Lease returns the ID of the lease that a key is bound to; 0 if there is none or no such
// key.
func (s *Store) Lease(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Lease
}

// Delete removes a key at a new revision, as the revocation of its lease does. Clients see
// it only in a watch or at their next read.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

// Compact discards the history, so that a watch from an older revision fails with status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRev, s.history = s.rev, nil
}

// RevokeLeases revokes every lease and removes its keys.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expires = time.Time{}
	}
	s.expire()
}

// write stores an item at the current revision, which the caller has increased. The
// caller holds the lock.
func (s *Store) write(item Item) {
	item.Rev, item.Created = s.rev, s.rev
	if before, known := s.items[item.Key]; known {
		item.Created = before.Created
	}
	s.items[item.Key] = item
	s.appendEvent(item)
}

// remove deletes a key at the current revision. The caller holds the lock.
func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.appendEvent(Item{Key: key, Rev: s.rev, Deleted: true})
}

// appendEvent appends an event to the history and wakes the watches. The caller holds
// the lock.
func (s *Store) appendEvent(item Item) {
	s.history = append(s.history, item)
	if s.faults.StallWatches {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases and their keys. It runs at each call and not by a timer, so
// an expiry wakes the open watches only at the next call. The caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for _, item := range s.withPrefix("") {
			if item.Lease == id {
				s.rev++
				s.remove(item.Key)
			}
		}
	}
}

// withPrefix returns the items whose keys have a prefix, sorted by key. The caller holds
// the lock.
func (s *Store) withPrefix(prefix string) []Item { return withPrefix(s.items, prefix) }

func withPrefix(all map[string]Item, prefix string) []Item {
	var items []Item
	for key, item := range all {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// eventsSince returns the events after a revision of keys that have a prefix, and
// whether the history reaches back that far and the store has given out that revision. The
// caller holds the lock.
func (s *Store) eventsSince(prefix string, after int64) ([]Item, bool) {
	if after < s.compactedRev || after > s.rev {
		return nil, false
	}
	var events []Item
	for _, item := range s.history {
		if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, true
}

// Value returns the value of a key; nil if there is no such key.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}
