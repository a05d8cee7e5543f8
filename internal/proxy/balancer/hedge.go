package balancer

import (
	"net"
	"slices"
	"time"
)

// slowZoneFactor is how many times as long calls of a kind take in a zone, compared with the other
// zones, for it to count as slow. Below it the bytes between zones cost more than the time saved.
const slowZoneFactor = 1.5

// ForHedge returns the call with further nodes excluded, so that Pick returns an upstream that may
// get a hedge: not on the VM of one that has been sent the call, not full, ejected or draining, in
// another zone if calls of the kind are slow in the own one, and not where the answer costs more than it
// is worth, as a large one from another zone does.
func (b *Balancer) ForHedge(info PickInfo, now time.Time) PickInfo {
	hosts := make([]string, 0, len(info.Tried))
	for _, node := range info.Tried {
		if c := b.members[node]; c != nil {
			if host := hostOf(c.Address); host != "" {
				hosts = append(hosts, host)
			}
		}
	}
	slow := b.isSlowZone(info, now)
	excluded := slices.Clip(info.Tried)
	for _, c := range b.services[info.Service] {
		// The penalties make the utility of a full, ejected or draining upstream 0 at most.
		useful := b.utility(c, info, b.expectedTime(c, info, now), now) > 0
		if (slow && c.Zone == b.zone) || !useful || slices.Contains(hosts, hostOf(c.Address)) {
			excluded = append(excluded, c.Node)
		}
	}
	info.Tried = excluded
	return info
}

// takesHedges reports whether the candidate's state lets it take a hedge.
func (c *Candidate) takesHedges(info PickInfo, now time.Time) bool {
	return !c.Draining && !c.load.Draining && !now.Before(c.ejectedUntil) && !c.full(info.Class, now)
}

// hostOf returns the host of an address. An address without one is returned whole, if any.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// isSlowZone reports whether calls of the kind take longer in the own zone than in the others, by
// the upstreams that may get a hedge.
func (b *Balancer) isSlowZone(info PickInfo, now time.Time) bool {
	var own, other time.Duration
	for _, c := range b.services[info.Service] {
		if _, sampled := c.serviceTimes[info.Kind]; !sampled || !c.takesHedges(info, now) {
			continue
		}
		expected := b.expectedTime(c, info, now)
		if c.Zone == b.zone {
			own = shorter(own, expected)
		} else {
			other = shorter(other, expected)
		}
	}
	return own > 0 && other > 0 && float64(own) > slowZoneFactor*float64(other)
}

// shorter returns the shorter of two durations, of which the first is 0 if there is none yet.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// Utilisation returns how many thousandths of the slots of a service are in use or waited for, by
// the loads received last and the calls that this node has in flight. A load loses weight with its
// age. Upstreams that take no calls are left out; without any, the service is fully used.
func (b *Balancer) Utilisation(service string, now time.Time) int {
	busy, slots := 0, 0
	for _, c := range b.services[service] {
		if c.Draining || c.load.Draining || now.Before(c.ejectedUntil) {
			continue
		}
		used := int64(c.load.InUse + c.load.Waiting)
		if age := now.Sub(c.loadAt); age > loadFreshTime {
			used = used * int64(loadFreshTime) / int64(age)
		}
		busy += max(c.inFlight, int(used))
		slots += c.Slots
	}
	if slots == 0 {
		return fullUtilisation
	}
	return fullUtilisation * busy / slots
}

// fullUtilisation is the utilisation of a service all of whose slots are in use, in thousandths.
const fullUtilisation = 1000

// unanswered returns the number of attempts in flight, and of those that were overtaken since the last
// answer. Their slots are free, but an upstream that hangs would otherwise seem idle and attract the
// calls that can't be hedged.
func (c *Candidate) unanswered(now time.Time) int {
	if now.Sub(c.overtakenAt) >= sampleTTL {
		return c.inFlight
	}
	return c.inFlight + c.overtaken
}
