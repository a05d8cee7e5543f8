package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader is the header of every response that names the store's era.
const eraHeader = "Store-Era"

// Snapshot is a copy of a store's state. Later writes to the store don't change it.
type Snapshot struct {
	rev          int64
	items        map[string]Item
	history      []Item
	compactedRev int64
	// leases holds the leases by ID, each with the time that it had left.
	leases map[int64]leaseCopy
}

// leaseCopy is a lease in a snapshot.
type leaseCopy struct {
	ttl  time.Duration
	left time.Duration
}

// Snapshot returns a copy of the state without the faults and the counts.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := &Snapshot{
		rev: s.rev, items: maps.Clone(s.items), history: slices.Clone(s.history),
		compactedRev: s.compactedRev, leases: map[int64]leaseCopy{},
	}
	for id, l := range s.leases {
		c.leases[id] = leaseCopy{ttl: l.ttl, left: time.Until(l.expires)}
	}
	return c
}

// Restore replaces the state by a snapshot and begins a new era. The revisions and lease
// IDs that were given out since the snapshot are given out again. The connections of all
// calls in progress, open watches among them, are closed without a response. A snapshot may
// be restored more than once.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.compactedRev = c.rev, c.compactedRev
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[int64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: time.Now().Add(l.left)}
	}
	s.era++
	close(s.ended)
	s.ended = make(chan struct{})
}

// currentEra returns the era and a channel that is closed at its end.
func (s *Store) currentEra() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.ended
}

// withEra names the current era in the header of a response.
func (s *Store) withEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.nameEra(w)
		h.ServeHTTP(w, r)
	})
}

func (s *Store) nameEra(w http.ResponseWriter) {
	era, _ := s.currentEra()
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
}

// inOneEra calls a handler and names the era in which it ran. If that era has ended
// meanwhile, the connection is closed without a response.
func (s *Store) inOneEra(w http.ResponseWriter, r *http.Request, serve func(*http.Request) (int, any)) (int, any) {
	before, _ := s.currentEra()
	status, body := serve(r)
	if after, _ := s.currentEra(); after != before {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.FormatInt(before, 10))
	return status, body
}
