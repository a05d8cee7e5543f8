package executor

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
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
		first, err := p.get(context.Background(), address, "", now)
		So(err, ShouldBeNil)
		upstream, err := l.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = upstream.Close() }()
		p.put(first, address, 0, now)

		Convey("reuses it while it has no input", func() {
			again, err := p.get(context.Background(), address, "", now)
			So(err, ShouldBeNil)
			So(again, ShouldEqual, first)
		})
		Convey("opens another one once it has input", func() {
			_, err := upstream.Write([]byte("HTTP/1.1 200 OK\r\n\r\nbytes that belong to no call"))
			So(err, ShouldBeNil)
			for isReusable(first.Conn) {
				runtime.Gosched()
			}
			next, err := p.get(context.Background(), address, "", now)
			So(err, ShouldBeNil)
			So(next, ShouldNotEqual, first)
		})
		Convey("closes it with the next use once it is too old", func() {
			later := now.Add(2 * defaultIdleTimeout)
			other, err := p.dial(context.Background(), address, p.generation)
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

// A call runs on a connection to an incarnation that another one replaces meanwhile. The next
// call would reach the former one, whose refusal would count against the present one.
func TestConnectionOfFormerIncarnationIsNotKept(t *testing.T) {
	Convey("Connections that were opened before a drop of the pool are closed after their use", t, func() {
		p := newPool(func(context.Context, string) (net.Conn, error) {
			near, _ := net.Pipe()
			return near, nil
		})
		now := time.Now()
		former, err := p.get(context.Background(), "a", "", now)
		So(err, ShouldBeNil)
		p.drop()
		p.put(former, "a", 0, now)
		next, err := p.get(context.Background(), "a", "", now)
		So(err, ShouldBeNil)
		So(next, ShouldNotEqual, former)
		p.put(next, "a", 0, now)
		again, err := p.get(context.Background(), "a", "", now)
		So(err, ShouldBeNil)
		So(again, ShouldEqual, next)
	})
}

// A caller disconnects while its call runs. How long it waited must not count as the service time of
// the upstream.
func TestWithdrawnCallIsNoSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The queue keeps its estimate, and the slot is free", t, func() {
			e := New(Config{Dialect: silentDialect{}, Changed: func() {}, Dial: func(context.Context, string) (net.Conn, error) {
				near, _ := net.Pipe()
				return near, nil
			}})
			e.Heartbeat(tracker.Heartbeat{Instance: "i", Sequence: 1, Service: "s", Address: "a", Slots: 1}, time.Now())
			before := e.queue.ServiceTime("k")
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Second, cancel)
			result, _ := e.Execute(ctx, Job{Service: "s", Kind: "k", Objective: time.Minute, Remaining: time.Minute})
			So(result.Reason, ShouldEqual, carrier.CallerGone)
			So(e.queue.ServiceTime("k"), ShouldEqual, before)
			So(e.queue.InUse(), ShouldEqual, 0)
		})
	})
}

// silentDialect writes calls to nobody and waits for answers without end.
type silentDialect struct{}

func (silentDialect) EncodeCall(*bufio.Writer, UpstreamRequest) error { return nil }

func (silentDialect) DecodeAnswer(*bufio.Reader, string) (Head, error) { return Head{}, net.ErrClosed }

func (silentDialect) Account(carrier.Fields) string { return "" }
