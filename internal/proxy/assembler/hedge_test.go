package assembler_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
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

// metricsOf returns the metrics of a node as text.
func metricsOf(n *mesh.Node) string {
	recorder := httptest.NewRecorder()
	n.Proxy.Reporter().Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

// Guards against a loser that goes on running at its upstream, where it holds a slot, and against
// hedges that operators can't see.
func TestLoserOfHedgeIsCancelledAtItsUpstream(t *testing.T) {
	inHedgingMesh(t, []string{"x", "y"}, &reader.Hedging{ExtraWork: 0.05}, func(m *mesh.Mesh) {
		near, first, second := nodesOf(m, "b")[0], nodesOf(m, "a")[0], nodesOf(m, "a")[1]
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(20*time.Millisecond, nil)
		}
		for range 10 {
			primeEstimates(near, http.MethodGet, readPrefix)
		}
		before := second.Upstream.Total()
		first.Upstream.SetBehaviour(2*time.Second, nil)
		start := time.Now()
		a := near.Call(http.MethodGet, host, readPrefix, "hedged", 4*time.Second)
		So(a.Status, ShouldEqual, http.StatusOK)
		So(a.Header.Get("X-Request-Id"), ShouldEqual, "hedged")
		So(a.Body, ShouldStartWith, second.Upstream.Instance)
		So(time.Since(start), ShouldBeLessThan, 200*time.Millisecond)
		So(second.Upstream.Total(), ShouldEqual, before+1)
		time.Sleep(100 * time.Millisecond)
		So(first.Upstream.Cancelled(), ShouldEqual, 1)
		So(first.Proxy.Load().InUse, ShouldEqual, 0)
		So(metricsOf(near), ShouldContainSubstring, `tamarackscale_hedges_started_total{service="a"} 1`)
		So(metricsOf(near), ShouldContainSubstring, `tamarackscale_hedges_ended_total{cancelled="true",result="won",service="a"} 1`)
		So(near.Log.String(), ShouldContainSubstring, `"result":"won"`)
	})
}

// Guards against more additional work than the operator allows, while all upstreams are slow.
func TestHedgesStayWithinExtraWork(t *testing.T) {
	inHedgingMesh(t, []string{"x", "y"}, &reader.Hedging{ExtraWork: 0.02}, func(m *mesh.Mesh) {
		near := nodesOf(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(5*time.Millisecond, nil)
		}
		const rounds = 20
		for range rounds {
			primeEstimates(near, http.MethodGet, readPrefix)
		}
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(100*time.Millisecond, nil)
		}
		for range rounds {
			primeEstimates(near, http.MethodGet, readPrefix)
		}
		arrivals := nodesOf(m, "a")[0].Upstream.Total() + nodesOf(m, "a")[1].Upstream.Total()
		calls := 2 * rounds * 10
		So(arrivals, ShouldBeGreaterThan, calls)
		So(arrivals, ShouldBeLessThanOrEqualTo, calls+calls/50)
		So(metricsOf(near), ShouldContainSubstring, `tamarackscale_hedges_denied_total{reason="extraWork",service="a"}`)
	})
}

// Guards against attempts that go on after the caller of a hedged call has disconnected.
func TestDisconnectCancelsBothAttempts(t *testing.T) {
	inHedgingMesh(t, []string{"x", "y"}, &reader.Hedging{ExtraWork: 0.05}, func(m *mesh.Mesh) {
		near := nodesOf(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(20*time.Millisecond, nil)
		}
		for range 10 {
			primeEstimates(near, http.MethodGet, readPrefix)
		}
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(3*time.Second, nil)
		}
		conn, err := near.Connect()
		So(err, ShouldBeNil)
		So(conn.Send(mesh.Request(http.MethodGet, host, readPrefix, "left", 5*time.Second)), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		So(runCount(m, "left"), ShouldEqual, 2)
		So(conn.Close(), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		for _, n := range nodesOf(m, "a") {
			So(n.Upstream.Cancelled(), ShouldEqual, 1)
			So(n.Proxy.Load().InUse, ShouldEqual, 0)
		}
		So(metricsOf(near), ShouldContainSubstring, `tamarackscale_hedges_ended_total{cancelled="false",result="failed",service="a"} 1`)
	})
}
