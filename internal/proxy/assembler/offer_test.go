package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
		far.Upstream.SetBehaviour(2*time.Second, nil)
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
