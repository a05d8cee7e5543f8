// Package hedger decides when and whether an idempotent call that has no answer yet is sent to a
// second upstream. It keeps the additional work within a share of the calls that it counts. The
// package has no clock of its own: the current time is an argument.
//
// It is built for upstreams of which a few are slow for a while, hang or lose answers, below the
// load at which additional work takes capacity from other calls. It gains nothing for calls that are
// slow at every upstream.
package hedger

import "time"

const (
	// million is the scale of prices and balances, which are integers so that every processor
	// computes the same decisions.
	million = 1_000_000
	// fadeUtilisation is the utilisation of a service, in thousandths, up to which a hedge costs one
	// call, and maxUtilisation that from which no call is hedged. In between the price rises.
	fadeUtilisation = 700
	maxUtilisation  = 900
	// saveTime is the time over which a node can save the allowance of its calls for later hedges.
	saveTime = 10 * time.Second
)

// Denial is why a call is not hedged. The empty text means that it may be.
type Denial string

// The denials. Metrics and docs show the same text.
const (
	// ExtraWork: the share of additional work is used up.
	ExtraWork Denial = "extraWork"
	// Utilisation: the service is short of capacity.
	Utilisation Denial = "utilisation"
	// RetryBudget: the retry budget that hedges share with retries is used up.
	RetryBudget Denial = "retryBudget"
	// Attempts: the call has reached its maximum number of attempts.
	Attempts Denial = "attempts"
	// Deadline: too little time is left before the deadline.
	Deadline Denial = "deadline"
	// NoUpstream: no other upstream is suitable and has capacity.
	NoUpstream Denial = "noUpstream"
)

// Hedger counts the calls and the hedges of each service, and samples the durations of attempts. It
// is not safe for concurrent use: its owner must hold a lock.
type Hedger struct {
	// share is the allowance that each call adds, in millionths of a hedge.
	share      int64
	quantile   float64
	allowances map[string]*allowance
	kinds      map[Kind]*durations
}

// allowance holds the hedges that the calls to a service allow.
type allowance struct {
	// balance is in millionths of a hedge.
	balance int64
	// calls approximates the number of calls in the last saveTime: it is halved after each half of
	// that.
	calls    int64
	halvedAt time.Time
}

// New returns a Hedger that adds at most the given share of the calls, from 0 to 1.
func New(extraWork float64) *Hedger {
	return &Hedger{
		share: int64(extraWork*million + 0.5), quantile: quantileOf(extraWork),
		allowances: map[string]*allowance{}, kinds: map[Kind]*durations{},
	}
}

// allowance returns the allowance of a service, with the calls halved up to now.
func (h *Hedger) allowance(service string, now time.Time) *allowance {
	a := h.allowances[service]
	if a == nil {
		a = &allowance{halvedAt: now}
		h.allowances[service] = a
	}
	for a.calls > 0 && now.Sub(a.halvedAt) >= saveTime/2 {
		a.calls /= 2
		a.halvedAt = a.halvedAt.Add(saveTime / 2)
	}
	if a.calls == 0 {
		a.halvedAt = now
	}
	return a
}

// RecordCall counts a call of a caller to a service.
func (h *Hedger) RecordCall(service string, now time.Time) {
	a := h.allowance(service, now)
	a.calls++
	a.balance = min(a.balance+h.share, max(million, a.calls*h.share))
}

// Charge is what a hedge has cost. The zero value is nothing.
type Charge struct {
	service string
	price   int64
}

// Take reports whether a call to the service may be hedged, and counts the hedge if so. The
// utilisation is that of the service's slots in thousandths.
func (h *Hedger) Take(service string, utilisation int, now time.Time) (Charge, Denial) {
	if utilisation >= maxUtilisation {
		return Charge{}, Utilisation
	}
	a, price := h.allowance(service, now), priceAt(utilisation)
	switch {
	case a.balance >= price:
		a.balance -= price
		return Charge{service: service, price: price}, ""
	case a.balance >= million:
		return Charge{}, Utilisation
	default:
		return Charge{}, ExtraWork
	}
}

// priceAt returns the price of a hedge, which is at least million. It grows without bound towards
// maxUtilisation, so that hedges end gradually.
func priceAt(utilisation int) int64 {
	if utilisation <= fadeUtilisation {
		return million
	}
	return million * (maxUtilisation - fadeUtilisation) / int64(maxUtilisation-utilisation)
}

// Return cancels the charge for a hedge that reached no upstream.
func (h *Hedger) Return(c Charge) {
	if a := h.allowances[c.service]; a != nil {
		a.balance += c.price
	}
}
