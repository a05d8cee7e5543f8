// Package retrier decides whether a failed attempt is retried. It does no I/O and
// reads no clock.
package retrier

import (
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
)

const (
	// maxTokens is the maximum number of retries that a budget accumulates.
	maxTokens = 20
	// minRemaining is the minimum time before the deadline for a retry. With less, a
	// retry would only add load.
	minRemaining = 2 * time.Millisecond
)

// Budget limits retries to a fraction of the calls, so that a failing service gets
// little more load than its callers cause. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of retries left.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Earn adds the retries that one call allows, a fraction from 0 to 1.
func (b *Budget) Earn(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+fraction)
}

// Spend removes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt within its call, from 1.
	Number int
	// MaxAttempts is the route's maximum number of attempts.
	MaxAttempts int
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
	// Refusal is how the attempt failed.
	Refusal *framer.Refusal
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// finalCodes are the codes after which a retry at another endpoint cannot succeed.
var finalCodes = map[framer.Code]bool{
	framer.Cancelled: true, framer.DeadlineExceeded: true, framer.BadRequest: true,
	framer.NoEndpoint: true, framer.Saturated: true, framer.TooDeep: true, framer.NoRoute: true,
}

// Allowed reports whether the attempt may be retried at another endpoint, regardless of
// the budget. A call that is not idempotent is retried only if it was not run.
func (a Attempt) Allowed() bool {
	if a.Number >= a.MaxAttempts || a.Refusal.RetriesExhausted || finalCodes[a.Refusal.Code] {
		return false
	}
	if a.Remaining < minRemaining {
		return false
	}
	return a.Idempotent || a.Refusal.Outcome == framer.NotRun
}
