// Package platform is a stand-in for the platform's key-value service whose faults can
// be switched on and off.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// MaxValueBytes is the platform's limit for the size of a value.
const MaxValueBytes = 1 << 20

// Faults selects the faults that the service shows.
type Faults struct {
	// Outage leaves every call without a response, rather than failing it.
	Outage bool `json:"outage"`
	// DelayMilliseconds delays every call before it takes effect.
	DelayMilliseconds int64 `json:"delayMilliseconds"`
	// LoseResponses is how many of the next successful Puts take effect without getting a
	// response.
	LoseResponses int `json:"loseAnswers"`
}

// Limits is the maximum number of calls per second; zero means no limit.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Calls counts the calls to the service. A call over the limit is counted under its
// kind and under Refused.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Total returns the number of all calls.
func (c Calls) Total() int64 { return c.Reads + c.Writes + c.Watches }

type entry struct {
	item  keeper.Item
	lease keeper.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Engine is an in-memory store. It implements keeper.Store, so that tests can use it
// without a connection, and is safe for concurrent use. Its clock is package time, which
// testing/synctest simulates.
type Engine struct {
	limits Limits

	mu       sync.Mutex
	entries  map[string]entry
	leases   map[keeper.LeaseID]lease
	revision keeper.Revision
	// changed is closed and replaced at every new revision.
	changed chan struct{}
	faults  Faults
	calls   Calls
	// second is the Unix time, in seconds, that reads and writes are counted for.
	second int64
	reads  int
	writes int
}

// New returns a service without keys, leases or faults.
func New(limits Limits) *Engine {
	return &Engine{
		limits:  limits,
		entries: map[string]entry{},
		leases:  map[keeper.LeaseID]lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Calls returns the calls counted so far.
func (e *Engine) Calls() Calls {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// startCall adds a call to the count of its kind, and applies the limits and the faults
// that come before the call's effect. It returns a keeper.UnavailableError for a call over
// the limit and a keeper.UnknownOutcomeError if the context ends first.
func (e *Engine) startCall(ctx context.Context, write bool, count *int64) error {
	e.mu.Lock()
	*count++
	limited := e.overLimit(write)
	if limited {
		e.calls.Refused++
	}
	faults := e.faults
	e.mu.Unlock()
	if limited {
		return &keeper.UnavailableError{Reason: "too many calls per second"}
	}
	if faults.Outage {
		<-ctx.Done()
		return &keeper.UnknownOutcomeError{Operation: "call", Cause: ctx.Err()}
	}
	if faults.DelayMilliseconds > 0 {
		return sleep(ctx, time.Duration(faults.DelayMilliseconds)*time.Millisecond)
	}
	return nil
}

// overLimit counts a call in the current second and reports whether it exceeds the
// limit. The caller holds the lock.
func (e *Engine) overLimit(write bool) bool {
	if now := time.Now().Unix(); now != e.second {
		e.second, e.reads, e.writes = now, 0, 0
	}
	if write {
		e.writes++
		return e.limits.WritesPerSecond > 0 && e.writes > e.limits.WritesPerSecond
	}
	e.reads++
	return e.limits.ReadsPerSecond > 0 && e.reads > e.limits.ReadsPerSecond
}

// sleep waits for d. It returns a keeper.UnknownOutcomeError if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &keeper.UnknownOutcomeError{Operation: "call", Cause: ctx.Err()}
	case <-timer.C:
		return nil
	}
}

// Get implements keeper.Store.
func (e *Engine) Get(ctx context.Context, key string) (keeper.Item, error) {
	if err := e.startCall(ctx, false, &e.calls.Reads); err != nil {
		return keeper.Item{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	found, exists := e.entries[key]
	if !exists {
		return keeper.Item{}, &keeper.NotFoundError{Key: key}
	}
	return found.item, nil
}

// List implements keeper.Store.
func (e *Engine) List(ctx context.Context, prefix string) ([]keeper.Item, error) {
	if err := e.startCall(ctx, false, &e.calls.Reads); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return e.withPrefix(prefix), nil
}

// withPrefix returns the items whose keys have a prefix, sorted by key. The caller holds
// the lock.
func (e *Engine) withPrefix(prefix string) []keeper.Item {
	items := []keeper.Item{}
	for key, entry := range e.entries {
		if strings.HasPrefix(key, prefix) {
			items = append(items, entry.item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// Put implements keeper.Store.
func (e *Engine) Put(ctx context.Context, r keeper.PutRequest) (keeper.Revision, error) {
	if err := e.startCall(ctx, true, &e.calls.Writes); err != nil {
		return 0, err
	}
	if len(r.Value) > MaxValueBytes {
		return 0, &keeper.UnavailableError{Reason: "value is larger than 1 MiB"}
	}
	revision, err := e.put(r)
	if err == nil && e.loseResponse() {
		<-ctx.Done()
		return 0, &keeper.UnknownOutcomeError{Operation: "put", Cause: ctx.Err()}
	}
	return revision, err
}

func (e *Engine) put(r keeper.PutRequest) (keeper.Revision, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	current := e.entries[r.Key].item.Revision
	if current != r.Expected {
		return 0, &keeper.ConflictError{Key: r.Key, Expected: r.Expected, Current: current}
	}
	if _, alive := e.leases[r.Lease]; r.Lease != 0 && !alive {
		return 0, &keeper.NotFoundError{Key: "lease"}
	}
	e.nextRevision()
	e.entries[r.Key] = entry{
		item:  keeper.Item{Key: r.Key, Value: append([]byte(nil), r.Value...), Revision: e.revision},
		lease: r.Lease,
	}
	return e.revision, nil
}

// loseResponse reports whether the response to the current Put is to be lost.
func (e *Engine) loseResponse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseResponses == 0 {
		return false
	}
	e.faults.LoseResponses--
	return true
}

// nextRevision starts a new revision and wakes the watches. The caller holds the lock.
func (e *Engine) nextRevision() {
	e.revision++
	close(e.changed)
	e.changed = make(chan struct{})
}

// Watch implements keeper.Store.
func (e *Engine) Watch(
	ctx context.Context, prefix string, after keeper.Revision, timeout time.Duration,
) (keeper.Change, error) {
	if err := e.startCall(ctx, false, &e.calls.Watches); err != nil {
		return keeper.Change{}, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		change, changed := e.changeAfter(prefix, after)
		if change.Items != nil {
			return change, nil
		}
		select {
		case <-ctx.Done():
			return keeper.Change{}, &keeper.UnknownOutcomeError{Operation: "watch", Cause: ctx.Err()}
		case <-timer.C:
			return change, nil
		case <-changed:
		}
	}
}

// changeAfter returns the items below a prefix if one of them is newer than a revision,
// and a channel that is closed at the next change. A deleted key is no newer item.
func (e *Engine) changeAfter(prefix string, after keeper.Revision) (keeper.Change, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	items := e.withPrefix(prefix)
	for _, item := range items {
		if item.Revision > after {
			return keeper.Change{Revision: e.revision, Items: items}, e.changed
		}
	}
	return keeper.Change{Revision: max(after, e.revision)}, e.changed
}

// Grant implements keeper.Store.
func (e *Engine) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	if err := e.startCall(ctx, true, &e.calls.Writes); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextRevision()
	id := keeper.LeaseID(e.revision)
	e.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, nil
}

// Renew implements keeper.Store.
func (e *Engine) Renew(ctx context.Context, id keeper.LeaseID) error {
	if err := e.startCall(ctx, true, &e.calls.Writes); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	held, alive := e.leases[id]
	if !alive {
		return &keeper.NotFoundError{Key: "lease"}
	}
	held.expires = time.Now().Add(held.ttl)
	e.leases[id] = held
	return nil
}

// Revoke implements keeper.Store.
func (e *Engine) Revoke(ctx context.Context, id keeper.LeaseID) error {
	if err := e.startCall(ctx, true, &e.calls.Writes); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeLease(id)
	return nil
}

// expire removes expired leases and their keys. It runs as part of calls, not by a timer. The
// caller holds the lock.
func (e *Engine) expire() {
	for id, held := range e.leases {
		if time.Now().After(held.expires) {
			e.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds the lock.
func (e *Engine) removeLease(id keeper.LeaseID) {
	delete(e.leases, id)
	for key, entry := range e.entries {
		if entry.lease == id {
			delete(e.entries, key)
			e.nextRevision()
		}
	}
}
