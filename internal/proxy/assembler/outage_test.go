package assembler_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// A node restarts after its upstream was deregistered. A heartbeat from before arrives at once,
// when the new process knows no other node yet that it could query for the drain.
func TestDrainIsRecoveredAlsoIfHeartbeatComesFirst(t *testing.T) {
	cases := map[string]time.Duration{"store reached": 0, "store reached late": 1500 * time.Millisecond}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
				draining := nodesOf(m, "a")[0]
				So(draining.Upstream.Deregister(context.Background()), ShouldEqual, http.StatusOK)
				draining.Kill()
				cutFromStore(m, func(string) bool { return late > 0 })
				So(draining.Start(), ShouldBeNil)
				So(draining.Upstream.Heartbeat(context.Background()), ShouldEqual, http.StatusOK)
				if late > 0 {
					time.Sleep(late)
					m.Network.Cut(nil)
					// By then the node has found the others, and another heartbeat has arrived.
					time.Sleep(4 * time.Second)
				}
				So(draining.Proxy.Self().Draining, ShouldBeTrue)
			})
		})
	}
}
