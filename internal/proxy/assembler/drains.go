package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
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
	// others.
	discoveryWait = 500 * time.Millisecond
	// drainRecordTTL is how long the record of a drain is kept for other nodes after it was
	// received last.
	drainRecordTTL = time.Minute
)

// drainRecords holds when upstreams began to drain or were deregistered. A restarted node
// has lost what its former process acknowledged, and a heartbeat sent before the drain,
// which may still arrive, would make the upstream take calls again. The other nodes
// therefore keep the records for it.
type drainRecords struct {
	mu    sync.Mutex
	known map[tracker.Incarnation]drainRecord
}

// drainRecord is the start of a drain, in Unix milliseconds by the clock of the draining node,
// and when it was received last, by this node's.
type drainRecord struct {
	since      int64
	receivedAt time.Time
}

func newDrainRecords() *drainRecords {
	return &drainRecords{known: map[tracker.Incarnation]drainRecord{}}
}

// record stores since when an upstream drains, in Unix milliseconds. The first value
// recorded for an incarnation is kept. Records older than drainRecordTTL are dropped.
func (d *drainRecords) record(incarnation tracker.Incarnation, since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for other, r := range d.known {
		if now.Sub(r.receivedAt) > drainRecordTTL {
			delete(d.known, other)
		}
	}
	if r, known := d.known[incarnation]; known {
		since = r.since
	}
	d.known[incarnation] = drainRecord{since: since, receivedAt: now}
}

// lookup returns since when an upstream drains, in Unix milliseconds; 0 if there is no
// record.
func (d *drainRecords) lookup(incarnation tracker.Incarnation) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[incarnation].since
}

// DrainingSince implements forwarder.Node.
func (p *Proxy) DrainingSince(instance string, born int64) int64 {
	return p.drainRecords.lookup(tracker.Incarnation{Instance: instance, Born: born})
}

// recoverDrain looks for a drain of the upstream that the former process of this node
// acknowledged, in that process's entry in the store and at other nodes, and applies it.
func (p *Proxy) recoverDrain(incarnation tracker.Incarnation) {
	select {
	case <-p.finder.Discovered():
	case <-time.After(discoveryWait):
	}
	if p.drainRecords.lookup(incarnation) != 0 {
		p.applyFormerDrain(incarnation)
		return
	}
	args := forwarder.DrainStartArgs{Instance: incarnation.Instance, Born: incarnation.Born}
	replies := callDrainReplicas(p, func(ctx context.Context, address string) (int64, error) {
		return p.forwarder.QueryDrainStart(ctx, address, args)
	})
	p.drainQueried.Store(p.drainQueried.Load() || len(replies) > 0)
	for _, since := range replies {
		if since != 0 {
			p.applyFormerDrain(incarnation)
			return
		}
	}
}

// applyFormerDrain marks an incarnation as draining. Its drain time counts as over: the clock
// may have been set back since, so that the recorded start does not tell how much is left.
func (p *Proxy) applyFormerDrain(incarnation tracker.Incarnation) {
	now := time.Now()
	p.executor.MarkDraining(incarnation, now.Add(-p.bounds.DrainTime.Std()), now)
}

// replicateDrain sends this node's member record, which holds the drain of its upstream,
// to other nodes, and waits until the entry in the store holds it too, which outlives the loss
// of all nodes. The drain is acknowledged to the upstream afterwards, even if none of them
// replied.
func (p *Proxy) replicateDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainEntryTimeout)
	defer cancel()
	self := p.Self()
	callDrainReplicas(p, func(ctx context.Context, address string) (struct{}, error) {
		_, err := p.forwarder.Announce(ctx, address, self)
		return struct{}{}, err
	})
	p.finder.AwaitDrain(ctx, self.DrainStart)
}

// callDrainReplicas calls up to drainReplicas other nodes in parallel and returns the
// replies that arrive within drainReplicaTimeout.
func callDrainReplicas[T any](p *Proxy, call func(ctx context.Context, address string) (T, error)) []T {
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
	return received
}
