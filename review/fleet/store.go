package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or an event about it if it was removed.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	At        int64  `json:"at,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is the life of a lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// handler serves the store's API.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator does, and returns when the store has it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: value})
}

// write sets a key at the current revision. The caller holds the lock.
func (s *store) write(i item) {
	i.Rev, i.Created = s.rev, s.rev
	if before, known := s.items[i.Key]; known {
		i.Created = before.Created
	}
	s.items[i.Key] = i
	s.record(i)
}

// remove deletes a key at the current revision. The caller holds the lock.
func (s *store) remove(key string) {
	if _, known := s.items[key]; known {
		delete(s.items, key)
		s.record(item{Key: key, Rev: s.rev, Tombstone: true})
	}
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of the leases that have ended. The caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.rev++
				s.remove(key)
			}
		}
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, known := s.items[r.FormValue("key")]
	if !known {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	i.At = s.rev
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "at": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Deletes  []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]int64{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTL * float64(time.Second))
	s.leases[s.rev] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_s_time": body.TTL})
}

// of returns the lease in a request's path; nil if there is none. The caller holds the lock.
func (s *store) of(r *http.Request) *lease {
	s.expire()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return s.leases[id]
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.of(r)
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.of(r)
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Time{}
	s.expire()
	reply(w, http.StatusOK, struct{}{})
}
