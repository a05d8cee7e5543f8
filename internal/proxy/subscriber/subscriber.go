// Package subscriber keeps a node on the newest configuration. The version in force
// never decreases during the life of a process.
//
// All nodes of an availability zone order its nodes in the same way (Config.Relays). The
// first node watches the platform's store. The second node polls the first, and all
// others poll both: these two are the relays of the zone.
// A node whose relays do not reply, or receive no changes themselves, watches the store
// itself. Whatever it follows, each node also asks some node of another zone at short intervals,
// so that a zone whose relays have lost the store, perhaps without noticing, is not late.
//
// A starting node waits a short time for the relays; when the whole system starts for the
// first time, it waits until the nodes have discovered each other. If it has no version then,
// it requests one from other nodes before it contacts the store, since a store that has come
// back from an older copy may hold an older version than the one in force.
package subscriber

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/pauser"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

const (
	// watchTimeout is how long one watch waits for a change. It is short because a watch
	// may stop delivering events without an error, and all nodes behind it then believe that
	// nothing changes.
	watchTimeout = time.Second
	// coalesceDelay is the delay between a change and the next watch, which returns all
	// changes made in the meantime: a stream of versions costs one call to the store per
	// delay. It also bounds how long a watch may take to deliver a hinted version.
	coalesceDelay = 600 * time.Millisecond
	// storeRetryBackoff is a relay's backoff after a failed call to the store. Other nodes
	// wait for takeoverDelay in addition.
	storeRetryBackoff = 700 * time.Millisecond
	// minTakeoverDelay is how long a node that is no relay waits for the relays to
	// receive changes again before it contacts the store itself. takeoverDelayStep is
	// added for each node before it in the order of Config.Relays, at most
	// maxTakeoverDelaySteps times, so that the nodes do not contact the store all at
	// once.
	minTakeoverDelay      = 500 * time.Millisecond
	takeoverDelayStep     = 100 * time.Millisecond
	maxTakeoverDelaySteps = 20
	// wholeRequestTimeout is how much longer than other requests one for the whole configuration
	// may take.
	wholeRequestTimeout = time.Second
	// peerPollInterval is the backoff after a relay failed to reply or receives no changes itself,
	// and the interval between requests to other nodes of a node without a version.
	peerPollInterval = 250 * time.Millisecond
	// peerCheckInterval is the interval between the checks of whether nodes of other
	// availability zones have a newer version, and checkedPeers the number of nodes that one
	// check asks at most, if the first ones do not reply.
	peerCheckInterval = time.Second
	checkedPeers      = 3
	// relayCount is the number of relays of an availability zone.
	relayCount = 2
	// relayPollTimeout is how long a relay may hold a request until it has a newer
	// version.
	relayPollTimeout = 2 * time.Second
	// recentLoss is how long a request may be under way that was sent before this node stopped
	// receiving changes.
	recentLoss = 300 * time.Millisecond
	// rolePollInterval is the interval between checks of whether the node is a relay.
	rolePollInterval = 200 * time.Millisecond
)

// storeSource is the source of the versions that the node reads from the store itself.
const storeSource = "store"

// Observer is notified of what a subscriber does. Its methods may be called while the
// subscriber is locked, so they must not call Next.
type Observer interface {
	// InForce is called when a version comes into force, with its source ("store",
	// "relay" or "peer").
	InForce(c router.Configuration, source string)
	// Rejected is called with true when the store's newest configuration can't be decoded,
	// and with false when a later one can, or when the node stops watching the store.
	Rejected(rejected bool)
	// Unusable is called when a configuration from a source could not be decoded, or when
	// the one in force could not be encoded for another node (source "encoder").
	Unusable(source string, err error)
	// StoreLost is called when the node can't watch the store any more, and at each
	// failed try while it has no version.
	StoreLost(err error)
	// StoreRegained is called when the node starts to watch the store, also for the
	// first time.
	StoreRegained()
	// Following is called when the node receives changes from another source than before.
	Following(source Source)
}

// Source is where a node receives changes from.
type Source string

// The sources. A node follows no source until its first, and while neither the store nor a relay
// passes changes on to it.
const (
	FollowsNone  Source = "none"
	FollowsStore Source = "store"
	FollowsRelay Source = "relay"
)

// Config is the configuration of a subscriber.
type Config struct {
	Store keeper.EventStore
	// Key is the key of the configuration in the store.
	Key string
	// Decode decodes the value of Key.
	Decode func(data []byte) (router.Configuration, error)
	// Peers returns the addresses of other nodes, those of the node's own availability
	// zone first.
	Peers func() []string
	// RemotePeers returns the addresses of the nodes of other availability zones, or of all
	// other nodes if there is only one zone. The caller may reorder them.
	RemotePeers func() []string
	// Relays returns the nodes of the availability zone that may be relays, the node
	// itself included, in the same order at every node. The first relayCount are the
	// relays.
	Relays func() []Relay
	// OwnAddress is the node's own peer address, host:port.
	OwnAddress string
	// Discovered is closed once the node has tried to discover the others.
	Discovered <-chan struct{}
	// Seed differs between processes, so that their traffic splits do not all begin with the
	// same backend and they check different peers.
	Seed uint64
	// FirstStart reports that the whole system starts for the first time.
	FirstStart bool
	// Request requests a newer configuration from another node.
	Request func(ctx context.Context, address string, args forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error)
	Observe Observer
	// Orders receives what else the operator writes; the zero value receives nothing.
	Orders Orders
}

// Orders are the items below a prefix, which the watch on the configuration covers too.
type Orders struct {
	// WatchPrefix is the prefix of the watch. It covers the configuration and Prefix; empty if there
	// are no orders.
	WatchPrefix string
	// Prefix is the prefix of the orders.
	Prefix string
	// Reset is called with all orders when the node starts to watch the store, and Changed with
	// those that have been written or deleted since. Ended is called when the node stops watching.
	Reset   func(items []keeper.Item)
	Changed func(events []keeper.Event)
	Ended   func()
}

// Subscriber holds the configuration in force. It is safe for concurrent use.
type Subscriber struct {
	config Config
	// table is the routing table in force; nil if there is none.
	table atomic.Pointer[router.Table]
	// watchingStore reports whether the node watches the store.
	watchingStore atomic.Bool
	// relaySubscribed reports for each relay whether it replies and receives changes
	// itself.
	relaySubscribed [relayCount]atomic.Bool
	// relayRequested reports for each relay whether a first request has ended or the node
	// has no relay to poll.
	relayRequested [relayCount]atomic.Bool
	// relayReached reports for each relay whether it replied to the last request.
	relayReached [relayCount]atomic.Bool
	// hinted receives a value when another node has a newer version.
	hinted chan struct{}
	// hints holds the hint to follow next.
	hints chan hint

	mu      sync.Mutex
	history encoder.History
	// position is the position of the store up to which the version in force is known to be
	// the newest; its revision is 0 if that is unknown.
	position keeper.Position
	// rejected reports that the node watches the store and can't decode its newest
	// configuration. Another release may be able to, so the node then does not count as
	// receiving changes.
	rejected bool
	// changed is closed and replaced when the version or the result of subscribed may have
	// changed.
	changed chan struct{}
	// source is the source that was last passed to Observer.Following.
	source Source
	// lostAt is when the node last stopped receiving changes; zero if it never did.
	lostAt time.Time
}

// New returns a subscriber without a configuration.
func New(config Config) *Subscriber {
	return &Subscriber{
		config: config, hinted: make(chan struct{}, 1), hints: make(chan hint, 1), changed: make(chan struct{}), source: FollowsNone,
	}
}

// Table returns the routing table in force, or nil if there is none.
func (s *Subscriber) Table() *router.Table { return s.table.Load() }

// Version returns the configuration version in force, or 0 if there is none.
func (s *Subscriber) Version() int64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// hint is a newer version that another node has.
type hint struct {
	version int64
	// address is the peer address of the node.
	address string
}

// Hint records that the node at the address has the given version. If that is newer than
// the version in force, a watch that delivers no event within coalesceDelay is ended, and
// the version is requested from that node if nothing else has provided it by then.
func (s *Subscriber) Hint(version int64, address string) {
	if version <= s.Version() {
		return
	}
	select {
	case s.hinted <- struct{}{}:
	default:
	}
	select {
	case s.hints <- hint{version: version, address: address}:
	default:
	}
}

// followHints requests hinted versions that arrive by no other way until the context ends.
// Relays and store may fail for a node whose calls still reach nodes with a newer version.
func (s *Subscriber) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			if !pauser.Pause(ctx, coalesceDelay) {
				return
			}
			if h.version > s.Version() {
				// Without a reply, the next check of the peers or the next hint finds it.
				s.consult(ctx, Relay{Address: h.address})
			}
		}
	}
}

// Run keeps the configuration up to date until the context ends. It must be called once.
func (s *Subscriber) Run(ctx context.Context) {
	select {
	case <-s.config.Discovered:
	case <-ctx.Done():
		return
	}
	go s.checkPeers(ctx)
	go s.followHints(ctx)
	for i := range relayCount {
		go s.pollRelay(ctx, i)
	}
	s.awaitRelays(ctx)
	s.consultPeers(ctx)
	delay := time.Duration(0)
	// skipTakeoverDelay is set when the node calls the store without waiting for the relays
	// first: it followed the store until the last call failed, so that they did not serve it
	// before either, or it has to read the whole configuration.
	skipTakeoverDelay := false
	lastFailure := time.Time{}
	for pauser.Pause(ctx, delay) {
		delay = rolePollInterval
		if !s.needsStore() {
			s.setWatchingStore(false)
			continue
		}
		if (!skipTakeoverDelay && !pauser.Pause(ctx, s.takeoverDelay())) || !s.needsStore() {
			continue
		}
		err := s.watchStore(ctx)
		skipTakeoverDelay = false
		var lost *keeper.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			s.forgetPosition(lost.Era)
			delay, skipTakeoverDelay = storeRetryDelay(time.Since(lastFailure)), true
			lastFailure = time.Now()
		case err != nil:
			delay = storeRetryBackoff
			if skipTakeoverDelay = s.setWatchingStore(false); skipTakeoverDelay {
				delay = storeRetryDelay(time.Since(lastFailure))
			}
			lastFailure = time.Now()
			if skipTakeoverDelay || s.Version() == 0 {
				s.config.Observe.StoreLost(err)
			}
		}
	}
}

// storeRetryDelay returns the delay after the loss of a watch or of its history: none, since a new
// connection may serve where the old one fell silent, unless the last failure was within
// storeRetryBackoff.
func storeRetryDelay(sinceFailure time.Duration) time.Duration {
	if sinceFailure < storeRetryBackoff {
		return storeRetryBackoff
	}
	return 0
}

// setWatchingStore sets whether the node watches the store and returns the previous
// value.
func (s *Subscriber) setWatchingStore(watching bool) bool {
	if !watching {
		s.forgetRejected()
	}
	before := s.watchingStore.Swap(watching)
	if before != watching {
		s.notifyWaiters()
	}
	return before
}

// notifyWaiters wakes the goroutines that wait in Next, since whether the node receives
// changes may have changed.
func (s *Subscriber) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWaitersLocked()
}

// notifyWaitersLocked is notifyWaiters for a caller that holds s.mu.
func (s *Subscriber) notifyWaitersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
	if source := s.followedLocked(); source != s.source {
		s.source = source
		if source == FollowsNone {
			s.lostAt = time.Now()
		}
		s.config.Observe.Following(source)
	}
}

// followedLocked returns where the node receives changes from. The caller holds s.mu.
func (s *Subscriber) followedLocked() Source {
	switch {
	case !s.subscribedLocked():
		return FollowsNone
	case s.watchingStore.Load() && !s.rejected:
		return FollowsStore
	default:
		return FollowsRelay
	}
}

// apply brings a configuration into force if it is newer than the one in force. The store's
// value is rejected if it can't be decoded. The position up to which the configuration is the
// newest becomes known in the same step: a node that got the version without it would read
// the whole configuration from the store. That of an undecodable one becomes known only if it
// is the store's: for a value from another node, the store has to be asked.
func (s *Subscriber) apply(data []byte, source string, position keeper.Position) {
	c, err := s.config.Decode(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || source == storeSource {
		s.confirmLocked(position)
	}
	if source == storeSource {
		s.setRejectedLocked(err != nil)
	}
	if err != nil {
		s.config.Observe.Unusable(source, err)
		return
	}
	previous := s.table.Load()
	if previous != nil && c.Version <= previous.Version {
		return
	}
	s.table.Store(router.New(c, previous, s.config.Seed))
	s.history.Add(c.Version, data)
	s.notifyWaitersLocked()
	s.config.Observe.InForce(c, source)
}

// setRejectedLocked sets whether the store's newest configuration can't be decoded. The
// caller holds s.mu.
func (s *Subscriber) setRejectedLocked(rejected bool) {
	if s.rejected == rejected {
		return
	}
	s.rejected = rejected
	s.config.Observe.Rejected(rejected)
	s.notifyWaitersLocked()
}

// forgetRejected is called when the node no longer watches the store. A rejected value is
// read again at the next watch, so the position is unknown until then.
func (s *Subscriber) forgetRejected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected {
		s.position = keeper.Position{}
		s.setRejectedLocked(false)
	}
}

func (s *Subscriber) hasRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}
