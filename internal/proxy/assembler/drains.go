package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

const (
	// drainReplicas is how many other nodes get the record of a drain before the
	// drain is acknowledged. A restarted process queries the same number of nodes.
	drainReplicas = 3
	// drainReplicaTimeout bounds the calls to these nodes, all together.
	drainReplicaTimeout = 150 * time.Millisecond
	// drainEntryTimeout bounds how long an acknowledgement waits until the entry in the store
	// has the drain. All these waits together stay below the second within which a heartbeat
	// has to be acknowledged.
	drainEntryTimeout = 300 * time.Millisecond
	// discoveryWait bounds how long the first heartbeats wait for the node to discover the
	// others and to read its former process's entry.
	discoveryWait = 350 * time.Millisecond
	// maxPeerDrains bounds the records of drains of other VMs.
	maxPeerDrains = 4096
)

// DrainingSince implements forwarder.Node.
func (p *Proxy) DrainingSince(instance string, born int64) int64 {
	return p.peerDrains.Start(tracker.Incarnation{Instance: instance, Born: born})
}

// RecordDrain implements finder.Directory.
func (p *Proxy) RecordDrain(d recorder.Drain) { p.peerDrains.Record(d, time.Now()) }

// Drains implements finder.Directory.
func (p *Proxy) Drains() []recorder.Drain {
	if u := p.executor.Upstream(); u.State == tracker.Draining {
		p.recordOwnDrain(u.Incarnation(), u.DrainingSince)
	}
	return p.ownDrains.Drains()
}

// recordOwnDrain records the drain of an incarnation on this VM and returns the record.
func (p *Proxy) recordOwnDrain(incarnation tracker.Incarnation, since time.Time) recorder.Drain {
	d := recorder.Drain{Instance: incarnation.Instance, Born: incarnation.Born, Start: since.UnixMilli()}
	p.ownDrains.Record(d, time.Now())
	d.Start = p.ownDrains.Start(incarnation)
	return d
}

// RecoverDrains implements finder.Directory.
func (p *Proxy) RecoverDrains(drains []recorder.Drain) {
	for _, d := range drains {
		p.recoverDrain(d)
	}
}

// awaitDiscovery waits until a step of the discovery is done, discoveryWait at most.
func (p *Proxy) awaitDiscovery(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(discoveryWait):
	}
}

// findFormerDrain looks for a drain of the upstream that the former process of this node
// acknowledged, in that process's entry in the store and at other nodes, and applies it.
func (p *Proxy) findFormerDrain(incarnation tracker.Incarnation) {
	p.awaitDiscovery(p.finder.FormerRead())
	if p.ownDrains.Start(incarnation) != 0 {
		return
	}
	args := forwarder.DrainStartArgs{Instance: incarnation.Instance, Born: incarnation.Born}
	starts := []int64{p.peerDrains.Start(incarnation)}
	replies, complete := callDrainReplicas(p, func(ctx context.Context, address string) (int64, error) {
		return p.forwarder.QueryDrainStart(ctx, address, args)
	})
	p.drainQueried.Store(p.drainQueried.Load() || (complete && len(replies) > 0))
	for _, start := range append(starts, replies...) {
		if start != 0 {
			p.recoverDrain(recorder.Drain{Instance: incarnation.Instance, Born: incarnation.Born, Start: start})
			return
		}
	}
}

// recoverDrain applies a drain that a former process acknowledged. Its drain time counts as over:
// the clock may have been set back since, so that the recorded start does not tell how much is left.
func (p *Proxy) recoverDrain(d recorder.Drain) {
	now := time.Now()
	since := now.Add(-p.bounds.DrainTime.Std())
	if start := time.UnixMilli(d.Start); d.Born == 0 && start.Before(since) {
		// Incarnations that have started since then do not drain.
		since = start
	}
	p.ownDrains.Record(d, now)
	p.telemetry.DrainRecovered(d)
	p.executor.MarkDraining(d.Incarnation(), since, now)
}

// keepDrain makes the drain of an incarnation of this node's upstream outlive the process: it sends
// the drain to other nodes, and waits until the entry in the store holds it too, which outlives the
// loss of all nodes. The error is a *recorder.NotKeptError if none of them has it; the drain must not
// be acknowledged then.
func (p *Proxy) keepDrain(incarnation tracker.Incarnation) error {
	drain := p.recordOwnDrain(incarnation, time.Now())
	if p.ownDrains.Kept(incarnation) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainEntryTimeout)
	defer cancel()
	p.finder.AnnounceNow()
	replicas := p.replicateDrain(drain)
	stored := p.finder.AwaitDrain(ctx, drain)
	p.telemetry.DrainRecorded(drain, replicas, stored)
	if replicas == 0 && !stored {
		return &recorder.NotKeptError{Drain: drain}
	}
	p.ownDrains.MarkKept(incarnation)
	return nil
}

// replicateDrain sends a drain to other nodes and returns how many have recorded it.
func (p *Proxy) replicateDrain(drain recorder.Drain) int {
	record := p.drainingMember(drain)
	replies, _ := callDrainReplicas(p, func(ctx context.Context, address string) (balancer.Member, error) {
		return p.messenger.Announce(ctx, address, record)
	})
	// A reply of this node itself is no replica.
	return len(slices.DeleteFunc(replies, func(m balancer.Member) bool { return m.Node == record.Node }))
}

// drainingMember returns a member record that tells other nodes of a drain. For an incarnation that is
// not the current one, this is a record without a service and of the lowest sequence, which other
// nodes do not use in place of the node's actual record.
func (p *Proxy) drainingMember(d recorder.Drain) balancer.Member {
	m := p.Self()
	if m.DrainStart != 0 && m.Instance == d.Instance && m.Born == d.Born {
		return m
	}
	m.Sequence, m.Service, m.Slots, m.Draining = 0, "", 0, true
	m.Instance, m.Born, m.DrainStart = d.Instance, d.Born, d.Start
	return m
}

// callDrainReplicas calls up to drainReplicas other nodes in parallel. It returns the replies that
// arrive within drainReplicaTimeout, and whether all of them did.
func callDrainReplicas[T any](p *Proxy, call func(ctx context.Context, address string) (T, error)) ([]T, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), drainReplicaTimeout)
	defer cancel()
	peers := p.peers()
	peers = peers[:min(len(peers), drainReplicas)]
	replies := make(chan *T, len(peers))
	for _, address := range peers {
		go func() {
			reply, err := call(ctx, address)
			if err != nil {
				// An unreachable node counts as one without a record.
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	var received []T
	for range peers {
		if reply := <-replies; reply != nil {
			received = append(received, *reply)
		}
	}
	return received, len(received) == len(peers)
}
