package assembler_test

import (
	"fmt"
	"net/http"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// linkMegabits is the rate of the limited links of these tests.
const linkMegabits = 10

// limitLink limits the link of a node and restarts its proxy, which then knows the rate.
func limitLink(m *mesh.Mesh, n *mesh.Node) {
	n.SetLinkRate(linkMegabits)
	n.Kill()
	So(n.Start(), ShouldBeNil)
	time.Sleep(3 * time.Second)
	m.Network.Limit(n.Name, linkMegabits*1e6/8)
}

// results counts the responses of uploads and the waits of small calls.
type results struct {
	mu       sync.Mutex
	statuses map[int]int
	// refusedAfter is the longest time until a refusal, smallTook that of a small call.
	refusedAfter time.Duration
	smallTook    time.Duration
}

// upload makes a number of uploads of 60 KB at once at each node, and small calls beside them.
func upload(nodes []*mesh.Node, count int) *results {
	r := &results{statuses: map[int]int{}}
	var all sync.WaitGroup
	for _, n := range nodes {
		for i := range count {
			all.Go(func() {
				start := time.Now()
				status := postBody(n, fmt.Sprintf("upload-%s-%d", n.Name, i)).Status
				r.mu.Lock()
				defer r.mu.Unlock()
				r.statuses[status]++
				if status == http.StatusServiceUnavailable {
					r.refusedAfter = max(r.refusedAfter, time.Since(start))
				}
			})
		}
		for i := range 20 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				start := time.Now()
				n.Call(http.MethodPost, host, orderPrefix, fmt.Sprintf("small-%s-%d", n.Name, i), 4*time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.smallTook = max(r.smallTook, time.Since(start))
			})
		}
	}
	all.Wait()
	return r
}

// More uploads than the link carries before their deadline: those that can't be served must be
// refused at once and not be sent, and small calls must not wait behind them.
func TestUploadsBeyondLinkAreNotSent(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		far := nodesOf(m, "b")[0]
		nodesOf(m, "b")[1].Kill()
		time.Sleep(10 * time.Second)
		limitLink(m, far)
		far.Upstream.SetBehaviour(5*time.Millisecond, nil)
		r := upload(nodesOf(m, "a"), 60)
		served := r.statuses[http.StatusOK]
		// 4 s carry 83 bodies.
		So(served, ShouldBeBetween, 60, 84)
		So(served+r.statuses[http.StatusServiceUnavailable], ShouldEqual, 120)
		So(r.refusedAfter, ShouldBeLessThan, 500*time.Millisecond)
		So(r.smallTook, ShouldBeLessThan, 250*time.Millisecond)
		So(m.Network.Carried(far.Name), ShouldBeLessThan, served*60_000+150_000)
	})
}

// Without a known rate, bodies are sent at once, as before.
func TestUploadsToLinkOfUnknownRateAreSentAtOnce(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		far := nodesOf(m, "b")[0]
		far.Upstream.SetBehaviour(5*time.Millisecond, nil)
		start := time.Now()
		So(postBody(nodesOf(m, "a")[0], "direct").Status, ShouldEqual, http.StatusOK)
		// Dials, the readings of clocks on both connections, and the attempt, 2 ms each.
		So(time.Since(start), ShouldBeLessThan, 15*time.Millisecond)
	})
}

// The connection breaks while an upload runs. The sender must get its result without sending the
// body again.
func TestBodyIsNotSentAgainForCallThatRuns(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		limitLink(m, far)
		// A second run would fit before the deadline.
		far.Upstream.SetBehaviour(1200*time.Millisecond, nil)
		before := m.Network.Carried(far.Name)
		done := make(chan mesh.Response, 1)
		go func() { done <- postBody(near, "running") }()
		time.Sleep(300 * time.Millisecond)
		So(far.Upstream.Runs("running"), ShouldEqual, 1)
		partition(m, near.Name, far.Name, 800*time.Millisecond)
		So((<-done).Status, ShouldEqual, http.StatusOK)
		So(far.Upstream.Runs("running"), ShouldEqual, 1)
		So(m.Network.Carried(far.Name)-before, ShouldBeLessThan, 80_000)
	})
}

// A body that exceeds the window of its link is sent in pieces. It must arrive whole and in order,
// small calls must come between them, and a break in the middle must not run a part of it.
func TestBodyInPiecesArrivesWhole(t *testing.T) {
	body := strings.Builder{}
	for i := range 50_000 {
		fmt.Fprintf(&body, "%06d ", i)
	}
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		limitLink(m, far)
		far.Upstream.SetBehaviour(5*time.Millisecond, nil)
		done := make(chan mesh.Response, 1)
		go func() { done <- postText(near, bodyRequestOf("pieces", body.String())) }()
		for i := range 10 {
			start := time.Now()
			So(near.Call(http.MethodPost, host, orderPrefix, fmt.Sprint("between-", i), time.Second).Status, ShouldEqual, http.StatusOK)
			So(time.Since(start), ShouldBeLessThan, 100*time.Millisecond)
		}
		response := <-done
		So(response.Status, ShouldEqual, http.StatusOK)
		So(strings.HasSuffix(response.Body, " "+body.String()), ShouldBeTrue)
		So(runCount(m, "pieces"), ShouldEqual, 1)
		go func() { done <- postText(near, bodyRequestOf("broken", body.String())) }()
		time.Sleep(150 * time.Millisecond)
		partition(m, near.Name, far.Name, 3*time.Second)
		So((<-done).Status, ShouldEqual, http.StatusServiceUnavailable)
		time.Sleep(5 * time.Second)
		So(runCount(m, "broken"), ShouldEqual, 0)
	})
}

// A copy of an attempt that is delayed arrives after its resend was offered and refused. The refusal
// promises that the call has not run and will not, so the caller may have sent it elsewhere.
func TestCopyOfRefusedOfferIsNotRun(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		s := &sender{m: m, far: nodesOf(m, "b")[0]}
		limitLink(m, s.far)
		s.connect()
		var clock forwarder.ClockReply
		So(s.Call("Node.Clock", &forwarder.Empty{}, &clock), ShouldBeNil)
		args := forwarder.AttemptArgs{
			AttemptID: fencer.AttemptID{Sender: 1, Number: 1}, Start: clock.Start, LatestStart: clock.Reading + 2*time.Second,
			Job: executor.Job{
				Call:    carrier.Call{ID: "refused", Method: http.MethodPost, Target: orderPrefix, Host: host},
				Service: "b", Kind: "r", Objective: time.Second, Remaining: 2 * time.Second,
			},
		}
		var offer forwarder.OfferReply
		So(s.Call("Node.Offer", &forwarder.OfferArgs{Attempt: args, Bytes: 10_000_000}, &offer), ShouldBeNil)
		So(offer.Granted, ShouldEqual, 0)
		So(offer.Attempt.Run.Result.Reason, ShouldEqual, carrier.LinkBusy)
		args.Job.Call.Body = make([]byte, 20_000)
		var copied forwarder.AttemptReply
		So(s.Call("Node.Attempt", &args, &copied), ShouldBeNil)
		So(copied.Run.Result.Outcome, ShouldEqual, carrier.NotRun)
		So(runCount(m, "refused"), ShouldEqual, 0)
		So(s.Close(), ShouldBeNil)
	})
}

// An offer whose connection has broken is made again on a new one. The end of the former must not end
// the attempt.
func TestReplacedOfferDoesNotEndAttempt(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		s := &sender{m: m, far: nodesOf(m, "b")[0]}
		limitLink(m, s.far)
		s.connect()
		var clock forwarder.ClockReply
		So(s.Call("Node.Clock", &forwarder.Empty{}, &clock), ShouldBeNil)
		argsOf := func(number uint64) *forwarder.OfferArgs {
			return &forwarder.OfferArgs{Attempt: forwarder.AttemptArgs{
				AttemptID: fencer.AttemptID{Sender: 1, Number: number}, Start: clock.Start, LatestStart: clock.Reading + 3*time.Second,
				Job: executor.Job{
					Call:    carrier.Call{ID: fmt.Sprint("offer-", number), Method: http.MethodPost, Target: orderPrefix, Host: host},
					Service: "b", Kind: "r", Objective: time.Second, Remaining: 3 * time.Second,
				},
			}, Bytes: 90_000}
		}
		// The first offer takes the window, so that the second one waits.
		var granted forwarder.OfferReply
		So(s.Call("Node.Offer", argsOf(1), &granted), ShouldBeNil)
		So(granted.Granted, ShouldEqual, 90_000)
		s.Go("Node.Offer", argsOf(2), &forwarder.OfferReply{}, make(chan *rpc.Call, 1))
		time.Sleep(50 * time.Millisecond)
		So(s.Close(), ShouldBeNil)
		s.connect()
		again := s.Go("Node.Offer", argsOf(2), &forwarder.OfferReply{}, make(chan *rpc.Call, 1))
		time.Sleep(50 * time.Millisecond)
		var done forwarder.AttemptReply
		first := argsOf(1).Attempt
		first.Job.Call.Body = make([]byte, 90_000)
		So(s.Call("Node.Attempt", &first, &done), ShouldBeNil)
		So(done.Run.Result.Outcome, ShouldEqual, carrier.Run)
		<-again.Done
		So(again.Reply.(*forwarder.OfferReply).Granted, ShouldEqual, 90_000)
		second := argsOf(2).Attempt
		second.Job.Call.Body = make([]byte, 90_000)
		So(s.Call("Node.Attempt", &second, &done), ShouldBeNil)
		So(done.Run.Result.Outcome, ShouldEqual, carrier.Run)
		So(s.Close(), ShouldBeNil)
	})
}

// The caller of a body that waits for its grant leaves, or the node that would grant it ends.
func TestOfferEndsWithCallerAndNode(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		far := nodesOf(m, "b")[0]
		nodesOf(m, "b")[1].Kill()
		time.Sleep(10 * time.Second)
		limitLink(m, far)
		near := nodesOf(m, "a")[0]
		before := m.Network.Carried(far.Name)
		for i := range 40 {
			conn, err := near.Connect()
			So(err, ShouldBeNil)
			So(conn.Send(bodyRequest(fmt.Sprint("left-", i))), ShouldBeNil)
			time.AfterFunc(200*time.Millisecond, func() { _ = conn.Close() })
		}
		time.Sleep(500 * time.Millisecond)
		So(m.Network.Carried(far.Name)-before, ShouldBeLessThan, 600_000)
		// The grants of the callers who left must not hold up others.
		start := time.Now()
		So(postBody(near, "next").Status, ShouldEqual, http.StatusOK)
		So(time.Since(start), ShouldBeLessThan, 300*time.Millisecond)
		// A call that was refused by a node that ends has not run, and is told so.
		var all sync.WaitGroup
		var mu sync.Mutex
		reasons := map[string]int{}
		for i := range 30 {
			all.Go(func() {
				response := postBody(near, fmt.Sprint("ended-", i))
				mu.Lock()
				defer mu.Unlock()
				if response.Status != http.StatusOK {
					reasons[fmt.Sprint(response.Status, " ", strings.TrimSpace(response.Body))]++
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
		far.Kill()
		all.Wait()
		// The body of at most one or two was on the way.
		So(reasons["503 peerUnreachable"], ShouldBeGreaterThan, 20)
		So(reasons["502 peerLost"], ShouldBeLessThanOrEqualTo, 2)
		So(len(reasons), ShouldBeLessThanOrEqualTo, 2)
		for i := range 30 {
			So(runCount(m, fmt.Sprint("ended-", i)), ShouldBeLessThanOrEqualTo, 1)
		}
	})
}
