// Package budgeter limits the calls that one process makes to the platform: a token
// bucket limits the rate, and jittered exponential backoff applies while calls fail,
// so that neither an outage nor its end causes a thundering herd.
package budgeter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// Config limits the calls of one process.
type Config struct {
	// CallsPerSecond is the sustained rate. It must be above zero.
	CallsPerSecond float64
	// Burst is the capacity of the bucket in calls.
	Burst float64
	// InitialBackoff is the backoff after one failure. It doubles with each
	// consecutive failure, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// Default returns the limits of a node.
func Default() Config {
	return Config{CallsPerSecond: 10, Burst: 40, InitialBackoff: 250 * time.Millisecond, MaxBackoff: 8 * time.Second}
}

// Pacer computes how long the next call has to wait. It neither reads the clock nor
// waits, and is not safe for concurrent use.
type Pacer struct {
	config       Config
	tokens       float64
	lastRefill   time.Time
	failures     int
	backoffUntil time.Time
}

// NewPacer returns a pacer with a full bucket.
func NewPacer(config Config, now time.Time) *Pacer {
	return &Pacer{config: config, tokens: config.Burst, lastRefill: now}
}

// Reserve takes a token, which may leave the bucket in debt, and returns how long to
// wait before the call.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	p.tokens = min(p.config.Burst, p.tokens+now.Sub(p.lastRefill).Seconds()*p.config.CallsPerSecond)
	p.lastRefill = now
	p.tokens--
	wait := p.backoffUntil.Sub(now)
	if p.tokens < 0 {
		refill := time.Duration(-p.tokens / p.config.CallsPerSecond * float64(time.Second))
		wait = max(wait, refill)
	}
	return max(wait, 0)
}

// Done records whether a call failed. A success ends the backoff. The random number
// in [0, 1) selects a delay between half and all of the backoff ("equal jitter").
func (p *Pacer) Done(failed bool, now time.Time, random float64) {
	if !failed {
		p.failures = 0
		p.backoffUntil = time.Time{}
		return
	}
	backoff := min(p.config.InitialBackoff<<min(p.failures, 16), p.config.MaxBackoff)
	p.failures++
	p.backoffUntil = now.Add(time.Duration((0.5 + random/2) * float64(backoff)))
}

// Store is a keeper.Store whose calls are limited by a Pacer.
type Store struct {
	inner keeper.Store
	mu    sync.Mutex
	pacer *Pacer
}

// New returns a store that limits the calls to inner.
func New(inner keeper.Store, config Config) *Store {
	return &Store{inner: inner, pacer: NewPacer(config, time.Now())}
}

// acquire waits until the call may be made. If the context ends first, the call must
// not be made and the error is a *keeper.UnavailableError; its token stays spent.
func (s *Store) acquire(ctx context.Context) error {
	s.mu.Lock()
	wait := s.pacer.Reserve(time.Now())
	s.mu.Unlock()
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &keeper.UnavailableError{Reason: "the context ended before the call budget permitted the call"}
	case <-timer.C:
		return nil
	}
}

// recordResult updates the backoff. Only errors that suggest an outage count as
// failures; a missing key or a conflict does not.
func (s *Store) recordResult(err error) {
	var unknown *keeper.UnknownOutcomeError
	var unavailable *keeper.UnavailableError
	failed := errors.As(err, &unknown) || errors.As(err, &unavailable)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacer.Done(failed, time.Now(), rand.Float64())
}

// limited makes one call when the limits permit it and records its result.
func limited[T any](ctx context.Context, s *Store, call func() (T, error)) (T, error) {
	if err := s.acquire(ctx); err != nil {
		var zero T
		return zero, err
	}
	value, err := call()
	s.recordResult(err)
	return value, err
}

// Get implements keeper.Store.
func (s *Store) Get(ctx context.Context, key string) (keeper.Item, error) {
	return limited(ctx, s, func() (keeper.Item, error) { return s.inner.Get(ctx, key) })
}

// List implements keeper.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]keeper.Item, error) {
	return limited(ctx, s, func() ([]keeper.Item, error) { return s.inner.List(ctx, prefix) })
}

// Put implements keeper.Store.
func (s *Store) Put(ctx context.Context, r keeper.PutRequest) (keeper.Revision, error) {
	return limited(ctx, s, func() (keeper.Revision, error) { return s.inner.Put(ctx, r) })
}

// Watch implements keeper.Store.
func (s *Store) Watch(
	ctx context.Context, prefix string, after keeper.Revision, wait time.Duration,
) (keeper.Change, error) {
	return limited(ctx, s, func() (keeper.Change, error) { return s.inner.Watch(ctx, prefix, after, wait) })
}

// Grant implements keeper.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	return limited(ctx, s, func() (keeper.LeaseID, error) { return s.inner.Grant(ctx, ttl) })
}

// Renew implements keeper.Store.
func (s *Store) Renew(ctx context.Context, lease keeper.LeaseID) error {
	_, err := limited(ctx, s, func() (struct{}, error) { return struct{}{}, s.inner.Renew(ctx, lease) })
	return err
}

// Revoke implements keeper.Store.
func (s *Store) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	_, err := limited(ctx, s, func() (struct{}, error) { return struct{}{}, s.inner.Revoke(ctx, lease) })
	return err
}
