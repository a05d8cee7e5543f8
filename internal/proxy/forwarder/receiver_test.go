package forwarder

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
)

// fakeNode has a configuration and reports that it receives changes.
type fakeNode struct{}

func (fakeNode) ExchangeMember(m balancer.Member) balancer.Member { return m }
func (fakeNode) Members() []balancer.Member                       { return nil }
func (fakeNode) Version() int64                                   { return 7 }
func (fakeNode) Load() balancer.Load                              { return balancer.Load{} }
func (fakeNode) DrainingSince(string, int64) int64                { return 0 }

func (fakeNode) NextConfiguration(context.Context, int64) ConfigurationReply {
	return ConfigurationReply{Message: encoder.Message{Version: 7}, Subscribed: true}
}

// A node polls a relay by its address. If another process has taken over the address and
// replied as the relay, two nodes could poll each other, and neither would watch the
// store.
func TestConfigurationRequestForAFormerProcessGetsAnEmptyReply(t *testing.T) {
	const ownStart, formerStart = 20, 10
	r, err := NewReceiver(ownStart, nil, fakeNode{})
	if err != nil {
		t.Fatal(err)
	}
	request := func(start int64) ConfigurationReply {
		var reply ConfigurationReply
		args := &ConfigurationArgs{Start: start, Wait: time.Second}
		if err := (&methods{r}).Configuration(args, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	Convey("Only the addressed process replies with its configuration", t, func() {
		So(request(ownStart).Version, ShouldEqual, 7)
		So(request(0).Version, ShouldEqual, 7)
		So(request(formerStart), ShouldResemble, ConfigurationReply{})
	})
}

// A connection is opened for a call and closed by another one before the first call uses it.
// The call must fail, not crash the process.
func TestConnectionClosedBeforeItsUseIsAnError(t *testing.T) {
	Convey("A call whose new connection was dropped gets an error", t, func() {
		p := &peer{address: "a", onUnresponsive: func(string) {}}
		p.dialFunc = func(context.Context, string) (net.Conn, error) {
			near, _ := net.Pipe()
			return near, nil
		}
		for range 200 {
			done := make(chan struct{})
			go func() {
				p.close()
				close(done)
			}()
			l, err := p.connect(context.Background())
			So(l != nil || err != nil, ShouldBeTrue)
			<-done
			p.close()
		}
	})
	Convey("The reply of a failed call is not read", t, func() {
		received, err := replyOf(&RunReply{Version: 7}, errors.New("ended"))
		So(err, ShouldNotBeNil)
		So(received, ShouldResemble, RunReply{})
	})
}

// A resend joins an execution. Its reply must state the time at the upstream, since a time
// of 0 would enter the estimates of the sender.
func TestJoinedExecutionReportsUpstreamTime(t *testing.T) {
	Convey("The reply to a resend has the upstream time of the execution", t, func() {
		const start = 20
		r, err := NewReceiver(start, nil, fakeNode{})
		So(err, ShouldBeNil)
		id := fencer.AttemptID{Sender: 1, Number: 1}
		entry, _ := r.fencer.Begin(id, time.Time{}, func() {}, time.Now())
		entry.UpstreamTime = 40 * time.Millisecond
		r.fencer.Finish(entry, carrier.Result{Outcome: carrier.Run}, time.Now())
		var reply RunReply
		So((&methods{r}).Run(&RunArgs{AttemptID: id, Start: start}, &reply), ShouldBeNil)
		So(reply.UpstreamTime, ShouldEqual, 40*time.Millisecond)
	})
}

// A node of another version may lack a method. That must not end the attempts in flight on the
// connection: after a second break, a call that can fail over would be cancelled and run again.
func TestFailedMethodLeavesOtherCallsOnConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call in flight while another one on its connection fails", t, func() {
			r, err := NewReceiver(20, nil, fakeNode{})
			So(err, ShouldBeNil)
			dials := 0
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				go r.server.ServeCodec(coder.NewServerCodec(far, &r.pending))
				return near, nil
			})
			id := fencer.AttemptID{Sender: 1, Number: 1}
			entry, _ := r.fencer.Begin(id, time.Time{}, func() {}, time.Now())
			done := make(chan error)
			go func() {
				done <- f.Call(context.Background(), "far", "Run", &RunArgs{AttemptID: id, Start: 20}, &RunReply{})
			}()
			synctest.Wait()
			So(f.Call(context.Background(), "far", "Unknown", &Empty{}, &Empty{}), ShouldNotBeNil)
			r.mu.Lock()
			r.fencer.Finish(entry, carrier.Result{Outcome: carrier.Run}, time.Now())
			r.mu.Unlock()
			So(<-done, ShouldBeNil)
			So(dials, ShouldEqual, 1)
			f.Close()
		})
	})
}

// pingOnly is the RPC service of a node of a version that can't take the attempt.
type pingOnly struct{}

func (pingOnly) Ping(*Empty, *Empty) error { return nil }

// A node that replies that it can't take an attempt has not run it. The call must go to another
// node instead of waiting for its deadline.
func TestAttemptThatNodeCannotTakeHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An attempt at a node of another version", t, func() {
			server := rpc.NewServer()
			So(server.RegisterName(serviceName, pingOnly{}), ShouldBeNil)
			f := New("near", 10, func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
				return near, nil
			})
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			reply := f.Forward(ctx, balancer.Member{Address: "far", Start: 20}, executor.Job{}, false)
			So(reply.Result, ShouldResemble, carrier.Refuse(carrier.PeerUnreachable))
			So(time.Since(start), ShouldEqual, 0)
		})
	})
}

// oneConn is a listener that accepts one connection.
type oneConn struct{ conns chan net.Conn }

func (l oneConn) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (oneConn) Close() error   { return nil }
func (oneConn) Addr() net.Addr { return nil }

// A node that does not read its replies, because it was paused, must not hold up the stop of the
// node that replies.
func TestUnreadReplyEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A peer sends a message and does not read", t, func() {
			r, err := NewReceiver(10, nil, fakeNode{})
			So(err, ShouldBeNil)
			near, far := net.Pipe()
			l := oneConn{make(chan net.Conn, 1)}
			l.conns <- far
			close(l.conns)
			go r.Serve(l)
			So(coder.NewClientCodec(near).WriteRequest(&rpc.Request{ServiceMethod: "Node.Ping", Seq: 1}, &Empty{}), ShouldBeNil)
			synctest.Wait()
			So(r.Pending(), ShouldEqual, 1)
			time.Sleep(replyWriteTimeout + time.Millisecond)
			synctest.Wait()
			So(r.Pending(), ShouldEqual, 0)
			So(near.Close(), ShouldBeNil)
		})
	})
}
