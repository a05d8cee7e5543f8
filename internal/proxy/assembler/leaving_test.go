package assembler_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

// drainTime is the time after which a leaving upstream must get no calls.
const drainTime = 2 * time.Second

// An upstream states in its answers that it leaves, while its heartbeats do not say so yet. That
// binds all nodes like a heartbeat that says so, also after a restart of the node beside it, and
// while the store is down.
func TestUpstreamThatAnswersThatItLeavesGetsNoCallsAfterDrainTime(t *testing.T) {
	cases := map[string]func(m *mesh.Mesh, n *mesh.Node){
		"undisturbed":                 func(*mesh.Mesh, *mesh.Node) {},
		"while the store is down":     func(m *mesh.Mesh, _ *mesh.Node) { m.Store.SetFaults(metastore.Faults{Unavailable: true}) },
		"after a restart of its node": func(_ *mesh.Mesh, n *mesh.Node) { restart(n) },
		"after a restart, store down": func(m *mesh.Mesh, n *mesh.Node) {
			m.Store.SetFaults(metastore.Faults{Unavailable: true})
			restart(n)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
				n := nodesOf(m, "a")[0]
				for _, other := range nodesOf(m, "a") {
					other.Upstream.SetBehaviour(20*time.Millisecond, nil)
				}
				log := &arrivalLog{}
				log.watch(n.Upstream, 10*time.Millisecond)
				log.leave()
				begin := time.Now()
				time.AfterFunc(500*time.Millisecond, func() { disturb(m, n) })
				callEvery(m, 20*time.Millisecond, time.Second, 8*time.Second)
				So(log.total(), ShouldBeGreaterThan, 0)
				So(log.last().Sub(begin), ShouldBeLessThan, drainTime)
				status := m.Nodes[3].Call(http.MethodGet, host, readPrefix, "other", time.Second).Status
				So(status, ShouldEqual, http.StatusOK)
			})
		})
	}
}
