package assembler

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/finder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/subscriber"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// Self returns this node's current member record.
func (p *Proxy) Self() balancer.Member {
	s := p.settings.Load()
	u := p.executor.Upstream()
	m := balancer.Member{
		Node: s.Node.ID, Start: p.incarnation, Sequence: p.sequence.Load(), Address: s.PeerAddress(),
		Zone: s.Node.AvailabilityZone, LinkRate: s.Node.LinkRate, Stopping: p.draining.Load(), Draining: p.draining.Load() || u.State == tracker.Draining,
	}
	if u.State != tracker.Absent {
		m.Service, m.Instance, m.Born, m.Slots = u.Service, u.Instance, u.Born, u.Slots
	}
	if p.rollouts != nil && u.State != tracker.Absent {
		m.Version = u.Version[:min(len(u.Version), balancer.MaxVersionBytes)]
	}
	if u.State == tracker.Draining {
		m.DrainStart = u.DrainingSince.UnixMilli()
	}
	if u.State != tracker.Absent && u.ColdLeft > 0 {
		m.ColdUntil = u.ColdUntil.UnixMilli()
	}
	return m
}

// UpdateMember updates the record of a member and reports whether it changed. The records
// of this node's former processes and of a former node at its address are not stored. If the
// record has a drain start, that is always kept in the drain records, so that the member's next
// process can query it.
func (p *Proxy) UpdateMember(m balancer.Member) bool {
	updated := false
	s := p.settings.Load()
	if own := m.Node == s.Node.ID; (own && m.Start == p.incarnation) || (!own && m.Address != s.PeerAddress()) {
		p.dispatcher.WithBalancer(func(b *balancer.Balancer) { updated = b.Update(m) })
	}
	if m.DrainStart != 0 {
		p.RecordDrain(recorder.Drain{Instance: m.Instance, Born: m.Born, Start: m.DrainStart})
	}
	return updated
}

// Members returns the records of all members, including this node.
func (p *Proxy) Members() []balancer.Member {
	var members []balancer.Member
	p.dispatcher.WithBalancer(func(b *balancer.Balancer) { members = b.Members() })
	return members
}

// Forget removes a member and closes the connection to it, unless its known record is newer
// than m. It reports whether it did.
func (p *Proxy) Forget(m balancer.Member) bool {
	removed := false
	p.dispatcher.WithBalancer(func(b *balancer.Balancer) { removed = b.Remove(m) })
	if removed {
		p.forwarder.Forget(m.Address)
	}
	return removed
}

// publishSelf publishes a new version of this node's member record.
func (p *Proxy) publishSelf() {
	p.sequence.Add(1)
	p.UpdateMember(p.Self())
	p.finder.AnnounceNow()
}

// ExchangeMember implements forwarder.Node.
func (p *Proxy) ExchangeMember(m balancer.Member) balancer.Member {
	self := p.Self()
	if err := m.Validate(time.Now()); err != nil {
		p.telemetry.EntryUnusable(m.Node, finder.SourcePeer, err)
		return self
	}
	if m.Node != self.Node && p.UpdateMember(m) {
		p.telemetry.MemberFound(m, finder.SourcePeer)
	}
	p.finder.Acknowledged(m, self)
	return self
}

// NextConfiguration implements forwarder.Node.
func (p *Proxy) NextConfiguration(ctx context.Context, have int64) forwarder.ConfigurationReply {
	return p.subscriber.Next(ctx, have)
}

// Version implements forwarder.Node.
func (p *Proxy) Version() int64 { return p.subscriber.Version() }

// Load implements forwarder.Node.
func (p *Proxy) Load() balancer.Load {
	load := p.executor.Load(time.Now())
	load.Draining = load.Draining || p.draining.Load()
	return load
}

// peers returns the addresses of the other nodes, those of this node's availability
// zone first. While no other node is known, it returns the seed addresses.
func (p *Proxy) peers() []string {
	self := p.settings.Load().Node
	members := p.Members()
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i], members[j]
		if sameZone := a.Zone == self.AvailabilityZone; sameZone != (b.Zone == self.AvailabilityZone) {
			return sameZone
		}
		return a.Node < b.Node
	})
	var addresses []string
	for _, m := range members {
		if m.Node != self.ID {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		return p.settings.Load().SeedAddresses()
	}
	return addresses
}

// remotePeers returns the addresses of the nodes of other availability zones, or of all
// other nodes if there is only this zone.
func (p *Proxy) remotePeers() []string {
	self := p.settings.Load().Node
	var remote, local []string
	for _, m := range p.Members() {
		switch {
		case m.Zone != self.AvailabilityZone:
			remote = append(remote, m.Address)
		case m.Node != self.ID:
			local = append(local, m.Address)
		}
	}
	if len(remote) == 0 {
		return local
	}
	return remote
}

// relays returns the nodes of this availability zone that are not stopping. Those with
// the highest link rate come first, since relays send each version to the whole zone.
func (p *Proxy) relays() []subscriber.Relay {
	zone := p.settings.Load().Node.AvailabilityZone
	var candidates []balancer.Member
	for _, m := range p.Members() {
		if m.Zone == zone && !m.Stopping {
			candidates = append(candidates, m)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].LinkRate != candidates[j].LinkRate {
			return candidates[i].LinkRate > candidates[j].LinkRate
		}
		return candidates[i].Node < candidates[j].Node
	})
	relays := make([]subscriber.Relay, 0, len(candidates))
	for _, m := range candidates {
		relays = append(relays, subscriber.Relay{Address: m.Address, Start: m.Start})
	}
	return relays
}

// Heartbeat implements platform.UpstreamListener. It returns an error if the heartbeat
// names neither the configured address nor that of the running upstream, a start far in the future
// or a service that the configuration lacks, and a *recorder.NotKeptError if it states a drain that
// would not outlive the process.
func (p *Proxy) Heartbeat(r tracker.Heartbeat) error {
	if s := p.settings.Load(); r.Address != s.Upstream.Address && r.Address != p.executor.Upstream().Address {
		return errors.Newf("heartbeat of instance %q: address %s is not the configured upstream address %s",
			r.Instance, r.Address, s.Upstream.Address)
	}
	if latest := time.Now().Add(balancer.MaxClockOffset).UnixMilli(); r.Born > latest {
		return errors.Newf("heartbeat of instance %q: start %d is in the future", r.Instance, r.Born)
	}
	if t := p.subscriber.Table(); t != nil {
		if _, known := t.Service(r.Service); !known {
			return errors.Newf("heartbeat of instance %q: service %q is unknown in configuration version %d", r.Instance, r.Service, t.Version)
		}
	}
	if !p.drainQueried.Load() || p.executor.Upstream().State == tracker.Absent {
		p.findFormerDrain(tracker.Incarnation{Instance: r.Instance, Born: r.Born})
	}
	verdict := p.executor.Heartbeat(r, time.Now())
	p.telemetry.Upstream(p.executor.Upstream(), verdict)
	p.knownOnce.Do(func() { close(p.known) })
	if r.Draining {
		return p.keepDrain(r.Incarnation())
	}
	return nil
}

// Deregister implements platform.UpstreamListener. The instance need not be the current one: a
// heartbeat of it may still be under way. The error is a *recorder.NotKeptError if the drain would
// not outlive the process.
func (p *Proxy) Deregister(instance string, born int64) error {
	incarnation, verdict := p.executor.Deregister(instance, born, time.Now())
	p.telemetry.Upstream(p.executor.Upstream(), verdict)
	p.knownOnce.Do(func() { close(p.known) })
	p.awaitDiscovery(p.finder.Discovered())
	return p.keepDrain(incarnation)
}

// Rejected implements platform.UpstreamListener.
func (p *Proxy) Rejected(err error) { p.telemetry.HeartbeatRejected(err) }
