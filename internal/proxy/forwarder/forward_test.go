package forwarder

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
)

// recordingNode is the RPC service of a receiver that records when attempts arrive and runs none.
type recordingNode struct {
	opened time.Time
	mu     sync.Mutex
	// arrived and revoked hold the times after opened of attempts by the ID of their call, and of
	// revocations.
	arrived map[string]time.Duration
	revoked []time.Duration
	reply   AttemptReply
}

func (n *recordingNode) Ping(*Empty, *Empty) error { return nil }

func (n *recordingNode) Clock(_ *Empty, reply *ClockReply) error {
	reply.Start, reply.Reading = 20, time.Since(n.opened)
	return nil
}

func (n *recordingNode) Attempt(args *AttemptArgs, reply *AttemptReply) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrived[args.Job.Call.ID] = time.Since(n.opened)
	*reply = n.reply
	return nil
}

func (n *recordingNode) Revoke(*RevokeArgs, *Empty) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revoked = append(n.revoked, time.Since(n.opened))
	return nil
}

// arrival returns when the attempt of a call arrived, and whether it has.
func (n *recordingNode) arrival(id string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, arrived := n.arrived[id]
	return at, arrived
}

// revocations returns when revocations arrived.
func (n *recordingNode) revocations() []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.revoked)
}

// closableLink is a slow link whose write ends when it is closed, as that of a socket.
type closableLink struct {
	slowLink
	closed    chan struct{}
	closeOnce *sync.Once
}

// Write implements net.Conn.
func (c closableLink) Write(b []byte) (int, error) {
	select {
	case <-time.After(time.Duration(len(b)) * c.perByte):
		return c.Conn.Write(b)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c closableLink) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// linkTo returns a forwarder whose connections lead to a service and take a time for each byte.
func linkTo(service any, perByte time.Duration) *Forwarder {
	server := rpc.NewServer()
	So(server.RegisterName(serviceName, service), ShouldBeNil)
	return New("near", 10, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeCodec(coder.NewServerCodec(far, &atomic.Int64{}))
		return closableLink{slowLink{near, perByte}, make(chan struct{}), &sync.Once{}}, nil
	})
}

func jobOf(id string, bytes int, remaining time.Duration) executor.Job {
	return executor.Job{Call: carrier.Call{ID: id, Body: make([]byte, bytes)}, Remaining: remaining, Objective: remaining}
}

var farMember = balancer.Member{Address: "far", Start: 20}

// A body that waits for its turn behind another one was written long after its caller had left.
func TestCallLeavesTurnWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Two bodies of 400 KB over a link of 8 Mbit/s, the caller of the second leaves after 100 ms", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			go f.Forward(context.Background(), farMember, jobOf("first", 400_000, 4*time.Second), false)
			// The first one is being written by then.
			time.Sleep(10 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			start := time.Now()
			reply := f.Forward(ctx, farMember, jobOf("second", 400_000, 4*time.Second), false)
			So(time.Since(start), ShouldEqual, 100*time.Millisecond)
			So(reply.Result, ShouldResemble, carrier.Refuse(carrier.DeadlineExceeded))
			time.Sleep(time.Minute)
			_, arrived := far.arrival("first")
			So(arrived, ShouldBeTrue)
			_, arrived = far.arrival("second")
			So(arrived, ShouldBeFalse)
		})
		Convey("A body whose caller leaves while it is being written", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			start := time.Now()
			reply := f.Forward(ctx, farMember, jobOf("left", 400_000, 4*time.Second), false)
			So(time.Since(start), ShouldEqual, 100*time.Millisecond)
			So(reply.Result, ShouldResemble, carrier.Fail(carrier.DeadlineExceeded))
			time.Sleep(time.Minute)
			So(len(far.revocations()), ShouldEqual, 1)
		})
		Convey("A deadline that passes before the turn, although the caller still waits", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			go f.Forward(context.Background(), farMember, jobOf("first", 400_000, 4*time.Second), false)
			// The first one is being written by then.
			time.Sleep(10 * time.Millisecond)
			reply := f.Forward(context.Background(), farMember, jobOf("second", 400_000, 100*time.Millisecond), false)
			So(reply.Result, ShouldResemble, carrier.Refuse(carrier.DeadlineExceeded))
			time.Sleep(time.Minute)
			_, arrived := far.arrival("second")
			So(arrived, ShouldBeFalse)
		})
	})
}

// A cancel and a small call were held up by the bodies before them, so that the work for callers who
// had left went on.
func TestSmallMessagesDoNotWaitForBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call and a cancel while a body of 1 MB is written for a second", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			go f.Forward(context.Background(), farMember, jobOf("body", 1_000_000, 4*time.Second), false)
			synctest.Wait()
			So(f.Forward(context.Background(), farMember, jobOf("small", 100, 4*time.Second), false).Result.Reason, ShouldBeEmpty)
			f.cancel(&attempt{member: farMember, mayHaveArrived: true})
			time.Sleep(2 * time.Second)
			small, _ := far.arrival("small")
			So(small, ShouldBeBetween, 0, 10*time.Millisecond)
			So(far.revocations()[0], ShouldBeLessThan, 10*time.Millisecond)
			body, _ := far.arrival("body")
			So(body, ShouldBeGreaterThan, time.Second)
		})
	})
}

// The pings of a connection on which bodies are written wait for them. That is no silence of the
// peer: the connection, with all attempts in flight on it, must not be closed.
func TestBodiesOnTheWayAreNoSilenceOfThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Ten bodies of 360 KB at once over a link of 8 Mbit/s", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			f := linkTo(far, time.Microsecond)
			defer f.Close()
			var unresponsive atomic.Int64
			f.OnUnresponsive(func(string) { unresponsive.Add(1) })
			var all sync.WaitGroup
			for i := range 10 {
				all.Go(func() {
					f.Forward(context.Background(), farMember, jobOf(string(rune('a'+i)), 360_000, 10*time.Second), false)
				})
			}
			all.Wait()
			So(unresponsive.Load(), ShouldEqual, 0)
			for i := range 10 {
				_, arrived := far.arrival(string(rune('a' + i)))
				So(arrived, ShouldBeTrue)
			}
		})
	})
}

// earlierNode is the RPC service of a node of the previous release.
type earlierNode struct {
	pingOnly
	runs, cancels *atomic.Int64
}

func (n earlierNode) Run(args *RunArgs, reply *RunReply) error {
	n.runs.Add(1)
	time.Sleep(args.Job.Remaining)
	reply.Result.Outcome = carrier.Run
	return nil
}

func (n earlierNode) Cancel(*CancelArgs, *Empty) error {
	n.cancels.Add(1)
	return nil
}

// Nodes of the previous release run beside those of this one during an update.
func TestReceiverOfEarlierReleaseRunsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Small and large attempts, and a caller who leaves", t, func() {
			far := earlierNode{runs: &atomic.Int64{}, cancels: &atomic.Int64{}}
			f := linkTo(far, 0)
			defer f.Close()
			for _, bytes := range []int{10, 100_000} {
				reply := f.Forward(context.Background(), farMember, jobOf("a", bytes, 50*time.Millisecond), false)
				So(reply.Result.Outcome, ShouldEqual, carrier.Run)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			So(f.Forward(ctx, farMember, jobOf("a", 10, time.Second), false).Result.Outcome, ShouldEqual, carrier.Unknown)
			time.Sleep(time.Second)
			So(far.runs.Load(), ShouldEqual, 3)
			So(far.cancels.Load(), ShouldEqual, 1)
		})
	})
}

// The receiver can't state whether a copy that came too late was the only one. The sender can.
func TestFirstMessageThatComesTooLateHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A reply that an attempt has expired", t, func() {
			far := &recordingNode{opened: time.Now(), arrived: map[string]time.Duration{}}
			far.reply = AttemptReply{Run: RunReply{Result: carrier.Fail(carrier.DeadlineExceeded)}, Expired: true}
			f := linkTo(far, 0)
			defer f.Close()
			a := &attempt{member: farMember, node: f.node("far"), deadline: time.Now().Add(time.Second)}
			first, err := f.send(context.Background(), a)
			So(err, ShouldBeNil)
			So(first.Result, ShouldResemble, carrier.Refuse(carrier.DeadlineExceeded))
			again, err := f.send(context.Background(), a)
			So(err, ShouldBeNil)
			So(again.Result, ShouldResemble, carrier.Fail(carrier.DeadlineExceeded))
		})
	})
}
