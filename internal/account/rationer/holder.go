package rationer

import (
	"time"
)

const (
	// MaxWait bounds how long a call waits for its token.
	MaxWait = 150 * time.Millisecond
	// MaxWaitFraction is the maximum fraction of its remaining time for which a call waits for its
	// token. Most of it is left for the call itself.
	MaxWaitFraction = 0.25
	// tokenTime is how long a node keeps tokens.
	tokenTime = time.Second
	// demandTime is the time constant of the exponential decay of the counted calls.
	demandTime = time.Second
	// horizon is the time for whose expected calls a node asks for tokens in advance. With 250 ms the
	// largest account of the replays takes an exchange for each call.
	horizon = 600 * time.Millisecond
	// retryInterval is the interval between asks of an owner that has not replied.
	retryInterval = 250 * time.Millisecond
	// advanceDivisor divides the expected calls: tokens are asked for in advance when a node holds no
	// more than that part.
	advanceDivisor = 4
	// minRefusalTime and refusalTime bound for how long a node refuses calls without asking again.
	minRefusalTime = 25 * time.Millisecond
	refusalTime    = 200 * time.Millisecond
	// burstTime is the time whose calls a node without contact may admit at once.
	burstTime = 500 * time.Millisecond
)

// Verdict is what becomes of a call.
type Verdict struct {
	Admitted bool
	// Unavailable means that a call is refused because the owner can't be reached.
	Unavailable bool
	// Over means that the account has asked for more than its quota lately. While upstreams lack
	// capacity its calls are then the first to wait.
	Over bool
	// Wait is the time until there may be a token for a refused call.
	Wait time.Duration
}

// Ticket is a call that waits for a token. Settled receives the verdict.
type Ticket struct{ Settled chan Verdict }

// NewTicket returns a ticket for one call.
func NewTicket() *Ticket { return &Ticket{Settled: make(chan Verdict, 1)} }

// Stats counts tokens. Expired ones were held for too long, returned ones are those of calls that did
// not run.
type Stats struct {
	Asked, Granted, Expired, Returned int
}

// lot is a number of tokens that expire at the same time.
type lot struct {
	tokens  int
	expires time.Time
}

// Holder holds the tokens of an account at a node that is not its owner. It is not safe for concurrent
// use.
type Holder struct {
	// Nodes is the number of nodes of the deployment, at least 1.
	Nodes int
	Stats Stats

	bounds Bounds
	limit  Limit
	// lots is ordered by expiry.
	lots []lot
	// returned counts the expired tokens of which the owner has not been told.
	returned int
	// demand is the number of calls with exponential decay as of demandAt.
	demand   float64
	demandAt time.Time
	// rate is the rate at which the node may admit calls without contact.
	rate float64
	// contact is when the owner last replied; zero if it never has.
	contact time.Time
	// asking means that an ask is in flight since askedAt, for the first asked of the waiting calls.
	asking  bool
	askedAt time.Time
	asked   int
	// over is what the owner last stated about the account.
	over bool
	// lost means that the last ask had no reply.
	lost    bool
	waiting []*Ticket
	// deniedUntil is until when calls are refused without asking, with refusals so far and the wait of
	// the first.
	deniedUntil time.Time
	refusals    int
	wait        time.Duration
	// advanceAfter is when tokens are next asked for in advance.
	advanceAfter time.Time
	// level and levelAt are the bucket of the time without contact.
	level   float64
	levelAt time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(bounds Bounds, limit Limit, nodes int) *Holder {
	return &Holder{Nodes: max(1, nodes), bounds: bounds, limit: limit}
}

// SetLimit changes the quota. Tokens that are held were granted within the former one.
func (h *Holder) SetLimit(limit Limit) { h.limit = limit }

// Offer admits a call, refuses it or makes it wait. NextAsk must be called afterwards. While the owner is
// lost, one call in each retryInterval waits for it: a node with few calls would otherwise refuse its
// next one although there is an owner again.
func (h *Holder) Offer(t *Ticket, now time.Time) {
	h.demand = h.demand*decay(now.Sub(h.demandAt), demandTime) + 1
	h.demandAt = now
	switch {
	case h.take(now):
		t.Settled <- Verdict{Admitted: true, Over: h.over}
	case now.Before(h.deniedUntil):
		t.Settled <- h.refuse(now)
	case (h.lost && !h.asking && now.Sub(h.askedAt) < retryInterval) || (h.asking && now.Sub(h.askedAt) >= MaxWait):
		t.Settled <- h.fallback(now)
	default:
		h.waiting = append(h.waiting, t)
	}
}

// take uses a token, if there is one.
func (h *Holder) take(now time.Time) bool {
	h.expire(now)
	if len(h.lots) == 0 {
		return false
	}
	h.lots[0].tokens--
	if h.lots[0].tokens == 0 {
		h.lots = h.lots[1:]
	}
	return true
}

func (h *Holder) expire(now time.Time) {
	for len(h.lots) > 0 && !now.Before(h.lots[0].expires) {
		h.Stats.Expired += h.lots[0].tokens
		h.returned += h.lots[0].tokens
		h.lots = h.lots[1:]
	}
}

// held returns the number of tokens.
func (h *Holder) held() int {
	total := 0
	for _, l := range h.lots {
		total += l.tokens
	}
	return total
}

// Return takes back the token of a call that did not run.
func (h *Holder) Return(now time.Time) {
	h.Stats.Returned++
	h.lots = append(h.lots, lot{tokens: 1, expires: now.Add(tokenTime)})
}

// NextAsk returns the ask to send to the owner now, if any. Reply or Lose must follow.
func (h *Holder) NextAsk(now time.Time) (Ask, bool) {
	if h.asking || (h.lost && now.Sub(h.askedAt) < retryInterval) || now.Before(h.deniedUntil) {
		return Ask{}, false
	}
	h.expire(now)
	expected := int(h.demand * decay(now.Sub(h.demandAt), demandTime) / demandTime.Seconds() * horizon.Seconds())
	held := h.held()
	if len(h.waiting) == 0 && !h.lost && (expected == 0 || held > expected/advanceDivisor || now.Before(h.advanceAfter)) {
		return Ask{}, false
	}
	ask := Ask{Need: len(h.waiting), Expect: max(0, expected-held), Returned: h.returned}
	h.asking, h.askedAt, h.asked = true, now, len(h.waiting)
	h.returned = 0
	h.Stats.Asked++
	return ask, true
}

// Reply takes the reply of the owner. If it grants less than was needed, the account is over its
// quota, and all waiting calls without a token are refused.
func (h *Holder) Reply(g Grant, now time.Time) {
	h.asking, h.lost, h.contact, h.over = false, false, now, g.Over
	// The owner reserves nothing for the node before it counts as silent.
	h.level, h.levelAt, h.rate = 0, now.Add(silenceTime), g.Fallback
	h.Stats.Granted += g.Tokens
	if g.Tokens > 0 {
		h.lots = append(h.lots, lot{tokens: g.Tokens, expires: now.Add(tokenTime)})
	}
	served := 0
	for served < len(h.waiting) && h.take(now) {
		h.waiting[served].Settled <- Verdict{Admitted: true, Over: h.over}
		served++
	}
	h.waiting = h.waiting[served:]
	if g.Tokens == 0 {
		h.advanceAfter = now.Add(refusalTime)
	}
	if g.Tokens >= h.asked {
		return
	}
	h.deniedUntil, h.refusals, h.wait = now.Add(min(max(g.Wait, minRefusalTime), refusalTime)), 0, g.Wait
	for _, t := range h.waiting {
		t.Settled <- h.refuse(now)
	}
	h.waiting = nil
}

// refuse returns the verdict of a call over the quota. Calls that are refused one after another are
// told to come back one after another.
func (h *Holder) refuse(now time.Time) Verdict {
	own := max(h.rate, h.limit.Rate/float64(h.Nodes))
	wait := h.wait.Seconds() + float64(h.refusals)/own
	h.refusals++
	wait = min(wait, h.bounds.Window.Seconds())
	return Verdict{Over: true, Wait: max(time.Duration(wait*float64(time.Second)), h.deniedUntil.Sub(now))}
}

// Lose records that an ask had no reply. The waiting calls are settled by the fallback.
func (h *Holder) Lose(now time.Time) {
	h.asking, h.lost, h.askedAt = false, true, now
	for _, t := range h.waiting {
		t.Settled <- h.fallback(now)
	}
	h.waiting = nil
}

// Expire settles a call that has waited for too long. It does nothing if the call is settled.
func (h *Holder) Expire(t *Ticket, now time.Time) {
	for i, other := range h.waiting {
		if other != t {
			continue
		}
		h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
		if i < h.asked {
			h.asked--
		}
		t.Settled <- h.fallback(now)
		return
	}
}

// fallback decides on a call without contact to the owner: at the rate at which the owner has granted
// tokens, for a limited time, then at an equal share of isolatedFraction of the rate.
func (h *Holder) fallback(now time.Time) Verdict {
	rate := isolatedFraction * h.limit.Rate / float64(h.Nodes)
	if now.Sub(h.contact) <= fallbackTime {
		rate = max(rate, min(h.rate, h.limit.Rate))
	}
	if h.levelAt.IsZero() {
		h.levelAt = now
	}
	if elapsed := now.Sub(h.levelAt); elapsed > 0 {
		h.level = min(max(1, rate*burstTime.Seconds()), h.level+rate*elapsed.Seconds())
		h.levelAt = now
	}
	if h.level >= 1 {
		h.level--
		return Verdict{Admitted: true}
	}
	wait := min((1-h.level)/rate, h.bounds.Window.Seconds())
	return Verdict{Unavailable: true, Wait: time.Duration(wait * float64(time.Second))}
}

// Release gives up the calls that the node may admit without contact, until the owner replies to its
// next ask.
func (h *Holder) Release() { h.rate = 0 }
