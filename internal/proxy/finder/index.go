package finder

import (
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// index finds the known members that a record may contradict, in constant time for each record.
type index struct {
	// own is the node's own record. The directory itself rejects what contradicts that.
	own    balancer.Member
	byNode map[string]balancer.Member
	// byAddress and byUpstream hold the name of the node.
	byAddress  map[string]string
	byUpstream map[tracker.Incarnation]string
}

// newIndex returns an index of members.
func newIndex(own balancer.Member, members []balancer.Member) *index {
	x := &index{
		own: own, byNode: make(map[string]balancer.Member, len(members)), byAddress: make(map[string]string, len(members)),
		byUpstream: make(map[tracker.Incarnation]string, len(members)),
	}
	for _, m := range members {
		x.add(m)
	}
	return x
}

// add adds a member, unless a record of it that is as new is there.
func (x *index) add(m balancer.Member) {
	if known, isKnown := x.byNode[m.Node]; isKnown && !m.Newer(known) {
		return
	}
	x.byNode[m.Node] = m
	x.byAddress[m.Address] = m.Node
	if m.Instance != "" {
		x.byUpstream[upstreamOf(m)] = m.Node
	}
}

// upstreamOf returns the incarnation of the upstream in a record.
func upstreamOf(m balancer.Member) tracker.Incarnation {
	return tracker.Incarnation{Instance: m.Instance, Born: m.Born}
}

// contradicts reports whether a record would change or displace a known member, or has the upstream of
// one.
func (x *index) contradicts(m balancer.Member) bool {
	if m.Node == x.own.Node || m.Address == x.own.Address {
		return false
	}
	if known, isKnown := x.byNode[m.Node]; isKnown {
		return m.Newer(known)
	}
	if _, taken := x.byAddress[m.Address]; taken {
		return true
	}
	_, taken := x.byUpstream[upstreamOf(m)]
	return taken
}

// hasUpstream reports whether a record names the upstream that its node is known to have.
func (x *index) hasUpstream(m balancer.Member) bool {
	node, isKnown := x.byUpstream[upstreamOf(m)]
	return isKnown && node == m.Node
}
