// Package shaper decides which body the link of a node takes next, and which bodies are not worth
// sending. A sender offers a body; the node beside the upstream grants or refuses the offer. The
// package has no clock of its own: the current time is an argument.
//
// It is built for uploads that arrive in waves and bursts at links which carry only part of them
// in time, beside many small calls, from callers of whom some leave early and some repeat at once.
package shaper

import (
	"sort"
	"time"
)

const (
	// window is how long the link needs at most for the bytes that are granted and not yet
	// received. It bounds how long a small call waits behind bodies. A body that needs longer is
	// granted in pieces of half the window, so that others come between them.
	window = 100 * time.Millisecond
	// usableShare is the share of the link's rate that bodies are expected to get. The rest is for
	// small calls, answers and the overhead of the transport.
	usableShare = 0.85
	// slotLead is how much earlier than a slot a body may be received. Bodies that come earlier
	// only take memory, and a refusal after that has cost their bytes.
	slotLead = 100 * time.Millisecond
	// lossDelay is how long after its expected arrival a granted body no longer counts against the
	// window: its sender has probably ended. The grant itself is valid until its deadline.
	lossDelay = time.Second
	// inTimeFactor times the service time must be left before the objective for an offer to count
	// as likely to meet it, and minRemainingFactor times it before the deadline for a grant.
	inTimeFactor       = 1.5
	minRemainingFactor = 1.1
	// oldestFirstInterval is the number of grants of which one goes to the offer that has waited
	// longest, whatever its class, so that no class is starved.
	oldestFirstInterval = 10
	// lateClass is added to the class of an offer that is expected to miss its objective. It
	// exceeds the number of classes.
	lateClass = 100
)

// Slots is what is expected of the upstream's slots for calls of an offer's kind and class.
type Slots struct {
	// Wait is the time until one is free for a call that arrives now, Service the time for which a
	// call holds it, Count the number of slots. A Count of 0 means that nothing is known: calls
	// then wait for a slot elsewhere.
	Wait    time.Duration
	Service time.Duration
	Count   int
}

// wait returns the time until a slot is free behind a number of calls that come before.
func (s Slots) wait(ahead int) time.Duration {
	if s.Count == 0 {
		return 0
	}
	return s.Wait + time.Duration(float64(s.Service)*float64(ahead)/float64(s.Count))
}

// Offer is a body that waits for a grant, or that was granted and is not received yet.
type Offer struct {
	// Bytes is the size of what is not received yet.
	Bytes int
	// Class is the priority class of the call; the lowest goes first.
	Class int
	// Objective is the time after which an answer counts as late, Deadline the time after which it
	// is of no use.
	Objective time.Time
	Deadline  time.Time
	// Slots returns what is expected at a time.
	Slots func(now time.Time) Slots
	// Settled receives nil when the offer is granted, or the refusal. After Continue it receives
	// the next one.
	Settled chan *Refusal
	// Granted is the number of bytes of the latest grant, set before Settled receives nil.
	Granted int

	sequence uint64
	// slots is the latest result of Slots.
	slots Slots
	// due is when the granted bytes are expected.
	due time.Time
	// begun reports whether a piece of the body was received.
	begun bool
}

// NewOffer returns an offer that is not settled.
func NewOffer(bytes, class int, objective, deadline time.Time, slots func(now time.Time) Slots) *Offer {
	return &Offer{
		Bytes: bytes, Class: class, Objective: objective, Deadline: deadline, Slots: slots,
		Settled: make(chan *Refusal, 1),
	}
}

// Refusal states why an offer is refused.
type Refusal struct {
	// Wait is the time until an offer made then is expected to be granted.
	Wait time.Duration
	// Link reports whether the link is the cause; otherwise the slots are.
	Link bool
}

// Shaper schedules the bodies that a link receives. It is not safe for concurrent use: the owner's
// lock must be held.
type Shaper struct {
	// rate is the number of bytes per second that bodies are expected to get; 0 if unknown.
	rate     float64
	waiting  []*Offer
	granted  map[*Offer]struct{}
	sequence uint64
	// grants counts the offers that pick has chosen.
	grants uint64
}

// New returns the shaper of a link with a rate in Mbit/s. If that is 0, which is unknown, it grants
// every offer at once.
func New(linkRate float64) *Shaper {
	return &Shaper{rate: usableShare * linkRate * 1e6 / 8, granted: map[*Offer]struct{}{}}
}

// Offer adds an offer. It may settle this one and others.
func (s *Shaper) Offer(o *Offer, now time.Time) {
	s.sequence++
	o.sequence = s.sequence
	s.waiting = append(s.waiting, o)
	s.Advance(now)
}

// Received records that the last granted bytes of an offer have arrived, which were its rest.
func (s *Shaper) Received(o *Offer, now time.Time) { s.Withdraw(o, now) }

// Continue records that the granted bytes have arrived and offers the rest of the body.
func (s *Shaper) Continue(o *Offer, now time.Time) {
	delete(s.granted, o)
	o.Bytes -= o.Granted
	o.Granted, o.begun = 0, true
	s.waiting = append(s.waiting, o)
	s.Advance(now)
}

// next returns how many bytes of an offer a grant covers.
func (s *Shaper) next(o *Offer) int {
	if s.rate == 0 || s.transfer(o.Bytes) <= window {
		return o.Bytes
	}
	return int(s.rate * window.Seconds() / 2)
}

// Withdraw removes an offer whose caller has left, whether or not it was granted.
func (s *Shaper) Withdraw(o *Offer, now time.Time) {
	delete(s.granted, o)
	for i, other := range s.waiting {
		if other == o {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.Advance(now)
}

// Waiting returns the number of offers that wait for their grant.
func (s *Shaper) Waiting() int { return len(s.waiting) }

// Outstanding returns the number of bytes that are granted and expected on the link.
func (s *Shaper) Outstanding() int {
	bytes := 0
	for o := range s.granted {
		bytes += o.Granted
	}
	return bytes
}

// Advance grants offers as the window allows and refuses those that can't be granted in time. It
// must be called at short intervals while offers wait, since the expected waits for slots change.
func (s *Shaper) Advance(now time.Time) {
	s.expire(now)
	if s.rate == 0 {
		s.grantAll(now)
		return
	}
	for _, o := range s.waiting {
		o.slots = o.Slots(now)
	}
	s.order(now)
	s.refuseHopeless(now)
	for len(s.waiting) > 0 {
		index := s.pick()
		if !s.fits(s.waiting[index]) {
			break
		}
		s.grants++
		s.grant(index, now)
	}
}

func (s *Shaper) grantAll(now time.Time) {
	for len(s.waiting) > 0 {
		s.grant(0, now)
	}
}

// expire drops the grants whose body is overdue.
func (s *Shaper) expire(now time.Time) {
	for o := range s.granted {
		if now.After(o.Deadline) || now.After(o.due.Add(lossDelay)) {
			delete(s.granted, o)
		}
	}
}

// transfer returns the time that the link needs for a number of bytes.
func (s *Shaper) transfer(bytes int) time.Duration {
	if s.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// order sorts the waiting offers by class, those that have begun before the others, then by
// deadline.
func (s *Shaper) order(now time.Time) {
	sort.SliceStable(s.waiting, func(i, j int) bool {
		a, b := s.waiting[i], s.waiting[j]
		if ca, cb := s.class(a, now), s.class(b, now); ca != cb {
			return ca < cb
		}
		if a.begun != b.begun {
			return a.begun
		}
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.sequence < b.sequence
	})
}

// class returns the class of an offer, which is late if too little time is left for its objective.
// One that has begun does not become late: the bytes received would be lost if others overtook it.
func (s *Shaper) class(o *Offer, now time.Time) int {
	if o.begun {
		return o.Class
	}
	needed := s.transfer(o.Bytes) + time.Duration(inTimeFactor*float64(o.slots.Service))
	if now.Add(needed).After(o.Objective) {
		return o.Class + lateClass
	}
	return o.Class
}

// pick returns the index of the offer that goes next.
func (s *Shaper) pick() int {
	if s.grants%oldestFirstInterval != oldestFirstInterval-1 {
		return 0
	}
	oldest := 0
	for i, o := range s.waiting {
		if o.sequence < s.waiting[oldest].sequence {
			oldest = i
		}
	}
	return oldest
}

// fits reports whether an offer can be granted now: the window has room, and a slot is expected
// soon after the body.
func (s *Shaper) fits(o *Offer) bool {
	outstanding := s.Outstanding()
	if s.transfer(outstanding+s.next(o)) > window {
		return false
	}
	return o.slots.wait(len(s.granted)) <= s.transfer(outstanding+o.Bytes)+slotLead
}

func (s *Shaper) grant(index int, now time.Time) {
	o := s.waiting[index]
	s.waiting = append(s.waiting[:index], s.waiting[index+1:]...)
	o.Granted = s.next(o)
	o.due = now.Add(s.transfer(s.Outstanding() + o.Granted))
	s.granted[o] = struct{}{}
	o.Settled <- nil
}

// refuseHopeless refuses the offers that the bodies ahead of them delay past the last moment at
// which their call could still be served.
func (s *Shaper) refuseHopeless(now time.Time) {
	bytes, ahead := 0, len(s.granted)
	for o := range s.granted {
		bytes += o.Bytes
	}
	kept := s.waiting[:0]
	for _, o := range s.waiting {
		linkWait, slotWait := s.transfer(bytes), o.slots.wait(ahead)
		start := max(linkWait+s.transfer(o.Bytes), slotWait)
		needed := start + time.Duration(minRemainingFactor*float64(o.slots.Service))
		if now.Add(needed).After(o.Deadline) {
			o.Settled <- &Refusal{Wait: max(linkWait, slotWait), Link: linkWait >= slotWait}
			continue
		}
		bytes += o.Bytes
		ahead++
		kept = append(kept, o)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}
