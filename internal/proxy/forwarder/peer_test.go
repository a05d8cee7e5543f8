package forwarder

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/standin/clock"
)

// Guards against a jump of the time of day that closes a living connection, with all calls on
// it, or hides a dead one.
func TestStepOfClockIsNoSilenceOfPeer(t *testing.T) {
	for _, seconds := range []int{5, -5} {
		Convey("A connection over which data came 100 ms before is idle for that long", t, func() {
			near, far := net.Pipe()
			opened := time.Now()
			l := newConnection(near, opened)
			defer func() { _, _ = l.Close(), far.Close() }()
			read := opened.Add(time.Second)
			l.conn.received(read)
			now := clock.Step(read.Add(100*time.Millisecond), seconds)
			So(l.conn.idleTime(opened, now), ShouldEqual, 100*time.Millisecond)
		})
		Convey("A silent connection is probed, each probeTimeout", t, func() {
			near, far := net.Pipe()
			opened := time.Now()
			l := newConnection(near, opened)
			defer func() { _, _ = l.Close(), far.Close() }()
			first := opened.Add(probeAfter)
			So(l.probeDue(first), ShouldBeTrue)
			So(l.probeDue(clock.Step(first.Add(probeTimeout-1), seconds)), ShouldBeFalse)
			So(l.probeDue(clock.Step(first.Add(probeTimeout), seconds)), ShouldBeTrue)
		})
	}
}

// slowNode is an RPC service that replies to an attempt after a time.
type slowNode struct{ time time.Duration }

func (slowNode) Ping(*Empty, *Empty) error { return nil }

func (n slowNode) Run(*RunArgs, *RunReply) error {
	time.Sleep(n.time)
	return nil
}

// slowLink takes a time for each byte that is written.
type slowLink struct {
	net.Conn
	perByte time.Duration
}

// Write implements net.Conn.
func (c slowLink) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(len(b)) * c.perByte)
	return c.Conn.Write(b)
}

// A node replies in time to a long message over a slow link. The time of writing is not
// silence of the node: the connection, with all calls in flight on it, must not be closed.
func TestSlowWriteIsNotSilenceOfThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An attempt with a body of 1 MB over a link of 8 Mbit/s", t, func() {
			server := rpc.NewServer()
			So(server.RegisterName(serviceName, slowNode{400 * time.Millisecond}), ShouldBeNil)
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
				return slowLink{near, time.Microsecond}, nil
			})
			defer f.Close()
			args := &RunArgs{Job: executor.Job{Call: carrier.Call{Body: make([]byte, 1_000_000)}}}
			So(f.Call(context.Background(), "far", "Run", args, &RunReply{}), ShouldBeNil)
		})
	})
}

// A node takes no more bytes, and the message of a call does not fit into the buffers on the
// way. The call and those behind it must end, and the connection must not stay in use.
func TestBlockedWriteEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls over a connection whose peer does not read", t, func() {
			dials := 0
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				dials++
				near, _ := net.Pipe()
				return near, nil
			})
			defer f.Close()
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				So(f.Call(ctx, "far", "Run", &RunArgs{}, &RunReply{}), ShouldEqual, errUnresponsive)
				So(ctx.Err(), ShouldBeNil)
				cancel()
			}
			So(dials, ShouldEqual, 2)
		})
	})
}

// A member is removed while a connection to it is being opened. The connection must be closed
// when it opens, since nothing would close it later.
func TestConnectionOpenedAfterForgetIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A connection that opens after its member was forgotten", t, func() {
			near, far := net.Pipe()
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				time.Sleep(connectTimeout / 2)
				return near, nil
			})
			done := make(chan error)
			go func() { done <- f.Call(context.Background(), "far", "Run", &RunArgs{}, &RunReply{}) }()
			synctest.Wait()
			f.Forget("far")
			So(<-done, ShouldEqual, errNoConnection)
			_, err := far.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		})
	})
}
