package balancer

import (
	"math"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// worth is what a call can expect of a candidate, as a part of its full worth,
// less the price of its bytes. Candidates that are used only if no other is left
// go below zero.
func (b *Balancer) worth(c *Candidate, n Need, expected time.Duration, now time.Time) float64 {
	deviation, known := b.deviation[n.Kind]
	if !known {
		deviation = unknownDeviation
	}
	inTime := chance(expected, n.Objective, deviation)
	served := chance(expected, n.Remaining, deviation)
	worth := (1 - c.failing(now)) * (lateShare*served + (1-lateShare)*inTime)
	if c.Zone != b.zone {
		worth -= b.price(n)
	}
	if c.Leaving || c.load.Leaving {
		worth -= stepLeaving
	}
	if now.Before(c.ejectedUntil) {
		worth -= stepEjected
	}
	if c.full(n.Class, now) {
		worth -= stepFull
	}
	return worth
}

// full says that a call of a class, or of a more urgent one, was refused for want of
// room just now.
func (c *Candidate) full(class queuer.Class, now time.Time) bool {
	for _, until := range c.fullUntil[:class+1] {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// price is the part of a call's worth that its bytes between zones cost.
func (b *Balancer) price(n Need) float64 {
	kilobytes := (envelopeBytes + b.bytes[n.Kind]) / 1000
	if n.Rank == 0 {
		return kilobytes * pricePerKilobyteUrgent
	}
	return kilobytes * pricePerKilobyte
}

// chance is the probability that a call which takes the expected time on average
// ends within the time left: a logistic curve.
func chance(expected, left time.Duration, deviation float64) float64 {
	scale := deviationScale * deviation * float64(max(expected, time.Millisecond))
	return 1 / (1 + math.Exp(float64(expected-left)/scale))
}

// expectedTime is how long a call would take at a candidate.
func (b *Balancer) expectedTime(c *Candidate, n Need, now time.Time) time.Duration {
	service := b.serviceTime(c, n.Kind, now)
	if now.UnixMilli() < c.ColdUntil {
		service *= coldFactor
	}
	expected := service + c.wait(n.Class, service, now)
	if c.Zone != b.zone {
		expected += crossZoneDelay
	}
	return expected
}

// serviceTime is the mean of an upstream, or that of the others of its service if
// nothing is known of it, or only something bad and old.
func (b *Balancer) serviceTime(c *Candidate, kind string, now time.Time) time.Duration {
	own, known := c.service[kind]
	if known && now.Sub(own.at) < sampleMemory {
		return own.mean
	}
	others := mean(b.services[c.Service], kind, c)
	switch {
	case known && others > 0:
		return min(own.mean, others)
	case known:
		return own.mean
	case others > 0:
		return others
	default:
		return unknownService
	}
}

// mean is the mean time of a kind of call over all candidates but one; zero if
// nothing is known.
func mean(candidates []*Candidate, kind string, without *Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, c := range candidates {
		if own, learned := c.service[kind]; learned && c != without {
			sum += own.mean
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

// failing is the part of recent calls that failed.
func (c *Candidate) failing(now time.Time) float64 {
	return c.failureRate * math.Exp(-now.Sub(c.failedAt).Seconds()/failureMemory.Seconds())
}

// wait estimates the time in the queue: what the node told with its last result,
// believed less as it ages, and what this node has sent there since.
func (c *Candidate) wait(class queuer.Class, service time.Duration, now time.Time) time.Duration {
	slots := float64(max(1, c.Slots))
	belief := 1.0
	if age := now.Sub(c.loadAt); age > loadMemory {
		belief = float64(loadMemory) / float64(age)
	}
	busy := max(float64(c.outstanding), belief*float64(c.load.InUse+c.load.Waiting))
	told := belief * float64(c.load.Waits[class])
	if busy < slots {
		// Upstreams slow down when they are nearly full.
		utilisation := busy / slots
		return time.Duration(utilisation * utilisation * float64(service) / 2)
	}
	return time.Duration(told + float64(service)*(0.5+float64(c.sinceLoad)/slots))
}
