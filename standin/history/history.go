// Package history records the calls that upstreams ran, and checks that they agree with the
// outcomes that callers observed.
package history

import (
	"fmt"
	"sync"
)

// Effect is one run of a call at an upstream.
type Effect struct {
	// Echo identifies the caller's request; a retry with the same idempotency key has
	// the same echo.
	Echo      string `json:"echo"`
	RequestID string `json:"requestId"`
	Key       string `json:"key"`
	Upstream  string `json:"upstream"`
}

// Effects records the calls that one upstream ran. It is safe for concurrent use.
type Effects struct {
	mu  sync.Mutex
	all []Effect
}

// NewEffects returns an empty record.
func NewEffects() *Effects { return &Effects{} }

// Add records an effect.
func (e *Effects) Add(effect Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, effect)
}

// All returns a copy of the record.
func (e *Effects) All() []Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Effect(nil), e.all...)
}

// Outcome is the outcome of one request as observed by its caller, after the last response.
type Outcome struct {
	Echo string
	// Idempotent reports whether the request may have several effects.
	Idempotent bool
	// Answered reports whether the complete answer of an upstream was received; NotRun
	// whether every refusal of the request stated that it was not run.
	Answered bool
	NotRun   bool
	// Mismatch reports whether an answer's body does not begin with the request's echo, as
	// that of an answer to another request. A body that was cut short is not an answer.
	Mismatch bool
}

// Check returns one line for each violation: a request that is not idempotent and ran
// more than once, a request that ran although it was refused as not run, an answered
// request that never ran, and a mismatched answer.
func Check(outcomes []Outcome, effects []Effect) []string {
	count := map[string]int{}
	for _, effect := range effects {
		count[effect.Echo]++
	}
	var violations []string
	for _, outcome := range outcomes {
		runs := count[outcome.Echo]
		if !outcome.Idempotent && runs > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", outcome.Echo, runs))
		}
		if outcome.NotRun && !outcome.Answered && runs > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused as not run, but an upstream ran it", outcome.Echo))
		}
		if outcome.Answered && runs == 0 {
			violations = append(violations, fmt.Sprintf("%s was answered, but no upstream ran it", outcome.Echo))
		}
		if outcome.Mismatch {
			violations = append(violations, fmt.Sprintf("%s received an answer that does not match the request", outcome.Echo))
		}
	}
	return violations
}
