package finder

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
)

// removal is the removal of an unresponsive member.
type removal struct {
	start int64
	at    time.Time
}

// read updates the members from the entries in the store, and probes the members that have
// none or only one of an earlier process. If the node's own entry is not as it was written,
// it is written again in the next round.
func (f *Finder) read(ctx context.Context) error {
	snapshot, err := f.config.Store.Range(ctx, keyPrefix, keeper.Stale)
	if err != nil {
		return err
	}
	known := newIndex(f.config.Directory.Self(), f.config.Directory.Members())
	listed := map[string]int64{}
	registered := false
	for _, item := range snapshot.Items {
		e, err := decodeEntry(item.Key, item.Value, time.Now())
		if err != nil {
			f.config.Observe.EntryUnusable(item.Key, SourceStore, err)
			continue
		}
		listed[e.Node] = e.Start
		registered = registered || f.isRegistered(e.Member)
		f.updateRelayed(ctx, e.Member, known, SourceStore)
	}
	if !registered && time.Since(f.registeredAt) > staleAge {
		// The store has lost the entry. It may have given the lease to another node since,
		// so that renewals succeed; the next round obtains a new one.
		f.lease = keeper.Lease{}
	}
	f.probeUnlisted(ctx, listed)
	return nil
}

// updateRelayed updates a member from a record that did not come from the member itself. The
// record of a removed incarnation may be a relic, and one that contradicts a known member that of
// another writer, so the process at its address must reply first.
func (f *Finder) updateRelayed(ctx context.Context, m balancer.Member, known *index, source Source) {
	switch {
	case f.wasRemoved(m):
		f.announceTo(ctx, m, known.own)
	case known.contradicts(m):
		if m.DrainStart != 0 && known.hasUpstream(m) {
			f.config.Directory.RecordDrain(recorder.Drain{Instance: m.Instance, Born: m.Born, Start: m.DrainStart})
		}
		go f.probe(ctx, m, known.own)
	default:
		f.updateMember(m, source)
		known.add(m)
	}
}

// wasRemoved reports whether the incarnation of a record, or a later one of its node, was
// removed and has not replied since.
func (f *Finder) wasRemoved(m balancer.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, known := f.removed[m.Node]
	return known && m.Start <= r.start && time.Since(r.at) < removalTTL
}

// remove removes an unresponsive or replaced member, unless a newer record of it has arrived.
func (f *Finder) remove(m balancer.Member) {
	if !f.config.Directory.Forget(m) {
		return
	}
	f.mu.Lock()
	for node, r := range f.removed {
		if time.Since(r.at) >= removalTTL {
			delete(f.removed, node)
		}
	}
	f.removed[m.Node] = removal{start: m.Start, at: time.Now()}
	delete(f.acknowledged, incarnationOf(m))
	f.mu.Unlock()
	f.config.Observe.MemberLost(m)
}

func (f *Finder) updateMember(m balancer.Member, source Source) {
	if own := f.config.Directory.Self(); m.Node == own.Node && m.Start == own.Start {
		return
	}
	if f.config.Directory.UpdateMember(m) {
		f.config.Observe.MemberFound(m, source)
	}
}

// probeUnlisted announces the node to the members that have no entry and removes those that
// are unresponsive. Listed holds the start of the process in each node's entry. A process that
// has an entry with a lower start than the known one may be the later, if its clock was set back.
func (f *Finder) probeUnlisted(ctx context.Context, listed map[string]int64) {
	own := f.config.Directory.Self()
	for _, m := range f.config.Directory.Members() {
		if listed[m.Node] >= m.Start || m.Node == own.Node {
			continue
		}
		go func() {
			if f.announce(ctx, m, own) {
				return
			}
			f.remove(m)
		}()
	}
}

// querySeeds updates the members from the first seed that replies. It is used while the
// store does not respond.
func (f *Finder) querySeeds(ctx context.Context) {
	for _, seed := range f.config.Seeds {
		seedCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		members, err := f.config.Messenger.Members(seedCtx, seed)
		cancel()
		if err != nil {
			continue
		}
		known := newIndex(f.config.Directory.Self(), f.config.Directory.Members())
		for _, m := range members {
			if err := m.Validate(time.Now()); err != nil {
				f.config.Observe.EntryUnusable(m.Node, SourceSeed, err)
				continue
			}
			f.updateRelayed(ctx, m, known, SourceSeed)
		}
		return
	}
}
