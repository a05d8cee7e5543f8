package balancer

import (
	"math"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/queuer"
)

// utility is the expected benefit of running a call at a candidate: the fraction of calls
// answered, those after the objective weighted less, minus the cost of the bytes sent between
// zones and minus the penalties. The utility of a penalised candidate is at most 0.
func (b *Balancer) utility(c *Candidate, info PickInfo, expected time.Duration, now time.Time) float64 {
	deviation, known := b.deviation[info.Kind]
	if !known {
		deviation = defaultDeviation
	}
	inTime := probabilityWithin(expected, info.Objective, deviation)
	served := probabilityWithin(expected, info.Remaining, deviation)
	utility := (1 - c.currentFailureRate(now)) * (lateUtility*served + (1-lateUtility)*inTime)
	if c.Zone != b.zone {
		utility -= b.transferCost(info)
	}
	if c.Draining || c.load.Draining {
		utility -= penaltyDraining
	}
	if now.Before(c.ejectedUntil) {
		utility -= penaltyEjected
	}
	if c.full(info.Class, now) {
		utility -= penaltyFull
	}
	return utility
}

// full reports whether the candidate recently shed a call of the class or of a more
// urgent one.
func (c *Candidate) full(class queuer.Class, now time.Time) bool {
	for _, until := range c.fullUntil[:class+1] {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// transferCost is the utility that the bytes of a call between zones cost.
func (b *Balancer) transferCost(info PickInfo) float64 {
	kilobytes := (envelopeBytes + b.meanBytes[info.Kind]) / 1000
	if info.Rank == 0 {
		return kilobytes * costPerKilobyteUrgent
	}
	return kilobytes * costPerKilobyte
}

// probabilityWithin returns the probability that a call with the expected duration ends
// within the time left, by a logistic distribution. The deviation is a fraction of the
// expected duration.
func probabilityWithin(expected, left time.Duration, deviation float64) float64 {
	scale := deviationScale * deviation * float64(max(expected, time.Millisecond))
	return 1 / (1 + math.Exp(float64(expected-left)/scale))
}

// expectedTime is the expected duration of a call at a candidate: service time, time in
// the queue and the round trip to another zone.
func (b *Balancer) expectedTime(c *Candidate, info PickInfo, now time.Time) time.Duration {
	service := b.serviceTime(c, info.Kind, now)
	if now.UnixMilli() < c.ColdUntil {
		service *= coldStartFactor
	}
	// The queue empties while the body is on its way.
	expected := service + max(c.queueWait(info.Class, service, now), b.transferTime(c, info.Kind, now))
	if c.Zone != b.zone {
		expected += crossZoneRTT
	}
	return expected
}

// serviceTime is the mean service time at a candidate. Without samples it is that of the
// service's other upstreams; if the last sample is older than sampleTTL, it is the lower of
// the two.
func (b *Balancer) serviceTime(c *Candidate, kind string, now time.Time) time.Duration {
	own, known := c.serviceTimes[kind]
	if known && now.Sub(own.sampledAt) < sampleTTL {
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
		return defaultServiceTime
	}
}

// ownServiceTime is the mean service time at a candidate, or without samples the estimate of
// serviceTime.
func (b *Balancer) ownServiceTime(c *Candidate, kind string, now time.Time) time.Duration {
	if own, known := c.serviceTimes[kind]; known {
		return own.mean
	}
	return b.serviceTime(c, kind, now)
}

// mean returns the mean service time of a kind of call over all candidates but one, each
// with the same weight. It is zero if there are no samples.
func mean(candidates []*Candidate, kind string, except *Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, c := range candidates {
		if own, sampled := c.serviceTimes[kind]; sampled && c != except {
			sum += own.mean
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

// currentFailureRate is the fraction of recent calls that failed, decayed to now.
func (c *Candidate) currentFailureRate(now time.Time) float64 {
	return c.failureRate * math.Exp(-now.Sub(c.failureRateAt).Seconds()/failureDecayTime.Seconds())
}

// queueWait estimates the time in the candidate's queue from the load received last, weighted
// less as it ages, and the calls that this node has sent there since.
func (c *Candidate) queueWait(class queuer.Class, service time.Duration, now time.Time) time.Duration {
	slots := float64(max(1, c.Slots))
	weight := 1.0
	if age := now.Sub(c.loadAt); age > loadFreshTime {
		weight = float64(loadFreshTime) / float64(age)
	}
	busy := max(float64(c.unanswered(now)), weight*float64(c.load.InUse+c.load.Waiting))
	received := weight * float64(c.load.Waits[class])
	if busy < slots {
		// Upstreams slow down when nearly all of their slots are in use. One that limits the
		// rate of calls may have a wait although slots are free.
		utilisation := busy / slots
		return time.Duration(max(received, utilisation*utilisation*float64(service)/2))
	}
	// All slots are in use: a call also waits for half a service time until the next one is
	// free, and for the calls sent since the load was received.
	return time.Duration(received + float64(service)*(0.5+float64(c.sentSinceLoad)/slots))
}
