// Package subscriber keeps a node on the newest configuration. A version never
// goes back within the life of a process.
//
// In each availability zone the first node follows the platform's store. The
// second asks the first, the others ask both: these two are the zone's relays. A
// node whose relays do not answer, or hear of no changes themselves, follows the
// store itself. While the store fails too, any other node is asked. A node that
// starts gives the relays a moment to answer; where the whole system starts for the
// first time, it waits until the nodes have found each other.
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
	// watchTime is how long one watch waits for a change. A watch may have gone
	// deaf without an error, so it is short.
	watchTime = 2 * time.Second
	// gatherTime is the pause after a change, in which further changes gather:
	// a stream of versions costs one call a pause.
	gatherTime = 600 * time.Millisecond
	// retryPause is a relay's pause after a failed call to the store.
	retryPause = 700 * time.Millisecond
	// takeoverPause is how long another node waits for the relays to hear of changes
	// again before it asks the store itself; takeoverSpread is added for each node
	// before it, up to takeoverNodes of them, so that not all ask at once.
	takeoverPause  = 500 * time.Millisecond
	takeoverSpread = 100 * time.Millisecond
	takeoverNodes  = 20
	// peerWait is how long another node may take to tell of a newer version.
	peerWait = time.Second
	// peerPause is the pause between questions to other nodes.
	peerPause = 250 * time.Millisecond
	// relayCount is how many nodes of a zone pass changes on to the others.
	relayCount = 2
	// relayWait is how long a relay may take to tell of a newer version.
	relayWait = 2 * time.Second
	// rolePause is the pause between looks at whether the node is a relay.
	rolePause = 200 * time.Millisecond
	// firstAnswer is how long the relays may take to answer a node that starts, and
	// firstMeeting how long nodes that all start at once may take to find each other.
	firstAnswer  = 700 * time.Millisecond
	firstMeeting = 3 * time.Second
	// startPause is the pause between looks at whether a relay has answered.
	startPause = 50 * time.Millisecond
)

// Observer is told of what a subscriber does.
type Observer interface {
	// InForce takes in a version with where it came from.
	InForce(version int64, source string, routes int)
	// Unusable takes in a configuration that could not be read.
	Unusable(source string, err error)
	// StoreLost and StoreRegained take in how the store answers.
	StoreLost(err error)
	StoreRegained()
}

// Config is what a subscriber needs.
type Config struct {
	Store  keeper.EventStore
	Key    string
	Decode func(data []byte) (router.Configuration, error)
	// Peers returns the addresses of other nodes, the nearest first.
	Peers func() []string
	// Relays returns the zone's nodes that may be relays, the own one included, in
	// the same order at every node.
	Relays func() []Relay
	// Own is the node's own address.
	Own string
	// Found is closed once the node has looked for others.
	Found <-chan struct{}
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Ask asks another node for a newer configuration.
	Ask     func(ctx context.Context, address string, args forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error)
	Observe Observer
}

// Subscriber holds the configuration in force.
type Subscriber struct {
	config    Config
	table     atomic.Pointer[router.Table]
	following atomic.Bool
	// relayed says for each relay that it answers and hears of changes itself.
	relayed [relayCount]atomic.Bool
	// asked says for each relay that it was asked, or that there was none to ask.
	asked [relayCount]atomic.Bool
	// answers says for each relay that it answered the last question.
	answers [relayCount]atomic.Bool
	// hinted receives when another node has a newer version.
	hinted chan struct{}

	mu      sync.Mutex
	history encoder.History
	// revision is the store's revision up to which the version in force is known to
	// be the newest.
	revision keeper.Revision
	changed  chan struct{}
}

// New returns a subscriber without a configuration.
func New(config Config) *Subscriber {
	return &Subscriber{config: config, hinted: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Table returns the table in force, or nil.
func (s *Subscriber) Table() *router.Table { return s.table.Load() }

// Version returns the version in force, or 0.
func (s *Subscriber) Version() int64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Hint takes in the version of another node.
func (s *Subscriber) Hint(version int64) {
	if version <= s.Version() {
		return
	}
	select {
	case s.hinted <- struct{}{}:
	default:
	}
}

// Run keeps the configuration up to date until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	select {
	case <-s.config.Found:
	case <-ctx.Done():
		return
	}
	go s.followPeers(ctx)
	for i := range relayCount {
		go s.followRelay(ctx, i)
	}
	s.awaitRelays(ctx)
	pause := time.Duration(0)
	for pauser.Pause(ctx, pause) {
		pause = rolePause
		if !s.mustFollow() {
			s.setFollowing(false)
			continue
		}
		if !pauser.Pause(ctx, s.takeover()) || !s.mustFollow() {
			continue
		}
		err := s.followStore(ctx)
		var lost *keeper.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			s.know(0)
			pause = 0
		case err != nil:
			pause = retryPause
			if s.setFollowing(false) || s.Version() == 0 {
				s.config.Observe.StoreLost(err)
			}
		}
	}
}

// setFollowing returns what it was before.
func (s *Subscriber) setFollowing(follows bool) bool {
	before := s.following.Swap(follows)
	if before != follows {
		s.tellFresh()
	}
	return before
}

// tellFresh wakes those who wait for a version from this node: whether it hears of
// changes may have changed.
func (s *Subscriber) tellFresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

func (s *Subscriber) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply brings a configuration into force if it is newer.
func (s *Subscriber) apply(data []byte, source string) {
	c, err := s.config.Decode(data)
	if err != nil {
		s.config.Observe.Unusable(source, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.table.Load()
	if previous != nil && c.Version <= previous.Version {
		return
	}
	s.table.Store(router.New(c, previous))
	s.history.Add(c.Version, data)
	s.wake()
	s.config.Observe.InForce(c.Version, source, len(c.Routes))
}
