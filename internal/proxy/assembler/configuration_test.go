package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

// propagationTime is how long a configuration version may take until it is in force on
// every node.
const propagationTime = 2 * time.Second

// versionRange returns the lowest and the highest version in force on any node.
func versionRange(m *mesh.Mesh) (int64, int64) {
	lowest, highest := m.Nodes[0].Proxy.Version(), int64(0)
	for _, n := range m.Nodes {
		lowest, highest = min(lowest, n.Proxy.Version()), max(highest, n.Proxy.Version())
	}
	return lowest, highest
}

func TestConfigurationReachesAllNodesInTime(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		configure(m, 4, idempotent(readPrefix, "b"), nonIdempotent(orderPrefix, "a"))
		time.Sleep(propagationTime)
		lowest, _ := versionRange(m)
		So(lowest, ShouldEqual, 4)
		So(m.Nodes[0].Call(http.MethodGet, host, readPrefix, "moved", time.Second).Status, ShouldEqual, http.StatusOK)
		So(nodeThatRan(m, "moved").Upstream.Service, ShouldEqual, "b")
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		configure(m, 9, idempotent(readPrefix, "a"))
		time.Sleep(propagationTime)
		configure(m, 5, idempotent(readPrefix, "b"))
		time.Sleep(2 * propagationTime)
		lowest, highest := versionRange(m)
		So(lowest, ShouldEqual, 9)
		So(highest, ShouldEqual, 9)
		// A node that went back could have got the newer version from another one again.
		for _, n := range m.Nodes {
			So(n.Log.String(), ShouldNotContainSubstring, `"version":5`)
		}
	})
}

// withoutService is a configuration with an invalid route.
const withoutService = `{"version":9,"listeners":[{"host":"shop.example","policy":[{"kind":"idempotent"}]}]}`

func TestInvalidConfigurationIsIgnored(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		m.Store.Put("op/config", []byte(withoutService))
		time.Sleep(propagationTime)
		_, highest := versionRange(m)
		So(highest, ShouldEqual, 1)
		So(m.Nodes[0].Call(http.MethodGet, host, readPrefix, "still", time.Second).Status, ShouldEqual, http.StatusOK)
		So(m.Nodes[0].Log.String(), ShouldContainSubstring, "unusable")
	})
}

// The newest configuration is invalid when a node starts. The others still serve the
// version before it, and so must the new process.
func TestRestartDuringInvalidConfigurationUsesVersionOfPeers(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.Put("op/config", []byte(withoutService))
		time.Sleep(propagationTime)
		for _, n := range m.Nodes[:2] {
			n.Kill()
			So(n.Start(), ShouldBeNil)
		}
		time.Sleep(5 * time.Second)
		lowest, highest := versionRange(m)
		So(lowest, ShouldEqual, 1)
		So(highest, ShouldEqual, 1)
		configure(m, 10, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
		time.Sleep(propagationTime + time.Second)
		lowest, _ = versionRange(m)
		So(lowest, ShouldEqual, 10)
	})
}

// A route has a kind of a later release. Running and starting nodes serve it, and the loss
// of an answer never makes them run a call again.
func TestRouteOfUnknownKindIsServedAtMostOnce(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		odd := idempotent(readPrefix, "a")
		odd.Kind = "streamed"
		configure(m, 2, odd, nonIdempotent(orderPrefix, "b"))
		time.Sleep(propagationTime)
		n := nodesOf(m, "b")[0]
		n.Kill()
		So(n.Start(), ShouldBeNil)
		time.Sleep(5 * time.Second)
		for i, n := range m.Nodes {
			So(n.Proxy.Version(), ShouldEqual, 2)
			So(n.Call(http.MethodGet, host, readPrefix, fmt.Sprintf("kept-%d", i), time.Second).Status, ShouldEqual, http.StatusOK)
		}
		So(n.Log.String(), ShouldContainSubstring, "unknownKinds")
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(0, rawAnswer("", true))
		}
		So(n.Call(http.MethodGet, host, readPrefix, "lost", time.Second).Status, ShouldEqual, http.StatusBadGateway)
		So(runCount(m, "lost"), ShouldEqual, 1)
	})
}

func TestFrequentVersionsCauseFewStoreCalls(t *testing.T) {
	inMesh(t, []string{"x", "y", "z"}, func(m *mesh.Mesh) {
		before := m.Store.Counts()
		for i := range 25 {
			configure(m, 10+i, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(propagationTime)
		lowest, _ := versionRange(m)
		So(lowest, ShouldEqual, 34)
		after := m.Store.Counts()
		// One node of each of the three zones watches, at most once every 600 ms.
		So(after["watch"]-before["watch"]+after["read"]-before["read"], ShouldBeLessThanOrEqualTo, 3*13)
	})
}

// A watch may stop delivering events without an error. The node must end it and read the
// version written meanwhile, although the store no longer retains the event.
func TestWatchWithoutEventsIsReplaced(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{StallWatches: true})
		configure(m, 7, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
		time.Sleep(time.Second)
		m.Store.Compact()
		m.Store.SetFaults(metastore.Faults{})
		time.Sleep(3 * time.Second)
		lowest, _ := versionRange(m)
		So(lowest, ShouldEqual, 7)
	})
}

func TestPeersPropagateConfigurationToNodeCutOffFromStore(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		// Cuts off the first node of zone x, which is its relay, from the store.
		isolated := m.Nodes[0].Name
		m.Network.Cut(func(from, to string) bool {
			return (from == isolated && to == "store") || (from == "store" && to == isolated)
		})
		time.Sleep(4 * time.Second)
		configure(m, 8, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
		time.Sleep(propagationTime + time.Second)
		lowest, _ := versionRange(m)
		So(lowest, ShouldEqual, 8)
	})
}

func TestRestartDuringStoreOutageUsesConfigurationOfPeers(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Unavailable: true})
		n := m.Nodes[1]
		n.SetSeed(m.Nodes[0])
		n.Kill()
		So(n.Start(), ShouldBeNil)
		time.Sleep(6 * time.Second)
		So(n.Ready(), ShouldBeTrue)
		So(n.Call(http.MethodGet, host, readPrefix, "seeded", time.Second).Status, ShouldEqual, http.StatusOK)
	})
}

func TestExpiredEntriesAreRegisteredAgainAfterStoreOutage(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Unavailable: true})
		time.Sleep(15 * time.Second)
		m.Store.SetFaults(metastore.Faults{})
		m.Store.RevokeLeases()
		So(m.Store.Keys("tamarackscale/nodes/"), ShouldBeEmpty)
		time.Sleep(2 * time.Second)
		So(len(m.Store.Keys("tamarackscale/nodes/")), ShouldEqual, len(m.Nodes))
	})
}

// A lease is lost soon after the node has registered with it. The next renewal must show that: a
// read of the entries may be too old to count.
func TestLostLeaseIsReplacedAtNextRenewal(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		time.Sleep(15 * time.Second)
		for range 2 {
			m.Store.RevokeLeases()
			time.Sleep(5 * time.Second)
		}
		So(len(m.Store.Keys("tamarackscale/nodes/")), ShouldEqual, len(m.Nodes))
	})
}

func TestDeadNodeIsRemovedFromMembers(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Nodes[0].Kill()
		time.Sleep(30 * time.Second)
		So(len(m.Nodes[1].Proxy.Members()), ShouldEqual, len(m.Nodes)-1)
	})
}

func TestTrafficSplitMatchesWeightsExactly(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		split := idempotent(readPrefix, "")
		split.Split = map[string]int{"a": 90, "b": 10}
		configure(m, 2, split)
		time.Sleep(propagationTime)
		for i := range 100 {
			So(m.Nodes[0].Call(http.MethodGet, host, readPrefix, fmt.Sprintf("w-%d", i), time.Second).Status, ShouldEqual, http.StatusOK)
		}
		So(nodesOf(m, "a")[0].Upstream.Total(), ShouldEqual, 90)
		So(nodesOf(m, "b")[0].Upstream.Total(), ShouldEqual, 10)
	})
}

func TestIdleStoreCallsDoNotGrowWithZoneSize(t *testing.T) {
	counts := map[int]int{}
	for _, zones := range [][]string{{"x"}, {"x", "x", "x"}} {
		inMesh(t, zones, func(m *mesh.Mesh) {
			time.Sleep(20 * time.Second)
			before := m.Store.Counts()
			time.Sleep(60 * time.Second)
			counts[len(zones)] = m.Store.Counts()["watch"] - before["watch"]
		})
	}
	if counts[1] != counts[3] {
		t.Errorf("watches in a minute: %d with one pair of nodes, %d with three", counts[1], counts[3])
	}
}

func TestStartupCausesFewStoreCalls(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "y", "y", "y"}, func(m *mesh.Mesh) {
		first := m.Store.Counts()
		So(first["lease"]+first["commit"], ShouldEqual, 2*len(m.Nodes))
		So(first["range"], ShouldEqual, 0)
		// Only the first node of each zone reads the configuration.
		So(first["read"], ShouldBeLessThanOrEqualTo, 2)
		// A node that starts later gets the configuration from the relays of its zone.
		last := m.Nodes[len(m.Nodes)-1]
		last.Kill()
		So(last.Start(), ShouldBeNil)
		time.Sleep(2 * time.Second)
		So(last.Ready(), ShouldBeTrue)
		So(m.Store.Counts()["read"], ShouldEqual, first["read"])
	})
}

func TestNodesServeSoonAfterFullRestart(t *testing.T) {
	inMesh(t, []string{"x", "x", "y", "y"}, func(m *mesh.Mesh) {
		for _, n := range m.Nodes {
			n.Kill()
		}
		time.Sleep(time.Second)
		before := m.Store.Counts()
		for _, n := range m.Nodes {
			So(n.Start(), ShouldBeNil)
		}
		time.Sleep(2 * time.Second)
		// At most the first node of each zone reads the configuration. The others get it from
		// there, the first one of the other zone too if it is later.
		So(m.Store.Counts()["read"]-before["read"], ShouldBeBetweenOrEqual, 1, 2)
		for _, n := range m.Nodes {
			So(n.Ready(), ShouldBeTrue)
		}
		So(m.Nodes[0].Call(http.MethodGet, host, readPrefix, "again", time.Second).Status, ShouldEqual, http.StatusOK)
	})
}

func TestStoreRecoveryCausesNoFullConfigurationReads(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "x"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Unavailable: true})
		time.Sleep(10 * time.Second)
		m.Store.SetFaults(metastore.Faults{})
		before := m.Store.Counts()
		time.Sleep(1500 * time.Millisecond)
		configure(m, 8, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
		time.Sleep(propagationTime)
		lowest, _ := versionRange(m)
		So(lowest, ShouldEqual, 8)
		after := m.Store.Counts()
		So(after["read"], ShouldEqual, before["read"])
		// The relays get changes first; the other nodes then need no watch.
		So(after["watch"]-before["watch"], ShouldBeLessThan, 2*len(m.Nodes))
	})
}

// The delay before a node contacts the store itself grows with its position in the zone. A
// node that can't reach the relays at all must not wait for it after each failed watch.
func TestNodeCutOffFromPeersFollowsStoreAtOnce(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "x", "x", "x", "x", "x"}, func(m *mesh.Mesh) {
		// vm-x-9 is the last of the 16 nodes in the order of names. It can reach only the
		// store.
		last := m.Nodes[8]
		m.Network.Cut(func(from, to string) bool {
			return (from == last.Name || to == last.Name) && from != to && from != "store" && to != "store"
		})
		time.Sleep(8 * time.Second)
		// Its watches fail, as on a link that is interrupted for a moment.
		for round := range 8 {
			m.Store.SetFaults(metastore.Faults{Unavailable: true})
			time.Sleep(2500*time.Millisecond + time.Duration(round)*300*time.Millisecond)
			m.Store.SetFaults(metastore.Faults{})
			configure(m, 8+round, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
			time.Sleep(propagationTime)
			So(last.Proxy.Version(), ShouldEqual, 8+round)
		}
	})
}
