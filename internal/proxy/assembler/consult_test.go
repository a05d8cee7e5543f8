package assembler_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// The store holds only an older version when a node starts, and two of the three nodes that it
// consults are frozen. The third has the version in force, which callers must get.
func TestNodeStartedAfterLossInStoreConsultsFurtherPeers(t *testing.T) {
	inMesh(t, []string{"x", "x"}, func(m *mesh.Mesh) {
		_, err := m.Add("y", "a", 2)
		So(err, ShouldBeNil)
		time.Sleep(6 * time.Second)
		loseVersion(m)
		started, frozen := m.Nodes[4], []string{m.Nodes[0].Name, m.Nodes[1].Name}
		started.Kill()
		m.Network.Delay(func(from, to string) time.Duration {
			switch {
			case from == to:
				return 0
			case slices.Contains(frozen, from):
				return 3 * time.Second
			default:
				return time.Millisecond
			}
		})
		time.Sleep(time.Second)
		So(started.Start(), ShouldBeNil)
		for start := time.Now(); !started.Ready(); time.Sleep(10 * time.Millisecond) {
			So(time.Since(start), ShouldBeLessThan, 5*time.Second)
		}
		version := started.Proxy.Version()
		response := started.Call(http.MethodGet, host, readPrefix, "newest", time.Second)
		So(version, ShouldEqual, 5)
		So(response.Status, ShouldEqual, http.StatusOK)
		So(nodeThatRan(m, "newest").Upstream.Service, ShouldEqual, "b")
	})
}

// The store holds only an older version when a node starts that reaches no other node. Some
// seconds after it reaches them again it must have the version in force, also if it has got no
// calls meanwhile whose replies hint at it.
func TestNodeStartedApartAfterLossInStoreCatchesUp(t *testing.T) {
	inMesh(t, []string{"x", "x"}, func(m *mesh.Mesh) {
		started, err := m.Add("y", "a", 2)
		So(err, ShouldBeNil)
		time.Sleep(6 * time.Second)
		loseVersion(m)
		started.Kill()
		m.Network.Cut(func(from, to string) bool {
			return from != to && from != "store" && to != "store" && (from == started.Name || to == started.Name)
		})
		time.Sleep(time.Second)
		So(started.Start(), ShouldBeNil)
		time.Sleep(3 * time.Second)
		m.Network.Cut(nil)
		time.Sleep(10 * time.Second)
		So(started.Proxy.Version(), ShouldEqual, 5)
	})
}
