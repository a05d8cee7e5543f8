package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that clients or endpoints saw.
type event struct {
	at   time.Duration
	kind string
	id   string
	text string
}

// sent is one client attempt.
type sent struct {
	at      time.Duration
	node    *node
	service string
	// kept reports whether the request was sent on a connection that had had an answer before.
	kept   bool
	status int
	err    string
}

// arrival is one arrival of a request at an endpoint.
type arrival struct {
	at       time.Duration
	id       string
	endpoint *endpoint
	// callerService is the service on the machine where the request began, as it is stated.
	callerService string
}

// record holds what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	began    time.Time
	events   []event
	requests map[string]*sent
	arrivals []arrival
}

func newRecord() *record { return &record{began: time.Now(), requests: map[string]*sent{}} }

func (r *record) now() time.Duration { return time.Since(r.began) }

// add appends an event. The caller holds the lock.
func (r *record) add(kind, id, text string) {
	r.events = append(r.events, event{at: r.now(), kind: kind, id: id, text: text})
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add("note", "", fmt.Sprintf(format, args...))
}

// send records a client attempt and returns its ID.
func (r *record) send(n *node, to route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := fmt.Sprintf("%016x", 0x9c41000000000000+uint64(len(r.requests)))
	r.requests[id] = &sent{at: r.now(), node: n, service: to.service}
	r.add("sent", id, "to "+n.name+" for "+to.service)
	return id
}

// kept records whether a request is sent on a kept connection.
func (r *record) kept(id string, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id].kept = kept
}

func (r *record) answer(id string, status int, err string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id].status, r.requests[id].err = status, err
	r.add("answered", id, fmt.Sprintf("%d %s", status, err))
}

func (r *record) arrive(e *endpoint, id, callerService string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{at: r.now(), id: id, endpoint: e, callerService: callerService})
}

func (r *record) run(e *endpoint, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add("run", id, "by "+e.id+" of "+e.service)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, e := range r.events {
		_, _ = fmt.Fprintf(w, "%9.3f %-8s %s %s\n", e.at.Seconds(), e.kind, e.id, e.text)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// statuses counts the answers by status; 0 is no answer.
func (r *record) statuses() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[int]int{}
	for _, s := range r.requests {
		counts[s.status]++
	}
	return counts
}
