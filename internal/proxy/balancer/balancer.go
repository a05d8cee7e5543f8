// Package balancer chooses the upstream of a call from what answers have told:
// load, service times and failures. It is pure: the clock is passed in.
//
// The load it answers: upstreams of unequal speed, some nearly full, cold or
// failing in part, in zones whose links are slow and dear.
package balancer

import (
	"math"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

const (
	// unknownService stands for the service time of an upstream not used yet.
	unknownService = 50 * time.Millisecond
	// smoothing is the weight of the newest sample in means.
	smoothing = 0.15
	// loadMemory is how long a reported load is believed in full.
	loadMemory = 300 * time.Millisecond
	// coldFactor multiplies the service time of an upstream that just started.
	coldFactor = 2
	// crossZoneDelay is the round trip to another zone.
	crossZoneDelay = 8 * time.Millisecond
	// pricePerKilobyte is the part of a call's worth that each kilobyte between
	// zones costs; the most urgent calls are worth more.
	pricePerKilobyte       = 0.08
	pricePerKilobyteUrgent = 0.016
	// envelopeBytes is what a hand-over and its result need besides bodies.
	envelopeBytes = 900
	// lateShare is the part of its worth that a late answer keeps.
	lateShare = 0.3
	// unknownDeviation stands for the mean deviation of a kind of call from its
	// mean time, as a part of it, until it is measured.
	unknownDeviation = 0.4
	// deviationScale turns a mean absolute deviation into the scale of a logistic
	// distribution.
	deviationScale = 0.69
	// firstEjection and longestEjection bound how long an upstream that failed
	// is avoided; the time doubles with each failure in a row.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 2 * time.Second
	// failureMemory is the time constant in which failures are forgotten, and
	// sampleMemory how long a service time above the others' is believed: after
	// that a call tries the upstream again.
	failureMemory = 3 * time.Second
	sampleMemory  = 4 * time.Second
	// fullMemory is how long a refusal for want of room is believed.
	fullMemory = 60 * time.Millisecond
)

// Candidate is a member with what this node has learned of it.
type Candidate struct {
	Member

	outstanding int
	// sinceLoad counts the calls sent since the load was told.
	sinceLoad    int
	load         Load
	loadAt       time.Time
	service      map[string]serviceTime
	failures     int
	failureRate  float64
	failedAt     time.Time
	ejectedUntil time.Time
	// fullUntil holds for each class until when a refusal of such a call is believed.
	fullUntil [queuer.Classes]time.Time
}

// serviceTime is the mean time of a kind of call at one upstream.
type serviceTime struct {
	mean time.Duration
	// at is when the newest sample came.
	at time.Time
}

// Need describes a call to be placed.
type Need struct {
	Service string
	// Kind groups calls of like service time; the route's name.
	Kind string
	Rank int
	// Class is its place in the order of a queue.
	Class queuer.Class
	// Objective and Remaining are the time left until an answer loses part and
	// all of its worth.
	Objective time.Duration
	Remaining time.Duration
	// Tried names the nodes that can't take this call.
	Tried []string
	// SkipFull leaves out the nodes that are known to have no room for the call.
	SkipFull bool
}

// Balancer knows the candidates of all services. It is used under its owner's
// lock.
type Balancer struct {
	zone string
	// bytes is the mean size of both bodies of a kind of call.
	bytes map[string]float64
	// deviation is the mean absolute deviation of a kind of call from the mean
	// time at its upstream, as a part of that time.
	deviation map[string]float64
	members   map[string]*Candidate
	services  map[string][]*Candidate
}

// New returns a balancer for a node in the given zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, bytes: map[string]float64{}, deviation: map[string]float64{}, members: map[string]*Candidate{}, services: map[string][]*Candidate{}}
}

// Update takes in a member's word and says whether it was news.
func (b *Balancer) Update(m Member) bool {
	c, known := b.members[m.Node]
	if known && !m.Newer(c.Member) {
		return false
	}
	if !known || c.Instance != m.Instance || c.Start != m.Start {
		c = &Candidate{service: map[string]serviceTime{}}
		b.members[m.Node] = c
	}
	c.Member = m
	b.removeFormer(m)
	b.index()
	return true
}

// removeFormer forgets the node that had a member's address before: one address
// has one process.
func (b *Balancer) removeFormer(m Member) {
	for name, c := range b.members {
		if c.Address == m.Address && name != m.Node && m.Address != "" && c.Start < m.Start {
			delete(b.members, name)
		}
	}
}

// Remove forgets a member.
func (b *Balancer) Remove(node string) {
	delete(b.members, node)
	b.index()
}

func (b *Balancer) index() {
	clear(b.services)
	for _, c := range b.members {
		if c.Service != "" {
			b.services[c.Service] = append(b.services[c.Service], c)
		}
	}
}

// Members returns the word of every member.
func (b *Balancer) Members() []Member {
	members := make([]Member, 0, len(b.members))
	for _, c := range b.members {
		members = append(members, c.Member)
	}
	return members
}

// Member returns the word of one member.
func (b *Balancer) Member(node string) (Member, bool) {
	c, known := b.members[node]
	if !known {
		return Member{}, false
	}
	return c.Member, true
}

// Pick returns the candidate from which the call can expect most, or nil if every
// one was tried.
func (b *Balancer) Pick(n Need, now time.Time) *Candidate {
	best := b.best(n, now)
	if best != nil {
		best.outstanding++
		best.sinceLoad++
	}
	return best
}

func (b *Balancer) best(n Need, now time.Time) *Candidate {
	var best *Candidate
	var bestTime time.Duration
	bestWorth := 0.0
	for _, c := range b.services[n.Service] {
		if contains(n.Tried, c.Node) || (n.SkipFull && c.full(n.Class, now)) {
			continue
		}
		expected := b.expectedTime(c, n, now)
		worth := b.worth(c, n, expected, now)
		if best == nil || worth > bestWorth+worthMargin || (worth > bestWorth-worthMargin && expected < bestTime) {
			best, bestWorth, bestTime = c, worth, expected
		}
	}
	return best
}

// worthMargin is the difference in worth below which the shorter time decides.
const worthMargin = 0.005

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// The steps by which a candidate is worth less than any that has no such mark.
const (
	stepFull    = 1.0
	stepEjected = 2.0
	stepLeaving = 4.0
)

// Outcome is what one hand-over taught.
type Outcome struct {
	Kind string
	// Class is the call's place in the order of a queue.
	Class queuer.Class
	// Answered says that the upstream gave a usable answer, in Service.
	Answered bool
	Service  time.Duration
	// Bytes is the size of both bodies.
	Bytes int
	// Failed says that the upstream or its node misbehaved.
	Failed bool
	// Waited is how long an upstream was silent that has not answered.
	Waited time.Duration
	// Unreachable says that nothing can be sent there now.
	Unreachable bool
	// Full says that the upstream has no room.
	Full bool
	Load *Load
}

// Done takes in how a hand-over ended.
func (b *Balancer) Done(c *Candidate, o Outcome, now time.Time) {
	c.outstanding--
	if o.Load != nil {
		c.load, c.loadAt, c.sinceLoad = *o.Load, now, 0
	}
	if o.Full {
		c.fullUntil[o.Class] = now.Add(fullMemory)
	}
	switch {
	case o.Answered:
		c.failures = 0
		c.failureRate = (1 - smoothing) * c.failing(now)
		c.failedAt = now
		b.learnDeviation(o.Kind, c.service[o.Kind].mean, o.Service)
		c.learn(o.Kind, o.Service, now)
		b.bytes[o.Kind] += smoothing * (float64(o.Bytes) - b.bytes[o.Kind])
	case o.Unreachable:
		c.eject(now)
	case o.Failed:
		rate := c.failing(now)
		c.failureRate, c.failedAt = rate+smoothing*(1-rate), now
	}
	if !o.Answered && o.Waited > c.service[o.Kind].mean {
		c.learn(o.Kind, o.Waited, now)
	}
}

// Suspect takes in that a node does not answer any more.
func (b *Balancer) Suspect(address string, now time.Time) {
	for _, c := range b.members {
		if c.Address == address && !now.Before(c.ejectedUntil) {
			c.eject(now)
		}
	}
}

func (c *Candidate) eject(now time.Time) {
	c.failures++
	c.ejectedUntil = now.Add(min(firstEjection<<min(c.failures-1, 8), longestEjection))
}

// deviationSmoothing is the weight of the newest sample of a deviation.
const deviationSmoothing = 0.02

func (b *Balancer) learnDeviation(kind string, mean, sample time.Duration) {
	if mean <= 0 {
		return
	}
	before, known := b.deviation[kind]
	if !known {
		before = unknownDeviation
	}
	off := math.Abs(float64(sample-mean)) / float64(mean)
	b.deviation[kind] = max(leastDeviation, before+deviationSmoothing*(min(off, 2)-before))
}

// leastDeviation keeps a run of like samples from making estimates certain.
const leastDeviation = 0.1

func (c *Candidate) learn(kind string, sample time.Duration, now time.Time) {
	before, known := c.service[kind]
	if !known {
		c.service[kind] = serviceTime{mean: sample, at: now}
		return
	}
	mean := before.mean + time.Duration(smoothing*float64(sample-before.mean))
	c.service[kind] = serviceTime{mean: mean, at: now}
}

// Size returns the number of members.
func (b *Balancer) Size() int { return len(b.members) }

// Expected returns the mean time of a kind of call over the upstreams of its
// service, and its mean deviation as a part of that; zero if nothing is known.
func (b *Balancer) Expected(service, kind string) (time.Duration, float64) {
	all := mean(b.services[service], kind, nil)
	if all == 0 {
		return 0, 0
	}
	deviation, measured := b.deviation[kind]
	if !measured {
		deviation = unknownDeviation
	}
	return all, deviation
}

// roomShare is the part of its slots that an upstream may use and still have
// room for a call that need not run there.
const roomShare = 0.8

// HasRoom says whether the candidate that Pick would choose has a slot free and
// is likely to answer before the call's deadline.
func (b *Balancer) HasRoom(n Need, now time.Time) bool {
	c := b.best(n, now)
	if c == nil || now.Before(c.ejectedUntil) || c.full(n.Class, now) || c.Leaving {
		return false
	}
	busy := max(c.outstanding, c.load.InUse+c.load.Waiting)
	return float64(busy) < roomShare*float64(c.Slots) && b.expectedTime(c, n, now) < n.Remaining
}

// waitMemory is how long a told wait says something of the next call.
const waitMemory = time.Second

// Wait is the shortest time that a call of a class would wait at the upstreams of a
// service, as they told with their last results; zero if nothing is known of now.
func (b *Balancer) Wait(service string, class queuer.Class, now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for _, c := range b.services[service] {
		if c.Leaving || c.load.Leaving || now.Before(c.ejectedUntil) {
			continue
		}
		wait := time.Duration(0)
		if now.Sub(c.loadAt) < waitMemory {
			wait = c.load.Waits[class]
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}
