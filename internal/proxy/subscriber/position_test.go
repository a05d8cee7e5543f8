package subscriber

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

// A relay of a later release sends a version that this node can't decode. The position is then
// not known: a node that took it would not find the version in the store, and would tell the
// nodes that poll it that there is none.
func TestUndecodableReplyConfirmsNoPosition(t *testing.T) {
	Convey("A node of an older release", t, func() {
		s := newRelease(4)
		s.apply([]byte("4"), storeSource, keeper.Position{Era: 1, Revision: 10})
		s.applyReply(context.Background(), Relay{}, replyWith(s, "5", keeper.Position{Era: 1, Revision: 20}), "relay")
		So(s.Version(), ShouldEqual, 4)
		So(s.knownPosition(), ShouldResemble, keeper.Position{Era: 1, Revision: 10})
	})
}

// onRejected is an Observer that calls a function when the rejection ends.
type onRejected struct {
	silent
	run func()
}

func (o onRejected) Rejected(rejected bool) {
	if !rejected {
		o.run()
	}
}

// A poll ends in the moment in which a version comes into force. Its reply may not confirm the
// requester's version at the position of the newer one, or the requester misses that one if
// it follows the store from there.
func TestReplyWithoutVersionConfirmsNoPositionOfNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A relay that rejects version 5 until version 6 is there", t, func() {
			relay := newRelease(4)
			ctx, cancel := context.WithCancel(context.Background())
			relay.config.Observe = onRejected{run: cancel}
			relay.apply([]byte("4"), storeSource, keeper.Position{Era: 1, Revision: 10})
			relay.setWatchingStore(true)
			relay.apply([]byte("5"), storeSource, keeper.Position{Era: 1, Revision: 20})
			replies := make(chan forwarder.ConfigurationReply, 1)
			go func() { replies <- relay.Next(ctx, 4) }()
			synctest.Wait()
			relay.config.Decode = newRelease(9).config.Decode
			relay.apply([]byte("6"), storeSource, keeper.Position{Era: 1, Revision: 30})
			reply := <-replies
			if reply.Version == 0 {
				So(reply.Position().Revision, ShouldBeLessThan, 30)
			}
		})
	})
}

// strictStore counts its calls, each of which takes a millisecond.
type strictStore struct {
	keeper.EventStore
	mu    sync.Mutex
	calls int
	read  func() (keeper.Item, keeper.Position, error)
	watch func(after keeper.Position) (keeper.Events, error)
}

func (c *strictStore) count() {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	time.Sleep(time.Millisecond)
}

func (c *strictStore) Read(context.Context, string) (keeper.Item, keeper.Position, error) {
	c.count()
	return c.read()
}

func (c *strictStore) Watch(ctx context.Context, _ string, after keeper.Position, wait time.Duration) (keeper.Events, error) {
	c.count()
	events, err := c.watch(after)
	if err == nil && len(events.List) == 0 {
		pause, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		<-pause.Done()
		err = ctx.Err()
	}
	return events, err
}

// A store that does not retain what a reader asks for, although it has just read all, must not
// get calls without a pause between them: their number and rate are limited.
func TestHistoryThatIsLostAgainAndAgainIsNotReadWithoutPause(t *testing.T) {
	found := func() (keeper.Item, keeper.Position, error) {
		return keeper.Item{Value: []byte("1")}, keeper.Position{Revision: 7}, nil
	}
	cases := map[string]*strictStore{
		"no configuration yet and no history": {
			read: func() (keeper.Item, keeper.Position, error) {
				return keeper.Item{}, keeper.Position{Era: 1}, &keeper.NotFoundError{Key: "k"}
			},
			watch: func(after keeper.Position) (keeper.Events, error) {
				return keeper.Events{}, &keeper.HistoryLostError{After: after, Era: 1}
			},
		},
		"responses without an era after some with one": {
			read: found,
			watch: func(after keeper.Position) (keeper.Events, error) {
				if after.Era != 0 {
					return keeper.Events{}, &keeper.HistoryLostError{After: after}
				}
				return keeper.Events{Position: after}, nil
			},
		},
	}
	for name, store := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("A node that follows the store", t, func() {
					s := newRelease(9)
					s.config.Store = store
					s.config.Peers = func() []string { return nil }
					discovered := make(chan struct{})
					close(discovered)
					s.config.Discovered = discovered
					s.confirm(keeper.Position{Era: 1, Revision: 5})
					ctx, cancel := context.WithCancel(context.Background())
					go s.Run(ctx)
					time.Sleep(10 * time.Second)
					store.mu.Lock()
					calls := store.calls
					store.mu.Unlock()
					cancel()
					time.Sleep(time.Minute)
					So(calls, ShouldBeLessThan, 100)
				})
			})
		})
	}
}

// A node that is no relay finds the store in a new era. It must read the version at once: it has
// waited for its relays already, and the version there may be the one that all miss.
func TestLostHistoryIsReadWithoutWaitingForRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node at position 12 of its zone, whose relays receive no changes", t, func() {
			var lost, read time.Time
			s := newOutsider(&strictStore{
				read: func() (keeper.Item, keeper.Position, error) {
					read = time.Now()
					return keeper.Item{Value: []byte("4")}, keeper.Position{Era: 2, Revision: 7}, nil
				},
				watch: func(after keeper.Position) (keeper.Events, error) {
					if after.Era == 1 {
						lost = time.Now()
						return keeper.Events{}, &keeper.HistoryLostError{After: after, Era: 2}
					}
					return keeper.Events{Position: after}, nil
				},
			})
			s.apply([]byte("3"), "relay", keeper.Position{Era: 1, Revision: 9})
			ctx, cancel := context.WithCancel(context.Background())
			go s.Run(ctx)
			time.Sleep(10 * time.Second)
			cancel()
			time.Sleep(time.Minute)
			So(read.Sub(lost), ShouldBeBetween, 0, minTakeoverDelay)
			So(s.Version(), ShouldEqual, 4)
		})
	})
}

// A node starts and can't decode the store's version, and no other node replies at first. It
// must go on asking them, or it never serves.
func TestNodeThatCannotDecodeStoreGoesOnAskingPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A node whose peers reply three seconds after its start", t, func() {
			s := newOutsider(&strictStore{
				read: func() (keeper.Item, keeper.Position, error) {
					return keeper.Item{Value: []byte("12")}, keeper.Position{Era: 1, Revision: 7}, nil
				},
				watch: func(after keeper.Position) (keeper.Events, error) { return keeper.Events{Position: after}, nil },
			})
			s.config.Peers = func() []string { return []string{"peer"} }
			start := time.Now()
			s.config.Request = func(_ context.Context, address string, _ forwarder.ConfigurationArgs) (forwarder.ConfigurationReply, error) {
				time.Sleep(time.Millisecond)
				if address != "peer" || time.Since(start) < 3*time.Second {
					return forwarder.ConfigurationReply{}, context.DeadlineExceeded
				}
				return replyWith(s, "3", keeper.Position{}), nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			go s.Run(ctx)
			time.Sleep(3*time.Second + 2*peerPollInterval)
			version := s.Version()
			cancel()
			time.Sleep(time.Minute)
			So(version, ShouldEqual, 3)
		})
	})
}
