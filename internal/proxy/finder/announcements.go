package finder

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
)

// incarnation identifies one process of a member. A restarted member does not have the
// records that were announced to it before.
type incarnation struct {
	node  string
	start int64
}

func incarnationOf(m balancer.Member) incarnation { return incarnation{node: m.Node, start: m.Start} }

// announceAll announces the node's own record to every member that has not acknowledged
// it yet. It does not wait for the replies.
func (f *Finder) announceAll(ctx context.Context) {
	own, members := f.config.Directory.Self(), f.config.Directory.Members()
	f.dropFormer(members)
	for _, m := range members {
		if m.Node != own.Node {
			f.announceTo(ctx, m, own)
		}
	}
}

// dropFormer drops the acknowledgements of incarnations that are no members any more, once
// there are as many acknowledgements as members. Only the node itself has none.
func (f *Finder) dropFormer(members []balancer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.acknowledged) < len(members) {
		return
	}
	kept := make(map[incarnation]uint64, len(members))
	for _, m := range members {
		if sequence, known := f.acknowledged[incarnationOf(m)]; known {
			kept[incarnationOf(m)] = sequence
		}
	}
	f.acknowledged = kept
}

// announceTo announces the node's own record to a member if that has not acknowledged it yet
// and no announcement is in flight. It does not wait for the reply.
func (f *Finder) announceTo(ctx context.Context, m, own balancer.Member) {
	if !f.beginAnnouncement(incarnationOf(m), own.Sequence) {
		return
	}
	go func() {
		f.announce(ctx, m, own)
		f.mu.Lock()
		delete(f.announcing, incarnationOf(m))
		f.mu.Unlock()
	}()
}

// beginAnnouncement reports whether an announcement to a member is due and none is in flight.
// If so, it marks one as in flight.
func (f *Finder) beginAnnouncement(to incarnation, sequence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announcing[to] || f.acknowledged[to] >= sequence {
		return false
	}
	f.announcing[to] = true
	return true
}

// announce sends the node's own record to a member, updates the member from its reply and
// reports whether there was one.
func (f *Finder) announce(ctx context.Context, m, own balancer.Member) bool {
	reply, replied := f.exchange(ctx, m.Address, own)
	if !replied {
		return false
	}
	if reply.Node != m.Node || reply.Start < m.Start {
		// Whatever the clocks say, the process that replies is the later one.
		f.remove(m)
	}
	f.update(reply, own)
	return true
}

// probe sends the node's own record to the address in a record of unknown truth, and updates the
// member that replies there.
func (f *Finder) probe(ctx context.Context, m, own balancer.Member) {
	if reply, replied := f.exchange(ctx, m.Address, own); replied {
		f.update(reply, own)
	}
}

// exchange sends the node's own record to an address. It returns the record of the member that replies,
// and whether one did. An invalid reply counts as none.
func (f *Finder) exchange(ctx context.Context, address string, own balancer.Member) (balancer.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := f.config.Messenger.Announce(ctx, address, own)
	if err != nil {
		return reply, false
	}
	if err := reply.Validate(time.Now()); err != nil {
		f.config.Observe.EntryUnusable(reply.Node, SourcePeer, err)
		return reply, false
	}
	return reply, true
}

// update updates a member from its reply.
func (f *Finder) update(reply, own balancer.Member) {
	f.Acknowledged(reply, own)
	f.updateMember(reply, SourcePeer)
}

// Acknowledged records that a member, which has just replied or announced itself, has the
// node's own record.
func (f *Finder) Acknowledged(m, own balancer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.removed, m.Node)
	f.acknowledged[incarnationOf(m)] = max(f.acknowledged[incarnationOf(m)], own.Sequence)
}
