package rationer

import (
	"slices"
	"time"
)

const (
	// silenceTime is how long after its last message a node counts as silent. Nodes of accounts that
	// are short of tokens ask several times a second.
	silenceTime = 500 * time.Millisecond
	// probeInterval is the minimum time between two requests to a silent node to release its
	// reservation, and releaseLevel the fraction of the capacity below which they are made. Above it
	// the account has enough tokens without them.
	probeInterval = 500 * time.Millisecond
	releaseLevel  = 0.6
	// maxExtraFraction is the fraction of its level that a bucket grants a node in advance.
	maxExtraFraction = 0.05
	// fallbackFactor multiplies the rate at which a node was granted tokens to the one that it may
	// use without contact, while the bucket holds more than fallbackLevel of its capacity. Calls come
	// irregularly, so that at just their mean rate a node that gets few refuses half of them.
	fallbackFactor = 2.0
	fallbackLevel  = 0.5
	// maxTokens bounds the tokens of one grant. A quota may be a number that no int holds, and what its
	// conversion gives differs between processors.
	maxTokens = 1 << 30
	// overTime is how long after a refusal an account counts as over its quota.
	overTime = time.Second
	// reservationInterval is how long a sum of reservations is used before it is computed again.
	reservationInterval = 50 * time.Millisecond
)

// Ask is the request of a node for tokens of an account.
type Ask struct {
	// Need is the number of calls that wait for a token, Expect how many more calls the node expects
	// to have soon.
	Need   int
	Expect int
	// Returned is the number of tokens that the node had and will not use.
	Returned int
}

// Grant is the reply to an Ask.
type Grant struct {
	Tokens int
	// Wait is the time until the next token if Tokens is less than Need.
	Wait time.Duration
	// Fallback is the rate in calls per second at which the node may admit calls for fallbackTime if
	// it loses contact.
	Fallback float64
	// Over means that the account has asked for more than its quota lately.
	Over bool
}

// member is a node that was granted tokens.
type member struct {
	share
	// contact is when the last ask of the node arrived, and probed when it was last asked to release
	// its reservation.
	contact time.Time
	probed  time.Time
	// fallback is the rate that the node was told.
	fallback float64
}

// Bucket is the token bucket of an account at its owner. It is not safe for concurrent use.
type Bucket struct {
	bounds Bounds
	limit  Limit
	level  float64
	at     time.Time
	// promised is the number of calls that were told to come back and whose time has not come.
	promised float64
	// isolated means that other nodes may have another owner by now.
	isolated bool
	// refusedAt is when a call was last refused; zero if none was.
	refusedAt time.Time
	members   map[string]*member
	// reserved is the rate that silent nodes may be using as of reservedAt.
	reserved   float64
	reservedAt time.Time
}

// NewBucket returns the bucket of a node that becomes the owner of an account. It has filled at the rate
// since the node's process has begun: what a former process has granted, after a restart of all nodes
// too, then never counts twice.
func NewBucket(bounds Bounds, limit Limit, begun, now time.Time) *Bucket {
	b := &Bucket{bounds: bounds, limit: limit, at: now, members: map[string]*member{}}
	b.level = min(max(1, limit.Burst), limit.Rate*max(0, now.Sub(begun).Seconds()))
	return b
}

// SetLimit changes the quota.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	if limit == b.limit {
		return
	}
	b.advance(now)
	b.limit = limit
	b.level = min(b.level, b.capacity())
}

// SetIsolated states whether the owner may have been replaced, as it can reach neither the store nor
// another zone. An isolated owner grants isolatedFraction of the rate. When it no longer is, it does
// not know what another owner has granted, and begins like a new one.
func (b *Bucket) SetIsolated(isolated bool, now time.Time) {
	if isolated == b.isolated {
		return
	}
	b.advance(now)
	b.isolated = isolated
	b.level = min(b.level, 1)
}

// capacity is the number of tokens that the bucket holds at most.
func (b *Bucket) capacity() float64 {
	return max(1, b.limit.Burst+min(maxBurstCalls, burstFraction*b.bounds.excess(b.limit)))
}

// advance adds the tokens of the time since the last call. Those for silent nodes are left out.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	rate := b.fillRate(now)
	b.level = min(b.capacity(), b.level+elapsed*rate)
	b.promised = max(0, b.promised-elapsed*rate)
}

// fillRate returns the rate less what silent nodes may be using without asking. That these may use a
// part of the permitted excess keeps the tokens of accounts whose nodes ask seldom.
func (b *Bucket) fillRate(now time.Time) float64 {
	if b.isolated {
		return isolatedFraction * b.limit.Rate
	}
	if now.Sub(b.reservedAt) >= reservationInterval {
		b.reserve(now)
	}
	return max(b.limit.Rate-max(0, b.reserved-b.free()), 0)
}

// free returns the rate for which nothing is reserved.
func (b *Bucket) free() float64 {
	return min(maxSilentCalls, silentFraction*b.bounds.excess(b.limit)) / b.bounds.Window.Seconds()
}

// reserve adds up what silent nodes may be using, and forgets those whose time is over.
func (b *Bucket) reserve(now time.Time) {
	b.reserved, b.reservedAt = 0, now
	for name, m := range b.members {
		switch silence := now.Sub(m.contact); {
		case silence > fallbackTime+silenceTime:
			delete(b.members, name)
		case silence > silenceTime:
			b.reserved += m.fallback
		}
	}
}

// Grant takes tokens for a node out of the bucket.
func (b *Bucket) Grant(node string, ask Ask, now time.Time) Grant {
	b.advance(now)
	b.level = min(b.capacity(), b.level+float64(max(0, ask.Returned)))
	extra := min(max(0, ask.Expect), whole(maxExtraFraction*b.level))
	tokens := min(max(0, ask.Need)+extra, whole(b.level))
	b.level -= float64(tokens)
	m := b.members[node]
	if m == nil {
		m = &member{}
		b.members[node] = m
	}
	m.contact = now
	if tokens > 0 {
		m.add(tokens, now)
	}
	m.fallback = m.rate()
	if b.level > fallbackLevel*b.capacity() {
		m.fallback *= fallbackFactor
	}
	grant := Grant{Tokens: tokens, Wait: b.promise(ask.Need-tokens, now), Fallback: m.fallback}
	grant.Over = b.over(now)
	return grant
}

// whole returns the number of whole tokens, at most maxTokens.
func whole(level float64) int { return int(min(level, maxTokens)) }

// Take takes a token for a call of the owner itself.
func (b *Bucket) Take(now time.Time) Verdict {
	b.advance(now)
	if b.level >= 1 {
		b.level--
		return Verdict{Admitted: true, Over: b.over(now)}
	}
	return Verdict{Wait: b.promise(1, now), Over: true}
}

// over reports whether a call was refused lately.
func (b *Bucket) over(now time.Time) bool {
	return !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < overTime
}

// Return takes back the token of a call of the owner that did not run.
func (b *Bucket) Return(now time.Time) {
	b.advance(now)
	b.level = min(b.capacity(), b.level+1)
}

// promise returns when the next of the calls that got no token can have one, after those that were
// told to come back before.
func (b *Bucket) promise(refused int, now time.Time) time.Duration {
	if refused <= 0 {
		return 0
	}
	b.refusedAt = now
	rate := max(b.fillRate(now), isolatedFraction*b.limit.Rate)
	window := b.bounds.Window.Seconds()
	wait := min(max(0, 1+b.promised-b.level)/rate, window)
	b.promised = min(b.promised+float64(refused), rate*window)
	return time.Duration(wait * float64(time.Second))
}

// Silent returns the nodes, in order, that have to be asked to release what is reserved for them, since
// the account is short of tokens.
func (b *Bucket) Silent(now time.Time) []string {
	if b.isolated || b.reserved <= b.free() || b.level > releaseLevel*b.capacity() {
		return nil
	}
	var silent []string
	for name, m := range b.members {
		silence := now.Sub(m.contact)
		if silence > silenceTime && now.Sub(m.probed) >= probeInterval && m.fallback > 0 {
			m.probed = now
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// Release records that a node has replied that it will admit no calls without contact.
func (b *Bucket) Release(node string, now time.Time) {
	if m := b.members[node]; m != nil && now.Sub(m.contact) > silenceTime {
		b.advance(now)
		m.fallback = 0
	}
}
