// Package balancer chooses the upstream for a call from the load, service times and
// failures that the results of earlier calls show. The package has no clock of its own: the
// current time is an argument.
//
// It is built for upstreams of unequal speed, some of them nearly full, cold or failing
// a fraction of their calls, in availability zones whose links are slow and expensive.
package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

const (
	// defaultServiceTime is assumed for an upstream until a service time is known.
	defaultServiceTime = 50 * time.Millisecond
	// smoothing is the weight of the newest sample in exponentially weighted means.
	smoothing = 0.15
	// loadFreshTime is the age up to which a received load counts in full. An older
	// one is weighted by the inverse of its age.
	loadFreshTime = 300 * time.Millisecond
	// coldStartFactor multiplies the service time of an upstream that has just started.
	coldStartFactor = 2
	// crossZoneRTT is the assumed round-trip time to another availability zone.
	crossZoneRTT = 8 * time.Millisecond
	// costPerKilobyte is the utility that each kilobyte (1000 bytes) sent between zones
	// costs, as a fraction of the utility of a call answered in time. It is lower for calls
	// of rank 0, since those are worth more.
	costPerKilobyte       = 0.08
	costPerKilobyteUrgent = 0.016
	// envelopeBytes is the approximate size of an attempt and its result without the bodies.
	envelopeBytes = 900
	// lateUtility is the utility of an answer that comes after the objective but before
	// the deadline, as a fraction of that of an answer in time.
	lateUtility = 0.3
	// defaultDeviation is assumed for the mean absolute deviation of a kind of call, as a
	// fraction of its mean service time, until it is measured.
	defaultDeviation = 0.4
	// deviationScale converts a mean absolute deviation to the scale parameter of a
	// logistic distribution.
	deviationScale = 0.69
	// baseEjectionTime and maxEjectionTime bound how long an unreachable upstream is
	// ejected. The time doubles with each ejection in a row.
	baseEjectionTime = 300 * time.Millisecond
	maxEjectionTime  = 2 * time.Second
	// failureDecayTime is the time constant of the failure rate's exponential decay.
	failureDecayTime = 3 * time.Second
	// sampleTTL is how long a service time above the mean of the other upstreams is used.
	// After that the lower mean applies, so that the upstream is tried again.
	sampleTTL = 4 * time.Second
	// maxOvertaken is the number of attempts in a row that later ones have overtaken after which
	// an upstream without an answer in between counts as hanging. After one, it would also be
	// taken for hanging while it is slow for a moment, which costs calls where there are few others.
	maxOvertaken = 2
	// fullTTL is how long an upstream counts as full after it shed a call.
	fullTTL = 60 * time.Millisecond
)

// Candidate is a member with what this node has measured of it.
type Candidate struct {
	Member

	// inFlight is the number of attempts by this node that have no outcome yet.
	inFlight int
	// sentSinceLoad is the number of calls sent there since load was received.
	sentSinceLoad int
	load          Load
	loadAt        time.Time
	serviceTimes  map[string]serviceTime
	// overtaken is the number of attempts since the last answer that a later attempt at another
	// upstream has overtaken, the last of them at overtakenAt.
	overtaken   int
	overtakenAt time.Time
	// ejections is the number of ejections since the last answer.
	ejections     int
	failureRate   float64
	failureRateAt time.Time
	ejectedUntil  time.Time
	// linkFreeAt is when the link is expected to take a large body again, after it refused one.
	linkFreeAt time.Time
	// fullUntil is, for each class, the time until which the upstream counts as full
	// because it shed a call of that class.
	fullUntil [queuer.Classes]time.Time
}

// serviceTime is the mean service time of a kind of call at one upstream.
type serviceTime struct {
	mean time.Duration
	// sampledAt is when the newest sample was recorded.
	sampledAt time.Time
}

// PickInfo describes a call that needs an upstream.
type PickInfo struct {
	Service string
	// Kind groups calls with similar service times. It is the name of the route.
	Kind string
	// Rank is the urgency of the call; 0 is the most urgent.
	Rank int
	// Class is the priority class of the call in an upstream's queue.
	Class queuer.Class
	// Objective is the time left until an answer counts as late, Remaining the time
	// left until the deadline, after which an answer is of no use.
	Objective time.Duration
	Remaining time.Duration
	// Tried holds the names of the nodes that have been sent the call. They are excluded.
	Tried []string
	// SkipFull excludes the candidates that recently shed a call of the class or of a more
	// urgent one.
	SkipFull bool
	// Versions restricts the candidates by the version of their upstreams. The zero value does not.
	Versions VersionFilter
}

// Balancer holds the candidates of all services and the statistics about them. It is
// not safe for concurrent use: the owner's lock must be held.
type Balancer struct {
	zone string
	// node is the name of the own node, and linkRate the rate of its link in Mbit/s; 0 if unknown.
	node     string
	linkRate float64
	// meanBytes is the mean total size of the bodies of request and answer, by kind of call.
	meanBytes map[string]float64
	// deviation is the mean absolute deviation of service times from the mean of their
	// upstream, as a fraction of that mean, by kind of call.
	deviation map[string]float64
	members   map[string]*Candidate
	services  map[string][]*Candidate
	// established is the established version of each service.
	established map[string]string
}

// New returns a balancer without candidates for a node in the given availability zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, meanBytes: map[string]float64{}, deviation: map[string]float64{}, members: map[string]*Candidate{}, services: map[string][]*Candidate{}, established: map[string]string{}}
}

// Update stores the record of a member if it is newer than the known one, and reports
// whether it did. A new instance or incarnation starts without statistics. Only one process
// can listen on an address: an older member with the same one is removed, and the record of
// a member older than the one there is not stored.
func (b *Balancer) Update(m Member) bool {
	c, known := b.members[m.Node]
	if known && !m.Newer(c.Member) {
		return b.learnVersion(c, m)
	}
	if b.replaced(m) {
		return false
	}
	if !known || c.Instance != m.Instance || c.Start != m.Start {
		c = &Candidate{serviceTimes: map[string]serviceTime{}}
		b.members[m.Node] = c
	}
	c.Member = m
	b.removeFormer(m)
	b.rebuildIndex()
	return true
}

// replaced reports whether a newer member has the address of m.
func (b *Balancer) replaced(m Member) bool {
	for name, c := range b.members {
		if c.Address == m.Address && name != m.Node && m.Address != "" && c.Start > m.Start {
			return true
		}
	}
	return false
}

// removeFormer removes older members with the address of m.
func (b *Balancer) removeFormer(m Member) {
	for name, c := range b.members {
		if c.Address == m.Address && name != m.Node && m.Address != "" && c.Start < m.Start {
			delete(b.members, name)
		}
	}
}

// Remove removes a member and its statistics, unless its known record is newer than m, and
// reports whether it did.
func (b *Balancer) Remove(m Member) bool {
	c, known := b.members[m.Node]
	if !known || c.Newer(m) {
		return false
	}
	delete(b.members, m.Node)
	b.rebuildIndex()
	return true
}

func (b *Balancer) rebuildIndex() {
	clear(b.services)
	for _, c := range b.members {
		if c.Service != "" {
			b.services[c.Service] = append(b.services[c.Service], c)
		}
	}
	b.rebuildEstablished()
}

// Members returns the records of all members, in no particular order.
func (b *Balancer) Members() []Member {
	members := make([]Member, 0, len(b.members))
	for _, c := range b.members {
		members = append(members, c.Member)
	}
	return members
}

// Member returns the record of one member and whether it is known.
func (b *Balancer) Member(node string) (Member, bool) {
	c, known := b.members[node]
	if !known {
		return Member{}, false
	}
	return c.Member, true
}

// Pick returns the candidate with the highest expected utility and counts the call as in
// flight there. It returns nil if no candidate is left. Done must be called when the attempt
// has ended.
func (b *Balancer) Pick(info PickInfo, now time.Time) *Candidate {
	best := b.best(info, now)
	if best != nil {
		best.inFlight++
		best.sentSinceLoad++
	}
	return best
}

// Available reports whether Pick would return a candidate.
func (b *Balancer) Available(info PickInfo, now time.Time) bool { return b.best(info, now) != nil }

// best returns the candidate that Pick chooses, or nil, without counting a call.
func (b *Balancer) best(info PickInfo, now time.Time) *Candidate {
	var best *Candidate
	var bestTime time.Duration
	bestUtility := 0.0
	for _, c := range b.services[info.Service] {
		if !info.Versions.allows(c.Member) || slices.Contains(info.Tried, c.Node) || (info.SkipFull && c.full(info.Class, now)) {
			continue
		}
		expected := b.expectedTime(c, info, now)
		utility := b.utility(c, info, expected, now)
		if best == nil || utility > bestUtility+utilityMargin || (utility > bestUtility-utilityMargin && expected < bestTime) {
			best, bestUtility, bestTime = c, utility, expected
		}
	}
	return best
}

// utilityMargin is the difference in utility below which the shorter expected time decides.
const utilityMargin = 0.005

// Penalties subtracted from the utility of a candidate. Without them it is at most 1, and
// below 0 only if the bytes sent to another zone cost more than the answer is worth. A
// penalised candidate is thus a last resort.
const (
	penaltyFull     = 1.0
	penaltyEjected  = 2.0
	penaltyDraining = 4.0
)

// Outcome describes how one attempt ended.
type Outcome struct {
	Kind string
	// Class is the priority class of the call in an upstream's queue.
	Class queuer.Class
	// Answered reports whether the upstream gave a usable answer, Service how long it took.
	Answered     bool
	UpstreamTime time.Duration
	// Bytes is the total size of the bodies of request and answer.
	Bytes int
	// Failed reports whether the upstream failed, or its node did.
	Failed bool
	// Elapsed is how long the upstream had the call, if it gave no usable answer. It
	// counts as a service time if it exceeds the mean; without one, that of the service's
	// other upstreams.
	Elapsed time.Duration
	// Unreachable reports whether the upstream can't take any call at the moment.
	Unreachable bool
	// Full reports whether the node's queue or the upstream shed the call.
	Full bool
	// Overtaken reports whether the attempt was withdrawn because one at another upstream that
	// began later has answered first.
	Overtaken bool
	// LinkWait is how long the link will be too busy for the body of the call; 0 if it is not.
	LinkWait time.Duration
	// Load is the load received with the result; nil if there is none.
	Load *Load
}

// Done ends an attempt that Pick began, and updates the statistics of its candidate with the
// outcome.
func (b *Balancer) Done(c *Candidate, o Outcome, now time.Time) {
	c.inFlight--
	if o.Load != nil {
		c.load, c.loadAt, c.sentSinceLoad = *o.Load, now, 0
	}
	c.recordLinkWait(o.LinkWait, now)
	if o.Full {
		c.fullUntil[o.Class] = now.Add(fullTTL)
	}
	switch {
	case o.Answered:
		c.ejections, c.overtaken = 0, 0
		c.failureRate = (1 - smoothing) * c.currentFailureRate(now)
		c.failureRateAt = now
		b.recordDeviation(o.Kind, c.serviceTimes[o.Kind].mean, o.UpstreamTime)
		c.recordServiceTime(o.Kind, o.UpstreamTime, now)
		b.meanBytes[o.Kind] += smoothing * (float64(o.Bytes) - b.meanBytes[o.Kind])
	case o.Unreachable:
		c.eject(now)
	case o.Overtaken:
		c.overtakenAt = now
		if c.overtaken++; c.overtaken%maxOvertaken == 0 {
			c.eject(now)
		}
	case o.Failed:
		rate := c.currentFailureRate(now)
		c.failureRate, c.failureRateAt = rate+smoothing*(1-rate), now
	}
	if !o.Answered && o.Elapsed > b.ownServiceTime(c, o.Kind, now) {
		c.recordServiceTime(o.Kind, o.Elapsed, now)
	}
}

// Suspect ejects the member at an address because its node is unresponsive, unless it is
// ejected already.
func (b *Balancer) Suspect(address string, now time.Time) {
	for _, c := range b.members {
		if c.Address == address && !now.Before(c.ejectedUntil) {
			c.eject(now)
		}
	}
}

// eject makes the candidate a last resort for a time that doubles with each ejection in a
// row. The exponent is bounded so that the shift can't overflow.
func (c *Candidate) eject(now time.Time) {
	c.ejections++
	c.ejectedUntil = now.Add(min(baseEjectionTime<<min(c.ejections-1, 8), maxEjectionTime))
}

// deviationSmoothing is the weight of the newest sample in a mean deviation.
const deviationSmoothing = 0.02

// recordDeviation updates the mean deviation of a kind of call with a service time. The
// deviation of one sample counts as at most twice the mean, which bounds the effect of a
// single slow call.
func (b *Balancer) recordDeviation(kind string, mean, sample time.Duration) {
	if mean <= 0 {
		return
	}
	previous, known := b.deviation[kind]
	if !known {
		previous = defaultDeviation
	}
	relative := math.Abs(float64(sample-mean)) / float64(mean)
	b.deviation[kind] = max(minDeviation, previous+deviationSmoothing*(min(relative, 2)-previous))
}

// minDeviation keeps a run of similar samples from making the estimates certain.
const minDeviation = 0.1

func (c *Candidate) recordServiceTime(kind string, sample time.Duration, now time.Time) {
	previous, known := c.serviceTimes[kind]
	if !known {
		c.serviceTimes[kind] = serviceTime{mean: sample, sampledAt: now}
		return
	}
	mean := previous.mean + time.Duration(smoothing*float64(sample-previous.mean))
	c.serviceTimes[kind] = serviceTime{mean: mean, sampledAt: now}
}

// Size returns the number of members, those without a service included.
func (b *Balancer) Size() int { return len(b.members) }

// MeanServiceTime returns the mean service time of a kind of call over the upstreams of a
// service, and its mean absolute deviation as a fraction of that. Both are zero if no service
// time is known.
func (b *Balancer) MeanServiceTime(service, kind string) (time.Duration, float64) {
	all := mean(b.services[service], kind, nil)
	if all == 0 {
		return 0, 0
	}
	deviation, measured := b.deviation[kind]
	if !measured {
		deviation = defaultDeviation
	}
	return all, deviation
}

// MeanBytes returns the mean total size of the bodies of request and answer of a kind of call.
func (b *Balancer) MeanBytes(kind string) float64 { return b.meanBytes[kind] }

// maxUtilisation is the fraction of its slots in use below which an upstream has capacity
// for a hedge.
const maxUtilisation = 0.8

// HasCapacity reports whether the candidate that Pick would choose can take a hedge: it uses
// less than maxUtilisation of its slots and is expected to answer before the call's deadline.
func (b *Balancer) HasCapacity(info PickInfo, now time.Time) bool {
	c := b.best(info, now)
	if c == nil || now.Before(c.ejectedUntil) || c.full(info.Class, now) || c.Draining || c.load.Draining {
		return false
	}
	busy := max(c.unanswered(now), c.load.InUse+c.load.Waiting)
	return float64(busy) < maxUtilisation*float64(c.Slots) && b.expectedTime(c, info, now) < info.Remaining
}

// waitTTL is how long ShortestWait uses a received load.
const waitTTL = time.Second

// ShortestWait returns the shortest time that a call of the class would wait in the queue of
// any upstream of the service, by the loads received last. A load older than waitTTL counts
// as no wait. Draining and ejected upstreams are left out; if no other is known, the result
// is 0.
func (b *Balancer) ShortestWait(service string, class queuer.Class, now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for _, c := range b.services[service] {
		if c.Draining || c.load.Draining || now.Before(c.ejectedUntil) {
			continue
		}
		wait := time.Duration(0)
		if now.Sub(c.loadAt) < waitTTL {
			wait = c.load.Waits[class]
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}
