package balancer

import (
	"slices"
	"time"
)

// VersionFilter restricts the upstreams of a call by version.
type VersionFilter struct {
	// Version is the version that the upstream must have; empty allows any.
	Version string
	// Exact excludes upstreams of unknown version, which nodes of an earlier release have.
	Exact bool
	// Nodes restricts the upstreams to those beside the named nodes; nil does not.
	Nodes []string
}

// allows reports whether a member passes the filter.
func (f VersionFilter) allows(m Member) bool {
	switch {
	case f.Version == "":
		return true
	case m.Version == "":
		return !f.Exact
	case m.Version != f.Version:
		return false
	}
	return f.Nodes == nil || slices.Contains(f.Nodes, m.Node)
}

// learnVersion takes over the version of a record that is as new as the known one and came by a
// message that has the version, and reports whether it did.
func (b *Balancer) learnVersion(c *Candidate, m Member) bool {
	if c.Version != "" || m.Version == "" || c.Newer(m) {
		return false
	}
	c.Version = m.Version
	b.rebuildEstablished()
	return true
}

// rebuildEstablished finds the established version of each service: that of the upstream that
// started first. Every node that knows the same members finds the same one, whatever it knows of
// rollouts. Draining upstreams count only if all others of the service drain too, or have no
// version.
func (b *Balancer) rebuildEstablished() {
	clear(b.established)
	for service, candidates := range b.services {
		var first *Candidate
		for _, c := range candidates {
			if c.Version != "" && (first == nil || startedBefore(c.Member, first.Member)) {
				first = c
			}
		}
		if first != nil {
			b.established[service] = first.Version
		}
	}
}

// startedBefore reports whether the upstream of m comes before that of other in the order that
// determines the established version. Upstreams whose start is unknown come last.
func startedBefore(m, other Member) bool {
	if m.Draining != other.Draining {
		return other.Draining
	}
	if (m.Born == 0) != (other.Born == 0) {
		return m.Born != 0
	}
	if m.Born != other.Born {
		return m.Born < other.Born
	}
	return m.Instance < other.Instance
}

// EstablishedVersion returns the version that calls of a service go to unless a rollout says
// otherwise; empty if no version is known.
func (b *Balancer) EstablishedVersion(service string) string { return b.established[service] }

// Responsive reports whether an upstream that Pick could choose is not ejected.
func (b *Balancer) Responsive(info PickInfo, now time.Time) bool {
	for _, c := range b.services[info.Service] {
		if info.Versions.allows(c.Member) && !slices.Contains(info.Tried, c.Node) && !now.Before(c.ejectedUntil) {
			return true
		}
	}
	return false
}

// Knows reports whether an upstream of a version of a service is known that does not drain, or any at
// all if draining ones count too.
func (b *Balancer) Knows(service, version string, draining bool) bool {
	for _, c := range b.services[service] {
		if c.Version == version && (draining || !c.Draining) {
			return true
		}
	}
	return false
}
