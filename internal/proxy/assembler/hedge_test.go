package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// primeEstimates makes calls from which the nodes estimate the service time of a route.
func primeEstimates(n *mesh.Node, method, path string) {
	for i := range 10 {
		So(n.Call(method, host, path, fmt.Sprintf("warm-%d", i), 2*time.Second).Status, ShouldEqual, http.StatusOK)
	}
}

// neverAnswer holds a call until it is cancelled. Such calls do not count in
// Upstream.Cancelled.
func neverAnswer(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return true
}

func TestLostAnswerIsHedgedOnlyIfIdempotent(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		near := nodesOf(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(50*time.Millisecond, nil)
		}
		primeEstimates(near, http.MethodGet, readPrefix)
		primeEstimates(near, http.MethodPost, orderPrefix)
		nodesOf(m, "a")[0].Upstream.SetBehaviour(0, neverAnswer)
		nodesOf(m, "b")[0].Upstream.SetBehaviour(0, neverAnswer)

		// A read whose answer is late is hedged at a second upstream.
		start := time.Now()
		a := near.Call(http.MethodGet, host, readPrefix, "lost-read", 2*time.Second)
		So(a.Status, ShouldEqual, http.StatusOK)
		So(time.Since(start), ShouldBeLessThan, 400*time.Millisecond)
		So(runCount(m, "lost-read"), ShouldEqual, 2)
		// The attempt that was answered is not cancelled.
		time.Sleep(100 * time.Millisecond)
		So(nodesOf(m, "a")[0].Upstream.Cancelled()+nodesOf(m, "a")[1].Upstream.Cancelled(), ShouldEqual, 0)

		// An order is not hedged: it may have run.
		b := near.Call(http.MethodPost, host, orderPrefix, "lost-order", time.Second)
		So(b.Status, ShouldEqual, http.StatusGatewayTimeout)
		So(runCount(m, "lost-order"), ShouldEqual, 1)
	})
}

func TestHedgesStayWithinRetryBudget(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		near := nodesOf(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(20*time.Millisecond, nil)
		}
		primeEstimates(near, http.MethodGet, readPrefix)
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(0, neverAnswer)
		}
		const calls = 60
		done := make(chan struct{}, calls)
		for i := range calls {
			go func() {
				near.Call(http.MethodGet, host, readPrefix, fmt.Sprintf("h-%d", i), 300*time.Millisecond)
				done <- struct{}{}
			}()
			time.Sleep(150 * time.Millisecond)
		}
		for range calls {
			<-done
		}
		arrivals := nodesOf(m, "a")[0].Upstream.Total() + nodesOf(m, "a")[1].Upstream.Total()
		// 10 calls for the estimates and 60 others, retries for a fifth of these 70, and
		// this node's share of the retry slack, which is 56 for the 4 nodes together.
		So(arrivals, ShouldBeLessThanOrEqualTo, 70+14+56/4)
	})
}
