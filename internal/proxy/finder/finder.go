// Package finder makes the nodes of a deployment known to each other. Each node reads the
// entries of all nodes in the platform's store, writes its own under a lease and announces
// itself to the others. Nodes that start at the same moment find each other's entries when
// they read again, which they do soon after registration and at longer intervals later.
// Reads may be some seconds stale, which makes them cheap. Later changes are announced
// directly from node to node.
package finder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
)

const (
	// keyPrefix is the key prefix of the entries in the store.
	keyPrefix = "tamarackscale/nodes/"
	// leaseTTL is how long an entry outlives its node.
	leaseTTL = 10 * time.Second
	// roundInterval is the interval between rounds, which renew the lease and retry announcements.
	roundInterval = time.Second
	// retryInterval is the interval between rounds while the store does not respond.
	retryInterval = 700 * time.Millisecond
	// renewRounds and readRounds are the numbers of rounds per renewal of the lease and
	// per read of all entries.
	renewRounds = 3
	readRounds  = 6
	// earlyReads is the number of rounds after a registration that read the entries in any
	// case, to find nodes that register at the same time.
	earlyReads = 3
	// peerTimeout is the timeout of one message to another node and its reply.
	peerTimeout = 2 * time.Second
	// firstSeedsTimeout bounds how long a new node queries the seeds before it is ready.
	firstSeedsTimeout = 2 * time.Second
	// firstHeartbeatTimeout is how long a new node waits for the first heartbeat of its
	// upstream before it registers without one.
	firstHeartbeatTimeout = 4 * time.Second
	// staleAge is the age that no stale read exceeds.
	staleAge = 10 * time.Second
	// removalTTL is how long the removal of a member is remembered. It exceeds leaseTTL, the
	// age of a copy that the store may come back from and staleAge together.
	removalTTL = time.Minute
)

// Directory holds the member records of the node.
type Directory interface {
	// Self returns the node's own record.
	Self() balancer.Member
	// UpdateMember merges the record of a member and reports whether it was newer than the
	// known one. The record of a former process of the node itself is never newer.
	UpdateMember(m balancer.Member) bool
	// Members returns the records of the known members. It may include the node's own.
	Members() []balancer.Member
	// Forget removes a member unless its known record is newer than m, and reports whether
	// it did.
	Forget(m balancer.Member) bool
}

// Messenger sends messages to other nodes.
type Messenger interface {
	// Announce sends the node's own record to a member and returns the member's record.
	Announce(ctx context.Context, address string, m balancer.Member) (balancer.Member, error)
	// Members returns the member records of another node.
	Members(ctx context.Context, address string) ([]balancer.Member, error)
}

// Observer is notified of what a finder does.
type Observer interface {
	// Registered is called when the node's entry has been written, with the number of known
	// members.
	Registered(members int)
	// RegistrationFailed is called at the first failure of the store in a row,
	// RegistrationRegained when the store responds again.
	RegistrationFailed(err error)
	RegistrationRegained()
	// MemberFound is called for a new or newer record; source is "store", "peer" or "seed".
	MemberFound(m balancer.Member, source string)
	// MemberLost is called when a member was removed, because it has no entry and is
	// unresponsive or because another process replies at its address.
	MemberLost(m balancer.Member)
	// EntryUnusable is called for an entry that is not a member record; err is nil if only
	// a required field is missing.
	EntryUnusable(key string, err error)
}

// Config holds the dependencies of a finder.
type Config struct {
	Store     keeper.EventStore
	Directory Directory
	Messenger Messenger
	Observe   Observer
	// Seeds are addresses of nodes to query for members if the store does not respond, also
	// before Discovered.
	Seeds []string
	// UpstreamKnown is closed when the first heartbeat of the local upstream has arrived.
	UpstreamKnown <-chan struct{}
}

// Finder keeps the members in the directory up to date.
type Finder struct {
	config Config
	// trigger starts the next round without delay.
	trigger chan struct{}

	// lease is the lease of the node's entry; its ID is 0 if there is none.
	lease keeper.Lease
	// registered is the record in the node's entry. It is written under mu.
	registered balancer.Member
	// registeredAt is when that was written.
	registeredAt time.Time
	storeFailing bool
	// earlyReadsLeft is the number of early reads still to be done.
	earlyReadsLeft int

	mu sync.Mutex
	// written is closed and replaced when the node's entry has been written.
	written chan struct{}
	// acknowledged is the highest sequence of this node's record that each incarnation has
	// acknowledged. It does not outgrow the members.
	acknowledged map[incarnation]uint64
	// announcing holds the incarnations to which an announcement is in flight.
	announcing map[incarnation]bool
	// removed holds the latest removal of each node, for removalTTL.
	removed    map[string]removal
	discovered chan struct{}
	once       sync.Once
}

// incarnation identifies one process of a member. A restarted member does not have the
// records that were announced to it before.
type incarnation struct {
	node  string
	start int64
}

func incarnationOf(m balancer.Member) incarnation { return incarnation{node: m.Node, start: m.Start} }

// removal is the removal of an unresponsive member.
type removal struct {
	start int64
	at    time.Time
}

// New returns a finder that has announced nothing yet.
func New(config Config) *Finder {
	return &Finder{
		config: config, trigger: make(chan struct{}, 1), acknowledged: map[incarnation]uint64{}, announcing: map[incarnation]bool{},
		removed: map[string]removal{}, written: make(chan struct{}), discovered: make(chan struct{}),
	}
}

// Discovered returns a channel that is closed after the first attempt to read the entries,
// or to query the seeds instead.
func (f *Finder) Discovered() <-chan struct{} { return f.discovered }

// AnnounceNow starts a round without delay, in which the node announces its changed
// record.
func (f *Finder) AnnounceNow() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// Run registers the node and keeps it registered until the context ends. Store errors go to
// the observer.
func (f *Finder) Run(ctx context.Context) {
	if err := f.read(ctx); err != nil {
		f.storeFailed(err)
		seedsCtx, cancel := context.WithTimeout(ctx, firstSeedsTimeout)
		f.querySeeds(seedsCtx)
		cancel()
	}
	f.once.Do(func() { close(f.discovered) })
	select {
	case <-f.config.UpstreamKnown:
	case <-time.After(firstHeartbeatTimeout):
	case <-ctx.Done():
		return
	}
	for round := 0; ctx.Err() == nil; round++ {
		f.announceAll(ctx)
		delay := roundInterval
		if err := f.round(ctx, round); err != nil {
			f.storeFailed(err)
			f.querySeeds(ctx)
			// The next round is round 0, in which the lease is renewed and the entries are
			// read, unless the node must register first.
			delay, round = retryInterval, -1
		} else if f.storeFailing {
			f.storeFailing = false
			f.config.Observe.RegistrationRegained()
		}
		f.announceAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.trigger:
		case <-time.After(delay):
		}
	}
}

// storeFailed notifies the observer of the first failure in a row.
func (f *Finder) storeFailed(err error) {
	if !f.storeFailing {
		f.storeFailing = true
		f.config.Observe.RegistrationFailed(err)
	}
}

// round renews the lease, reads the other entries, and writes the node's own if there is none
// or if it names another instance or another state of its drain. Other changes are only
// announced, which spares the store.
func (f *Finder) round(ctx context.Context, round int) error {
	if round%renewRounds == 0 && f.lease.ID != 0 {
		if err := f.renew(ctx); err != nil {
			return err
		}
	}
	own := f.config.Directory.Self()
	if f.lease.ID == 0 || f.registered.Instance != own.Instance {
		if err := f.register(ctx, own); err != nil {
			return err
		}
		f.config.Observe.Registered(len(f.config.Directory.Members()))
		f.earlyReadsLeft = earlyReads
		return nil
	}
	if f.registered.Draining != own.Draining || f.registered.DrainStart != own.DrainStart {
		// The node stays registered if this fails. The next round tries again.
		_ = f.register(ctx, own)
	}
	if f.earlyReadsLeft > 0 || round%readRounds == 0 {
		f.earlyReadsLeft = max(0, f.earlyReadsLeft-1)
		return f.read(ctx)
	}
	return nil
}

// renew renews the lease. A lease that has expired, or was lost with the store's latest writes,
// is dropped without an error, so that the node registers again.
func (f *Finder) renew(ctx context.Context) error {
	err := f.config.Store.Renew(ctx, f.lease)
	var notFound *keeper.NotFoundError
	if errors.As(err, &notFound) {
		f.lease = keeper.Lease{}
		return nil
	}
	return err
}

// register writes the node's entry under its lease, and first obtains a lease if there is none.
func (f *Finder) register(ctx context.Context, own balancer.Member) error {
	if f.lease.ID == 0 {
		lease, err := f.config.Store.Lease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		f.lease = lease
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	err = f.config.Store.Commit(ctx, keeper.Transaction{
		Writes: []keeper.Write{{Key: keyPrefix + own.Node, Value: value, Lease: f.lease}},
	})
	var notFound *keeper.NotFoundError
	if errors.As(err, &notFound) {
		f.lease = keeper.Lease{}
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.registered, f.registeredAt = own, time.Now()
	close(f.written)
	f.written = make(chan struct{})
	f.mu.Unlock()
	return nil
}

// AwaitDrain waits until the node's entry has the given drain start, in Unix milliseconds, or
// the context ends. The drain must have been announced (AnnounceNow).
func (f *Finder) AwaitDrain(ctx context.Context, start int64) {
	for {
		f.mu.Lock()
		recorded, written := f.registered.DrainStart == start, f.written
		f.mu.Unlock()
		if recorded {
			return
		}
		select {
		case <-written:
		case <-ctx.Done():
			return
		}
	}
}

// read updates the members from the entries in the store, and probes the members that have
// none or only one of an earlier process. If the node's own entry is not as it was written,
// it is written again in the next round.
func (f *Finder) read(ctx context.Context) error {
	snapshot, err := f.config.Store.Range(ctx, keyPrefix, keeper.Stale)
	if err != nil {
		return err
	}
	listed := map[string]int64{}
	registered := false
	for _, item := range snapshot.Items {
		var m balancer.Member
		if err := json.Unmarshal(item.Value, &m); err != nil || m.Node == "" || m.Address == "" {
			f.config.Observe.EntryUnusable(item.Key, err)
			continue
		}
		listed[m.Node] = m.Start
		registered = registered || f.isRegistered(m)
		f.updateRelayed(ctx, m, "store")
	}
	if !registered && time.Since(f.registeredAt) > staleAge {
		// The store has lost the entry. It may have given the lease to another node since,
		// so that renewals succeed; the next round obtains a new one.
		f.lease = keeper.Lease{}
	}
	f.probeUnlisted(ctx, listed)
	return nil
}

// isRegistered reports whether m is the record that the node wrote last.
func (f *Finder) isRegistered(m balancer.Member) bool {
	return m.Node == f.registered.Node && m.Start == f.registered.Start && m.Sequence == f.registered.Sequence
}

// updateRelayed updates a member from a record that did not come from the member itself. The
// record of a removed incarnation may be a relic, so that member must reply first.
func (f *Finder) updateRelayed(ctx context.Context, m balancer.Member, source string) {
	if !f.wasRemoved(m) {
		f.updateMember(m, source)
		return
	}
	f.announceTo(ctx, m, f.config.Directory.Self())
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

func (f *Finder) updateMember(m balancer.Member, source string) {
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
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := f.config.Messenger.Announce(ctx, m.Address, own)
	if err != nil {
		return false
	}
	if reply.Node != m.Node || reply.Start < m.Start {
		// Whatever the clocks say, the process that replies is the later one.
		f.remove(m)
	}
	f.Acknowledged(reply, own)
	f.updateMember(reply, "peer")
	return true
}

// Acknowledged records that a member, which has just replied or announced itself, has the
// node's own record.
func (f *Finder) Acknowledged(m, own balancer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.removed, m.Node)
	f.acknowledged[incarnationOf(m)] = max(f.acknowledged[incarnationOf(m)], own.Sequence)
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
		for _, m := range members {
			f.updateRelayed(ctx, m, "seed")
		}
		return
	}
}
