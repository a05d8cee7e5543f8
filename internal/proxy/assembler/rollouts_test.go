package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

// rolloutsOn is the section of the settings in the known deployments.
var rolloutsOn = &reader.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackSeconds: 5}

// callEach makes some calls to service "a" from each node that is ready, and returns how many
// succeeded.
func callEach(m *mesh.Mesh, name string) (made, served int) {
	for i, n := range m.Nodes {
		for j := range 10 {
			made++
			if n.Call(http.MethodGet, host, readPrefix, fmt.Sprintf("%s-%d-%d", name, i, j), time.Second).Status == http.StatusOK {
				served++
			}
		}
	}
	return made, served
}

// ranAt returns how many calls the upstreams of a version have run.
func ranAt(m *mesh.Mesh, version string) int {
	total := 0
	for _, n := range m.Nodes {
		if n.Upstream.Version == version {
			total += n.Upstream.Total()
		}
	}
	return total
}

// Upstreams of another version start before any order, or before a node knows of it: a call there would
// be exposed to a version that nobody has asked for.
func TestOtherVersionGetsNoCallsWithoutPlan(t *testing.T) {
	inRolloutMesh(t, rolloutsOn, []string{"x", "y"}, func(m *mesh.Mesh) {
		for _, zone := range []string{"x", "y"} {
			_, err := m.AddVersion(zone, "a", "v2", 2)
			So(err, ShouldBeNil)
		}
		serve := func(name string) {
			made, served := callEach(m, name)
			So(served, ShouldEqual, made)
			So(ranAt(m, "v2"), ShouldEqual, 0)
			time.Sleep(4 * time.Second)
		}
		time.Sleep(4 * time.Second)
		serve("started")
		restart(m.Nodes...)
		time.Sleep(5 * time.Second)
		serve("restarted")
		So(ranAt(m, "v1"), ShouldBeGreaterThan, 0)
		for _, n := range m.Nodes {
			if n.Upstream.Service == "a" && n.Upstream.Version == "v1" {
				n.Kill()
			}
		}
		time.Sleep(20 * time.Second)
		response := m.Nodes[len(m.Nodes)-1].Call(http.MethodGet, host, readPrefix, "alone", time.Second)
		So(response.Status, ShouldEqual, http.StatusOK)
		So(ranAt(m, "v2"), ShouldEqual, 1)
	})
}

// Guards against upstreams that get no calls after an ordinary replacement by the same version.
func TestReplacementBySameVersionGetsCalls(t *testing.T) {
	inRolloutMesh(t, rolloutsOn, []string{"x", "y"}, func(m *mesh.Mesh) {
		for _, zone := range []string{"x", "y"} {
			_, err := m.Add(zone, "a", 2)
			So(err, ShouldBeNil)
		}
		time.Sleep(4 * time.Second)
		for _, n := range m.Nodes[:4] {
			if n.Upstream.Service == "a" {
				n.Upstream.Drain()
			}
		}
		time.Sleep(3 * time.Second)
		made, served := callEach(m, "replaced")
		So(served, ShouldEqual, made)
		So(m.Nodes[4].Upstream.Total()+m.Nodes[5].Upstream.Total(), ShouldEqual, made)
	})
}

// versionAt returns the version that a node knows another one's upstream to have.
func versionAt(n, other *mesh.Node) string {
	for _, member := range n.Proxy.Members() {
		if member.Node == other.Name {
			return member.Version
		}
	}
	return ""
}

// Nodes that roll versions out and nodes that do not, as those of an earlier release, exchange their
// records: neither may be lost to the other.
func TestNodesWithoutRolloutsKnowThoseWith(t *testing.T) {
	inRolloutMesh(t, rolloutsOn, []string{"x", "y"}, func(m *mesh.Mesh) {
		m.Rollouts = nil
		for _, zone := range []string{"x", "y"} {
			_, err := m.Add(zone, "a", 2)
			So(err, ShouldBeNil)
		}
		time.Sleep(4 * time.Second)
		// Records come by messages alone.
		m.Store.SetFaults(metastore.Faults{Unavailable: true})
		with, without := m.Nodes[0], m.Nodes[4]
		without.SetSeed(m.Nodes[1])
		restart(without)
		time.Sleep(4 * time.Second)
		with.SetSeed(without)
		m.Rollouts = rolloutsOn
		restart(with)
		time.Sleep(4 * time.Second)
		for _, n := range m.Nodes {
			So(n.Proxy.Members(), ShouldHaveLength, len(m.Nodes))
		}
		So(versionAt(m.Nodes[1], with), ShouldEqual, "v1")
		So(versionAt(with, m.Nodes[1]), ShouldEqual, "v1")
		So(versionAt(with, without), ShouldBeEmpty)
	})
}
