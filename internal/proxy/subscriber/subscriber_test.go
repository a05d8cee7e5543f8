package subscriber

import (
	"context"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// silent is an Observer that does nothing.
type silent struct{}

func (silent) InForce(router.Configuration, string) {}
func (silent) Rejected(bool)                        {}
func (silent) Unusable(string, error)               {}
func (silent) StoreLost(error)                      {}
func (silent) StoreRegained()                       {}

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
		Relays:  func() []Relay { return nil },
		Observe: silent{},
	})
}

// replyOf returns the reply of a subscriber to a node that holds version have.
func replyOf(s *Subscriber, have int64) (version int64, subscribed bool, revision int64) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reply := s.Next(ctx, have)
	return reply.Version, reply.Subscribed, reply.Revision
}

// A relay of an older release can't decode the newest version. If it counted as receiving
// changes, the nodes of the later release that poll it would never get that version.
func TestRelayThatCannotDecodeNewestIsNotSubscribed(t *testing.T) {
	Convey("A relay that rejects the store's version sends the others to the store", t, func() {
		relay := newRelease(1)
		relay.apply([]byte("1"), storeSource)
		relay.setKnownRevision(10)
		relay.setWatchingStore(true)
		version, subscribed, revision := replyOf(relay, 0)
		So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(1), true, int64(10)})

		relay.apply([]byte("2"), storeSource)
		relay.setKnownRevision(11)
		version, subscribed, revision = replyOf(relay, 0)
		So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(1), false, int64(0)})
		_, subscribed, revision = replyOf(relay, 1)
		So([]any{subscribed, revision}, ShouldResemble, []any{false, int64(0)})

		Convey("and reads the rejected value again at its next watch", func() {
			relay.setWatchingStore(false)
			So(relay.knownRevision(), ShouldEqual, 0)
		})
		Convey("until a later version can be decoded again", func() {
			relay.config.Decode = newRelease(3).config.Decode
			relay.apply([]byte("3"), storeSource)
			relay.setKnownRevision(12)
			version, subscribed, revision = replyOf(relay, 1)
			So([]any{version, subscribed, revision}, ShouldResemble, []any{int64(3), true, int64(12)})
		})
	})
}
