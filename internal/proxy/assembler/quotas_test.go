package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
	"github.com/tamarackscale/tamarackscale/standin/mesh"
)

const quotaWindow = 5 * time.Second

// withQuotas switches quotas on in the settings of a mesh.
func withQuotas(m *mesh.Mesh) {
	m.Quotas = &reader.Quotas{WindowSeconds: quotaWindow.Seconds(), Excess: 0.1, Slack: 20}
}

// load is the calls of an account from all nodes.
type load struct {
	mu sync.Mutex
	// ran holds when calls began that an upstream answered, refused the refusals by status.
	ran       []time.Time
	refused   map[int]int
	withDelay int
	slowest   time.Duration
}

// send makes calls at a rate from the nodes in turn.
func (l *load) send(nodes []*mesh.Node, key string, rate float64, during time.Duration) {
	var calls sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < during; i++ {
		n := nodes[i%len(nodes)]
		calls.Go(func() {
			start := time.Now()
			response := callWith(n, readPrefix, fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(key, "k-"), start.UnixNano(), i), bearing(key))
			l.mu.Lock()
			defer l.mu.Unlock()
			if response.Status == http.StatusOK {
				l.ran = append(l.ran, start)
				return
			}
			l.refused[response.Status]++
			l.slowest = max(l.slowest, time.Since(start))
			if response.Header.Get("Retry-After") != "" {
				l.withDelay++
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	calls.Wait()
}

// most returns the largest number of calls that ran in any window.
func (l *load) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, first := range l.ran {
		count := 0
		for _, t := range l.ran {
			if !t.Before(first) && t.Sub(first) < quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func (l *load) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ran)
}

func newLoad() *load { return &load{refused: map[int]int{}} }

// Guards against accounts that exceed their quota over all nodes, refusals that take time or promise
// nothing, and an account within its quota that pays for another.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	limited := accountSpec{Name: "gold", Keys: []string{"k-gold-1"}, Rate: 20, Burst: 10}
	other := accountSpec{Name: "silver", Keys: []string{"k-silver-1"}, Rate: 20, Burst: 10}
	inConfiguredMesh(t, []string{"x", "y", "z"}, withQuotas, func(m *mesh.Mesh) {
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(2*time.Millisecond, nil)
		}
		configureAccounts(m, 2, []accountSpec{limited, other}, accountRoutes()...)
		time.Sleep(3 * time.Second)
		heavy, light := newLoad(), newLoad()
		var loads sync.WaitGroup
		loads.Go(func() { heavy.send(m.Nodes, "k-gold-1", 160, 12*time.Second) })
		loads.Go(func() { light.send(m.Nodes, "k-silver-1", 12, 12*time.Second) })
		loads.Wait()
		So(heavy.most(), ShouldBeLessThanOrEqualTo, 141)
		So(heavy.total(), ShouldBeGreaterThan, 230)
		So(heavy.refused, ShouldContainKey, http.StatusTooManyRequests)
		So(heavy.refused, ShouldHaveLength, 1)
		So(heavy.withDelay, ShouldEqual, heavy.refused[http.StatusTooManyRequests])
		So(heavy.slowest, ShouldBeLessThan, 100*time.Millisecond)
		So(light.refused, ShouldBeEmpty)
	})
}

// Guards against a quota that both sides of a partition use in full: at once, and after the nodes with a
// store have removed those of the cut-off zone and chosen other owners. Several accounts are used, so
// that some have their owner in the zone.
func TestQuotaHoldsWhileZoneIsCutOff(t *testing.T) {
	const accounts, rate, burst = 6, 10, 5
	var specs []accountSpec
	for i := range accounts {
		specs = append(specs, accountSpec{Name: fmt.Sprintf("account-%d", i), Keys: []string{fmt.Sprintf("k-account-%d", i)}, Rate: rate, Burst: burst})
	}
	inConfiguredMesh(t, []string{"x", "y", "z"}, withQuotas, func(m *mesh.Mesh) {
		for _, n := range m.Nodes {
			n.Upstream.SetBehaviour(2*time.Millisecond, nil)
		}
		configureAccounts(m, 2, specs, accountRoutes()...)
		time.Sleep(3 * time.Second)
		loads := make([]*load, accounts)
		var sent sync.WaitGroup
		for i := range loads {
			loads[i] = newLoad()
			sent.Go(func() { loads[i].send(m.Nodes, specs[i].Keys[0], 40, 40*time.Second) })
		}
		time.Sleep(6 * time.Second)
		m.Network.Cut(func(from, to string) bool { return inZone(from, "z") != inZone(to, "z") })
		time.Sleep(26 * time.Second)
		m.Network.Cut(func(string, string) bool { return false })
		sent.Wait()
		for _, l := range loads {
			So(float64(l.most()), ShouldBeLessThanOrEqualTo, 1.1*(rate*5+burst)+20)
			So(l.total(), ShouldBeGreaterThan, 40*rate/2)
		}
		So(allLogs(m), ShouldNotContainSubstring, "k-account")
	})
}

// inZone reports whether a host is a VM of a zone.
func inZone(hostName, zone string) bool {
	return len(hostName) > 4 && hostName[3:4] == zone
}

// Guards against tokens lost with calls that never ran, and against nested calls that cost quota.
func TestOnlyCallsThatRunCostQuota(t *testing.T) {
	limited := accountSpec{Name: "gold", Keys: []string{"k-gold-1"}, Rate: 1, Burst: 4}
	inConfiguredMesh(t, []string{"x", "y"}, withQuotas, func(m *mesh.Mesh) {
		configureAccounts(m, 2, []accountSpec{limited}, accountRoutes()...)
		time.Sleep(8 * time.Second)
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(time.Millisecond, func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
		}
		for i := range 40 {
			response := callWith(m.Nodes[0], readPrefix, fmt.Sprintf("shed-%d", i), bearing("k-gold-1"))
			So(response.Status, ShouldEqual, http.StatusServiceUnavailable)
		}
		nested := make(chan int, 40)
		for _, n := range nodesOf(m, "a") {
			n.Upstream.SetBehaviour(time.Millisecond, func(_ http.ResponseWriter, r *http.Request) bool {
				for i := range 40 {
					nested <- n.Call(http.MethodGet, host, orderPrefix, fmt.Sprintf("%s.%d", r.Header.Get("X-Request-Id"), i), time.Second).Status
				}
				return false
			})
		}
		So(callWith(m.Nodes[0], readPrefix, "parent", bearing("k-gold-1")).Status, ShouldEqual, http.StatusOK)
		for range 40 {
			So(<-nested, ShouldEqual, http.StatusOK)
		}
	})
}

// Guards a deployment that has limits in its configuration but no bounds for them in its settings.
func TestQuotasAreOffWithoutSettings(t *testing.T) {
	limited := accountSpec{Name: "gold", Keys: []string{"k-gold-1"}, Rate: 0.1, Burst: 1}
	inMesh(t, []string{"x"}, func(m *mesh.Mesh) {
		configureAccounts(m, 2, []accountSpec{limited}, accountRoutes()...)
		time.Sleep(3 * time.Second)
		for i := range 30 {
			So(callWith(m.Nodes[0], readPrefix, fmt.Sprint(i), bearing("k-gold-1")).Status, ShouldEqual, http.StatusOK)
		}
	})
}
