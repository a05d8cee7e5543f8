package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/explainer"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// explained asks a node about a GET request and then sends it. It returns the explanation, the response
// and the instance whose upstream ran the call.
func explained(m *mesh.Mesh, n *mesh.Node, path, id string) (explainer.Explanation, mesh.Response, string) {
	e, err := n.Explain(explainer.Question{Method: http.MethodGet, Host: host, Path: path})
	So(err, ShouldBeNil)
	response := n.Call(http.MethodGet, host, path, id, time.Second)
	if at := nodeThatRan(m, id); at != nil {
		return e, response, at.Upstream.Instance
	}
	return e, response, ""
}

// Guards against explanations that differ from what then happens to the request, in each state of
// the upstreams that changes the decision.
func TestExplanationIsWhatHappens(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		near := nodesOf(m, "b")[0]
		split := routeSpec{
			Prefix: "/split/", Kind: "idempotent", Split: map[string]int{"a": 3, "b": 1}, Timeout: 5, Target: 0.5, Priority: 1, Attempts: 2,
		}
		configure(m, 2, idempotent(readPrefix, "a"), split, idempotent("/none/", "c"))
		time.Sleep(3 * time.Second)
		number := 0
		check := func(path string) explainer.Explanation {
			number++
			e, response, instance := explained(m, near, path, fmt.Sprintf("explained-%d", number))
			if e.Refusal != nil {
				So(response.Status, ShouldEqual, e.Refusal.Status)
				So(instance, ShouldBeEmpty)
				return e
			}
			So(response.Status, ShouldEqual, http.StatusOK)
			So(e.Candidates[0].Chosen, ShouldBeTrue)
			So(instance, ShouldEqual, e.Candidates[0].Instance)
			return e
		}
		e := check(readPrefix)
		So(e.Route, ShouldEqual, "r"+readPrefix)
		So(e.Version, ShouldEqual, 2)
		So(e.Zone, ShouldEqual, "x")
		So(e.Candidates[1].RuledOut, ShouldEqual, "lessUseful")
		So(check("/missing/").Refusal.Reason, ShouldEqual, carrier.NoRoute)
		So(check("/none/").Refusal.Reason, ShouldEqual, carrier.NoEndpoint)

		// The split goes on where it is, however often it is explained.
		services := map[string]int{}
		for range 8 {
			for range 3 {
				_, err := near.Explain(explainer.Question{Host: host, Path: "/split/"})
				So(err, ShouldBeNil)
			}
			services[check("/split/").Service]++
		}
		So(services, ShouldResemble, map[string]int{"a": 6, "b": 2})

		// A slow upstream, then one that drains.
		nodesOf(m, "a")[0].Upstream.SetBehaviour(400*time.Millisecond, nil)
		for range 12 {
			check(readPrefix)
		}
		So(check(readPrefix).Candidates[0].Instance, ShouldEqual, nodesOf(m, "a")[1].Upstream.Instance)
		nodesOf(m, "a")[1].Upstream.Drain()
		time.Sleep(1500 * time.Millisecond)
		e = check(readPrefix)
		So(e.Candidates[0].Instance, ShouldEqual, nodesOf(m, "a")[0].Upstream.Instance)
		So(e.Candidates[1].RuledOut, ShouldEqual, "draining")
	})
}
