package assembler_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
	"github.com/tamarackscale/tamarackscale/standin/metastore"
)

const (
	releaseLimit    = 16 * time.Second
	releaseSpacing  = 6 * time.Millisecond
	releaseWork     = 20 * time.Millisecond
	releaseOrderKey = "op/rollout/a"
	// releaseRoutes is the number of routes that lead to the service.
	releaseRoutes = 4
)

// release is a rollout of service "a" from v1 to v2 under load.
type release struct {
	m     *mesh.Mesh
	calls atomic.Int64
	// served counts the calls that were not refused and did not fail.
	served atomic.Int64
	ended  chan struct{}
	done   sync.WaitGroup
	// ordered is when the order was written, states holds each state of the status with its time
	// since.
	ordered time.Time
	mu      sync.Mutex
	states  []string
	at      []time.Duration
}

// inRelease runs a test in a mesh under load in which four upstreams of v2 have just started beside four
// of v1 and the order has been written. Behave is the behaviour of v2. The load ends with the limit.
func inRelease(t *testing.T, behave func(w http.ResponseWriter, r *http.Request) bool, run func(r *release)) {
	inRolloutMesh(t, rolloutsOn, []string{"x", "y", "x", "y"}, func(m *mesh.Mesh) {
		var routes []routeSpec
		for i := range releaseRoutes {
			routes = append(routes, idempotent(fmt.Sprintf("/r%d/", i), "a"))
		}
		configure(m, 2, append(routes, nonIdempotent(orderPrefix, "b"))...)
		for _, zone := range []string{"x", "y", "x", "y"} {
			n, err := m.AddVersion(zone, "a", "v2", 8)
			So(err, ShouldBeNil)
			n.Upstream.SetBehaviour(releaseWork, behave)
		}
		for _, n := range nodesOf(m, "a")[:4] {
			n.Upstream.SetBehaviour(releaseWork, nil)
		}
		r := &release{m: m, ended: make(chan struct{})}
		defer func() {
			close(r.ended)
			r.done.Wait()
		}()
		r.done.Go(r.load)
		r.done.Go(r.follow)
		time.Sleep(time.Second)
		r.order("v2", releaseLimit)
		run(r)
	})
}

// order writes an order.
func (r *release) order(version string, limit time.Duration) {
	value, err := json.Marshal(map[string]any{"service": "a", "target_version": version, "step_s": limit.Seconds()})
	So(err, ShouldBeNil)
	r.mu.Lock()
	r.ordered = time.Now()
	r.mu.Unlock()
	r.m.Store.Put(releaseOrderKey, value)
}

// load makes calls at random nodes.
func (r *release) load() {
	random := rand.New(rand.NewPCG(1, 1))
	for i := 0; ; i++ {
		select {
		case <-r.ended:
			return
		case <-time.After(releaseSpacing):
		}
		n := r.m.Nodes[random.IntN(len(r.m.Nodes))]
		if n.Removed() || !n.Ready() {
			continue
		}
		path := fmt.Sprintf("/r%d/", random.IntN(releaseRoutes))
		r.done.Go(func() {
			r.calls.Add(1)
			response := n.Call(http.MethodGet, host, path, fmt.Sprintf("load-%d", i), time.Second)
			// The caller ends with its VM, or its connection with the proxy.
			if response.Status == http.StatusOK || response.Err != nil {
				r.served.Add(1)
			}
		})
	}
}

// follow records the states of the status.
func (r *release) follow() {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		var status struct {
			Target string `json:"target_version"`
			State  string `json:"state"`
		}
		if json.Unmarshal(r.m.Store.Value("status/rollout/a"), &status) != nil {
			continue
		}
		state := status.Target + " " + status.State
		r.mu.Lock()
		if len(r.states) == 0 || r.states[len(r.states)-1] != state {
			r.states, r.at = append(r.states, state), append(r.at, time.Since(r.ordered))
		}
		r.mu.Unlock()
	}
}

// await waits until the status has a state, or the limit is over.
func (r *release) await(state string) {
	for time.Since(r.ordered) < releaseLimit {
		r.mu.Lock()
		reached := slices.Contains(r.states, state)
		r.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ends checks the states of the status at the end of the limit. It returns when the last came.
func (r *release) ends(states ...string) time.Duration {
	time.Sleep(releaseLimit - time.Since(r.ordered))
	r.mu.Lock()
	defer r.mu.Unlock()
	if fmt.Sprint(r.states) != fmt.Sprint(states) {
		for _, n := range r.m.Nodes {
			for _, line := range strings.Split(n.Log.String(), "\n") {
				if strings.Contains(line, "ollout") {
					fmt.Println(line)
				}
			}
		}
	}
	So(r.states, ShouldResemble, states)
	return r.at[len(r.at)-1]
}

// exposed checks that the calls to v2 stay within the bound.
func (r *release) exposed(t *testing.T) {
	target, all := ranAt(r.m, "v2"), int(r.calls.Load())
	t.Logf("%d of %d calls", target, all)
	So(float64(target), ShouldBeLessThan, 0.1*float64(all)+50)
}

// controllers returns the nodes that have been the controller, in the order of the VMs.
func (r *release) controllers() []*mesh.Node {
	var nodes []*mesh.Node
	for _, n := range r.m.Nodes {
		if strings.Contains(n.Log.String(), `"controls":true`) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// failHalf answers half of the calls with status 500.
func failHalf(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("X-Request-Id")[len(r.Header.Get("X-Request-Id"))-1]%2 == 0 {
		return false
	}
	w.Header().Set("X-Server-Stamp", "s")
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

// Guards against a good version that is not in force in time, and against calls to the old one after the
// end, whose upstreams the platform stops at once.
func TestGoodVersionIsRolledOut(t *testing.T) {
	inRelease(t, nil, func(r *release) {
		r.await("v2 done")
		before := ranAt(r.m, "v1")
		for _, n := range nodesOf(r.m, "a")[:4] {
			n.Remove()
		}
		time.Sleep(4 * time.Second)
		restart(nodesOf(r.m, "b")[0], nodesOf(r.m, "a")[5])
		at := r.ends("v2 running", "v2 done")
		calls, served := r.calls.Load(), r.served.Load()
		t.Logf("done at %v, %d of %d calls served", at, served, calls)
		So(at, ShouldBeLessThan, 12*time.Second)
		So(ranAt(r.m, "v1"), ShouldEqual, before)
		// The restarted nodes do not know the established version until the controller knows them.
		So(served, ShouldBeGreaterThan, calls*98/100)
	})
}

// Guards against a bad version that reaches too many callers, or stays.
func TestBadVersionIsRolledBack(t *testing.T) {
	inRelease(t, failHalf, func(r *release) {
		at := r.ends("v2 running", "v2 rolled_back")
		t.Logf("rolled back at %v", at)
		So(at, ShouldBeLessThan, 6*time.Second)
		r.exposed(t)
		before := ranAt(r.m, "v2")
		time.Sleep(3 * time.Second)
		So(ranAt(r.m, "v2"), ShouldEqual, before)
	})
}

// awaitPhase waits until the controller has entered a phase and returns it.
func (r *release) awaitPhase(phase string) *mesh.Node {
	for time.Since(r.ordered) < releaseLimit {
		for _, n := range r.m.Nodes {
			if strings.Contains(n.Log.String(), `"phase":"`+phase+`"`) {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// The controller ends in each phase. The next has to go on, in time for a good version and with the bound
// of exposure for a bad one.
func TestRolloutGoesOnWithoutItsController(t *testing.T) {
	for _, phase := range []string{"canary", "ramp", "whole", "settling"} {
		t.Run(phase, func(t *testing.T) {
			inRelease(t, nil, func(r *release) {
				n := r.awaitPhase(phase)
				So(n, ShouldNotBeNil)
				n.Kill()
				time.Sleep(time.Second)
				So(n.Start(), ShouldBeNil)
				t.Logf("done at %v", r.ends("v2 running", "v2 done"))
				So(len(r.controllers()), ShouldBeGreaterThan, 1)
			})
		})
	}
	t.Run("bad", func(t *testing.T) {
		inRelease(t, failHalf, func(r *release) {
			n := r.awaitPhase("canary")
			time.Sleep(time.Second)
			n.Kill()
			time.Sleep(time.Second)
			So(n.Start(), ShouldBeNil)
			t.Logf("rolled back at %v", r.ends("v2 running", "v2 rolled_back"))
			r.exposed(t)
		})
	})
}

// Failures of the store during a rollout. It must be done or rolled back nevertheless, each state written
// once.
func TestRolloutWithFailuresOfStore(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		fail  func(s *metastore.Store)
		wait  time.Duration
	}{
		{"down at first", 300 * time.Millisecond, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Unavailable: true}) }, 4500 * time.Millisecond},
		{"down in canary", 5 * time.Second, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Unresponsive: true}) }, 4500 * time.Millisecond},
		{"down in the large steps", 9500 * time.Millisecond, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Unavailable: true}) }, 4500 * time.Millisecond},
		{"down when it is nearly done", 10300 * time.Millisecond, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Unavailable: true}) }, 4500 * time.Millisecond},
		{"slow at first", 0, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Delay: 900 * time.Millisecond}) }, 6 * time.Second},
		{"slow at the end", 9 * time.Second, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Delay: 900 * time.Millisecond}) }, 6 * time.Second},
		{"slow", 2 * time.Second, func(s *metastore.Store) { s.SetFaults(metastore.Faults{Delay: 500 * time.Millisecond}) }, 10 * time.Second},
		{"answers of writes lost", 0, func(s *metastore.Store) { s.SetFaults(metastore.Faults{LoseWrites: true}) }, 3 * time.Second},
		{"answers of writes lost at the end", 9500 * time.Millisecond, func(s *metastore.Store) { s.SetFaults(metastore.Faults{LoseWrites: true}) }, 3 * time.Second},
		{"history lost", 4 * time.Second, func(s *metastore.Store) { s.Compact() }, 0},
		{"leases revoked", 4 * time.Second, func(s *metastore.Store) { s.RevokeLeases() }, 0},
		{"another era", 4 * time.Second, func(s *metastore.Store) { s.Restore(s.Snapshot()) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inRelease(t, nil, func(r *release) {
				time.Sleep(c.after)
				c.fail(r.m.Store)
				time.Sleep(c.wait)
				r.m.Store.SetFaults(metastore.Faults{})
				t.Logf("done at %v", r.ends("v2 running", "v2 done"))
			})
			inRelease(t, failHalf, func(r *release) {
				time.Sleep(min(c.after, 1500*time.Millisecond))
				c.fail(r.m.Store)
				time.Sleep(c.wait)
				r.m.Store.SetFaults(metastore.Faults{})
				t.Logf("rolled back at %v", r.ends("v2 running", "v2 rolled_back"))
				r.exposed(t)
			})
		})
	}
}

// A zone that is cut off has no plan any more: its nodes must use the old version, and the others must not
// wait for them.
func TestRolloutWithoutZoneThatIsCutOff(t *testing.T) {
	inRelease(t, nil, func(r *release) {
		n := r.awaitPhase("canary")
		other := "y"
		if n.Zone == "y" {
			other = "x"
		}
		time.Sleep(3 * time.Second)
		inZone := func(host string) bool { return strings.HasPrefix(host, "vm-"+other) }
		r.m.Network.Cut(func(from, to string) bool { return inZone(from) != inZone(to) })
		time.Sleep(4 * time.Second)
		before := 0
		count := func() (calls int) {
			for _, n := range r.m.Nodes {
				if n.Zone == other && n.Upstream.Version == "v2" {
					calls += n.Upstream.Total()
				}
			}
			return calls
		}
		before = count()
		t.Logf("done at %v", r.ends("v2 running", "v2 done"))
		So(count(), ShouldEqual, before)
	})
}

// Orders that change or can't be followed.
func TestOddOrders(t *testing.T) {
	t.Run("second order", func(t *testing.T) {
		inRelease(t, nil, func(r *release) {
			time.Sleep(4 * time.Second)
			r.order("v3", releaseLimit)
			before := ranAt(r.m, "v2")
			time.Sleep(time.Second)
			So(ranAt(r.m, "v2")-before, ShouldBeLessThan, 12)
			r.ends("v2 running", "v2 rolled_back", "v3 running", "v3 rolled_back")
		})
	})
	t.Run("nobody runs the version", func(t *testing.T) {
		inRelease(t, nil, func(r *release) {
			r.m.Store.Delete(releaseOrderKey)
			time.Sleep(3 * time.Second)
			r.mu.Lock()
			r.states, r.at = nil, nil
			r.mu.Unlock()
			r.order("v9", releaseLimit)
			at := r.ends("v2 rolled_back", "v9 running", "v9 rolled_back")
			So(at, ShouldBeGreaterThan, releaseLimit-3*time.Second)
			So(ranAt(r.m, "v2"), ShouldBeLessThan, 20)
		})
	})
	t.Run("unusable", func(t *testing.T) {
		inRolloutMesh(t, rolloutsOn, []string{"x", "y"}, func(m *mesh.Mesh) {
			for _, value := range []string{"", "[]", `{"service":"b","target_version":"v2","step_s":16}`, `{"service":"a","target_version":"v2"}`, `{"service":"a","target_version":"v2","step_s":-1}`} {
				m.Store.Put(releaseOrderKey, []byte(value))
				time.Sleep(time.Second)
			}
			So(m.Store.Keys("status/"), ShouldBeEmpty)
			made, served := callEach(m, "odd")
			So(served, ShouldEqual, made)
			found := 0
			for _, n := range m.Nodes {
				found += strings.Count(n.Log.String(), "orderUnusable")
			}
			So(found, ShouldBeGreaterThan, 4)
		})
	})
}

// Without an order, rollouts must cost no messages and no calls to the store.
func TestRolloutsCostNothingWithoutOrder(t *testing.T) {
	counts := func(rollouts *reader.Rollouts) (counts metastore.Calls) {
		inRolloutMesh(t, rollouts, []string{"x", "y"}, func(m *mesh.Mesh) {
			before := m.Store.Counts()
			time.Sleep(20 * time.Second)
			counts = m.Store.Counts()
			for operation, n := range before {
				if counts[operation] -= n; counts[operation] == 0 {
					delete(counts, operation)
				}
			}
		})
		return counts
	}
	with, without := counts(rolloutsOn), counts(nil)
	Convey("The calls to the store are the same", t, func() { So(with, ShouldResemble, without) })
}
