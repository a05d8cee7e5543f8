package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// warm lets the nodes learn how long calls of a route take.
func warm(n *mesh.Node, method, path string) {
	for i := range 10 {
		So(n.Call(method, host, path, fmt.Sprintf("warm-%d", i), 2*time.Second).Status, ShouldEqual, http.StatusOK)
	}
}

// silent never answers a call.
func silent(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return true
}

func TestLostAnswers(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		near := of(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.Set(50*time.Millisecond, nil)
		}
		warm(near, http.MethodGet, read)
		warm(near, http.MethodPost, order)
		of(m, "a")[0].Upstream.Set(0, silent)
		of(m, "b")[0].Upstream.Set(0, silent)

		// A read whose answer does not come is sent to a second upstream.
		began := time.Now()
		a := near.Call(http.MethodGet, host, read, "lost-read", 2*time.Second)
		So(a.Status, ShouldEqual, http.StatusOK)
		So(time.Since(began), ShouldBeLessThan, 400*time.Millisecond)
		So(runs(m, "lost-read"), ShouldEqual, 2)
		time.Sleep(100 * time.Millisecond)
		So(of(m, "a")[0].Upstream.Cuts()+of(m, "a")[1].Upstream.Cuts(), ShouldEqual, 0)

		// An order is not: it may have run.
		b := near.Call(http.MethodPost, host, order, "lost-order", time.Second)
		So(b.Status, ShouldEqual, http.StatusGatewayTimeout)
		So(runs(m, "lost-order"), ShouldEqual, 1)
	})
}

func TestHedgesStayWithinTheBudgetOfRepeats(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		near := of(m, "b")[0]
		for _, n := range m.Nodes {
			n.Upstream.Set(20*time.Millisecond, nil)
		}
		warm(near, http.MethodGet, read)
		for _, n := range of(m, "a") {
			n.Upstream.Set(0, silent)
		}
		const calls = 60
		done := make(chan struct{}, calls)
		for i := range calls {
			go func() {
				near.Call(http.MethodGet, host, read, fmt.Sprintf("h-%d", i), 300*time.Millisecond)
				done <- struct{}{}
			}()
			time.Sleep(150 * time.Millisecond)
		}
		for range calls {
			<-done
		}
		arrivals := of(m, "a")[0].Upstream.Total() + of(m, "a")[1].Upstream.Total()
		// 70 calls, a fifth of them again, and this node's part of the slack.
		So(arrivals, ShouldBeLessThanOrEqualTo, 70+14+56/4)
	})
}
