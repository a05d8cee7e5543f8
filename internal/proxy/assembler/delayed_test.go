package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"net/rpc"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// messageDelays are the delays of a message between nodes in the tests of this file.
var messageDelays = []time.Duration{time.Second, 19 * time.Second, 21 * time.Second, 60 * time.Second}

// delayNextMessages delays what one node sends to another during 20 ms by a time.
func delayNextMessages(m *mesh.Mesh, sender, receiver string, delay time.Duration) {
	usual := func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return time.Millisecond
	}
	m.Network.Delay(func(from, to string) time.Duration {
		if from == sender && to == receiver {
			return delay
		}
		return usual(from, to)
	})
	time.AfterFunc(20*time.Millisecond, func() { m.Network.Delay(usual) })
}

// A copy of an attempt that is delayed on a connection which its sender has given up arrives after
// the attempt was sent again and has run. The receiver must not run it, however late it is.
func TestDelayedCopyOfAttemptIsNotRun(t *testing.T) {
	cases := []struct {
		name string
		// disturb happens after the message was sent.
		disturb func(m *mesh.Mesh, near, far *mesh.Node)
		status  int
	}{
		{"connection breaks", func(*mesh.Mesh, *mesh.Node, *mesh.Node) {}, http.StatusOK},
		{"connection comes back", func(m *mesh.Mesh, near, far *mesh.Node) {
			partition(m, near.Name, far.Name, 800*time.Millisecond)
		}, http.StatusOK},
		{"receiver is restarted", func(_ *mesh.Mesh, _, far *mesh.Node) {
			far.Kill()
			So(far.Start(), ShouldBeNil)
		}, http.StatusBadGateway},
	}
	for _, c := range cases {
		for _, delay := range messageDelays {
			t.Run(fmt.Sprintf("%s, %v", c.name, delay), func(t *testing.T) {
				inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
					near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
					So(near.Call(http.MethodPost, host, orderPrefix, "first", time.Second).Status, ShouldEqual, http.StatusOK)
					m.Network.Linger()
					delayNextMessages(m, near.Name, far.Name, delay)
					done := make(chan mesh.Response, 1)
					go func() { done <- near.Call(http.MethodPost, host, orderPrefix, "late", 4*time.Second) }()
					time.Sleep(50 * time.Millisecond)
					c.disturb(m, near, far)
					So((<-done).Status, ShouldEqual, c.status)
					time.Sleep(delay + time.Second)
					So(runCount(m, "late"), ShouldBeLessThanOrEqualTo, 1)
				})
			})
		}
	}
}

// sender is a stand-in for a node that forwards attempts to another.
type sender struct {
	m   *mesh.Mesh
	far *mesh.Node
	*rpc.Client
}

// connect opens a new connection to the node's current process.
func (s *sender) connect() {
	conn, err := s.m.Network.Host("sender").Dial(context.Background(), s.far.Proxy.Self().Address)
	So(err, ShouldBeNil)
	s.Client = rpc.NewClientWithCodec(coder.NewClientCodec(conn))
}

// Guards against a second run of an attempt after the receiver has forgotten the first, on every
// way on which a copy may come late, and against a run after the caller's deadline.
func TestCopyOfAttemptRunsAtMostOnceAtAnyAge(t *testing.T) {
	const timeout = 2 * time.Second
	ways := []struct {
		name    string
		between func(s *sender)
	}{
		{"on a connection that stays up", func(*sender) {}},
		{"on a new connection", func(s *sender) {
			So(s.Close(), ShouldBeNil)
			s.connect()
		}},
		{"after the network was cut", func(s *sender) {
			partition(s.m, "sender", s.far.Name, 100*time.Millisecond)
			So(s.Close(), ShouldBeNil)
			s.connect()
		}},
		{"at a restarted receiver", func(s *sender) {
			s.far.Kill()
			So(s.far.Start(), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			s.connect()
		}},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
				s := &sender{m: m, far: nodesOf(m, "b")[0]}
				for i, delay := range messageDelays {
					for _, first := range []bool{true, false} {
						// A restarted node knows its upstream after the next heartbeat.
						time.Sleep(2 * time.Second)
						s.connect()
						started := s.far.Proxy.Self().Start
						var clock forwarder.ClockReply
						So(s.Call("Node.Clock", &forwarder.Empty{}, &clock), ShouldBeNil)
						id := fmt.Sprintf("copy-%d-%v", i, first)
						args := forwarder.AttemptArgs{
							AttemptID: fencer.AttemptID{Sender: 1, Number: uint64(2 * i)}, Start: clock.Start, LatestStart: clock.Reading + timeout,
							Job: executor.Job{
								Call:    carrier.Call{ID: id, Method: http.MethodPost, Target: orderPrefix, Host: host},
								Service: "b", Kind: "r", Objective: time.Second, Remaining: timeout,
							},
						}
						if first {
							args.AttemptID.Number++
							var reply forwarder.AttemptReply
							So(s.Call("Node.Attempt", &args, &reply), ShouldBeNil)
							So(reply.Run.Result.Outcome, ShouldEqual, carrier.Run)
						}
						time.Sleep(delay)
						way.between(s)
						var reply forwarder.AttemptReply
						So(s.Call("Node.Attempt", &args, &reply), ShouldBeNil)
						if s.far.Proxy.Self().Start != started {
							So(reply.Run.OtherProcess, ShouldBeTrue)
						} else {
							So(reply.Run.Result.Outcome, ShouldNotEqual, carrier.NotRun)
							So(reply.Expired, ShouldEqual, delay > timeout)
						}
						ran := first || (delay < timeout && s.far.Proxy.Self().Start == started)
						So(runCount(m, id) == 1, ShouldEqual, ran)
						So(s.Close(), ShouldBeNil)
					}
				}
			})
		})
	}
}

// The time for which a message is on the way belongs to the call: its upstream must not be told
// that more is left, and a call must not start after its caller's deadline.
func TestTimeOnTheWayCountsForDeadline(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		So(near.Call(http.MethodPost, host, orderPrefix, "first", time.Second).Status, ShouldEqual, http.StatusOK)
		delayNextMessages(m, near.Name, far.Name, 150*time.Millisecond)
		So(near.Call(http.MethodPost, host, orderPrefix, "slow", 400*time.Millisecond).Status, ShouldEqual, http.StatusOK)
		seen := far.Upstream.Headers()
		left, err := strconv.Atoi(seen[len(seen)-1].Get("X-Timeout-Ms"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 245, 250)
		delayNextMessages(m, near.Name, far.Name, 150*time.Millisecond)
		near.Call(http.MethodPost, host, orderPrefix, "tooSlow", 149*time.Millisecond)
		time.Sleep(time.Second)
		So(runCount(m, "tooSlow"), ShouldEqual, 0)
	})
}

// A call that waits for a slot until its deadline has passed must not start in the margin within
// which an answer may still arrive.
func TestCallDoesNotStartAfterDeadline(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		far.Upstream.SetBehaviour(400*time.Millisecond, nil)
		done := make(chan mesh.Response, 3)
		for i := range 2 {
			go func() { done <- near.Call(http.MethodPost, host, orderPrefix, fmt.Sprint("busy-", i), time.Second) }()
		}
		time.Sleep(10 * time.Millisecond)
		// The two slots are free again 5 ms after the deadline.
		go func() { done <- near.Call(http.MethodPost, host, orderPrefix, "waiting", 388*time.Millisecond) }()
		for range 3 {
			<-done
		}
		time.Sleep(time.Second)
		So(runCount(m, "waiting"), ShouldEqual, 0)
	})
}

// bodyRequest returns the text of a POST with a body of 60 KB and a timeout of 4 s.
func bodyRequest(id string) string { return bodyRequestOf(id, strings.Repeat("b", 60_000)) }

// bodyRequestOf does the same with the given body.
func bodyRequestOf(id, body string) string {
	head, _, _ := strings.Cut(mesh.Request(http.MethodPost, host, orderPrefix, id, 4*time.Second), "Content-Length")
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// postBody makes a call with bodyRequest, and postText one with the text of a request.
func postBody(near *mesh.Node, id string) mesh.Response { return postText(near, bodyRequest(id)) }

func postText(near *mesh.Node, text string) mesh.Response {
	conn, err := near.Connect()
	if err != nil {
		return mesh.Response{Err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := conn.Send(text); err != nil {
		return mesh.Response{Err: err}
	}
	return conn.Receive(http.MethodPost)
}

// A caller that leaves must free what it holds at each stage within half a second: nothing of its
// calls may reach an upstream later.
func TestCallLeavesEachStageWithItsCaller(t *testing.T) {
	stages := []struct {
		name  string
		begin func(m *mesh.Mesh, near, far *mesh.Node)
	}{
		{"queue of the upstream", func(_ *mesh.Mesh, near, far *mesh.Node) {
			far.Upstream.SetBehaviour(900*time.Millisecond, nil)
			for i := range 2 {
				go near.Call(http.MethodPost, host, orderPrefix, fmt.Sprint("busy-", i), 2*time.Second)
			}
		}},
		{"network that is cut", func(m *mesh.Mesh, near, far *mesh.Node) {
			go partition(m, near.Name, far.Name, 400*time.Millisecond)
		}},
		{"body on the way", func(m *mesh.Mesh, near, far *mesh.Node) {
			m.Network.Linger()
			delayNextMessages(m, near.Name, far.Name, 700*time.Millisecond)
		}},
	}
	for _, stage := range stages {
		t.Run(stage.name, func(t *testing.T) {
			inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
				near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
				So(postBody(near, "first").Status, ShouldEqual, http.StatusOK)
				stage.begin(m, near, far)
				time.Sleep(5 * time.Millisecond)
				conn, err := near.Connect()
				So(err, ShouldBeNil)
				So(conn.Send(bodyRequest("left")), ShouldBeNil)
				time.Sleep(100 * time.Millisecond)
				So(conn.Close(), ShouldBeNil)
				time.Sleep(5 * time.Second)
				So(runCount(m, "left"), ShouldEqual, 0)
				So(postBody(near, "next").Status, ShouldEqual, http.StatusOK)
			})
		})
	}
}
