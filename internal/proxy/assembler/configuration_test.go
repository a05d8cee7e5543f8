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

// inForce is how long a version may take until every node serves by it.
const inForce = 2 * time.Second

// versions returns the lowest and the highest version in force.
func versions(m *mesh.Mesh) (int64, int64) {
	lowest, highest := m.Nodes[0].Proxy.Version(), int64(0)
	for _, n := range m.Nodes {
		lowest, highest = min(lowest, n.Proxy.Version()), max(highest, n.Proxy.Version())
	}
	return lowest, highest
}

func TestVersionIsInForceEverywhereInTime(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		configure(m, 4, idempotent(read, "b"), nonIdempotent(order, "a"))
		time.Sleep(inForce)
		lowest, _ := versions(m)
		So(lowest, ShouldEqual, 4)
		So(m.Nodes[0].Call(http.MethodGet, host, read, "moved", time.Second).Status, ShouldEqual, http.StatusOK)
		So(runner(m, "moved").Upstream.Service, ShouldEqual, "b")
	})
}

func TestVersionsNeverFall(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		configure(m, 9, idempotent(read, "a"))
		time.Sleep(inForce)
		configure(m, 5, idempotent(read, "b"))
		time.Sleep(2 * inForce)
		lowest, highest := versions(m)
		So(lowest, ShouldEqual, 9)
		So(highest, ShouldEqual, 9)
	})
}

func TestUnusableConfigurationChangesNothing(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		m.Store.Put("op/config", []byte(`{"version":9,"listeners":[{"host":"shop.example","policy":[{"kind":"odd"}]}]}`))
		time.Sleep(inForce)
		_, highest := versions(m)
		So(highest, ShouldEqual, 1)
		So(m.Nodes[0].Call(http.MethodGet, host, read, "still", time.Second).Status, ShouldEqual, http.StatusOK)
		So(m.Nodes[0].Log.String(), ShouldContainSubstring, "unusable")
	})
}

func TestStormOfVersionsCostsFewStoreCalls(t *testing.T) {
	inMesh(t, []string{"x", "y", "z"}, func(m *mesh.Mesh) {
		before := m.Store.Counts()
		for i := range 25 {
			configure(m, 10+i, idempotent(read, "a"), nonIdempotent(order, "b"))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(inForce)
		lowest, _ := versions(m)
		So(lowest, ShouldEqual, 34)
		after := m.Store.Counts()
		// One node of each of three zones watches, at most once a 600 ms.
		So(after["watch"]-before["watch"]+after["read"]-before["read"], ShouldBeLessThanOrEqualTo, 3*13)
	})
}

func TestDeafWatchIsNoticed(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Deaf: true})
		configure(m, 7, idempotent(read, "a"), nonIdempotent(order, "b"))
		time.Sleep(time.Second)
		m.Store.Forget()
		m.Store.SetFaults(metastore.Faults{})
		time.Sleep(3 * time.Second)
		lowest, _ := versions(m)
		So(lowest, ShouldEqual, 7)
	})
}

func TestPeersTellAVersionWhileTheStoreTurnsANodeAway(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		// The first node of zone x, its relay, can't reach the store.
		away := m.Nodes[0].Name
		m.Network.Cut(func(from, to string) bool {
			return (from == away && to == "store") || (from == "store" && to == away)
		})
		time.Sleep(4 * time.Second)
		configure(m, 8, idempotent(read, "a"), nonIdempotent(order, "b"))
		time.Sleep(inForce + time.Second)
		lowest, _ := versions(m)
		So(lowest, ShouldEqual, 8)
	})
}

func TestRestartWhileTheStoreIsAwayServesByThePeersWord(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Busy: true})
		n := m.Nodes[1]
		n.Seed(m.Nodes[0])
		n.Kill()
		So(n.Start(), ShouldBeNil)
		time.Sleep(6 * time.Second)
		So(n.Ready(), ShouldBeTrue)
		So(n.Call(http.MethodGet, host, read, "seeded", time.Second).Status, ShouldEqual, http.StatusOK)
	})
}

func TestLapsedEntriesAreBackSoonAfterTheStoreIs(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Busy: true})
		time.Sleep(15 * time.Second)
		m.Store.SetFaults(metastore.Faults{})
		m.Store.Revoke()
		So(m.Store.Keys("tamarackscale/nodes/"), ShouldBeEmpty)
		time.Sleep(2 * time.Second)
		So(len(m.Store.Keys("tamarackscale/nodes/")), ShouldEqual, len(m.Nodes))
	})
}

func TestNodeThatIsGoneIsForgotten(t *testing.T) {
	inMesh(t, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Nodes[0].Kill()
		time.Sleep(30 * time.Second)
		So(len(m.Nodes[1].Proxy.Members()), ShouldEqual, len(m.Nodes)-1)
	})
}

func TestWeightsAreKeptExactly(t *testing.T) {
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		split := idempotent(read, "")
		split.Split = map[string]int{"a": 90, "b": 10}
		configure(m, 2, split)
		time.Sleep(inForce)
		for i := range 100 {
			So(m.Nodes[0].Call(http.MethodGet, host, read, fmt.Sprintf("w-%d", i), time.Second).Status, ShouldEqual, http.StatusOK)
		}
		So(of(m, "a")[0].Upstream.Total(), ShouldEqual, 90)
		So(of(m, "b")[0].Upstream.Total(), ShouldEqual, 10)
	})
}

func TestQuietStoreCallsDoNotGrowWithAZone(t *testing.T) {
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

func TestStartsCostFewStoreCalls(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "y", "y", "y"}, func(m *mesh.Mesh) {
		first := m.Store.Counts()
		So(first["lease"]+first["commit"], ShouldEqual, 2*len(m.Nodes))
		So(first["range"], ShouldEqual, 0)
		// Only the first node of each zone reads the configuration.
		So(first["read"], ShouldBeLessThanOrEqualTo, 2)
		// A node that starts later hears from its zone's relays.
		last := m.Nodes[len(m.Nodes)-1]
		last.Kill()
		So(last.Start(), ShouldBeNil)
		time.Sleep(2 * time.Second)
		So(last.Ready(), ShouldBeTrue)
		So(m.Store.Counts()["read"], ShouldEqual, first["read"])
	})
}

func TestRestartOfAllServesSoon(t *testing.T) {
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
		// The first node of each zone reads the configuration for the others.
		So(m.Store.Counts()["read"]-before["read"], ShouldEqual, 2)
		for _, n := range m.Nodes {
			So(n.Ready(), ShouldBeTrue)
		}
		So(m.Nodes[0].Call(http.MethodGet, host, read, "again", time.Second).Status, ShouldEqual, http.StatusOK)
	})
}

func TestReturnOfTheStoreCostsNoWholeConfigurations(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "x"}, func(m *mesh.Mesh) {
		m.Store.SetFaults(metastore.Faults{Busy: true})
		time.Sleep(10 * time.Second)
		m.Store.SetFaults(metastore.Faults{})
		before := m.Store.Counts()
		time.Sleep(1500 * time.Millisecond)
		configure(m, 8, idempotent(read, "a"), nonIdempotent(order, "b"))
		time.Sleep(inForce)
		lowest, _ := versions(m)
		So(lowest, ShouldEqual, 8)
		after := m.Store.Counts()
		So(after["read"], ShouldEqual, before["read"])
		// The relays hear of changes first, and then nobody else asks.
		So(after["watch"]-before["watch"], ShouldBeLessThan, 2*len(m.Nodes))
	})
}

func TestNodeThatReachesOnlyTheStoreAsksItAtOnce(t *testing.T) {
	inMesh(t, []string{"x", "x", "x", "x", "x", "x", "x", "x"}, func(m *mesh.Mesh) {
		last := m.Nodes[8]
		// Only the store is left to it.
		m.Network.Cut(func(from, to string) bool {
			return (from == last.Name || to == last.Name) && from != to && from != "store" && to != "store"
		})
		time.Sleep(8 * time.Second)
		// Its watches end without an answer, as at a link that is cut for a moment.
		for round := range 8 {
			m.Store.SetFaults(metastore.Faults{Busy: true})
			time.Sleep(2500*time.Millisecond + time.Duration(round)*300*time.Millisecond)
			m.Store.SetFaults(metastore.Faults{})
			configure(m, 8+round, idempotent(read, "a"), nonIdempotent(order, "b"))
			time.Sleep(inForce)
			So(last.Proxy.Version(), ShouldEqual, 8+round)
		}
	})
}
