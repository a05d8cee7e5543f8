package subscriber

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// silent is an Observer that does nothing.
type silent struct{}

func (silent) InForce(router.Configuration, string) {}
func (silent) Rejected(bool)                        {}
func (silent) Unusable(string, error)               {}
func (silent) StoreLost(error)                      {}
func (silent) StoreRegained()                       {}
func (silent) Following(Source)                     {}

// newRelease returns a subscriber that decodes versions up to newest. A configuration is the
// decimal text of its version.
func newRelease(newest int64) *Subscriber {
	return New(Config{
		Decode: func(data []byte) (router.Configuration, error) {
			version, err := strconv.ParseInt(string(data), 10, 64)
			if err == nil && version > newest {
				err = errors.Newf("version %d is of a later release", version)
			}
			return router.Configuration{Version: version}, err
		},
		Relays:      func() []Relay { return nil },
		RemotePeers: func() []string { return nil },
		Observe:     silent{},
	})
}

// replyOf returns the reply of a subscriber to a node that holds version have.
func replyOf(s *Subscriber, have int64) (version int64, subscribed bool, revision int64) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reply := s.Next(ctx, have)
	return reply.Version, reply.Subscribed, reply.PackedPosition
}

// A relay of an older release can't decode the newest version. If it counted as receiving
// changes, the nodes of the later release that poll it would never get that version.
func TestRelayThatCannotDecodeNewestIsNotSubscribed(t *testing.T) {
	Convey("A relay that rejects the store's version sends the others to the store", t, func() {
		relay := newRelease(1)
		relay.apply([]byte("1"), storeSource, keeper.Position{})
		relay.confirm(keeper.Position{Revision: 10})
		relay.setWatchingStore(true)
		version, subscribed, revision := replyOf(relay, 0)
		So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(1), true, int64(10)})

		relay.apply([]byte("2"), storeSource, keeper.Position{})
		relay.confirm(keeper.Position{Revision: 11})
		version, subscribed, revision = replyOf(relay, 0)
		So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(1), false, int64(0)})
		_, subscribed, revision = replyOf(relay, 1)
		So([]any{subscribed, revision}, ShouldResemble, []any{false, int64(0)})

		Convey("and reads the rejected value again at its next watch", func() {
			relay.setWatchingStore(false)
			So(relay.knownPosition(), ShouldResemble, keeper.Position{})
		})
		Convey("until a later version can be decoded again", func() {
			relay.config.Decode = newRelease(3).config.Decode
			relay.apply([]byte("3"), storeSource, keeper.Position{})
			relay.confirm(keeper.Position{Revision: 12})
			version, subscribed, revision = replyOf(relay, 1)
			So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(3), true, int64(12)})
		})
	})
}

// If the position of a configuration that the node can't decode counted as known, a watch from
// there would never deliver that version, although the store may have it in a usable form.
func TestUndecodableConfigurationOfOtherNodeConfirmsNoPosition(t *testing.T) {
	Convey("A relay passes on a version that this release can't decode", t, func() {
		s := newRelease(1)
		s.apply([]byte("1"), "relay", keeper.Position{Era: 1, Revision: 10})
		s.apply([]byte("2"), "relay", keeper.Position{Era: 1, Revision: 11})
		So(s.knownPosition(), ShouldResemble, keeper.Position{Era: 1, Revision: 10})
		_, _, revision := replyOf(s, 1)
		So(revision, ShouldEqual, forwarder.Pack(keeper.Position{Era: 1, Revision: 10}))
	})
}

// Neither the relays nor the store give a node the newest version, but its calls reach a
// node that has it.
func TestHintedVersionIsRequestedFromItsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The node that has a newer version is asked for it once nothing else provided it", t, func() {
			s := newRelease(9)
			var mu sync.Mutex
			var requested []string
			s.config.Request = func(_ context.Context, address string, _ forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
				mu.Lock()
				defer mu.Unlock()
				requested = append(requested, address)
				return forwarder.ConfigurationReply{}, errors.New("not in this test")
			}
			s.apply([]byte("3"), "relay", keeper.Position{})
			ctx, cancel := context.WithCancel(context.Background())
			go s.followHints(ctx)
			s.Hint(3, "same")
			s.Hint(5, "newer")
			asked := func() []string {
				mu.Lock()
				defer mu.Unlock()
				return append([]string{}, requested...)
			}
			time.Sleep(coalesceDelay - time.Millisecond)
			So(asked(), ShouldBeEmpty)
			time.Sleep(2 * time.Millisecond)
			So(asked(), ShouldResemble, []string{"newer"})

			s.Hint(6, "overtaken")
			s.apply([]byte("6"), "relay", keeper.Position{})
			time.Sleep(2 * coalesceDelay)
			So(asked(), ShouldHaveLength, 1)
			cancel()
			synctest.Wait()
		})
	})
}

// hangingStore is a store whose watches, but for those that return at once, hang until the
// call times out. It records the times of all calls.
type hangingStore struct {
	keeper.EventStore

	mu    sync.Mutex
	down  bool
	calls []time.Time
}

// call records a call and reports whether the store is down.
func (h *hangingStore) call() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, time.Now())
	return h.down
}

func (h *hangingStore) setDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = true
}

// times returns the times of the calls so far.
func (h *hangingStore) times() []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.calls...)
}

const hangingWatchTimeout = 3 * time.Second

func (h *hangingStore) Read(context.Context, string) (keeper.Item, keeper.Position, error) {
	h.call()
	return keeper.Item{Value: []byte("1")}, keeper.Position{Revision: 1}, nil
}

func (h *hangingStore) Watch(ctx context.Context, _ string, after keeper.Position, wait time.Duration) (keeper.Events, error) {
	if down := h.call(); wait == minWatchTimeout && !down {
		return keeper.Events{Position: after}, nil
	}
	pause, cancel := context.WithTimeout(ctx, hangingWatchTimeout)
	defer cancel()
	<-pause.Done()
	return keeper.Events{}, errors.New("no response")
}

// newOutsider returns the subscriber of the node at position 12 of its zone. The relays reply but
// receive no changes, and there are no other nodes.
func newOutsider(store keeper.EventStore) *Subscriber {
	s := newRelease(9)
	s.config.Store = store
	s.config.Relays = func() []Relay {
		var relays []Relay
		for i := range 20 {
			relays = append(relays, Relay{Address: fmt.Sprintf("node-%d", i)})
		}
		return relays
	}
	s.config.OwnAddress = "node-12"
	s.config.Peers = func() []string { return nil }
	s.config.Request = func(context.Context, string, forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
		return forwarder.ConfigurationReply{}, nil
	}
	discovered := make(chan struct{})
	close(discovered)
	s.config.Discovered = discovered
	return s
}

// The relays of a zone reply but receive no changes, and a node that is no relay follows the
// store itself. After the loss of its watch it must try again at once: the relays did not
// serve it before either. While the store stays down, it waits its turn between tries.
func TestLostWatchIsReplacedWithoutWaitingForRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node at position 12 of its zone", t, func() {
			store := &hangingStore{}
			s := newOutsider(store)
			ctx, cancel := context.WithCancel(context.Background())
			go s.Run(ctx)
			time.Sleep(20 * time.Second)
			calls := store.times()
			for i := 2; i < len(calls)-1; i += 2 {
				gap := calls[i].Sub(calls[i-1])
				So(gap, ShouldBeLessThanOrEqualTo, hangingWatchTimeout+storeRetryBackoff+takeoverDelayStep)
			}
			Convey("waits for the relays between tries while the store stays down", func() {
				store.setDown()
				time.Sleep(10 * time.Second)
				calls := store.times()
				n := len(calls)
				So(calls[n-1].Sub(calls[n-2]), ShouldBeGreaterThan, hangingWatchTimeout+storeRetryBackoff+minTakeoverDelay)
			})
			cancel()
			time.Sleep(time.Minute)
		})
	})
}

// A zone's relays receive no changes for a moment, as after an outage of the store. If the other
// nodes did not wait for them, all nodes would contact the store at once.
func TestNodeThatIsNoRelayWaitsForItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node at position 4 of its zone, whose relays reply", t, func() {
			const delay = minTakeoverDelay + 4*takeoverDelayStep
			relay := newRelease(9)
			relay.apply([]byte("1"), storeSource, keeper.Position{Revision: 1})
			relay.setWatchingStore(true)
			s, store := newRelease(9), &hangingStore{}
			s.config.Store = store
			s.config.Relays = func() []Relay {
				return []Relay{{Address: "0"}, {Address: "1"}, {Address: "2"}, {Address: "3"}, {Address: "4"}}
			}
			s.config.OwnAddress = "4"
			s.config.Peers = func() []string { return nil }
			s.config.Request = func(ctx context.Context, _ string, args forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
				ctx, cancel := context.WithTimeout(ctx, args.Wait)
				defer cancel()
				return relay.Next(ctx, args.Have), nil
			}
			discovered := make(chan struct{})
			close(discovered)
			s.config.Discovered = discovered
			ctx, cancel := context.WithCancel(context.Background())
			go s.Run(ctx)
			time.Sleep(5 * time.Second)
			So(s.Version(), ShouldEqual, 1)

			relay.setWatchingStore(false)
			time.Sleep(delay - time.Millisecond)
			So(store.times(), ShouldBeEmpty)
			Convey("leaves the store to relays that receive changes again", func() {
				relay.setWatchingStore(true)
				time.Sleep(time.Minute)
				So(store.times(), ShouldBeEmpty)
			})
			Convey("contacts the store after its delay if they do not", func() {
				time.Sleep(rolePollInterval + 2*time.Millisecond)
				So(store.times(), ShouldNotBeEmpty)
			})
			cancel()
			time.Sleep(time.Minute)
		})
	})
}

// positionObserver records the position known when a version comes into force.
type positionObserver struct {
	silent
	subscriber *Subscriber
	position   keeper.Position
}

// InForce is called with the subscriber's lock held.
func (r *positionObserver) InForce(router.Configuration, string) { r.position = r.subscriber.position }

// A relay notifies the nodes that poll it when a version comes into force. A reply that left
// without the position would make them read the whole configuration from the store.
func TestVersionComesIntoForceWithItsPosition(t *testing.T) {
	Convey("The position is known when the version comes into force", t, func() {
		s := newRelease(9)
		observer := &positionObserver{subscriber: s}
		s.config.Observe = observer
		event := keeper.Event{Item: keeper.Item{Key: s.config.Key, Value: []byte("3")}}
		s.applyEvents(keeper.Events{List: []keeper.Event{event}, Position: keeper.Position{Era: 2, Revision: 12}})
		So(observer.position, ShouldResemble, keeper.Position{Era: 2, Revision: 12})
		s.applyReply(context.Background(), Relay{}, replyWith(s, "4", keeper.Position{Era: 2, Revision: 15}), "relay")
		So(observer.position, ShouldResemble, keeper.Position{Era: 2, Revision: 15})
	})
}

// replyWith returns the reply of a relay that has the configuration at a position.
func replyWith(s *Subscriber, configuration string, position keeper.Position) forwarder.ConfigurationReply {
	relay := newRelease(9)
	relay.apply([]byte(configuration), storeSource, position)
	relay.setWatchingStore(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return relay.Next(ctx, s.Version())
}

// A relay that has not seen the store's new era yet passes a higher revision of the former one
// on. A node that took it would read the whole configuration again and again.
func TestPositionOfFormerEraIsIgnored(t *testing.T) {
	Convey("A node that has seen era 2", t, func() {
		s := newRelease(9)
		s.apply([]byte("3"), storeSource, keeper.Position{Era: 2, Revision: 30})
		former := keeper.Position{Era: 1, Revision: 45}
		Convey("keeps its position", func() {
			s.applyReply(context.Background(), Relay{}, replyWith(s, "3", former), "relay")
			So(s.knownPosition(), ShouldResemble, keeper.Position{Era: 2, Revision: 30})
		})
		Convey("keeps it unknown after the history was lost", func() {
			s.forgetPosition(2)
			s.applyReply(context.Background(), Relay{}, replyWith(s, "3", former), "relay")
			So(s.knownPosition().Revision, ShouldEqual, 0)
		})
	})
}

// A relay of another release sends a version that this node can't decode, in each reply. The
// node asked again at once, a thousand times a second.
func TestUndecodableVersionIsNotRequestedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node whose relay has a version of a later release", t, func() {
			s := newRelease(3)
			s.apply([]byte("3"), "relay", keeper.Position{})
			s.config.OwnAddress = "own"
			s.config.Relays = func() []Relay { return []Relay{{Address: "relay"}, {Address: "own"}} }
			requests := 0
			s.config.Request = func(context.Context, string, forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
				requests++
				time.Sleep(time.Millisecond)
				return replyWith(s, "4", keeper.Position{Era: 1, Revision: 9}), nil
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			s.pollRelay(ctx, 0)
			So(requests, ShouldBeLessThanOrEqualTo, 2*int(10*time.Second/peerPollInterval))
			So(s.Version(), ShouldEqual, 3)
		})
	})
}

// A relay loses the store after a reply that said it receives changes, and before the next request.
// Until it replies, the node relies on it and does not read the store itself.
func TestLossBetweenTwoRequestsIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A relay that has just lost the store", t, func() {
			relay := newRelease(9)
			relay.apply([]byte("1"), storeSource, keeper.Position{Revision: 1})
			ctx, cancel := context.WithTimeout(context.Background(), relayPollTimeout)
			defer cancel()
			relay.setWatchingStore(true)
			relay.setWatchingStore(false)
			start := time.Now()
			So(relay.Next(ctx, 1).Subscribed, ShouldBeFalse)
			So(time.Since(start), ShouldEqual, 0)
			Convey("holds later requests, until it receives changes again", func() {
				time.Sleep(recentLoss)
				time.AfterFunc(time.Second/2, func() { relay.setWatchingStore(true) })
				So(relay.Next(ctx, 1).Subscribed, ShouldBeTrue)
				So(time.Since(start), ShouldEqual, recentLoss+time.Second/2)
			})
		})
	})
}

// Both relays of a zone say that they receive changes, but none reaches them. Whatever the node
// believes of them, it must get a version that another zone has, although some nodes of that do not
// reply.
func TestNodeAsksOtherZonesWhateverItsRelaysSay(t *testing.T) {
	const bound = peerCheckInterval + (checkedPeers-1)*consultDelay
	for silent := range checkedPeers {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%d of %d nodes of another zone do not reply", silent, checkedPeers), t, func() {
				remote := newRelease(9)
				remote.apply([]byte("1"), storeSource, keeper.Position{Revision: 1})
				s := newRelease(9)
				s.apply([]byte("1"), "relay", keeper.Position{Revision: 1})
				s.config.Store = &hangingStore{}
				s.config.OwnAddress = "own"
				s.config.Relays = func() []Relay { return []Relay{{Address: "relay"}, {Address: "own"}} }
				s.config.RemotePeers = func() []string { return []string{"r0", "r1", "r2"} }
				s.config.Request = func(ctx context.Context, address string, args forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
					ctx, cancel := context.WithTimeout(ctx, args.Wait)
					defer cancel()
					switch {
					case address == "relay":
						<-ctx.Done()
						return forwarder.ConfigurationReply{Subscribed: true}, nil
					case address < fmt.Sprintf("r%d", silent):
						time.Sleep(time.Second)
						return forwarder.ConfigurationReply{}, errors.New("no reply")
					}
					return remote.Next(ctx, args.Have), nil
				}
				discovered := make(chan struct{})
				close(discovered)
				s.config.Discovered = discovered
				ctx, cancel := context.WithCancel(context.Background())
				go s.Run(ctx)
				time.Sleep(10*time.Second + time.Millisecond)
				remote.apply([]byte("2"), storeSource, keeper.Position{Revision: 2})
				time.Sleep(bound)
				So(s.Version(), ShouldEqual, 2)
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
