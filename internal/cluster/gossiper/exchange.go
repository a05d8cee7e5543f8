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

// probe exchanges with a member of the own zone and judges its liveness.
func (g *Gossiper) probe(ctx context.Context, member merger.Entry) {
	for {
		answered := g.exchange(ctx, g.TargetOf(member), prober.Timeout) || g.probeIndirectly(ctx, member)
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		verdict := g.tracker.Round(member.ID, answered)
		g.mu.Unlock()
		switch verdict {
		case prober.Fine:
			return
		case prober.Gone:
			g.declareDead(member)
			return
		case prober.Doubtful:
		}
	}
}

func (g *Gossiper) declareDead(member merger.Entry) {
	g.log.WithField("member", member.ID).Warn("member does not answer and counts as dead")
	member.Liveness = merger.Dead
	g.merge([]merger.Entry{member}, nil, "")
}

// probeIndirectly asks other members of the zone whether they reach the member.
func (g *Gossiper) probeIndirectly(ctx context.Context, member merger.Entry) bool {
	var helpers []merger.Entry
	for _, candidate := range g.Members(member.Zone) {
		if candidate.ID != member.ID && candidate.ID != g.config.Self.ID {
			helpers = append(helpers, candidate)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(prober.Helpers, len(helpers))]
	answers := make(chan bool, len(helpers))
	request := messenger.ProbeRequest{Address: member.ControlAddress, Zone: member.Zone}
	for _, helper := range helpers {
		go func() {
			// The helper needs a timeout of its own inside this one.
			ctx, cancel := context.WithTimeout(ctx, 2*prober.Timeout)
			defer cancel()
			reply, err := messenger.Call[messenger.ProbeRequest, messenger.ProbeReply](
				ctx, g.messenger, g.TargetOf(helper), messenger.ProbeMethod, request)
			answers <- err == nil && reply.Answered
		}()
	}
	answered := false
	for range helpers {
		answered = <-answers || answered
	}
	return answered
}

// exchange compares views with a peer and reconciles them. It says whether the
// peer answered.
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

func (g *Gossiper) sync(ctx context.Context, to messenger.Target, request messenger.SyncRequest) bool {
	reply, err := messenger.Call[messenger.SyncRequest, messenger.SyncReply](
		ctx, g.messenger, to, messenger.SyncMethod, request)
	if err != nil {
		return false
	}
	g.merge(reply.Entries, reply.Documents, reply.From)
	return true
}

// join sends the whole view to the seeds until one has answered.
func (g *Gossiper) join(ctx context.Context) {
	defer g.group.Done()
	defer close(g.joined)
	pause := 100 * time.Millisecond
	for {
		if g.joinOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, 5*time.Second)
	}
}

// joinOnce contacts some seeds at once; it says whether one answered or there
// is none but this node.
func (g *Gossiper) joinOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crossTimeout)
	defer cancel()
	numbers := make([]int, merger.BucketCount)
	for i := range numbers {
		numbers[i] = i
	}
	seeds := slices.Clone(g.config.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:min(joinSeeds, len(seeds))]
	answers := make(chan bool, len(seeds))
	for _, seed := range seeds {
		go func() {
			g.mu.Lock()
			request := messenger.SyncRequest{
				From: g.self.ID, Numbers: numbers, Entries: g.table.Entries(), Stamps: g.table.Stamps(),
			}
			g.mu.Unlock()
			answered := g.sync(ctx, messenger.Target{Address: seed, Scope: messenger.Cross}, request)
			// A seed that kept the connections of a whole fleet that starts would
			// need more memory for them than for everything else.
			g.messenger.Disconnect(seed)
			answers <- answered
		}()
	}
	answered := len(seeds) == 0
	for range seeds {
		answered = <-answers || answered
	}
	return answered
}

// exchangeAcross lets a bridge exchange with one bridge of another zone, each
// zone in turn.
func (g *Gossiper) exchangeAcross(ctx context.Context) {
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
	g.exchange(ctx, g.TargetOf(peer), crossTimeout)
}

func (g *Gossiper) isBridge() bool {
	return contains(g.Bridges(), g.config.Self.ID)
}

// revive tries a member that counts as dead, or a seed: after a partition each
// side holds the other for dead, and this is how they meet again.
func (g *Gossiper) revive(ctx context.Context) {
	g.mu.Lock()
	var targets []messenger.Target
	for _, entry := range g.table.Entries() {
		if entry.Liveness == merger.Dead && entry.Zone == g.self.Zone {
			targets = append(targets, g.TargetOf(entry))
		}
	}
	g.mu.Unlock()
	// Seeds are left to the bridges and to nodes that miss most of their zone:
	// asked by all, the few seeds of a large fleet would do little else.
	lonely := g.isBridge() || !g.Majority()
	if lonely && (len(targets) == 0 || rand.IntN(2) == 0) {
		for _, seed := range g.config.Seeds {
			targets = append(targets, messenger.Target{Address: seed, Scope: messenger.Cross})
		}
	}
	if len(targets) > 0 {
		g.exchange(ctx, targets[rand.IntN(len(targets))], crossTimeout)
	}
}

// Consult exchanges with one peer in the background, because ordinary traffic
// showed that it knows something newer. At most one runs at a time.
func (g *Gossiper) Consult(id string) {
	peer, known := g.Get(id)
	if !known || !g.consulting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.consulting.Store(false)
		g.exchange(context.Background(), g.TargetOf(peer), crossTimeout)
	}()
}
