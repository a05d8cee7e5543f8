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

// queue adds news to be passed on. The lock is held.
func (g *Gossiper) queue(entries []merger.Entry, documents []merger.Document, from string) {
	if !g.news.Add(entries, documents, from) {
		return
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// push is a message with its receiver.
type push struct {
	to      messenger.Target
	request messenger.PushRequest
}

// pushes lists whom to tell what of a batch: the fingers everything, and, if this
// node is a bridge, the first bridge of each other zone the entries. Documents
// reach other zones from the platform, or by the bridges' exchanges where the
// platform does not answer; pushed as well, they would cross each boundary many
// times. The peer that the news came from is left out. The lock is held.
func (g *Gossiper) pushes(news batcher.News) []push {
	if news.Empty() {
		return nil
	}
	whole := messenger.PushRequest{From: g.self.ID, Entries: news.Entries, Stamps: news.Stamps}
	members := g.table.Alive(g.self.Zone)
	var list []push
	for _, peer := range merger.Fingers(members, g.self.ID) {
		if peer.ID != news.From {
			list = append(list, push{g.TargetOf(peer), whole})
		}
	}
	if len(news.Entries) == 0 || !contains(merger.Bridges(members, BridgeCount), g.self.ID) {
		return list
	}
	for _, peer := range merger.FirstBridges(g.table.Alive(""), g.self.Zone) {
		if peer.ID != news.From {
			list = append(list, push{g.TargetOf(peer), messenger.PushRequest{From: g.self.ID, Entries: news.Entries}})
		}
	}
	return list
}

// spread passes news on in batches. Peers are served in parallel, so a slow one
// does not delay the others.
func (g *Gossiper) spread(ctx context.Context) {
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
		pushes := g.pushes(g.news.Take())
		g.mu.Unlock()
		go g.pushAll(ctx, pushes)
	}
}

// pushAll sends all messages at once and waits for them. A message that is lost
// is made up for by the next exchange.
func (g *Gossiper) pushAll(ctx context.Context, pushes []push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range pushes {
		group.Go(func() {
			_, err := messenger.Call[messenger.PushRequest, messenger.Empty](
				ctx, g.messenger, p.to, messenger.PushMethod, p.request)
			if err != nil {
				g.log.WithError(err).Debug("news was not delivered")
			}
		})
	}
	group.Wait()
}

// receiver holds the methods that peers call.
type receiver struct{ g *Gossiper }

// Exchange compares views.
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

// Sync reconciles the parts that differ.
func (r *receiver) Sync(request messenger.SyncRequest, reply *messenger.SyncReply) error {
	r.g.merge(request.Entries, request.Documents, request.From)
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	reply.From = r.g.self.ID
	reply.Entries = r.g.table.InBuckets(request.Numbers)
	reply.Documents = r.g.table.NewerThan(request.Stamps)
	return nil
}

// Push takes in news.
func (r *receiver) Push(request messenger.PushRequest, _ *messenger.Empty) error {
	r.g.merge(request.Entries, nil, request.From)
	r.g.pull(request)
	return nil
}

// pull asks the sender of news for the documents that this node lacks. While one
// pull is under way, further senders of the same news are not asked.
func (g *Gossiper) pull(request messenger.PushRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer, known := g.table.Get(request.From)
	if !known || !g.table.IsBehind(request.Stamps) || g.pulling == merger.DigestStamps(request.Stamps) {
		return
	}
	pulling := merger.DigestStamps(request.Stamps)
	g.pulling = pulling
	sync := messenger.SyncRequest{From: g.self.ID, Stamps: g.table.Stamps()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		g.sync(ctx, g.TargetOf(peer), sync)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pulling == pulling {
			g.pulling = 0
		}
	}()
}

// Probe exchanges with another member on behalf of the caller.
func (r *receiver) Probe(request messenger.ProbeRequest, reply *messenger.ProbeReply) error {
	to := r.g.TargetOf(merger.Entry{ControlAddress: request.Address, Zone: request.Zone})
	reply.Answered = r.g.exchange(context.Background(), to, prober.Timeout)
	return nil
}
