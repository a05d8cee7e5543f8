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

// Relay is a node that passes changes on.
type Relay struct {
	Address string
	// Start is when its process started: another one may have its address by now.
	Start int64
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

// takeover is how long a node gives the relays before it asks the store itself:
// nothing for a relay, or for a node that has no version yet.
func (s *Subscriber) takeover() time.Duration {
	if s.Version() == 0 || s.following.Load() {
		return 0
	}
	for position, r := range s.config.Relays() {
		if r.Address != s.config.Own {
			continue
		}
		if position < relayCount {
			return 0
		}
		return takeoverPause + time.Duration(min(position, takeoverNodes))*takeoverSpread
	}
	return takeoverPause
}

// know notes up to which revision of the store the version in force is the newest.
func (s *Subscriber) know(revision keeper.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *Subscriber) known() keeper.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// awaitRelays returns once a relay passes changes on, or its time to begin is up.
func (s *Subscriber) awaitRelays(ctx context.Context) {
	began := time.Now()
	for s.mustFollow() && time.Since(began) < s.patience() {
		if !pauser.Pause(ctx, startPause) {
			return
		}
	}
}

// patience is how long a node that starts waits for a relay. Where all start at
// once, the first relay begins before the others.
func (s *Subscriber) patience() time.Duration {
	switch relays := s.config.Relays(); {
	case !s.config.FirstStart && s.heardRelays():
		return 0
	case !s.config.FirstStart:
		return firstAnswer
	case len(relays) > 0 && relays[0].Address == s.config.Own:
		return firstMeeting
	default:
		return firstMeeting + firstAnswer
	}
}

// heardRelays says that every relay was asked once.
func (s *Subscriber) heardRelays() bool {
	for i := range relayCount {
		if !s.asked[i].Load() {
			return false
		}
	}
	return true
}

// mustFollow says whether the node follows the store itself: no relay tells it
// of changes. The first node of a zone has none.
func (s *Subscriber) mustFollow() bool {
	for i := range relayCount {
		if s.relayed[i].Load() {
			return false
		}
	}
	return true
}

// fresh says that the node hears of changes, from the store or from a relay.
func (s *Subscriber) fresh() bool { return s.following.Load() || !s.mustFollow() }

// setFollowing returns what it was before.
func (s *Subscriber) setFollowing(follows bool) bool {
	before := s.following.Swap(follows)
	if before != follows {
		s.tellFresh()
	}
	return before
}

func (s *Subscriber) setRelayed(index int, relayed bool) {
	if s.relayed[index].Swap(relayed) != relayed {
		s.tellFresh()
	}
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

// relay returns a relay that this node asks, and whether there is one. A relay asks
// those before it.
func (s *Subscriber) relay(index int) (Relay, bool) {
	for i, r := range s.config.Relays() {
		if r.Address == s.config.Own {
			return Relay{}, false
		}
		if i == index {
			return r, true
		}
	}
	return Relay{}, false
}

// followRelay keeps a question open at one relay.
func (s *Subscriber) followRelay(ctx context.Context, index int) {
	for ctx.Err() == nil {
		relay, found := s.relay(index)
		if !found {
			s.setRelayed(index, false)
			s.asked[index].Store(true)
			if !pauser.Pause(ctx, rolePause) {
				return
			}
			continue
		}
		reply, err := s.askRelay(ctx, relay)
		s.setRelayed(index, err == nil && reply.Following && reply.Start == relay.Start)
		s.asked[index].Store(true)
		if err == nil {
			s.take(ctx, relay, reply, "relay")
		}
		if (err != nil || !reply.Following) && !pauser.Pause(ctx, peerPause) {
			return
		}
	}
}

// askRelay asks the relay for changes. A node without a version takes one from any
// process at the relay's address: after a restart of all, the others' starts are not
// known yet, and a whole configuration for each node would fill the links.
func (s *Subscriber) askRelay(ctx context.Context, relay Relay) (forwarder.ConfigurationReply, error) {
	if s.Version() == 0 {
		relay.Start = 0
	}
	return s.ask(ctx, relay, relayWait)
}

// followStore takes in what the store has and watches it until a call fails.
func (s *Subscriber) followStore(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if !s.setFollowing(true) {
		s.config.Observe.StoreRegained()
	}
	for {
		events, err := s.watch(ctx, s.known())
		if err != nil {
			return err
		}
		s.takeEvents(events)
		if len(events.List) > 0 && !pauser.Pause(ctx, gatherTime) {
			return ctx.Err()
		}
		if !s.mustFollow() {
			return nil
		}
	}
}

// catchUp takes in the store's version. A node that knows a revision asks for what
// changed since then: a whole configuration for each node at once would fill their
// links when the store is back.
func (s *Subscriber) catchUp(ctx context.Context) error {
	if revision := s.known(); revision > 0 {
		events, err := s.config.Store.Follow(ctx, s.config.Key, revision, shortestWatch)
		if err == nil {
			s.takeEvents(events)
		}
		return err
	}
	item, revision, err := s.config.Store.Read(ctx, s.config.Key)
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		s.know(revision)
		return nil
	}
	if err != nil {
		return err
	}
	s.apply(item.Value, "store")
	s.know(revision)
	return nil
}

// shortestWatch is the wait of a watch that only asks what there is.
const shortestWatch = time.Millisecond

func (s *Subscriber) takeEvents(events keeper.Events) {
	for i := len(events.List) - 1; i >= 0; i-- {
		if event := events.List[i]; event.Key == s.config.Key && !event.Deleted {
			s.apply(event.Value, "store")
			break
		}
	}
	s.know(events.Revision)
}

// errHinted ends a watch because another node is ahead of it.
var errHinted = errors.New("another node has a newer version")

// watch waits for changes. A hint that is not followed by the store's own word
// within a gatherTime ends it: the watch may have gone silent.
func (s *Subscriber) watch(ctx context.Context, after keeper.Revision) (keeper.Events, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
			return
		case <-s.hinted:
		}
		select {
		case <-done:
		case <-time.After(gatherTime):
			cancel(errHinted)
		}
	}()
	events, err := s.config.Store.Follow(ctx, s.config.Key, after, watchTime)
	if err != nil && errors.Is(context.Cause(ctx), errHinted) {
		return events, &keeper.HistoryLostError{After: after}
	}
	return events, err
}

// followPeers asks other nodes while the store does not answer.
func (s *Subscriber) followPeers(ctx context.Context) {
	turn := 0
	for pauser.Pause(ctx, peerPause) {
		if s.following.Load() || !s.mustFollow() {
			continue
		}
		peers := s.config.Peers()
		if len(peers) == 0 {
			continue
		}
		peer := Relay{Address: peers[turn%len(peers)]}
		reply, err := s.ask(ctx, peer, peerWait)
		if err != nil || (!reply.Following && reply.Version == 0) {
			turn++
		}
		if err == nil {
			s.take(ctx, peer, reply, "peer")
		}
	}
}

func (s *Subscriber) ask(
	ctx context.Context, r Relay, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	return s.askFrom(ctx, r, s.Version(), wait)
}

func (s *Subscriber) askFrom(
	ctx context.Context, r Relay, have int64, wait time.Duration,
) (forwarder.ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	return s.config.Ask(ctx, r.Address, forwarder.ConfigurationArgs{Start: r.Start, Have: have, Wait: wait})
}

// take brings what another node told into force. A patch that does not lead to the
// version that it stands for is replaced by the whole.
func (s *Subscriber) take(ctx context.Context, r Relay, reply forwarder.ConfigurationReply, source string) {
	if reply.Version == 0 && reply.Following && reply.Revision > 0 {
		s.know(max(s.known(), keeper.Revision(reply.Revision)))
	}
	if reply.Version <= s.Version() {
		return
	}
	data, err := s.decode(reply.Message)
	if err != nil {
		s.config.Observe.Unusable(source, err)
		if reply, err = s.askFrom(ctx, r, 0, peerWait); err != nil {
			return
		}
		if data, err = s.decode(reply.Message); err != nil {
			s.config.Observe.Unusable(source, err)
			return
		}
	}
	s.apply(data, source)
	s.know(keeper.Revision(reply.Revision))
}

func (s *Subscriber) decode(m encoder.Message) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Decode(m)
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

// Next returns a configuration newer than have, waiting for one until the
// context ends.
func (s *Subscriber) Next(ctx context.Context, have int64) forwarder.ConfigurationReply {
	fresh := s.fresh()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.Version() > have {
			return s.reply(have)
		}
		if s.fresh() != fresh {
			return s.unchanged()
		}
		select {
		case <-ctx.Done():
			return s.unchanged()
		case <-changed:
		}
	}
}

// unchanged says that there is no newer version.
func (s *Subscriber) unchanged() forwarder.ConfigurationReply {
	return forwarder.ConfigurationReply{Following: s.fresh(), Revision: int64(s.known())}
}

func (s *Subscriber) reply(have int64) forwarder.ConfigurationReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	message, err := s.history.Encode(have)
	if err != nil {
		s.config.Observe.Unusable("encoder", err)
	}
	return forwarder.ConfigurationReply{Message: message, Following: s.fresh(), Revision: int64(s.revision)}
}
