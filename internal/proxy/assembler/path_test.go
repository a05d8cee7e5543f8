package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

func TestCallIsForwardedUnchanged(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		for _, n := range m.Nodes {
			So(n.Ready(), ShouldBeTrue)
			id := "call-" + n.Name
			a := n.Call(http.MethodPost, host, orderPrefix+"7?x=1", id, 2*time.Second)
			So(a.Err, ShouldBeNil)
			So(a.Status, ShouldEqual, http.StatusOK)
			So(a.Header.Get("X-Request-Id"), ShouldEqual, id)
			So(a.Header.Get("X-Server-Stamp"), ShouldNotBeEmpty)
			So(a.Body, ShouldEndWith, "POST /order/7?x=1 body")
			at := nodeThatRan(m, id)
			So(at.Upstream.Service, ShouldEqual, "b")
			So(at.Zone, ShouldEqual, n.Zone)
			seen := at.Upstream.Headers()
			last := seen[len(seen)-1]
			So(last.Get("X-Caller-Service"), ShouldEqual, n.Upstream.Service)
			So(last.Get("X-Expect-Instance"), ShouldEqual, at.Upstream.Instance)
		}
		missing := m.Nodes[0].Call(http.MethodGet, host, "/none/", "no-route", time.Second)
		So(missing.Status, ShouldEqual, http.StatusNotFound)
	})
}

func TestForgedCallerServiceIsReplaced(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		n := nodesOf(m, "a")[0]
		conn, err := n.Connect()
		So(err, ShouldBeNil)
		request := strings.Replace(mesh.Request(http.MethodGet, host, readPrefix, "forged", time.Second),
			"X-Request-Id", "X-Caller-Service: bank\r\nX-Request-Id", 1)
		So(conn.Send(request), ShouldBeNil)
		So(conn.Receive(http.MethodGet).Status, ShouldEqual, http.StatusOK)
		seen := nodeThatRan(m, "forged").Upstream.Headers()
		So(seen[len(seen)-1]["X-Caller-Service"], ShouldResemble, []string{"a"})
		So(conn.Close(), ShouldBeNil)
	})
}

func TestPipelinedCallsRunConcurrentlyWithResponsesInOrder(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		n := nodesOf(m, "b")[0]
		nodesOf(m, "a")[0].Upstream.SetBehaviour(100*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("X-Request-Id") == "p-0" {
				time.Sleep(300 * time.Millisecond)
			}
			return false
		})
		conn, err := n.Connect()
		So(err, ShouldBeNil)
		start := time.Now()
		for i := range 2 {
			So(conn.Send(mesh.Request(http.MethodGet, host, readPrefix, fmt.Sprintf("p-%d", i), time.Second)), ShouldBeNil)
		}
		for i := range 2 {
			a := conn.Receive(http.MethodGet)
			So(a.Err, ShouldBeNil)
			So(a.Header.Get("X-Request-Id"), ShouldEqual, fmt.Sprintf("p-%d", i))
			So(a.Body, ShouldStartWith, "i-")
		}
		So(nodesOf(m, "a")[0].Upstream.MaxRunning(), ShouldEqual, 2)
		So(time.Since(start), ShouldBeLessThan, 450*time.Millisecond)
		So(conn.Close(), ShouldBeNil)
	})
}

func TestCallerDisconnectCancelsCall(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		far := nodesOf(m, "a")[0]
		far.Upstream.SetBehaviour(4*time.Second, nil)
		for _, n := range m.Nodes {
			conn, err := n.Connect()
			So(err, ShouldBeNil)
			So(conn.Send(mesh.Request(http.MethodGet, host, readPrefix, "left-"+n.Name, 5*time.Second)), ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			So(far.Upstream.Runs("left-"+n.Name), ShouldEqual, 1)
			before := far.Upstream.Cancelled()
			So(conn.Close(), ShouldBeNil)
			time.Sleep(400 * time.Millisecond)
			So(far.Upstream.Cancelled(), ShouldEqual, before+1)
		}
	})
}

func TestRouteTimeoutEndsCall(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		short := nonIdempotent(orderPrefix, "b")
		short.Timeout = 0.5
		configure(m, 2, short)
		time.Sleep(3 * time.Second)
		nodesOf(m, "b")[0].Upstream.SetBehaviour(3*time.Second, nil)
		start := time.Now()
		a := nodesOf(m, "a")[0].Call(http.MethodPost, host, orderPrefix, "long", 4*time.Second)
		So(a.Status, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldBeLessThan, 700*time.Millisecond)
	})
}

func TestSaturatedUpstreamShedsCallsAtOnce(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		far.Upstream.SetBehaviour(time.Second, nil)
		// Lets the node estimate the mean service time before the load arrives.
		for i := range 3 {
			So(near.Call(http.MethodPost, host, orderPrefix, fmt.Sprintf("warm-%d", i), 4*time.Second).Status, ShouldEqual, http.StatusOK)
		}
		const calls = 12
		responses := make(chan string, calls)
		for i := range calls {
			go func() {
				id := fmt.Sprintf("load-%d", i)
				start := time.Now()
				a := near.Call(http.MethodPost, host, orderPrefix, id, 2500*time.Millisecond)
				if a.Status == http.StatusServiceUnavailable {
					quick := time.Since(start) < 200*time.Millisecond && a.Header.Get("Retry-After") != ""
					id = fmt.Sprintf("refused %s quick=%v", id, quick)
				}
				responses <- id
			}()
		}
		served := 0
		for range calls {
			response := <-responses
			if id, isRefused := strings.CutPrefix(response, "refused "); isRefused {
				So(id, ShouldEndWith, "quick=true")
				So(runCount(m, strings.Fields(id)[0]), ShouldEqual, 0)
				continue
			}
			served++
		}
		time.Sleep(5 * time.Second)
		So(served, ShouldEqual, 4)
		So(far.Upstream.MaxRunning(), ShouldEqual, 2)
	})
}

func TestRefusedCallIsAdmittedWhenCallerRetries(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		near, far := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		far.Upstream.SetBehaviour(time.Second, nil)
		primeEstimates(near, http.MethodPost, orderPrefix)
		for i := range 2 {
			go near.Call(http.MethodPost, host, orderPrefix, fmt.Sprintf("busy-%d", i), 4*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		target := orderPrefix + "mine"
		refused := near.Call(http.MethodPost, host, target, "first", 1200*time.Millisecond)
		So(refused.Status, ShouldEqual, http.StatusServiceUnavailable)
		time.Sleep(950 * time.Millisecond)
		returned := near.Call(http.MethodPost, host, target, "second", 1500*time.Millisecond)
		So(returned.Status, ShouldEqual, http.StatusOK)
		So(runCount(m, "first"), ShouldEqual, 0)
		again := near.Call(http.MethodPost, host, "/nowhere/", "third", time.Second)
		So(again.Status, ShouldEqual, http.StatusNotFound)
		time.Sleep(100 * time.Millisecond)
	})
}
