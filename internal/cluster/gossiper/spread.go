package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/cluster/batcher"
	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/prober"
)

// enqueue adds updates to the next push and wakes pushLoop. The lock must be held.
func (g *Gossiper) enqueue(entries []merger.Entry, documents []merger.Document, from string) {
	if !g.pending.Add(entries, documents, from) {
		return
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// push is a push request with its target.
type push struct {
	to      messenger.Target
	request messenger.PushRequest
}

// pushes returns the push requests for a batch. The fingers receive everything. If
// this node is a bridge, the first bridge of each other zone receives the entries.
// Documents reach other zones from the platform, or by the bridges' exchanges if the
// platform is unreachable; pushing them as well would send them across each zone
// boundary many times. The peer that sent the updates is left out. The lock must be
// held.
func (g *Gossiper) pushes(updates batcher.Updates) []push {
	if updates.Empty() {
		return nil
	}
	full := messenger.PushRequest{From: g.self.ID, Entries: updates.Entries, Stamps: updates.Stamps}
	members := g.table.Alive(g.self.Zone)
	var list []push
	for _, peer := range merger.Fingers(members, g.self.ID) {
		if peer.ID != updates.From {
			list = append(list, push{g.TargetOf(peer), full})
		}
	}
	if len(updates.Entries) == 0 || !containsID(merger.Bridges(members, BridgeCount), g.self.ID) {
		return list
	}
	for _, peer := range merger.FirstBridges(g.table.Alive(""), g.self.Zone) {
		if peer.ID != updates.From {
			list = append(list, push{g.TargetOf(peer), messenger.PushRequest{From: g.self.ID, Entries: updates.Entries}})
		}
	}
	return list
}

// pushLoop pushes updates in batches until the context ends. Batches and peers are
// handled in parallel, so that a slow peer does not delay the others.
func (g *Gossiper) pushLoop(ctx context.Context) {
	defer g.group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		g.mu.Lock()
		pushes := g.pushes(g.pending.Take())
		g.mu.Unlock()
		go g.pushAll(ctx, pushes)
	}
}

// pushAll sends all requests in parallel and waits for their replies. Failed pushes
// are not retried, since the next exchange reconciles what was lost.
func (g *Gossiper) pushAll(ctx context.Context, pushes []push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range pushes {
		group.Go(func() {
			_, err := messenger.Call[messenger.PushRequest, messenger.Empty](
				ctx, g.messenger, p.to, messenger.PushMethod, p.request)
			if err != nil {
				g.log.WithError(err).Debug("could not push updates to a peer")
			}
		})
	}
	group.Wait()
}

// receiver is the RPC receiver whose methods peers call.
type receiver struct{ g *Gossiper }

// Exchange compares the caller's view with that of this node.
func (r *receiver) Exchange(request messenger.ExchangeRequest, reply *messenger.ExchangeReply) error {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.table.Digest() != request.Digest {
		reply.Differs, reply.Buckets = true, r.g.table.Buckets()
	}
	if stamps := r.g.table.Stamps(); merger.DigestStamps(stamps) != request.Stamps {
		reply.Differs, reply.Stamps = true, stamps
	}
	return nil
}

// Sync merges the caller's entries and documents, and replies with the entries of the
// requested buckets and with newer documents.
func (r *receiver) Sync(request messenger.SyncRequest, reply *messenger.SyncReply) error {
	r.g.merge(request.Entries, request.Documents, request.From)
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	reply.From = r.g.self.ID
	reply.Entries = r.g.table.InBuckets(request.Numbers)
	reply.Documents = r.g.table.NewerThan(request.Stamps)
	return nil
}

// Push merges updates from the caller and pulls the documents that this node lacks.
func (r *receiver) Push(request messenger.PushRequest, _ *messenger.Empty) error {
	r.g.merge(request.Entries, nil, request.From)
	r.g.pull(request)
	return nil
}

// pull requests from the sender of a push the documents of which it has a newer revision
// than this node. While a pull is in flight, another push with the same stamps does not
// start a second one.
func (g *Gossiper) pull(request messenger.PushRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer, known := g.table.Get(request.From)
	if !known || !g.table.IsBehind(request.Stamps) || g.pullDigest == merger.DigestStamps(request.Stamps) {
		return
	}
	pullDigest := merger.DigestStamps(request.Stamps)
	g.pullDigest = pullDigest
	sync := messenger.SyncRequest{From: g.self.ID, Stamps: g.table.Stamps()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		g.sync(ctx, g.TargetOf(peer), sync)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pullDigest == pullDigest {
			g.pullDigest = 0
		}
	}()
}

// Probe exchanges views with another member on behalf of the caller and reports whether
// that member replied.
func (r *receiver) Probe(request messenger.ProbeRequest, reply *messenger.ProbeReply) error {
	to := r.g.TargetOf(merger.Entry{ControlAddress: request.Address, Zone: request.Zone})
	reply.Answered = r.g.exchange(context.Background(), to, prober.Timeout)
	return nil
}
