package assembler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

// recoveryWindow is how long after a disturbance of a node, its links or its connections
// versions may be late on it.
const recoveryWindow = 3 * time.Second

// propagationCase is a disturbance during which a version is written.
type propagationCase struct {
	name    string
	disturb func(m *mesh.Mesh)
	// disturbed are the names of nodes that may be late.
	disturbed []string
	// after is when the version is written, after the disturbance.
	after time.Duration
	// bound is the longest time until the version is in force on the others.
	bound time.Duration
}

// restart kills processes at the same time and starts them again.
func restart(nodes ...*mesh.Node) {
	for _, n := range nodes {
		n.Kill()
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			panic(err)
		}
	}
}

// cutFrom returns a rule that cuts off each of the nodes from the hosts for which from holds.
func cutFrom(from func(host string) bool, nodes ...string) func(a, b string) bool {
	return func(a, b string) bool {
		return a != b && (slices.Contains(nodes, a) && from(b) || slices.Contains(nodes, b) && from(a))
	}
}

func isStore(host string) bool { return host == "store" }

func anyHost(string) bool { return true }

// The nodes of zone x are vm-x-1 to vm-x-4, those of zone y vm-y-5 to vm-y-8. The first two of
// each zone are its relays, and the first one watches the store.
var propagationCases = []propagationCase{
	{name: "no disturbance", disturb: func(*mesh.Mesh) {}, bound: propagationTime},
	{
		name: "the watching relay is cut off from the store alone", bound: propagationTime, disturbed: []string{"vm-x-1"},
		disturb: func(m *mesh.Mesh) { m.Network.Cut(cutFrom(isStore, "vm-x-1")) },
	},
	{
		name: "both relays are cut off from the store alone", bound: propagationTime, disturbed: []string{"vm-x-1", "vm-x-2"},
		disturb: func(m *mesh.Mesh) { m.Network.Cut(cutFrom(isStore, "vm-x-1", "vm-x-2")) },
	},
	{
		name: "the watching relays of all zones are cut off from the store alone", bound: propagationTime,
		disturbed: []string{"vm-x-1", "vm-y-5"},
		disturb:   func(m *mesh.Mesh) { m.Network.Cut(cutFrom(isStore, "vm-x-1", "vm-y-5")) },
	},
	{
		name: "the watching relay is silent", bound: propagationTime, disturbed: []string{"vm-x-1"},
		disturb: func(m *mesh.Mesh) { m.Network.Cut(cutFrom(anyHost, "vm-x-1")) },
	},
	{
		name: "both relays are silent", bound: propagationTime, disturbed: []string{"vm-x-1", "vm-x-2"},
		disturb: func(m *mesh.Mesh) { m.Network.Cut(cutFrom(anyHost, "vm-x-1", "vm-x-2")) },
	},
	{
		name: "one relay is silent and the other is cut off from the store", bound: propagationTime,
		disturbed: []string{"vm-x-1", "vm-x-2"},
		disturb: func(m *mesh.Mesh) {
			silent, cut := cutFrom(anyHost, "vm-x-1"), cutFrom(isStore, "vm-x-2")
			m.Network.Cut(func(a, b string) bool { return silent(a, b) || cut(a, b) })
		},
	},
	{
		name: "all open connections are silent and new ones work", bound: recoveryWindow,
		disturb: func(m *mesh.Mesh) { m.Network.Silence() },
	},
	{
		name: "both relays have just started", bound: propagationTime, after: recoveryWindow - propagationTime,
		disturb: func(m *mesh.Mesh) { restart(m.Nodes[:2]...) },
	},
	{
		name:  "a node and the watching relay have just started and the relay is cut off from the store",
		bound: propagationTime, after: recoveryWindow - propagationTime, disturbed: []string{"vm-x-1"},
		disturb: func(m *mesh.Mesh) {
			m.Network.Cut(cutFrom(isStore, "vm-x-1"))
			restart(m.Nodes[0], m.Nodes[3])
		},
	},
	{
		name: "all nodes of a zone have just started", bound: propagationTime, after: recoveryWindow - propagationTime,
		disturb: func(m *mesh.Mesh) { restart(m.Nodes[:4]...) },
	},
	{
		name: "all nodes have just started", bound: propagationTime, after: recoveryWindow - propagationTime,
		disturb: func(m *mesh.Mesh) { restart(m.Nodes...) },
	},
}

// propagation returns how long a version takes that is written after the disturbance, until it
// is in force on all nodes that are not disturbed.
func (c propagationCase) propagation(m *mesh.Mesh) time.Duration {
	c.disturb(m)
	time.Sleep(max(c.after, time.Millisecond))
	configure(m, 50, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
	start := time.Now()
	for _, n := range m.Nodes {
		for !slices.Contains(c.disturbed, n.Name) && n.Proxy.Version() < 50 && time.Since(start) < time.Minute {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// A version must be in force in time on each node that is not disturbed itself, although those
// from which it receives changes are, and although no calls tell it of the version.
func TestVersionIsNotLateBehindDisturbedRelays(t *testing.T) {
	const phases, step = 13, 400 * time.Millisecond
	for _, c := range propagationCases {
		t.Run(c.name, func(t *testing.T) {
			longest := time.Duration(0)
			for i := range phases {
				inMesh(t, []string{"x", "x", "y", "y"}, func(m *mesh.Mesh) {
					time.Sleep(10*time.Second + time.Duration(i)*step)
					longest = max(longest, c.propagation(m))
				})
			}
			if longest > c.bound {
				t.Errorf("the version was in force after %v, allowed are %v", longest, c.bound)
			}
			t.Logf("longest: %v", longest)
		})
	}
}

// silentWatchBound is the time after which a version is in force although the connections to the
// store fell silent just before: the wait of a watch, its grace, and a call on a new connection.
const silentWatchBound = 1600 * time.Millisecond

// All connections fall silent, those that are idle too. If the reader waited before it tried again,
// or tried on an idle connection, its zone would be late.
func TestWatchOnSilentConnectionIsReplacedAtOnce(t *testing.T) {
	const phases, step = 13, 400 * time.Millisecond
	for i := range phases {
		inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
			time.Sleep(10*time.Second + time.Duration(i)*step)
			c := propagationCase{disturb: func(m *mesh.Mesh) { m.Network.Silence() }}
			if took := c.propagation(m); took > silentWatchBound {
				t.Errorf("phase %d: the version was in force after %v", i, took)
			}
		})
	}
}
