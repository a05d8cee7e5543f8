// Package metastore is a small stand-in for the platform's metadata store. It
// speaks the published protocol over HTTP and has switches for its faults. Its
// time is the time package's, which testing/synctest replaces.
package metastore

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is one key as the store keeps and sends it.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	At      int64  `json:"at,omitempty"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Faults is what the store does wrong at the moment.
type Faults struct {
	// Busy refuses every call with 503; Silent answers none.
	Busy   bool
	Silent bool
	// Delay holds back every answer.
	Delay time.Duration
	// LoseWrites carries writes out and answers none of them.
	LoseWrites bool
	// Deaf keeps watches that are open from hearing of changes.
	Deaf bool
}

// Calls counts what was asked, by operation.
type Calls map[string]int

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store keeps everything in memory.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	// forgotten is the newest revision whose event is no longer kept.
	forgotten int64
	leases    map[int64]*lease
	faults    Faults
	calls     Calls
	changed   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rev: 1, items: map[string]Item{}, leases: map[int64]*lease{}, calls: Calls{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls so far.
func (s *Store) Counts() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Calls{}
	for operation, n := range s.calls {
		counts[operation] = n
	}
	return counts
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(Item{Key: key, Value: value})
	return s.rev
}

// Keys returns the keys below a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, item := range s.below(prefix) {
		keys = append(keys, item.Key)
	}
	return keys
}

// Delete removes a key as a revocation does: nobody is told but watches.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.rev, nil
}

// Revoke ends every lease and removes its keys.
func (s *Store) Revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.ends = time.Time{}
	}
	s.expire()
}

// write is called with the lock held and the revision counted.
func (s *Store) write(item Item) {
	item.Rev, item.Created = s.rev, s.rev
	if before, known := s.items[item.Key]; known {
		item.Created = before.Created
	}
	s.items[item.Key] = item
	s.record(item)
}

func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.record(Item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *Store) record(item Item) {
	s.history = append(s.history, item)
	if s.faults.Deaf {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for _, item := range s.below("") {
			if item.Lease == id {
				s.rev++
				s.remove(item.Key)
			}
		}
	}
}

func (s *Store) below(prefix string) []Item {
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// since returns the events below a prefix after a revision, and whether the
// history reaches back that far.
func (s *Store) since(prefix string, after int64) ([]Item, bool) {
	if after < s.forgotten {
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
