package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/messenger"
	"github.com/tamarackscale/tamarackscale/internal/cluster/prober"
)

// probe exchanges views with a member of the node's zone and declares it dead if it is
// unresponsive, in up to prober.FailedRounds rounds.
func (g *Gossiper) probe(ctx context.Context, member merger.Entry) {
	for {
		replied := g.exchange(ctx, g.TargetOf(member), prober.Timeout) || g.probeIndirectly(ctx, member)
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		verdict := g.tracker.RecordRound(member.ID, replied)
		g.mu.Unlock()
		switch verdict {
		case prober.Responsive:
			return
		case prober.Unresponsive:
			g.declareDead(member)
			return
		case prober.Undecided:
		}
	}
}

// declareDead merges an entry that states that the member is dead, and so has it pushed
// to peers.
func (g *Gossiper) declareDead(member merger.Entry) {
	g.log.WithField("member", member.ID).Warn("no reply to direct and indirect probes; declaring the member dead")
	member.Liveness = merger.Dead
	g.merge([]merger.Entry{member}, nil, "")
}

// probeIndirectly asks up to prober.Helpers other members of the zone to probe the
// member, and reports whether it replied to one of them.
func (g *Gossiper) probeIndirectly(ctx context.Context, member merger.Entry) bool {
	var helpers []merger.Entry
	for _, candidate := range g.Members(member.Zone) {
		if candidate.ID != member.ID && candidate.ID != g.config.Self.ID {
			helpers = append(helpers, candidate)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(prober.Helpers, len(helpers))]
	replies := make(chan bool, len(helpers))
	request := messenger.ProbeRequest{Address: member.ControlAddress, Zone: member.Zone}
	for _, helper := range helpers {
		go func() {
			// Twice the timeout, since the helper's own probe must end within this call.
			ctx, cancel := context.WithTimeout(ctx, 2*prober.Timeout)
			defer cancel()
			reply, err := messenger.Call[messenger.ProbeRequest, messenger.ProbeReply](
				ctx, g.messenger, g.TargetOf(helper), messenger.ProbeMethod, request)
			replies <- err == nil && reply.Answered
		}()
	}
	replied := false
	for range helpers {
		replied = <-replies || replied
	}
	return replied
}

// exchange compares views with a peer and reconciles them if they differ. It
// reports whether the peer replied to the comparison.
func (g *Gossiper) exchange(ctx context.Context, to messenger.Target, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.mu.Lock()
	request := messenger.ExchangeRequest{
		From: g.self.ID, Digest: g.table.Digest(), Stamps: merger.DigestStamps(g.table.Stamps()),
	}
	g.mu.Unlock()
	reply, err := messenger.Call[messenger.ExchangeRequest, messenger.ExchangeReply](
		ctx, g.messenger, to, messenger.ExchangeMethod, request)
	if err != nil {
		return false
	}
	if reply.Differs {
		g.reconcile(ctx, to, reply)
	}
	return true
}

// reconcile sends a peer this node's entries of the buckets that differ and its newer
// documents, according to the peer's reply to a comparison. It merges those that the peer
// sends back.
func (g *Gossiper) reconcile(ctx context.Context, to messenger.Target, reply messenger.ExchangeReply) {
	g.mu.Lock()
	request := messenger.SyncRequest{From: g.self.ID, Stamps: g.table.Stamps()}
	if reply.Buckets != nil {
		request.Numbers = g.table.DifferingBuckets(reply.Buckets)
		request.Entries = g.table.InBuckets(request.Numbers)
	}
	if reply.Stamps != nil {
		request.Documents = g.table.NewerThan(reply.Stamps)
	}
	g.mu.Unlock()
	g.sync(ctx, to, request)
}

// sync sends the request to a peer and merges the entries and documents of the reply. It
// reports whether the peer replied.
func (g *Gossiper) sync(ctx context.Context, to messenger.Target, request messenger.SyncRequest) bool {
	reply, err := messenger.Call[messenger.SyncRequest, messenger.SyncReply](
		ctx, g.messenger, to, messenger.SyncMethod, request)
	if err != nil {
		return false
	}
	g.merge(reply.Entries, reply.Documents, reply.From)
	return true
}

// join sends this node's whole view to seeds until one has replied. It retries with
// exponential backoff from 100 ms to 5 s and jitter.
func (g *Gossiper) join(ctx context.Context) {
	defer g.group.Done()
	defer close(g.joined)
	backoff := 100 * time.Millisecond
	for {
		if g.joinOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, 5*time.Second)
	}
}

// joinOnce contacts up to seedsPerJoin seeds in parallel. It reports whether one
// replied or there is no seed other than this node.
func (g *Gossiper) joinOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crossZoneTimeout)
	defer cancel()
	numbers := make([]int, merger.BucketCount)
	for i := range numbers {
		numbers[i] = i
	}
	seeds := slices.Clone(g.config.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:min(seedsPerJoin, len(seeds))]
	replies := make(chan bool, len(seeds))
	for _, seed := range seeds {
		go func() {
			g.mu.Lock()
			request := messenger.SyncRequest{
				From: g.self.ID, Numbers: numbers, Entries: g.table.Entries(), Stamps: g.table.Stamps(),
			}
			g.mu.Unlock()
			replied := g.sync(ctx, messenger.Target{Address: seed, Scope: messenger.Cross}, request)
			// When a whole fleet starts, a seed that kept all these connections would
			// need more memory for them than for everything else.
			g.messenger.Disconnect(seed)
			replies <- replied
		}()
	}
	replied := len(seeds) == 0
	for range seeds {
		replied = <-replies || replied
	}
	return replied
}

// exchangeAcrossZones exchanges views with a random bridge of another zone if this node
// is a bridge. Ticks rotate through the zones.
func (g *Gossiper) exchangeAcrossZones(ctx context.Context) {
	zones := merger.OtherZones(g.Members(""), g.config.Self.Zone)
	if len(zones) == 0 || !g.isBridge() {
		return
	}
	g.mu.Lock()
	turn := g.tick
	g.mu.Unlock()
	bridges := merger.Bridges(g.Members(zones[turn%len(zones)]), BridgeCount)
	if len(bridges) == 0 {
		return
	}
	peer := bridges[rand.IntN(len(bridges))]
	g.exchange(ctx, g.TargetOf(peer), crossZoneTimeout)
}

func (g *Gossiper) isBridge() bool {
	return containsID(g.Bridges(), g.config.Self.ID)
}

// reconnect exchanges views with a member that counts as dead, or with a seed. After a
// partition each side counts the other as dead; this exchange makes them reconcile.
func (g *Gossiper) reconnect(ctx context.Context) {
	g.mu.Lock()
	var targets []messenger.Target
	for _, entry := range g.table.Entries() {
		if entry.Liveness == merger.Dead && entry.Zone == g.self.Zone {
			targets = append(targets, g.TargetOf(entry))
		}
	}
	g.mu.Unlock()
	// Only bridges and nodes without the majority of their zone contact seeds. If
	// every node did, the few seeds of a large fleet would spend most of their time
	// on these exchanges.
	mayUseSeeds := g.isBridge() || !g.Majority()
	if mayUseSeeds && (len(targets) == 0 || rand.IntN(2) == 0) {
		for _, seed := range g.config.Seeds {
			targets = append(targets, messenger.Target{Address: seed, Scope: messenger.Cross})
		}
	}
	if len(targets) > 0 {
		g.exchange(ctx, targets[rand.IntN(len(targets))], crossZoneTimeout)
	}
}

// ReconcileAsync exchanges views with a peer in the background. It is called when other
// traffic showed that the peer holds newer data. A call does nothing if the peer is not in
// the table or if an earlier call is still running.
func (g *Gossiper) ReconcileAsync(id string) {
	peer, known := g.Get(id)
	if !known || !g.reconciling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.reconciling.Store(false)
		g.exchange(context.Background(), g.TargetOf(peer), crossZoneTimeout)
	}()
}
