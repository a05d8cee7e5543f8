// Package limiter implements rate and concurrency limits: token buckets for tenants,
// an adaptive concurrency limit, and the warm-up ramp of a new endpoint. It does no
// I/O; the caller passes the time. Its types are not safe for concurrent use.
package limiter

import (
	"time"
)

// Bucket is a token bucket.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Size is the maximum number of tokens.
	Size float64

	tokens   float64
	refilled time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, size float64, now time.Time) *Bucket {
	return &Bucket{Rate: rate, Size: size, tokens: size, refilled: now}
}

// Take removes one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.tokens = min(b.Size, b.tokens+now.Sub(b.refilled).Seconds()*b.Rate)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// decreaseFactor is the factor by which a shed call lowers the adaptive limit.
	decreaseFactor = 0.8
	// decreaseInterval is the minimum time between two decreases, so that one burst
	// of shed calls lowers the limit only once.
	decreaseInterval = 100 * time.Millisecond
)

// AdaptiveLimit is a concurrency limit for an upstream that sheds calls although it
// runs fewer than the slots in its heartbeat. The zero value does not limit.
//
// It uses additive increase, multiplicative decrease: Chiu and Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance", 1989.
type AdaptiveLimit struct {
	// limit is in slots; 0 means no limit.
	limit        float64
	lastDecrease time.Time
}

// Limit returns how many of the allowed slots may be used.
func (a *AdaptiveLimit) Limit(allowed int) int {
	if a.limit == 0 || int(a.limit) >= allowed {
		return allowed
	}
	return max(1, int(a.limit))
}

// OnShed lowers the limit after the upstream shed a call while inUse slots were in
// use.
func (a *AdaptiveLimit) OnShed(inUse int, now time.Time) {
	if now.Sub(a.lastDecrease) < decreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(1, float64(inUse)*decreaseFactor)
}

// OnSuccess raises the limit after a completed call: as many calls as the limit raise
// it by about one slot. It is removed once it reaches the allowed slots.
func (a *AdaptiveLimit) OnSuccess(allowed int) {
	if a.limit == 0 {
		return
	}
	a.limit += 1 / a.limit
	if int(a.limit) >= allowed {
		a.limit = 0
	}
}

// rampStart is the fraction of its slots that an endpoint starts with.
const rampStart = 0.1

// Ramp returns how many slots may be used of an endpoint that became ready at
// readyAt. The number grows linearly to all slots over warmUp and is at least 1.
func Ramp(slots int, readyAt, now time.Time, warmUp time.Duration) int {
	age := now.Sub(readyAt)
	if warmUp <= 0 || age >= warmUp {
		return slots
	}
	fraction := rampStart + (1-rampStart)*max(0, age.Seconds())/warmUp.Seconds()
	return max(1, int(fraction*float64(slots)))
}
