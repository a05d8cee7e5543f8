package metastore

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answer is a response of the store; its status is 0 if the connection was closed without
// one.
type answer struct {
	status int
	era    string
	Rev    int64  `json:"rev"`
	Lease  int64  `json:"lease"`
	Events []Item `json:"events"`
}

func call(s *Store, method, path, body string) (a answer) {
	w := httptest.NewRecorder()
	defer func() {
		switch reason := recover(); reason {
		case nil, http.ErrAbortHandler:
		default:
			panic(reason)
		}
	}()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	a.status, a.era = w.Code, w.Header().Get(eraHeader)
	return a
}

func watch(s *Store, after int64, wait time.Duration) answer {
	return call(s, http.MethodGet, fmt.Sprintf("/api/kv-watch?prefix=k&after=%d&wait_ms=%d", after, wait.Milliseconds()), "")
}

func grant(s *Store) answer { return call(s, http.MethodPost, "/api/kv-lease", `{"ttl_s_time":10}`) }

func put(s *Store, key string, lease int64) answer {
	return call(s, http.MethodPost, "/api/kv-txn", fmt.Sprintf(`{"puts":[{"key":%q,"value":"","lease":%d}]}`, key, lease))
}

// inStore runs a test on simulated time with a store that has the key "kept".
func inStore(t *testing.T, run func(s *Store)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a store", t, func() {
			s := New()
			s.Put("kept", nil)
			run(s)
		})
	})
}

func TestWritesSinceSnapshotAreLost(t *testing.T) {
	inStore(t, func(s *Store) {
		c := s.Snapshot()
		s.Put("k-late", nil)
		So(put(s, "k-bound", grant(s).Lease).status, ShouldEqual, http.StatusOK)
		s.Delete("kept")
		s.Restore(c)
		So(s.Keys(""), ShouldResemble, []string{"kept"})
	})
}

func TestRevisionsAndLeasesAreGivenOutAgain(t *testing.T) {
	inStore(t, func(s *Store) {
		c := s.Snapshot()
		lease, rev := grant(s).Lease, put(s, "k", 0).Rev
		s.Restore(c)
		So(put(s, "k", lease).status, ShouldEqual, http.StatusNotFound)
		So(grant(s).Lease, ShouldEqual, lease)
		So(put(s, "k", lease).Rev, ShouldEqual, rev)
		So(s.Keys("k"), ShouldResemble, []string{"k", "kept"})
	})
}

func TestLeaseHasTimeLeftOfSnapshot(t *testing.T) {
	inStore(t, func(s *Store) {
		put(s, "k", grant(s).Lease)
		time.Sleep(4 * time.Second)
		c := s.Snapshot()
		time.Sleep(20 * time.Second)
		s.Restore(c)
		time.Sleep(5 * time.Second)
		So(call(s, http.MethodGet, "/api/kv-key?key=k", "").status, ShouldEqual, http.StatusOK)
		time.Sleep(2 * time.Second)
		So(call(s, http.MethodGet, "/api/kv-key?key=k", "").status, ShouldEqual, http.StatusNotFound)
	})
}

func TestWatchFromRevisionOfEarlierEra(t *testing.T) {
	inStore(t, func(s *Store) {
		c := s.Snapshot()
		s.Put("k-1", nil)
		seen := s.Put("k-2", nil)
		s.Restore(c)
		So(watch(s, seen, 0).status, ShouldEqual, http.StatusGone)
		s.Put("k-3", nil)
		So(watch(s, seen, 0).status, ShouldEqual, http.StatusGone)
		// The counter has reached the revision: the earlier events of the era are not sent.
		So(s.Put("k-4", nil), ShouldEqual, seen)
		s.Put("k-5", nil)
		a := watch(s, seen, 0)
		So(a.status, ShouldEqual, http.StatusOK)
		So(len(a.Events), ShouldEqual, 1)
		So(a.Events[0].Key, ShouldEqual, "k-5")
	})
}

func TestRestoreCutsOpenWatches(t *testing.T) {
	inStore(t, func(s *Store) {
		c := s.Snapshot()
		rev := s.Put("k", nil)
		done := make(chan answer, 1)
		start := time.Now()
		go func() { done <- watch(s, rev, 10*time.Second) }()
		time.Sleep(time.Second)
		s.Restore(c)
		So((<-done).status, ShouldEqual, 0)
		So(time.Since(start), ShouldEqual, time.Second)
	})
}

// The era is named in errors too, and a call delayed across the return runs in the new one.
func TestEveryAnswerNamesEra(t *testing.T) {
	inStore(t, func(s *Store) {
		paths := []string{"/api/kv-key?key=kept", "/api/kv-key?key=none", "/api/kv-range", "/api/kv-watch?after=99", "/none"}
		for _, path := range paths {
			So(call(s, http.MethodGet, path, "").era, ShouldEqual, "1")
		}
		s.SetFaults(Faults{Unavailable: true})
		s.Restore(s.Snapshot())
		unavailable := call(s, http.MethodGet, paths[0], "")
		So(unavailable.status, ShouldEqual, http.StatusServiceUnavailable)
		So(unavailable.era, ShouldEqual, "2")
		s.SetFaults(Faults{Delay: time.Second})
		done := make(chan answer, 1)
		go func() { done <- call(s, http.MethodGet, paths[0], "") }()
		time.Sleep(time.Millisecond)
		s.Restore(s.Snapshot())
		delayed := <-done
		So(delayed.status, ShouldEqual, http.StatusOK)
		So(delayed.era, ShouldEqual, "3")
	})
}
