package balancer

import "time"

const (
	// largeBytes is the mean size of the bodies of a kind above which the time on the links counts.
	// Below it that is short compared with the time at the upstream.
	largeBytes = 16 << 10
	// maxLinkWait bounds for how long a candidate counts as having a busy link. Its bodies may be
	// withdrawn sooner.
	maxLinkWait = 500 * time.Millisecond
)

// WithLink sets the name of the balancer's own node and the rate of its link in Mbit/s, 0 if it is
// unknown, and returns the balancer.
func (b *Balancer) WithLink(node string, rate float64) *Balancer {
	b.node, b.linkRate = node, rate
	return b
}

// transferTime is the time that the bodies of a call need on the links between the own node and a
// candidate, and for the bodies that are expected there before. It is 0 for kinds without large
// bodies and at the own node.
func (b *Balancer) transferTime(c *Candidate, kind string, now time.Time) time.Duration {
	bytes := b.meanBytes[kind]
	if bytes <= largeBytes || c.Node == b.node {
		return 0
	}
	wait := max(0, c.linkFreeAt.Sub(now))
	rate := slowerLink(b.linkRate, c.LinkRate)
	if rate == 0 {
		return wait
	}
	return wait + time.Duration(bytes*8/(rate*1e6)*float64(time.Second))
}

// slowerLink returns the lower of two rates, of which 0 is unknown.
func slowerLink(a, b float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}

// recordLinkWait records that the link of the candidate was too busy for a body.
func (c *Candidate) recordLinkWait(wait time.Duration, now time.Time) {
	if wait > 0 {
		c.linkFreeAt = now.Add(min(wait, maxLinkWait))
	}
}
