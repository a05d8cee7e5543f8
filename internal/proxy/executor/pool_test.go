package executor

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
)

// An upstream sends bytes on an idle connection. The next call must not take them for its
// answer. The test uses a real socket, since the check reads from one.
func TestIdleConnectionWithInputIsNotReused(t *testing.T) {
	Convey("A pool with one idle connection", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		address := l.Addr().String()
		dialer := net.Dialer{}
		p := newPool(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		})
		now := time.Now()
		first, err := p.get(context.Background(), address, now)
		So(err, ShouldBeNil)
		upstream, err := l.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = upstream.Close() }()
		p.put(first, address, 0, now)

		Convey("reuses it while it has no input", func() {
			again, err := p.get(context.Background(), address, now)
			So(err, ShouldBeNil)
			So(again, ShouldEqual, first)
		})
		Convey("opens another one once it has input", func() {
			_, err := upstream.Write([]byte("HTTP/1.1 200 OK\r\n\r\nbytes that belong to no call"))
			So(err, ShouldBeNil)
			for isReusable(first.Conn) {
				runtime.Gosched()
			}
			next, err := p.get(context.Background(), address, now)
			So(err, ShouldBeNil)
			So(next, ShouldNotEqual, first)
		})
		Convey("closes it with the next use once it is too old", func() {
			later := now.Add(2 * defaultIdleTimeout)
			other, err := p.dial(context.Background(), address)
			So(err, ShouldBeNil)
			p.put(other, address, 0, later)
			So(p.idle, ShouldHaveLength, 1)
			So(p.idle[0], ShouldEqual, other)
		})
	})
}

// A connection to a former incarnation of the upstream can't be opened. That says nothing
// about the one that has taken over meanwhile.
func TestFailedDialToFormerIncarnationBlocksNoCalls(t *testing.T) {
	Convey("Only a failed dial to the current incarnation starts the backoff", t, func() {
		e := New(Config{Changed: func() {}})
		now := time.Unix(1000, 0)
		heartbeat := tracker.Heartbeat{Instance: "i", Born: 1, Sequence: 1, Service: "s", Address: "a", Slots: 4}
		e.Heartbeat(heartbeat, now)
		former := e.Upstream().Incarnation()
		heartbeat.Born = 2
		e.Heartbeat(heartbeat, now)
		e.markUnreachable(context.Background(), former, now)
		So(e.unreachableUntil.IsZero(), ShouldBeTrue)
		e.markUnreachable(context.Background(), e.Upstream().Incarnation(), now)
		So(e.unreachableUntil, ShouldEqual, now.Add(unreachableBackoff))
	})
}
