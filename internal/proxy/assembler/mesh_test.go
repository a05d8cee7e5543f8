package assembler_test

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

const (
	host        = "shop.example"
	orderPrefix = "/order/"
	readPrefix  = "/read/"
)

// routeSpec is one route of a test's configuration. Timeout and Target, the target latency,
// are in seconds.
type routeSpec struct {
	Prefix   string
	Kind     string
	Service  string
	Split    map[string]int
	Timeout  float64
	Target   float64
	Priority int
	Attempts int
	Public   bool
}

// idempotent and nonIdempotent return the routes that most tests use.
func idempotent(prefix, service string) routeSpec {
	return routeSpec{Prefix: prefix, Kind: "idempotent", Service: service, Timeout: 5, Target: 0.5, Priority: 1, Attempts: 2}
}

func nonIdempotent(prefix, service string) routeSpec {
	return routeSpec{Prefix: prefix, Kind: "non_idempotent", Service: service, Timeout: 5, Target: 0.5, Attempts: 2}
}

// configure writes a configuration to the store, as the operator does.
func configure(m *mesh.Mesh, version int, routes ...routeSpec) {
	configureAccounts(m, version, nil, routes...)
}

// accountSpec is one account of a test's configuration, in its JSON form.
type accountSpec struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// configureAccounts writes a configuration with accounts.
func configureAccounts(m *mesh.Mesh, version int, accounts []accountSpec, routes ...routeSpec) {
	services := map[string]bool{}
	var rules, clusters []any
	for _, r := range routes {
		action := map[string]any{"service": r.Service, "timeout_s": r.Timeout, "max_attempts": r.Attempts}
		var split []any
		for service, weight := range r.Split {
			split = append(split, map[string]any{"service": service, "weight": weight})
			services[service] = true
		}
		if split != nil {
			delete(action, "service")
			action["weighted_backends"] = split
		} else {
			services[r.Service] = true
		}
		rules = append(rules, map[string]any{
			"name": "r" + r.Prefix, "kind": r.Kind, "target_latency_s": r.Target, "priority": r.Priority,
			"match": map[string]any{"prefix": r.Prefix}, "action": action, "public": r.Public,
		})
	}
	for service := range services {
		clusters = append(clusters, map[string]any{"name": service, "max_conns": 100})
	}
	configuration := map[string]any{
		"version": version,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
		"listeners": []any{map[string]any{"host": host, "policy": rules}},
		"clusters":  clusters,
	}
	if accounts != nil {
		configuration["tenants"] = accounts
	}
	value, err := json.Marshal(configuration)
	So(err, ShouldBeNil)
	m.Store.Put("op/config", value)
}

// inMesh runs a test on simulated time in a mesh with one VM of service "a" and one of
// service "b" for each entry of zones. In the tests, near is the node that gets a call from
// its caller, and far a node whose upstream runs it.
func inMesh(t *testing.T, zones []string, run func(m *mesh.Mesh)) {
	inConfiguredMesh(t, zones, func(*mesh.Mesh) {}, run)
}

// inRolloutMesh is inMesh with rollouts switched on if the section of the settings is not nil.
func inRolloutMesh(t *testing.T, rollouts *reader.Rollouts, zones []string, run func(m *mesh.Mesh)) {
	inConfiguredMesh(t, zones, func(m *mesh.Mesh) { m.Rollouts = rollouts }, run)
}

// inHedgingMesh is inMesh with a limit of the extra work of hedges; nil if there is none.
func inHedgingMesh(t *testing.T, zones []string, hedging *reader.Hedging, run func(m *mesh.Mesh)) {
	inConfiguredMesh(t, zones, func(m *mesh.Mesh) { m.Hedging = hedging }, run)
}

// inConfiguredMesh is inMesh with settings that adapt changes before the first node is added.
func inConfiguredMesh(t *testing.T, zones []string, adapt, run func(m *mesh.Mesh)) {
	log.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		Convey("a mesh", t, func() {
			m, err := mesh.New(ctx)
			So(err, ShouldBeNil)
			adapt(m)
			defer func() {
				cancel()
				m.Close()
				// Simulated time stops when the test function returns. The goroutines
				// that wait for a timer must have ended by then.
				time.Sleep(time.Minute)
			}()
			m.Network.Delay(func(from, to string) time.Duration {
				if from == to {
					return 0
				}
				return time.Millisecond
			})
			configure(m, 1, idempotent(readPrefix, "a"), nonIdempotent(orderPrefix, "b"))
			for _, zone := range zones {
				for _, service := range []string{"a", "b"} {
					_, err := m.Add(zone, service, 2)
					So(err, ShouldBeNil)
				}
			}
			// By then the nodes have discovered each other and have the configuration.
			time.Sleep(8 * time.Second)
			run(m)
		})
	})
}

// nodesOf returns the VMs whose upstream runs a service.
func nodesOf(m *mesh.Mesh, service string) []*mesh.Node {
	var nodes []*mesh.Node
	for _, n := range m.Nodes {
		if n.Upstream.Service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// runCount returns how often upstreams have run a call, over all VMs.
func runCount(m *mesh.Mesh, id string) int {
	total := 0
	for _, n := range m.Nodes {
		total += n.Upstream.Runs(id)
	}
	return total
}

// nodeThatRan returns the first VM whose upstream runs or has run a call; nil if none.
func nodeThatRan(m *mesh.Mesh, id string) *mesh.Node {
	for _, n := range m.Nodes {
		if n.Upstream.Runs(id) > 0 {
			return n
		}
	}
	return nil
}
