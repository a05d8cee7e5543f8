package metastore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// transaction is the body of a kv-txn call. Its writes take effect only if each expected
// key has the given revision; 0 expects that the key does not exist.
type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// leaseBody is the body of a kv-lease call and of the responses about a lease.
type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	// TTL is in seconds.
	TTL float64 `json:"ttl_s_time"`
}

// Handler serves the published protocol of the metadata store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.withFaults("read", s.serveKey))
	mux.HandleFunc("GET /api/kv-range", s.withFaults("range", s.serveRange))
	mux.HandleFunc("GET /api/kv-watch", s.withFaults("watch", s.serveWatch))
	mux.HandleFunc("POST /api/kv-txn", s.withFaults("commit", s.serveTransaction))
	mux.HandleFunc("POST /api/kv-lease", s.withFaults("lease", s.serveGrant))
	mux.HandleFunc("POST /api/kv-keep/{id}", s.withFaults("renew", s.serveRenew))
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.withFaults("revoke", s.serveRevoke))
	return s.withEra(mux)
}

// withFaults counts each call of an operation and applies the faults around its handler.
// A panic with http.ErrAbortHandler closes the connection without a response.
func (s *Store) withFaults(operation string, serve func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.FormValue("stale_read") == "1" {
			s.calls["stale "+operation]++
		} else {
			s.calls[operation]++
		}
		faults := s.faults
		s.expire()
		s.mu.Unlock()
		if faults.Unresponsive {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.Unavailable {
			s.nameEra(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := s.inOneEra(w, r, serve)
		if faults.LoseWrites && r.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// emptyBody is encoded as an empty JSON object.
type emptyBody struct{}

func (s *Store) serveKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, known := s.items[r.FormValue("key")]
	if !known {
		return http.StatusNotFound, emptyBody{}
	}
	item.At = s.rev
	return http.StatusOK, item
}

func (s *Store) serveRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const pageSize = 500 // items per response
	var items []Item
	more := false
	all, rev := s.items, s.rev
	if stale := s.faults.Stale; stale != nil && r.FormValue("stale_read") == "1" {
		all, rev = stale.items, stale.rev
	}
	for _, item := range withPrefix(all, r.FormValue("prefix")) {
		if item.Key <= r.FormValue("after") {
			continue
		}
		if more = len(items) == pageSize; more {
			break
		}
		items = append(items, item)
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "at": rev}
}

// serveWatch responds as soon as there are events after the given revision, and without
// events after wait_ms. The status is 410 if the history no longer reaches back that far.
func (s *Store) serveWatch(r *http.Request) (int, any) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	_, ended := s.currentEra()
	for {
		s.mu.Lock()
		events, retained := s.eventsSince(r.FormValue("prefix"), after)
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if !retained {
			return http.StatusGone, emptyBody{}
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			return http.StatusOK, emptyBody{}
		}
	}
}

// serveTransaction executes all writes of a transaction or none: the status is 412 if an
// expected revision differs, and 404 if a lease does not exist.
func (s *Store) serveTransaction(r *http.Request) (int, any) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, emptyBody{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": s.present(t)}
		}
	}
	for _, p := range t.Puts {
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			return http.StatusNotFound, emptyBody{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

// present returns the items of the expected keys that exist. The caller holds the lock.
func (s *Store) present(t transaction) []Item {
	items := []Item{}
	for _, e := range t.Expected {
		if item, known := s.items[e.Key]; known {
			items = append(items, item)
		}
	}
	return items
}

func (s *Store) serveGrant(r *http.Request) (int, any) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, emptyBody{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(body.TTL * float64(time.Second))
	s.rev++
	s.leases[s.rev] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, leaseBody{Lease: s.rev, TTL: body.TTL}
}

// leaseOf returns the lease that a request names in its path, or nil if there is none.
// The caller holds the lock.
func (s *Store) leaseOf(r *http.Request) (int64, *lease) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id, s.leases[id]
}

func (s *Store) serveRenew(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r)
	if l == nil {
		return http.StatusNotFound, emptyBody{}
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, leaseBody{TTL: l.ttl.Seconds()}
}

func (s *Store) serveRevoke(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r)
	if l == nil {
		return http.StatusNotFound, emptyBody{}
	}
	l.expires = time.Time{}
	s.expire()
	return http.StatusOK, emptyBody{}
}
