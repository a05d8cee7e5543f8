// Package finder makes the nodes of a deployment known to each other. Each node reads the
// entries of all nodes in the platform's store, writes its own under a lease and announces
// itself to the others. Nodes that start at the same moment find each other's entries when
// they read again, which they do soon after registration and at longer intervals later.
// Reads may be some seconds stale, which makes them cheap. Later changes are announced
// directly from node to node.
package finder

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
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
	// removalTTL is how long the removal of a member is remembered. It exceeds leaseTTL and
	// staleAge together with the age of a copy that the store may come back from, which is
	// taken to be some tens of seconds at most.
	removalTTL = time.Minute
)

// Source is where a member record came from.
type Source string

// The sources.
const (
	// SourceStore: an entry in the store.
	SourceStore Source = "store"
	// SourcePeer: the member itself.
	SourcePeer Source = "peer"
	// SourceSeed: a seed, while the store does not respond.
	SourceSeed Source = "seed"
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
	// Drains returns the drains of the node's upstreams, which its next process has to know.
	Drains() []recorder.Drain
	// RecordDrain records the drain of another node's upstream, so that its next process can query it.
	RecordDrain(d recorder.Drain)
	// RecoverDrains applies the drains that a former process of the node has recorded.
	RecoverDrains(drains []recorder.Drain)
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
	// MemberFound is called for a new or newer record.
	MemberFound(m balancer.Member, source Source)
	// MemberLost is called when a member was removed, because it has no entry and is
	// unresponsive or because another process replies at its address.
	MemberLost(m balancer.Member)
	// EntryUnusable is called for an entry, or a record of another node, that is not a valid member
	// record. Key is that of the entry, or the name of the member.
	EntryUnusable(key string, source Source, err error)
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
	// FirstStart reports that the node had no former process, so that there is no entry of it to read.
	FirstStart bool
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
	// registered is the node's entry. It is written under mu.
	registered entry
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
	// formerRead is set, and former closed, once the entry of the node's former process has been
	// read. The node must not register before: its entry takes the place of that one.
	formerRead bool
	former     chan struct{}
}

// New returns a finder that has announced nothing yet.
func New(config Config) *Finder {
	return &Finder{
		config: config, trigger: make(chan struct{}, 1), acknowledged: map[incarnation]uint64{}, announcing: map[incarnation]bool{},
		removed: map[string]removal{}, written: make(chan struct{}), discovered: make(chan struct{}), former: make(chan struct{}),
	}
}

// Discovered returns a channel that is closed after the first attempt to read the entries,
// or to query the seeds instead.
func (f *Finder) Discovered() <-chan struct{} { return f.discovered }

// FormerRead returns a channel that is closed once the drains in the entry of the node's former process
// have been passed to the directory, or there is no such entry. Discovered is closed before.
func (f *Finder) FormerRead() <-chan struct{} { return f.former }

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
	if f.config.FirstStart {
		f.formerRead = true
		close(f.former)
	}
	if !f.storeFailing {
		if err := f.readFormer(ctx); err != nil {
			f.storeFailed(err)
		}
	}
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
	if err := f.readFormer(ctx); err != nil {
		return err
	}
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
	if f.entryOutdated(own) {
		// The node stays registered if this fails. The next round tries again.
		_ = f.register(ctx, own)
	}
	if f.earlyReadsLeft > 0 || round%readRounds == 0 {
		f.earlyReadsLeft = max(0, f.earlyReadsLeft-1)
		return f.read(ctx)
	}
	return nil
}
