package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// The only upstream of a service was deregistered while the VM's clock was ahead, and its node
// restarts after the clock was set back. Calls must not reach the upstream after its drain.
func TestRecoveredDrainHoldsAfterClockWasSetBack(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		draining, near := nodesOf(m, "a")[0], nodesOf(m, "b")[0]
		record := draining.Proxy.Self()
		record.Sequence, record.Draining, record.DrainStart = record.Sequence+1, true, time.Now().Add(5*time.Second).UnixMilli()
		draining.Kill()
		So(near.Proxy.UpdateMember(record), ShouldBeTrue)
		time.Sleep(time.Second)
		So(draining.Start(), ShouldBeNil)
		// By then the upstream's former heartbeats, which arrive late, have reached the new process.
		time.Sleep(2 * time.Second)
		for i := range 20 {
			So(near.Call(http.MethodGet, host, readPrefix, fmt.Sprintf("c-%d", i), time.Second).Status, ShouldEqual, http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		So(draining.Upstream.Total(), ShouldEqual, 0)
	})
}

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
